#include "steering/DrainPlan.h"
#include "steering/HostSteering.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace std::chrono_literals;

namespace {

constexpr double kUncapped = std::numeric_limits<double>::infinity();

struct Case
{
  const char* name_;
  DrainKind kind_;
  double demand_;
  std::vector<DrainDestination> destinations_;
  DrainBound bound_;
  double moveSeconds_;
  double shortfall_;
};

}

// Tests the forecast that operators base decisions on: the duration, the
// binding constraint and the demand that cannot be moved. Requests have 1 KB,
// responses 16 KB. The time to live is 5 s, a request with a cold cache costs
// twice as much, and weights change by at most 0.05 per second.
TEST_CASE("the slowest constraint sets the duration of a drain")
{
  const std::vector<Case> cases{
    { "weights",
      DrainKind::Region,
      100,
      { { "b", 1000, 0s } },
      DrainBound::StepLimit,
      20,
      0 },
    // 100 requests/s of 16,384 bytes for 5 s of cached answers: 8.192 MB at 100
    // KB/s.
    { "responses",
      DrainKind::Region,
      100,
      { { "b", 1000, 0s, kUncapped, 100e3 } },
      DrainBound::ShiftCap,
      81.92,
      0 },
    // 100 requests/s of 1,024 bytes for 5 s: 512 KB at 10 KB/s.
    { "requests",
      DrainKind::Region,
      100,
      { { "b", 1000, 0s, 10e3, 1e9 } },
      DrainBound::ShiftCap,
      51.2,
      0 },
    // 100 * T / (T + 30) = 90 requests/s: T = 270.
    { "cold caches",
      DrainKind::Region,
      90,
      { { "b", 100, 30s } },
      DrainBound::Headroom,
      270,
      0 },
    { "warm-up",
      DrainKind::Region,
      10,
      { { "b", 1000, 60s } },
      DrainBound::WarmUp,
      60,
      0 },
    { "no headroom",
      DrainKind::Region,
      100,
      { { "b", 60, 0s } },
      DrainBound::StepLimit,
      12,
      40 },
    { "two regions",
      DrainKind::Region,
      100,
      { { "b", 1000, 0s, kUncapped, 50e3 },
        { "c", 1000, 0s, kUncapped, 50e3 } },
      DrainBound::ShiftCap,
      81.92,
      0 },
    { "host",
      DrainKind::Host,
      100,
      { { "a", 200, 30s } },
      DrainBound::TimeToLive,
      0,
      0 },
    // 819,200 bytes/s sustain 50 responses/s of 16,384 bytes; the local region
    // takes 30 requests/s.
    { "server",
      DrainKind::BackendServer,
      100,
      { { "a", 30, 0s }, { "b", 1000, 0s, kUncapped, 819'200 } },
      DrainBound::TimeToLive,
      0,
      20 },
    { "closed cap",
      DrainKind::Region,
      100,
      { { "b", 1000, 0s, 0, 0 } },
      DrainBound::Nothing,
      0,
      100 },
  };
  for (const Case& row : cases) {
    INFO(row.name_);
    DrainDemand demand;
    demand.requestsPerSecond_ = row.demand_;
    const DrainPlan plan =
      PlanDrain(row.kind_, demand, row.destinations_, { 5s, 2, 0.05 });
    CHECK(NameOf(plan.bound_) == NameOf(row.bound_));
    CHECK(ToSeconds(plan.moveTime_) ==
          Approx(row.moveSeconds_).epsilon(0.02).margin(0.01));
    CHECK(plan.shortfallPerSecond_ == Approx(row.shortfall_).margin(0.1));
    const double rest = row.shortfall_ / row.demand_;
    CHECK(plan.KeepFractionAt(plan.moveTime_ + 1s) ==
          Approx(rest).margin(0.01));
    CHECK(plan.Finished(24h) == (row.shortfall_ == 0));
    CHECK_FALSE(plan.Finished(plan.moveTime_));
    double moved = 0;
    for (const DrainAllocation& part : plan.allocations_) {
      moved += part.requestsPerSecond_;
    }
    CHECK(moved == Approx(row.demand_ - row.shortfall_).margin(0.1));
  }
}

// Tests the schedule of a region drain in lookups. A host that is replaced
// during the drain must not start the drain again.
TEST_CASE("lookups follow the schedule of a region drain")
{
  auto before = std::make_shared<Configuration>();
  for (const char* name : { "a", "b" }) {
    before->regions_.push_back({ name, {}, 1, 100 });
  }
  auto after = std::make_shared<Configuration>(*before);
  after->drains_.push_back({ DrainKind::Region, "a" });
  TimePoint now{ 1000s };
  HostSteering steering("a");
  HostSteering replaced("a");
  for (HostSteering* host : { &steering, &replaced }) {
    host->SetHosts({ { "a0", "a", "a1", "x" }, { "b0", "b", "b1", "x" } });
  }
  const auto namedFirst = [](const HostSteering& aHost) {
    int count = 0;
    for (int i = 0; i < 2000; ++i) {
      const std::string block = std::to_string(i);
      count += aHost.Lookup(block).hosts_.front()->name_ == "a0" ? 1 : 0;
    }
    return count / 2000.0;
  };
  steering.SetConfiguration(before, now);
  steering.Observe("a", { now, 0.5, 50 }, now);
  steering.Observe("b", { now, 0.2, 80 }, now);
  CHECK(namedFirst(steering) == 1);
  steering.SetConfiguration(after, now);
  replaced.SetConfiguration(after, now);
  CHECK(namedFirst(replaced) == 0);
  const DrainPlan plan = steering.Drains().front().plan_;
  REQUIRE(plan.Feasible());
  CHECK(plan.moveTime_ == 10s);
  for (int second = 0; second <= 12; ++second) {
    steering.Tick(now + std::chrono::seconds(second));
    CHECK(namedFirst(steering) ==
          Approx(1 - std::min(1.0, second / 10.0)).margin(0.03));
  }
  steering.SetConfiguration(before, now + 13s);
  CHECK(namedFirst(steering) == 1);
}
