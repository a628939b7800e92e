#pragma once

// Messages between hosts about requests that may crash backend servers, encoded
// as CBOR in UDP datagrams.

#include "backend/Quarantine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotsail {

// Tells a collector which servers the sender saw die while they executed the
// request.
struct SuspectReport
{
  // Chosen by the reporter and repeated in the acknowledgement; not zero.
  std::uint64_t id_ = 0;
  QuarantineNotice notice_;
  // Other servers that the reporter recently saw die, for any reason.
  std::vector<QuarantineDeath> otherDeaths_;
};

// A collector's combined evidence of all hosts.
struct SuspectNotice
{
  // The id of the report that this acknowledges, or zero.
  std::uint64_t id_ = 0;
  QuarantineNotice notice_;
};

// The request completed, so it did not crash the servers that died before.
struct SuspectCleared
{
  std::string fingerprint_;
  // The time since the completion.
  Duration age_{};
};

using QuarantineMessage =
  std::variant<SuspectReport, SuspectNotice, SuspectCleared>;

std::string
EncodeQuarantineMessage(const QuarantineMessage& aMessage);

// Returns nothing for malformed input.
std::optional<QuarantineMessage>
DecodeQuarantineMessage(const std::string& aBytes);

}
