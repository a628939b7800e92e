#pragma once

// What hosts tell each other about requests that may crash backend servers, as
// CBOR in UDP datagrams.

#include "backend/Quarantine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotsail {

// A host tells a collector which servers it saw die under a fingerprint.
struct SuspectReport
{
  // Chosen by the reporter, for the answer; not zero.
  std::uint64_t id_ = 0;
  QuarantineNotice notice_;
  // Other servers that the reporter saw die lately, whatever the cause.
  std::vector<QuarantineDeath> otherDeaths_;
};

// A collector tells what all hosts together saw.
struct SuspectNotice
{
  // Of the report that it answers, or zero.
  std::uint64_t id_ = 0;
  QuarantineNotice notice_;
};

// The request completed, so it did not crash the servers that died before.
struct SuspectCleared
{
  std::string fingerprint_;
  // Time since the completion.
  Duration age_{};
};

using QuarantineMessage =
  std::variant<SuspectReport, SuspectNotice, SuspectCleared>;

std::string
EncodeQuarantineMessage(const QuarantineMessage& aMessage);

// Nothing from malformed bytes.
std::optional<QuarantineMessage>
DecodeQuarantineMessage(const std::string& aBytes);

}
