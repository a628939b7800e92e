#include "regions/RegionShare.h"
#include "regions/RegionLatency.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against a region with few servers (by design, evacuated or lost) that
// keeps more objects than it has slots for.
TEST_CASE("A region keeps what its part of the slots allows")
{
  struct Row
  {
    const char* name_;
    double localSlots_;
    double allSlots_;
    std::size_t regions_;
    // Bounds on the fraction of objects that stays in the region.
    double min_;
    double max_;
  };
  const Row rows[] = {
    { "a third of the slots", 20, 60, 3, 0.75, 0.85 },
    { "most of the slots", 50, 60, 3, 0.95, 1 },
    { "a tenth of the slots", 6, 66, 3, 0.30, 0.36 },
    { "one server after an evacuation", 3, 60, 3, 0.15, 0.20 },
    { "no server", 0, 60, 3, 0, 0 },
    { "the only region", 60, 60, 1, 1, 1 },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    const double weight =
      RemoteSlotWeight({ row.localSlots_, row.allSlots_, row.regions_ });
    const double kept =
      row.localSlots_ /
      (row.localSlots_ + weight * (row.allSlots_ - row.localSlots_));
    CHECK(kept >= row.min_);
    CHECK(kept <= row.max_);
  }
}

// Guards against a fixed weight of other regions: where the round trip is
// short, a region that keeps all objects local spreads them over too few
// servers, which then cannot keep them warm.
TEST_CASE("The way to other regions decides how many objects go there")
{
  using std::chrono::milliseconds;
  struct Row
  {
    const char* name_;
    milliseconds roundTrip_;
    milliseconds target_;
    double min_;
    double max_;
  };
  const Row rows[] = {
    { "no latency", milliseconds(0), milliseconds(400), 1, 1 },
    { "a neighbouring town", milliseconds(40), milliseconds(400), 0.3, 0.5 },
    { "the same for a fast route",
      milliseconds(40),
      milliseconds(200),
      0.1,
      0.25 },
    { "another continent", milliseconds(110), milliseconds(400), 0.05, 0.13 },
    { "a round trip beyond the target",
      milliseconds(300),
      milliseconds(200),
      0.05,
      0.05 },
    { "no target", milliseconds(40), milliseconds(0), 0.05, 0.05 },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    const double weight = LatencyWeight(row.roundTrip_, row.target_);
    CHECK(weight >= row.min_);
    CHECK(weight <= row.max_);
  }
}

// Guards against regions that exchange work although the way between them takes
// a large part of what the callers have, or stop sharing objects although it
// does not.
TEST_CASE("Regions are near if the way takes a small part of the target")
{
  using std::chrono::milliseconds;
  CHECK(IsNear(milliseconds(40), milliseconds(400)));
  CHECK(IsNear(milliseconds(110), milliseconds(3000)));
  CHECK_FALSE(IsNear(milliseconds(110), milliseconds(1000)));
  CHECK_FALSE(IsNear(milliseconds(50), milliseconds(400)));
  CHECK_FALSE(IsNear(milliseconds(40), milliseconds(0)));
}

// Guards against an estimate that follows the noise of single connections,
// which would move objects between regions.
TEST_CASE("The latency of a region is the shortest measured, rounded")
{
  using std::chrono::milliseconds;
  RegionLatency latency("here");
  CHECK(latency.Mean() == RegionLatency::kUnknown);
  latency.Record("here", milliseconds(1));
  CHECK(latency.Mean() == RegionLatency::kUnknown);
  latency.Record("there", milliseconds(95));
  latency.Record("there", milliseconds(41));
  latency.Record("there", milliseconds(70));
  CHECK(latency.Mean() == milliseconds(40));
  latency.Record("far", milliseconds(120));
  CHECK(latency.Mean() == milliseconds(80));
}
