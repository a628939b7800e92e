#pragma once

// The message in which hosts tell each other which backend servers died while
// running a request, and its encoding.

#include "base/BootClock.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// Returns the fingerprint of a request: 32 hexadecimal digits. aBodyStart is
// the part of the body that has arrived when a server is selected. The
// fingerprint covers the customer, so that no customer can cause another
// customer's requests to be refused.
std::string
MakeFingerprint(std::string_view aCustomer,
                std::string_view aMethod,
                std::string_view aTarget,
                std::uint64_t aBodySize,
                std::string_view aBodyStart);

bool
IsFingerprint(const std::string& aText);

// The death of a server. Messages carry ages instead of times because hosts do
// not share a clock.
struct QuarantineDeath
{
  std::string server_;
  Duration age_{};
};

struct QuarantineNotice
{
  std::string fingerprint_;
  // Confirmed deaths of servers that were running the request.
  std::vector<QuarantineDeath> deaths_;
  // Whether the sender refuses the fingerprint.
  bool quarantined_ = false;
  // Time since the quarantine began, or since the last death.
  Duration age_{};
};

// CBOR encoding. Decoding returns nullopt for a malformed, oversized or unknown
// message.
std::vector<std::uint8_t>
EncodeQuarantineNotice(const QuarantineNotice& aNotice);
std::optional<QuarantineNotice>
DecodeQuarantineNotice(const std::vector<std::uint8_t>& aBytes);

// Encodings shared with other messages about quarantines.
nlohmann::json
EncodeQuarantineDeaths(const std::vector<QuarantineDeath>& aDeaths);
// Returns nullopt if there are more than aMaxCount deaths or one is malformed.
std::optional<std::vector<QuarantineDeath>>
DecodeQuarantineDeaths(const nlohmann::json& aDeaths, std::size_t aMaxCount);
// Decodes an age in milliseconds. Returns nullopt if the value is malformed or
// longer than a day.
std::optional<Duration>
DecodeQuarantineAge(const nlohmann::json& aAge);

}
