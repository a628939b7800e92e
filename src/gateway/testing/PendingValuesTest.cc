#include "gateway/PendingValues.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

}

// Guards against a view that is said to be confirmed at a time at which the
// store had a newer value, and against one that is not confirmed at all while
// new values come faster than they can be received.
TEST_CASE("A view with a pending value is confirmed up to its last value")
{
  using Missing = PendingValues::Missing;
  PendingValues pending;
  pending.Confirmed(At(1), {});
  CHECK(pending.ConfirmedAt() == At(1));
  pending.Confirmed(At(2), { { "config", 10 } });
  const auto requests = pending.TakeRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().key_ == "config");
  CHECK(requests.front().position_ == 10);
  CHECK(pending.TakeRequests().empty());
  CHECK(pending.ConfirmedAt() == At(1));
  SECTION("the value confirms the view as far as it was the newest")
  {
    pending.Confirmed(At(3), Missing{ { "config", 10 } });
    pending.Confirmed(At(4), Missing{ { "config", 12 } });
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(3));
    REQUIRE(pending.TakeRequests().size() == 1);
    pending.Confirmed(At(5), Missing{ { "config", 12 } });
    // The response to the first request does not answer the second one.
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(3));
    pending.Received("config", 12);
    CHECK(pending.ConfirmedAt() == At(5));
  }
  SECTION("a newer value than the requested one confirms the whole view")
  {
    pending.Confirmed(At(4), Missing{ { "config", 12 } });
    pending.Received("config", 13);
    CHECK(pending.ConfirmedAt() == At(4));
  }
  SECTION("a failed request is sent again")
  {
    pending.Failed("config");
    CHECK(pending.ConfirmedAt() == At(1));
    const auto repeated = pending.TakeRequests();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().failures_ == 1);
  }
  SECTION("a value that is no longer missing ends the wait")
  {
    pending.Confirmed(At(3), {});
    CHECK(pending.ConfirmedAt() == At(3));
  }
  SECTION("each pending value limits the confirmation")
  {
    pending.Confirmed(At(3), Missing{ { "config", 10 }, { "other", 11 } });
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(2));
  }
}
