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

  // Records aCount requests to one server that all have the same outcome.
  void RecordOutcomes(std::size_t aServer, InstanceOutcome aOutcome, int aCount)
  {
    const InstancePtr& instance = table_.OfService(kService)[aServer];
    for (int i = 0; i < aCount; ++i) {
      table_.RecordOutcome(*instance, aOutcome, kNow, {});
    }
  }

  int UsableServers() const
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

// Guards against ejecting one server after another while the whole service
// sheds load: objects would move to servers where they run cold, and the
// remaining servers would be overloaded even more.
TEST_CASE("Servers are ejected only while most others are healthy")
{
  constexpr int kServers = 10;
  constexpr int kAnswers = 40;
  HealthFleet fleet(kServers);
  SECTION("one failing server")
  {
    fleet.RecordOutcomes(0, InstanceOutcome::Failure, kAnswers);
    CHECK(fleet.UsableServers() == kServers - 1);
  }
  SECTION("all servers shed")
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      fleet.RecordOutcomes(i, InstanceOutcome::Shed, kAnswers);
    }
    CHECK(fleet.UsableServers() >= kServers / 2);
  }
  SECTION("all servers are unreachable")
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      fleet.RecordOutcomes(i, InstanceOutcome::Unreachable, 1);
    }
    CHECK(fleet.UsableServers() == 0);
  }
}

// Guards against counting requests that a server shed without a load report:
// they are no longer queued there.
TEST_CASE("Requests that have ended do not count as queued")
{
  QueueEstimate estimate(3);
  estimate.Report({ 1, 0, kNow });
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    estimate.OnRequestSent();
    estimate.OnRequestEnded();
  }
  CHECK(estimate.QueueLength(kNow) == 0);
  CHECK(estimate.HasFreeSlot(kNow));
  for (int i = 0; i < 4; ++i) {
    estimate.OnRequestSent();
  }
  CHECK(estimate.QueueLength(kNow) == 3);
}

// Guards against requests to a server that announced its shutdown, or that
// asked this host to pause.
TEST_CASE("A server that is shutting down or pausing gets no requests")
{
  HealthFleet fleet(2);
  const InstancePtr first = fleet.table_.OfService(kService)[0];
  const InstancePtr second = fleet.table_.OfService(kService)[1];
  first->SetShuttingDown();
  second->SetBackoff(kNow + std::chrono::seconds(2));
  second->SetBackoff(kNow + std::chrono::seconds(1));
  CHECK(fleet.UsableServers() == 0);
  CHECK_FALSE(second->IsUsable(kNow + std::chrono::milliseconds(1999)));
  CHECK(second->IsUsable(kNow + std::chrono::seconds(2)));
  // The store may be updated much later.
  fleet.table_.Apply(MakeFleet(2));
  CHECK_FALSE(first->IsUsable(kNow + std::chrono::seconds(60)));
  // A restarted server with the same id starts with fresh state.
  FleetSnapshot again = MakeFleet(2);
  again.instances_["server-0"].born_ = 7;
  fleet.table_.Apply(again);
  CHECK(fleet.table_.OfService(kService)[0]->IsUsable(kNow));
}
