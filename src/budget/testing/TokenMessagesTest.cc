#include "budget/TokenMessages.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

using namespace peridotsail;
using nlohmann::json;

TEST_CASE("token messages are unchanged by encoding and decoding")
{
  TokenRequest request;
  request.entries_.push_back(
    { "c1", 7, { 1.25, 3, 2 }, { 4, 5 }, { { 6, 0.5 } } });
  request.entries_.push_back({ "c2", 8, {}, {}, {} });
  const auto bytes = EncodeTokenRequest(request);
  const auto decoded = DecodeTokenRequest(bytes.data(), bytes.size());
  REQUIRE(decoded);
  REQUIRE(decoded->entries_.size() == 2);
  CHECK(decoded->entries_[0].budget_ == "c1");
  CHECK(decoded->entries_[0].wanted_.tokens_ == 1.25);
  CHECK(decoded->entries_[0].renew_ == std::vector<std::uint64_t>{ 4, 5 });
  CHECK(decoded->entries_[0].returns_[0].tokens_ == 0.5);

  TokenGrant grant;
  grant.entries_.push_back({ "c1", 7, 9, { 1, 2, 3 }, { 4 } });
  const auto grantBytes = EncodeTokenGrant(grant);
  const auto decodedGrant =
    DecodeTokenGrant(grantBytes.data(), grantBytes.size());
  REQUIRE(decodedGrant);
  CHECK(decodedGrant->entries_[0].loan_ == 9);
  CHECK(decodedGrant->entries_[0].share_.capacity_ == 3);
}

// A malformed message from a peer must not crash the process or create tokens.
TEST_CASE("malformed token messages are rejected")
{
  const json valid =
    json::array({ json::array({ "c1", 7, 9, { 1.0, 2.0, 3.0 }, { 4 } }) });
  const auto isAccepted = [](const json& aMessage) {
    const auto bytes = json::to_cbor(aMessage);
    return DecodeTokenGrant(bytes.data(), bytes.size()).has_value();
  };
  REQUIRE(isAccepted(valid));
  const std::pair<const char*, json> changes[] = {
    { "/0/0", 5 },
    { "/0/1", -7 },
    { "/0/2", "x" },
    { "/0/3/0", -1.0 },
    { "/0/3/0", 3.5 },
    { "/0/3/1", INFINITY },
    { "/0/3/1", NAN },
    { "/0/3", json::array() },
    { "/0/4", 4 },
    { "/0/4/0", -4 },
    { "/0", json::object() },
    { "/0", json::array() },
    { "/0/0", std::string(300, 'x') },
  };
  for (const auto& [path, value] : changes) {
    json malformed = valid;
    malformed[json::json_pointer(path)] = value;
    INFO(path << " " << value);
    CHECK_FALSE(isAccepted(malformed));
  }
  CHECK_FALSE(isAccepted(json::object()));
  const std::vector<std::uint8_t> nested(1'000'000, 0x81);
  CHECK_FALSE(DecodeTokenGrant(nested.data(), nested.size()));
  CHECK_FALSE(DecodeTokenRequest(nested.data(), 0));
}
