#include "keys/KeyTable.h"

#include "config/ConfigurationParser.h"
#include "config/testing/TestDocument.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1000s };

ConfigurationPtr
MakeConfiguration(int aCustomers)
{
  std::vector<ConfigurationFault> faults;
  nlohmann::json document = testing::MakeDocument(aCustomers, 1);
  document["keys"][1]["withdrawn"] = true;
  auto parsed = ParseConfiguration(document.dump(), faults);
  REQUIRE(parsed);
  parsed->version_ = 7;
  return std::make_shared<const Configuration>(std::move(*parsed));
}

struct CheckCase
{
  std::string header_;
  std::optional<ErrorKind> refusal_;
};

}

// A request must not be executed without a customer or for a customer other
// than the key's.
TEST_CASE("a request is accepted only for the customer of a valid key")
{
  KeyTable table;
  CHECK(table.Check(kNow, "Bearer k0.secret0").refusal_ ==
        ErrorKind::ConfigurationMissing);
  table.SetConfiguration(MakeConfiguration(3));
  CHECK(table.Check(kNow, "Bearer k0.secret0").refusal_ ==
        ErrorKind::HostIsolated);
  table.SetFreshUntil(kNow + 1s);
  const CheckCase cases[] = {
    { "Bearer k0.secret0", std::nullopt },
    { "bearer k0.secret0", std::nullopt },
    { "Bearer k1.secret1", ErrorKind::KeyWithdrawn },
    { "Bearer k1.secret0", ErrorKind::Unauthenticated },
    { "Bearer k0.secret2", ErrorKind::Unauthenticated },
    { "Bearer k9.secret0", ErrorKind::Unauthenticated },
    { "Bearer k0secret0", ErrorKind::Unauthenticated },
    { "Bearer k0.", ErrorKind::Unauthenticated },
    { "Bearer .", ErrorKind::Unauthenticated },
    { "Bearer ", ErrorKind::Unauthenticated },
    { "Basic k0.secret0", ErrorKind::Unauthenticated },
    { "", ErrorKind::Unauthenticated },
    { "Bearer k0.secret0" + std::string(1000, ' '),
      ErrorKind::Unauthenticated },
  };
  for (const CheckCase& row : cases) {
    INFO(row.header_);
    const KeyDecision decision = table.Check(kNow, row.header_);
    CHECK(decision.refusal_ == row.refusal_);
    CHECK(decision.customer_ == (row.refusal_ ? "" : "customer-0"));
  }
  table.SetWithdrawn(std::make_shared<const std::set<std::string>>(
    std::set<std::string>{ "k0" }));
  CHECK(table.Check(kNow, "Bearer k0.secret0").refusal_ ==
        ErrorKind::KeyWithdrawn);
  CHECK(table.Check(kNow, "Bearer k2.secret2").customer_ == "customer-2");
  CHECK(table.Check(kNow + 1s, "Bearer k2.secret2").refusal_ ==
        ErrorKind::HostIsolated);
}

// Merging sets must not lose a withdrawal, and the set must not grow without
// bound.
TEST_CASE("withdrawn keys merge in any order and are removed when covered")
{
  WithdrawnKeys left;
  WithdrawnKeys right;
  CHECK(left.Digest().empty());
  left.Add({ "k0", 7 });
  left.Add({ "k1", 6 });
  right.Add({ "k2", 7 });
  right.Add({ "newer", 7 });
  right.Add({ "deleted", 6 });
  CHECK(left.Digest() != right.Digest());
  CHECK(left.Merge(right.List()));
  CHECK(right.Merge(left.List()));
  CHECK_FALSE(left.Merge(right.List()));
  CHECK(left.Digest() == right.Digest());
  // k1 is withdrawn in the configuration, which is newer than the withdrawal of
  // "deleted" and no longer has that key. "newer" may be a key that a later
  // version adds.
  CHECK(left.Prune(*MakeConfiguration(3)));
  CHECK(*left.Ids() == std::set<std::string>{ "k0", "k2", "newer" });
}
