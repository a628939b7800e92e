#include "regions/RegionRouting.h"

#include "base/Hash.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

RegionRoutingSettings
MakeSettings(double aMaxShift)
{
  return { { { "a", "here" }, { "c", "there" }, { "e", "far" } },
           "here",
           "host-1",
           aMaxShift };
}

std::map<std::string, RegionCapacity>
MakeCapacities()
{
  RegionCapacity capacity;
  capacity.slotsByRegion_ = { { "here", 10 },
                              { "there", 100 },
                              { "far", 100 } };
  return { { "s", capacity } };
}

RegionRequest
MakeRequest(std::uint64_t aObject)
{
  RegionRequest request;
  request.service_ = "s";
  request.route_ = "r";
  request.key_ = MixHash(aObject);
  request.targetLatency_ = std::chrono::milliseconds(400);
  return request;
}

}

// Guards against requests that leave their home regions, and against a plan for
// deployments that state no bound or have one region.
TEST_CASE("The plan applies to distant regions and requests without a home")
{
  RegionLatency latency("here");
  const RegionRoutingHooks hooks{ [](const auto&, const auto&) {},
                                  [](const auto&) {} };
  RegionRouting routing(MakeSettings(0.15), latency, hooks);
  routing.SetCapacities(MakeCapacities());
  CHECK(routing.IsEnabled());
  // The regions may be near.
  CHECK_FALSE(routing.Choose(MakeRequest(1), At(0)));
  latency.Record("there", std::chrono::milliseconds(110));
  REQUIRE(routing.Choose(MakeRequest(1), At(0)));
  RegionRequest request = MakeRequest(1);
  request.hasHomeRegions_ = true;
  CHECK_FALSE(routing.Choose(request, At(0)));
  request = MakeRequest(1);
  request.targetLatency_ = std::chrono::seconds(3);
  CHECK_FALSE(routing.Choose(request, At(0)));
  request = MakeRequest(1);
  request.service_ = "unknown";
  CHECK_FALSE(routing.Choose(request, At(0)));

  RegionRouting unbounded(MakeSettings(0), latency, hooks);
  unbounded.SetCapacities(MakeCapacities());
  CHECK_FALSE(unbounded.Choose(MakeRequest(1), At(0)));
  RegionRoutingSettings single = MakeSettings(0.15);
  single.failureDomains_ = { { "a", "here" } };
  CHECK_FALSE(RegionRouting(single, latency, hooks).IsEnabled());
}

// Guards against demand that is counted at another region than the one whose
// slots it uses, and against a host that hears only itself and plans nothing.
TEST_CASE("A single host plans from its own demand")
{
  RegionLatency latency("here");
  latency.Record("there", std::chrono::milliseconds(110));
  latency.Record("far", std::chrono::milliseconds(110));
  std::vector<RegionPlanChange> changes;
  int sent = 0;
  RegionRouting routing(
    MakeSettings(0.15),
    latency,
    { [&](const auto&, const auto&) { ++sent; },
      [&](const RegionPlanChange& aChange) { changes.push_back(aChange); } });
  routing.SetCapacities(MakeCapacities());
  routing.SetHosts({ { "host-1", "here", "10.1.0.8:7601" } });
  // 5 busy slots of 10 stay; by the slots the region would keep a tenth.
  for (int tick = 0; tick < 80; ++tick) {
    for (std::uint64_t i = 0; i < 25; ++i) {
      const RegionRequest request = MakeRequest(i);
      const auto choice = routing.Choose(request, At(tick * 0.5));
      REQUIRE(choice);
      routing.RecordArrival(request, true, choice->region_);
      const Duration way =
        std::chrono::milliseconds(choice->region_ == "here" ? 0 : 110);
      routing.RecordServed(
        "s", "r", choice->region_, way + std::chrono::milliseconds(100), false);
    }
    routing.OnTick(At(tick * 0.5));
  }
  CHECK(sent == 0);
  REQUIRE(changes.size() > 3);
  CHECK(changes.front().keptShare_ == Approx(0.14).margin(0.01));
  CHECK(changes.back().measured_);
  CHECK(changes.back().keptShare_ > 0.95);
  CHECK(routing.Choose(MakeRequest(5), At(40))->region_ == "here");
}
