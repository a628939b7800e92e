#include "gateway/RegionLatency.h"
#include "gateway/RegionShare.h"
#include "gateway/RemoteBudget.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against a region with few servers (built so, evacuated or lost) that
// keeps more objects than it has slots for.
TEST_CASE("A region keeps what its part of the slots allows")
{
  struct Row
  {
    const char* name_;
    double local_;
    double all_;
    std::size_t regions_;
    // The part of the objects that stays.
    double least_;
    double most_;
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
      RemoteSlotWeight({ row.local_, row.all_, row.regions_ });
    const double stays =
      row.local_ / (row.local_ + weight * (row.all_ - row.local_));
    CHECK(stays >= row.least_);
    CHECK(stays <= row.most_);
  }
}

// Guards against one fixed weight of other regions: where the way is short, a
// region that keeps its objects at home runs them cold on too few servers.
TEST_CASE("The way to other regions decides how many objects go there")
{
  using std::chrono::milliseconds;
  struct Row
  {
    const char* name_;
    milliseconds way_;
    milliseconds target_;
    double least_;
    double most_;
  };
  const Row rows[] = {
    { "no way", milliseconds(0), milliseconds(400), 1, 1 },
    { "a neighbouring town", milliseconds(40), milliseconds(400), 0.3, 0.5 },
    { "the same for a fast route",
      milliseconds(40),
      milliseconds(200),
      0.1,
      0.25 },
    { "another continent", milliseconds(110), milliseconds(400), 0.05, 0.13 },
    { "a way beyond the target",
      milliseconds(300),
      milliseconds(200),
      0.05,
      0.05 },
    { "no target", milliseconds(40), milliseconds(0), 0.05, 0.05 },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    const double weight = LatencyWeight(row.way_, row.target_);
    CHECK(weight >= row.least_);
    CHECK(weight <= row.most_);
  }
}

// Guards against a way that follows the noise of single connections, which
// would move objects.
TEST_CASE("The way to a region is the shortest seen, in steps")
{
  using std::chrono::milliseconds;
  RegionLatency ways("here");
  CHECK(ways.Mean() == RegionLatency::kUnknown);
  ways.Record("here", milliseconds(1));
  CHECK(ways.Mean() == RegionLatency::kUnknown);
  ways.Record("there", milliseconds(95));
  ways.Record("there", milliseconds(41));
  ways.Record("there", milliseconds(70));
  CHECK(ways.Mean() == milliseconds(40));
  ways.Record("far", milliseconds(120));
  CHECK(ways.Mean() == milliseconds(80));
}

// Guards the part of the requests that may leave their region.
TEST_CASE("Only a small part of the requests leaves for a busy server")
{
  RemoteBudget budget;
  int taken = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnRequest();
    taken += budget.TryTake() ? 1 : 0;
  }
  CHECK(taken >= kRequests * 6 / 100);
  CHECK(taken <= kRequests * 75 / 1000);
}
