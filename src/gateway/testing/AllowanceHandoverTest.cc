// Tests the change of a share's owner at the new and at the former owner.

#include "gateway/AllowanceGate.h"
#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261205;
constexpr double kRequested = 1000;
constexpr std::size_t kCustomers = 24;
const std::map<std::string, std::string> kDomains{ { "a", "east" },
                                                   { "b", "west" } };

std::map<std::string, HostRecord>
MakeHosts(const std::vector<std::string>& aNames)
{
  std::map<std::string, HostRecord> hosts;
  for (const std::string& name : aNames) {
    HostRecord record;
    record.name_ = name;
    record.region_ = name.substr(0, 4);
    record.peers_ = name + ":1";
    hosts[name] = record;
  }
  return hosts;
}

// A host with its messages and an eastern share that belongs to "east0" if that
// host is registered, otherwise to "east2", and otherwise to "east1".
struct Host
{
  explicit Host(const std::string& aName)
    : table_(MakeAllowanceTable(std::vector<double>(kCustomers, 60)))
    , owners_(kDomains, "east", aName)
    , allowances_(AllowanceFleet::Options(), owners_)
    , gate_(allowances_, owners_, {}, MakeHooks(), kSeed)
  {
  }

  GateHooks MakeHooks()
  {
    GateHooks hooks;
    hooks.send_ = [this](const std::string& aAddress,
                         const TakeRequest& aRequest) {
      sent_.emplace_back(aAddress, aRequest);
    };
    hooks.viewAge_ = [](TimePoint) { return Duration::zero(); };
    return hooks;
  }

  void Apply(const std::vector<std::string>& aNames, double aNow)
  {
    owners_.SetHosts(MakeHosts(aNames));
    allowances_.Apply(*table_, FleetTime(aNow));
    gate_.OnTimer(FleetTime(aNow));
  }

  double Take(double aNow)
  {
    return gate_.Answer({ 1, Share(), kRequested }, FleetTime(aNow)).tokens_;
  }

  // The last question to a host about the share.
  std::optional<TakeRequest> AskedOf(const std::string& aName) const
  {
    const auto found =
      std::find_if(sent_.rbegin(), sent_.rend(), [&](const auto& aSent) {
        return aSent.first == aName + ":1" &&
               aSent.second.share_.customer_ == Share().customer_;
      });
    return found == sent_.rend() ? std::nullopt : std::optional(found->second);
  }

  ShareKey Share() const
  {
    AllowanceOwners all(kDomains, "east", "east0");
    AllowanceOwners others(kDomains, "east", "east0");
    all.SetHosts(MakeHosts({ "east0", "east1", "east2", "west0" }));
    others.SetHosts(MakeHosts({ "east1", "east2", "west0" }));
    for (const GatewayCustomer& customer : table_->Customers()) {
      ShareKey share{ customer.name_, all.LocalShare() };
      if (all.OwnedHere(share) && others.OwnerOf(share)->name_ == "east2") {
        return share;
      }
    }
    throw std::runtime_error("no customer has such a share");
  }

  RoutingTablePtr table_;
  AllowanceOwners owners_;
  CustomerAllowances allowances_;
  std::vector<std::pair<std::string, TakeRequest>> sent_;
  AllowanceGate gate_;
};

}

// Guards against two owners that grant tokens of one share: a registered host
// that is cut off from the store does not know of a host that was added.
TEST_CASE("A new owner waits until the former owner has stopped")
{
  Host host("east0");
  host.Apply({ "east0", "east1", "west0" }, 0);
  const auto first = host.AskedOf("east1");
  REQUIRE(first);
  CHECK(first->tokens_ == 0);
  CHECK(host.Take(0) == 0);
  CHECK(host.gate_.NextTimeout());

  SECTION("it confirms")
  {
    host.gate_.Accept({ first->id_, false, 0, {} }, FleetTime(0.01));
    CHECK(host.Take(0.01) > 0);
    // Each question counts once.
    host.gate_.Accept({ first->id_, true, 0, {} }, FleetTime(0.02));
  }
  SECTION("it considers itself the owner at first")
  {
    host.gate_.Accept({ first->id_, true, 0, {} }, FleetTime(0.01));
    CHECK(host.Take(0.05) == 0);
    host.gate_.OnTimer(FleetTime(0.11));
    const auto second = host.AskedOf("east1");
    CHECK(second->id_ != first->id_);
    host.gate_.Accept({ second->id_, false, 0, {} }, FleetTime(0.12));
    CHECK(host.Take(0.12) > 0);
  }
  SECTION("it is silent")
  {
    CHECK(host.Take(3.45) == 0);
    CHECK(host.Take(3.5) > 0);
  }
  SECTION("another host confirms")
  {
    host.gate_.Accept({ first->id_ + 1, false, 0, {} }, FleetTime(0.01));
    CHECK(host.Take(0.01) == 0);
  }
}

// Guards against messages without end about shares that nobody asks for.
TEST_CASE("Former owners are asked until their views must be too old")
{
  Host host("east0");
  host.Apply({ "east0", "east1", "west0" }, 0);
  for (int i = 1; i <= 50; ++i) {
    host.gate_.OnTimer(FleetTime(0.1 * i));
  }
  CHECK_FALSE(host.gate_.NextTimeout());
  CHECK(host.sent_.size() <= 35 * host.table_->Customers().size());
}

// Guards against a share without tokens for seconds after its owner was lost,
// and against lending before the former owner has stopped.
TEST_CASE("Only registered former owners are waited for")
{
  Host host("east0");
  const bool registered = GENERATE(false, true);
  host.Apply({ "east1", "west0" }, 0);
  host.Apply(registered ? std::vector<std::string>{ "east0", "east1", "west0" }
                        : std::vector<std::string>{ "east0", "west0" },
             1);
  const bool waits = host.Take(1) == 0;
  CHECK(waits == registered);
  CHECK(host.AskedOf("east1").has_value() == registered);
  if (registered) {
    CHECK(host.allowances_.Lend(host.Share(), 1, FleetTime(1)) == 0);
    CHECK(host.allowances_.TokensToBorrow(host.Share(), FleetTime(1)) == 0);
  }
}

// Guards against a former owner that is not known any more after several quick
// changes.
TEST_CASE("All owners of the last seconds are waited for")
{
  Host host("east0");
  host.Apply({ "east1", "west0" }, 0);
  host.Apply({ "east2", "east1", "west0" }, 1);
  host.Apply({ "east0", "east1", "east2", "west0" }, 1.5);
  CHECK(host.AskedOf("east1"));
  CHECK(host.AskedOf("east2"));
}
