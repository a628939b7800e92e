#include "gateway/InstanceTable.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

const TimePoint kNow = TimePoint() + std::chrono::seconds(1000);
constexpr const char* kService = "inbox";

FleetSnapshot
MakeFleet(int aServers)
{
  FleetSnapshot fleet;
  for (int i = 0; i < aServers; ++i) {
    InstanceRecord record;
    record.id_ = "server-" + std::to_string(i);
    record.service_ = kService;
    record.failureDomain_ = "here-a";
    record.slots_ = 3;
    fleet.instances_[record.id_] = record;
  }
  return fleet;
}

struct HealthFleet
{
  explicit HealthFleet(int aServers)
    : table_({ { "here-a", "here" } }, "here")
  {
    table_.Apply(MakeFleet(aServers));
  }

  // Answers of one server that all have the same outcome.
  void Answers(std::size_t aServer, InstanceSignal aSignal, int aCount)
  {
    const InstancePtr& instance = table_.OfService(kService)[aServer];
    for (int i = 0; i < aCount; ++i) {
      table_.Learn(*instance, aSignal, kNow, {});
    }
  }

  int Usable() const
  {
    int usable = 0;
    for (const InstancePtr& instance : table_.OfService(kService)) {
      usable += instance->IsUsable(kNow) ? 1 : 0;
    }
    return usable;
  }

  InstanceTable table_;
};

}

// Guards against a service that sheds everywhere: with its servers left out one
// after the other, objects move to servers where they run cold, and the rest is
// overloaded the more.
TEST_CASE("Servers are left out only while most others are sound")
{
  constexpr int kServers = 10;
  constexpr int kAnswers = 40;
  HealthFleet fleet(kServers);
  SECTION("one failing server")
  {
    fleet.Answers(0, InstanceSignal::Failure, kAnswers);
    CHECK(fleet.Usable() == kServers - 1);
  }
  SECTION("all servers shed")
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      fleet.Answers(i, InstanceSignal::Shed, kAnswers);
    }
    CHECK(fleet.Usable() >= kServers / 2);
  }
  SECTION("all servers are unreachable")
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      fleet.Answers(i, InstanceSignal::Unreachable, 1);
    }
    CHECK(fleet.Usable() == 0);
  }
}

// Guards against requests that a server shed without a report of its load: they
// are not waiting there any more.
TEST_CASE("Requests that have ended do not count as waiting")
{
  QueueEstimate estimate(3);
  estimate.Report({ 1, 0, kNow });
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    estimate.Sent();
    estimate.Ended();
  }
  CHECK(estimate.Waiting(kNow) == 0);
  CHECK(estimate.HasFreeSlot(kNow));
  for (int i = 0; i < 4; ++i) {
    estimate.Sent();
  }
  CHECK(estimate.Waiting(kNow) == 3);
}

// Guards against requests to a server that has said that it leaves, or that
// asked this host for a rest.
TEST_CASE("A server that leaves or rests gets nothing from this host")
{
  HealthFleet fleet(2);
  const InstancePtr first = fleet.table_.OfService(kService)[0];
  const InstancePtr second = fleet.table_.OfService(kService)[1];
  first->SetLeaving();
  second->SetResting(kNow + std::chrono::seconds(2));
  second->SetResting(kNow + std::chrono::seconds(1));
  CHECK(fleet.Usable() == 0);
  CHECK_FALSE(second->IsUsable(kNow + std::chrono::milliseconds(1999)));
  CHECK(second->IsUsable(kNow + std::chrono::seconds(2)));
  // The store may learn of the leaving much later.
  fleet.table_.Apply(MakeFleet(2));
  CHECK_FALSE(first->IsUsable(kNow + std::chrono::seconds(60)));
  // A new lifetime under the same id knows nothing of it.
  FleetSnapshot again = MakeFleet(2);
  again.instances_["server-0"].born_ = 7;
  fleet.table_.Apply(again);
  CHECK(fleet.table_.OfService(kService)[0]->IsUsable(kNow));
}
