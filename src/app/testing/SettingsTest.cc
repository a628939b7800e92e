#include "app/Settings.h"
#include "app/HostDirectory.h"
#include "config/ConfigurationSnapshot.h"

#include <catch2/catch.hpp>
#include <map>

using namespace peridotsail;

namespace {

using Values = std::map<std::string, std::string>;

SettingSource
SourceOf(const Values& aValues)
{
  return [&aValues](const std::string& aName) -> std::optional<std::string> {
    const auto found = aValues.find(aName);
    return found == aValues.end() ? std::nullopt : std::optional(found->second);
  };
}

Values
ValidFlags()
{
  return { { "name", "h1" },
           { "region", "north" },
           { "failure-domain", "north-a" },
           { "callers", "127.0.0.1:1" },
           { "peers", "127.0.0.1:2" },
           { "operators", "127.0.0.1:3" },
           { "store", "127.0.0.1:4" },
           { "host-list", "127.0.0.1:5" },
           { "operator-token", "12345678" },
           { "peer-token", "12345678" } };
}

}

TEST_CASE("flags override environment variables, which override defaults")
{
  const Values flags = ValidFlags();
  const Values environment{ { "PERIDOTSAIL_NAME", "other" },
                            { "PERIDOTSAIL_LOOKUP_TTL", "9" } };
  std::string reason;
  const auto settings =
    ReadSettings(SourceOf(flags), SourceOf(environment), reason);
  INFO(reason);
  REQUIRE(settings);
  CHECK(settings->hostName_ == "h1");
  CHECK(settings->lookupTtl_ == std::chrono::seconds(9));
  CHECK(settings->drainLimit_ == std::chrono::seconds(60));
  CHECK(settings->memoryLimit_ == 1'024'000'000);
  CHECK(settings->maxConnections_ == 20'000);
}

// Guards against a process that starts with an invalid setting.
TEST_CASE("the error message names the invalid setting")
{
  const Values cases{ { "name", "a b" },        { "callers", "localhost:80" },
                      { "store", "127.0.0.1" }, { "operator-token", "short" },
                      { "log-format", "xml" },  { "log-level", "loud" },
                      { "lookup-ttl", "5s" },   { "drain-limit", "-1" },
                      { "memory-limit", "10" }, { "max-connections", "0" } };
  for (const auto& [flag, value] : cases) {
    INFO(flag);
    Values flags = ValidFlags();
    flags[flag] = value;
    std::string reason;
    CHECK_FALSE(ReadSettings(SourceOf(flags), SourceOf({}), reason));
    CHECK(reason.rfind("--" + flag + " (PERIDOTSAIL_", 0) == 0);
  }
  Values flags = ValidFlags();
  flags.erase("region");
  std::string reason;
  CHECK_FALSE(ReadSettings(SourceOf(flags), SourceOf({}), reason));
  CHECK(reason == "--region (PERIDOTSAIL_REGION) is missing");
}

// Guards invariant 9: lookups omit leaving hosts.
TEST_CASE("lookups list the hosts of the region first and omit leaving hosts")
{
  const ListedHost self{ "h1",          "north", "north-a", "127.0.0.1:1",
                         "127.0.0.1:2", "",      false };
  HostDirectory directory(self);
  const TimePoint now{ std::chrono::hours(1) };
  directory.SetList(
    { { "h2", "south", "south-a", "127.0.0.2:1", "127.0.0.2:2", "", false },
      { "h3", "north", "north-b", "127.0.0.3:1", "127.0.0.3:2", "", false },
      { "h4", "north", "north-b", "127.0.0.4:1", "127.0.0.4:2", "", true } });
  const auto names = [&](const Configuration* aConfiguration, TimePoint aNow) {
    LookupService lookup;
    lookup.SetHosts(directory.LookupHosts(aNow));
    if (aConfiguration != nullptr) {
      lookup.SetConfiguration(std::make_shared<Configuration>(*aConfiguration));
      lookup.SetRegionShare("south", { 0, 0, true });
    }
    std::string text;
    for (const LookupHost* host :
         lookup.Answer("10.0.0.0/24", "north").hosts_) {
      text += host->name_;
    }
    return text;
  };
  const std::string all = names(nullptr, now);
  CHECK((all == "h1h3h2" || all == "h3h1h2"));
  directory.SetLeaving("h3", now);
  CHECK(names(nullptr, now) == "h1h2");
  CHECK(names(nullptr, now + std::chrono::minutes(1)).size() == 6);
  Configuration configuration;
  configuration.drains_ = { { DrainKind::Region, "south" },
                            { DrainKind::Host, "h1" } };
  CHECK(names(&configuration, now + std::chrono::minutes(1)) == "h3");
  directory.SetSelfLeaving();
  CHECK(names(nullptr, now) == "h2");
}

TEST_CASE("malformed envelopes are refused")
{
  const ConfigurationRecord record{ 3, "id", "me", "{\"format\":1}" };
  CHECK(ParseRecord(FormatRecord(record))->version_ == 3);
  for (const char* bad : { "",
                           "[]",
                           "{}",
                           R"({"version":0,"document":{}})",
                           R"({"version":"1","document":{}})",
                           R"({"version":1})" }) {
    CHECK_FALSE(ParseRecord(bad));
  }
}
