#pragma once

// What hosts tell each other about a request under which backend servers died,
// and its encoding.

#include "base/BootClock.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// The fingerprint of a request: 32 hexadecimal digits. aBodyStart is the part
// of the body that is at hand when a server is chosen. The customer belongs to
// it, so that no customer can have another one's requests refused.
std::string
MakeFingerprint(std::string_view aCustomer,
                std::string_view aMethod,
                std::string_view aTarget,
                std::uint64_t aBodySize,
                std::string_view aBodyStart);

bool
IsFingerprint(const std::string& aText);

// The death of a server. Ages are sent because hosts do not share a clock.
struct QuarantineDeath
{
  std::string server_;
  Duration age_{};
};

struct QuarantineNotice
{
  std::string fingerprint_;
  // Confirmed deaths under it.
  std::vector<QuarantineDeath> deaths_;
  // The sender refuses the fingerprint.
  bool quarantined_ = false;
  // Time since the quarantine began, or since the last of the deaths.
  Duration age_{};
};

// CBOR. Decoding returns nothing for a malformed, oversized or unknown message.
std::vector<std::uint8_t>
EncodeQuarantineNotice(const QuarantineNotice& aNotice);
std::optional<QuarantineNotice>
DecodeQuarantineNotice(const std::vector<std::uint8_t>& aBytes);

// Parts of messages about quarantines.
nlohmann::json
EncodeQuarantineDeaths(const std::vector<QuarantineDeath>& aDeaths);
// Nothing for more than aMost deaths, or for malformed ones.
std::optional<std::vector<QuarantineDeath>>
DecodeQuarantineDeaths(const nlohmann::json& aDeaths, std::size_t aMost);
// Nothing for a value that is no age in milliseconds, or for one beyond a day.
std::optional<Duration>
DecodeQuarantineAge(const nlohmann::json& aAge);

}
