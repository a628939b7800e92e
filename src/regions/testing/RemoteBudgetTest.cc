#include "regions/RemoteBudget.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards the fraction of requests that may leave their region.
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
