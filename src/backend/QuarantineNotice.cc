#include "backend/QuarantineNotice.h"

#include "base/BoundedJson.h"
#include "base/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

namespace {

constexpr std::size_t kFingerprintDigits = 32;
constexpr std::size_t kMaxNoticeServers = 16;
constexpr std::size_t kMaxServerNameLength = 100;
constexpr std::size_t kMaxNoticeBytes = 4096;
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;
// Nesting levels: the notice, its list of deaths and each death.
constexpr int kMaxDepth = 3;

std::int64_t
AgeInMs(Duration aAge)
{
  return std::max<std::int64_t>(0, ToMilliseconds(aAge));
}

}

bool
IsFingerprint(const std::string& aText)
{
  return aText.size() == kFingerprintDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string
MakeFingerprint(std::string_view aCustomer,
                std::string_view aMethod,
                std::string_view aTarget,
                std::uint64_t aBodySize,
                std::string_view aBodyStart)
{
  // Each part is prefixed with its size, so that no two requests have the same
  // input.
  std::string input;
  for (const std::string_view part : { aCustomer, aMethod, aTarget }) {
    input += std::to_string(part.size());
    input += ':';
    input += part;
  }
  input += std::to_string(aBodySize);
  input += ':';
  input += aBodyStart;
  return Sha256Hex(input).substr(0, kFingerprintDigits);
}

json
EncodeQuarantineDeaths(const std::vector<QuarantineDeath>& aDeaths)
{
  json deaths = json::array();
  for (const QuarantineDeath& death : aDeaths) {
    deaths.push_back(json::array({ death.server_, AgeInMs(death.age_) }));
  }
  return deaths;
}

std::optional<Duration>
DecodeQuarantineAge(const json& aAge)
{
  if (!aAge.is_number_unsigned() || aAge.get<std::uint64_t>() > kMaxAgeMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(aAge.get<std::int64_t>());
}

std::optional<std::vector<QuarantineDeath>>
DecodeQuarantineDeaths(const json& aDeaths, std::size_t aMaxCount)
{
  if (!aDeaths.is_array() || aDeaths.size() > aMaxCount) {
    return std::nullopt;
  }
  std::vector<QuarantineDeath> deaths;
  for (const json& entry : aDeaths) {
    const bool pair =
      entry.is_array() && entry.size() == 2 && entry[0].is_string();
    const auto age = pair ? DecodeQuarantineAge(entry[1]) : std::nullopt;
    if (!age ||
        entry[0].get_ref<const std::string&>().size() > kMaxServerNameLength) {
      return std::nullopt;
    }
    deaths.push_back({ entry[0].get<std::string>(), *age });
  }
  return deaths;
}

std::vector<std::uint8_t>
EncodeQuarantineNotice(const QuarantineNotice& aNotice)
{
  std::vector<QuarantineDeath> deaths = aNotice.deaths_;
  deaths.resize(std::min(deaths.size(), kMaxNoticeServers));
  return json::to_cbor({ { "type", "QuarantineNotice" },
                         { "fingerprint", aNotice.fingerprint_ },
                         { "deaths", EncodeQuarantineDeaths(deaths) },
                         { "quarantined", aNotice.quarantined_ },
                         { "age_ms", AgeInMs(aNotice.age_) } });
}

std::optional<QuarantineNotice>
DecodeQuarantineNotice(const std::vector<std::uint8_t>& aBytes)
{
  if (aBytes.size() > kMaxNoticeBytes) {
    return std::nullopt;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aBytes.data()),
                               aBytes.size());
  const json message = DecodeBoundedCbor(bytes, kMaxDepth).value_or(nullptr);
  if (!message.is_object() ||
      message.value("type", json()) != json("QuarantineNotice")) {
    return std::nullopt;
  }
  const json fingerprint = message.value("fingerprint", json());
  const json quarantined = message.value("quarantined", json());
  const auto deaths =
    DecodeQuarantineDeaths(message.value("deaths", json()), kMaxNoticeServers);
  const auto age = DecodeQuarantineAge(message.value("age_ms", json()));
  if (!fingerprint.is_string() || !quarantined.is_boolean() || !deaths ||
      !age || !IsFingerprint(fingerprint.get<std::string>())) {
    return std::nullopt;
  }
  return QuarantineNotice{
    fingerprint.get<std::string>(), *deaths, quarantined.get<bool>(), *age
  };
}

}
