#pragma once

// Messages between hosts about the slots of backend servers, encoded as CBOR
// arrays in UDP datagrams. Each one is smaller than 200 bytes plus the
// server's id. Times are in milliseconds.
//
//   ["slot", 0, id, server, slots, rank, customer, route, to-aim, time-left,
//    service-time, mode]                                              (ask)
//   ["slot", 1, id, server, state, wait, ahead, running, waiting, pace]
//                                                                     (answer)
//   ["slot", 2, id, server, executed, service-time, running, waiting, pace]
//                                                                     (release)
//
// A release without a load report has -1 for running.

#include "slots/SlotRequest.h"

#include <optional>
#include <string>
#include <variant>

namespace peridotsail {

using SlotMessage = std::variant<SlotAsk, SlotAnswer, SlotRelease>;

std::string
EncodeSlotMessage(const SlotMessage& aMessage);

// Returns nullopt for malformed input. Loads get the time aNow.
std::optional<SlotMessage>
DecodeSlotMessage(const std::string& aBytes, TimePoint aNow);

}
