#include "gateway/ControlTiming.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against waits that fit the bounds of one deployment only: a host that
// must wait for silent neighbours would learn of a change too late.
TEST_CASE("A change is noticed within the bound although neighbours are silent")
{
  constexpr Duration kPollTimeout = std::chrono::milliseconds(250);
  const ControlOptions defaults;
  for (int bound : { 1000, 1500, 2000, 2500, 5000 }) {
    INFO(bound << " ms");
    ControlOptions options;
    FitToBound(options, kPollTimeout, std::chrono::milliseconds(bound));
    CHECK(LongestNotice(options, kPollTimeout) <=
          std::chrono::milliseconds(bound));
    // A poll outlasts the neighbour's own watch, so that it ends with a
    // confirmed view.
    CHECK(options.neighbourWait_ > options.watchWait_);
    CHECK(options.maxNeighbourAge_ > options.neighbourWait_);
    const bool unchanged = options.neighbourWait_ == defaults.neighbourWait_;
    CHECK(unchanged == (bound >= 2500));
  }
}
