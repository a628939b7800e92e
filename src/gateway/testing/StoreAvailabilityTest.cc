#include "gateway/StoreAvailability.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(int aMilliseconds)
{
  return TimePoint() + std::chrono::milliseconds(100000 + aMilliseconds);
}

// A host that called the store last at 0 ms.
StoreAvailability
Make()
{
  StoreAvailability availability({ std::chrono::milliseconds(1300),
                                   std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000) });
  availability.Responded(At(0));
  return availability;
}

}

// Guards against keeping servers that have left because a neighbour was silent:
// the store responded to this host's own calls all the while.
TEST_CASE("A silent neighbour is no outage of the store")
{
  StoreAvailability availability = Make();
  availability.Responded(At(1300));
  availability.Responded(At(2600));
  availability.Responded(At(4300));
  CHECK_FALSE(availability.KeepUntil(At(4300)));
  CHECK(availability.RecoveredAt() == TimePoint::min());
}

// Guards against dropping servers whose registrations expired in an outage.
TEST_CASE("Servers are kept for a while after an outage")
{
  StoreAvailability availability = Make();
  CHECK(availability.Failed(At(500), At(1200)));
  CHECK(availability.KeepUntil(At(1300)) == At(3300));
  CHECK(availability.Responded(At(6000)));
  CHECK(availability.KeepUntil(At(6500)) == At(8000));
  CHECK_FALSE(availability.KeepUntil(At(8000)));
  CHECK(availability.RecoveredAt() == At(6000));
}

// Guards against dropping servers after an outage in which this host made no
// call, and against passing on the conclusion of a host that was suspended.
TEST_CASE("A long silence of the store is suspected to be an outage")
{
  StoreAvailability availability = Make();
  CHECK_FALSE(availability.Responded(At(1900)));
  CHECK(availability.KeepUntil(At(1900)) == At(3900));
  CHECK(availability.RecoveredAt() == TimePoint::min());
}

// Guards against a host that is cut off alone and takes this for an outage,
// although its neighbours follow the store.
TEST_CASE("A neighbour's confirmation tells a cut host that the store is up")
{
  struct Row
  {
    const char* name_;
    int confirmedAt_;
    std::optional<Duration> recoveredAgo_;
    bool reachable_;
    std::optional<TimePoint> keepUntil_;
  };
  const Row rows[] = {
    { "confirmed before the failure", 1100, {}, false, At(5000) },
    { "confirmed after it", 2900, {}, true, {} },
    { "after a recovery",
      2900,
      std::chrono::milliseconds(400),
      true,
      At(4600) },
    { "after an older recovery",
      2900,
      std::chrono::milliseconds(2100),
      true,
      {} },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    StoreAvailability availability = Make();
    CHECK(availability.Failed(At(500), At(1200)));
    availability.RespondedToNeighbour(
      At(row.confirmedAt_), row.recoveredAgo_, At(3000));
    CHECK(availability.IsReachable() == row.reachable_);
    CHECK(availability.KeepUntil(At(3000)) == row.keepUntil_);
  }
}

// Guards against a failed call that hides a later successful one.
TEST_CASE("A late failure of an earlier call is ignored")
{
  StoreAvailability availability = Make();
  CHECK_FALSE(availability.Failed(At(-100), At(600)));
  CHECK(availability.IsReachable());
}
