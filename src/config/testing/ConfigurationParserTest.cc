#include "config/ConfigurationParser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace peridotsail;
using nlohmann::json;

namespace {

json
ValidDocument()
{
  return json::parse(R"({
    "format": 1,
    "regions": [
      {"name": "north", "failure_domains": ["north-a"], "slots": 2},
      {"name": "south", "failure_domains": ["south-a"], "slots": 1}],
    "pools": [{"name": "inbox"}],
    "backend_servers": [{"name": "s1", "pool": "inbox", "region": "north",
      "failure_domain": "north-a", "address": "127.0.0.1:9001", "slots": 3}],
    "routes": [{"name": "inbox", "prefix": "/inbox", "pool": "inbox"},
      {"name": "letters", "prefix": "/inbox/letters", "pool": "inbox"}],
    "customers": [{"name": "c1", "rate_per_second": 5, "burst": 10}],
    "keys": [{"id": "k1", "customer": "c1", "sha256":
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}],
    "shift_caps": [{"from": "north", "to": "south", "mbit_per_second": 10}],
    "drains": [{"kind": "region", "name": "south"}]
  })");
}

struct FaultCase
{
  const char* patch_;
  const char* path_;
};

bool
HasFaultAt(const json& aDocument, const std::string& aPath)
{
  std::vector<ConfigurationFault> faults;
  const auto parsed = ParseConfiguration(aDocument.dump(), faults);
  return !parsed &&
         std::any_of(faults.begin(), faults.end(), [&](auto& aFault) {
           return aFault.path_ == aPath;
         });
}

}

TEST_CASE("a valid document is read whole")
{
  std::vector<ConfigurationFault> faults;
  const auto parsed = ParseConfiguration(ValidDocument().dump(), faults);
  INFO(DescribeFaults(faults));
  REQUIRE(parsed);
  CHECK(parsed->TotalSlots() == 3);
  CHECK(parsed->FindRoute("/inbox/letters/7")->name_ == "letters");
  CHECK(parsed->FindRoute("/inbox")->name_ == "inbox");
  CHECK(parsed->FindRoute("/inboxes") == nullptr);
  CHECK(parsed->IsDraining(DrainKind::Region, "south"));
  CHECK(parsed->FindShiftCap("north", "south")->mbitPerSecond_ == 10);
}

// Guards against an invalid document that becomes active, and against faults
// that do not name their field.
TEST_CASE("each fault is reported with the path of its field")
{
  const FaultCase cases[] = {
    { R"([{"op":"add","path":"/colour","value":1}])", "colour" },
    { R"([{"op":"add","path":"/routes/0/colour","value":1}])",
      "routes[0].colour" },
    { R"([{"op":"remove","path":"/format"}])", "format" },
    { R"([{"op":"replace","path":"/format","value":2}])", "format" },
    { R"([{"op":"replace","path":"/regions","value":[]}])", "regions" },
    { R"([{"op":"replace","path":"/regions/1/name","value":"north"}])",
      "regions[1].name" },
    { R"([{"op":"replace","path":"/regions/0/slots","value":0}])",
      "regions[0].slots" },
    { R"([{"op":"replace","path":"/regions/0/slots","value":18446744073709551615}])",
      "regions[0].slots" },
    { R"([{"op":"replace","path":"/regions/0","value":7}])", "regions[0]" },
    { R"([{"op":"replace","path":"/backend_servers/0/pool","value":"none"}])",
      "backend_servers[0].pool" },
    { R"([{"op":"replace","path":"/backend_servers/0/failure_domain","value":"south-a"}])",
      "backend_servers[0].failure_domain" },
    { R"([{"op":"replace","path":"/backend_servers/0/address","value":"example:80"}])",
      "backend_servers[0].address" },
    { R"([{"op":"replace","path":"/routes/0/prefix","value":"inbox"}])",
      "routes[0].prefix" },
    { R"([{"op":"replace","path":"/routes/1/prefix","value":"/inbox"}])",
      "routes[1].prefix" },
    { R"([{"op":"add","path":"/routes/0/idempotent","value":false},
          {"op":"add","path":"/routes/0/open","value":true}])",
      "routes[0].idempotent" },
    { R"([{"op":"replace","path":"/customers/0/burst","value":-1}])",
      "customers[0].burst" },
    { R"([{"op":"replace","path":"/keys/0/customer","value":"c2"}])",
      "keys[0].customer" },
    { R"([{"op":"replace","path":"/keys/0/sha256","value":"abc"}])",
      "keys[0].sha256" },
    { R"([{"op":"replace","path":"/shift_caps/0/mbit_per_second","value":-5}])",
      "shift_caps[0].mbit_per_second" },
    { R"([{"op":"replace","path":"/shift_caps/0/to","value":"north"}])",
      "shift_caps[0].to" },
    { R"([{"op":"replace","path":"/drains/0/kind","value":"rack"}])",
      "drains[0].kind" },
    { R"([{"op":"replace","path":"/drains/0/name","value":"west"}])",
      "drains[0].name" },
  };
  for (const FaultCase& row : cases) {
    INFO(row.patch_);
    CHECK(
      HasFaultAt(ValidDocument().patch(json::parse(row.patch_)), row.path_));
  }
}

TEST_CASE("all faults of a document are reported at once")
{
  json document = ValidDocument();
  document["customers"][0]["burst"] = -1;
  document["keys"][0]["customer"] = "nobody";
  std::vector<ConfigurationFault> faults;
  CHECK_FALSE(ParseConfiguration(document.dump(), faults));
  CHECK(faults.size() == 2);
}

TEST_CASE("text that is no JSON or too large is refused")
{
  std::vector<ConfigurationFault> faults;
  CHECK_FALSE(ParseConfiguration("{\"format\":", faults));
  CHECK(faults.size() == 1);
  CHECK_FALSE(
    ParseConfiguration(std::string(kMaxDocumentBytes + 1, ' '), faults));
  CHECK(faults.size() == 1);
}
