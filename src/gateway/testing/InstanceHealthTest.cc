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
