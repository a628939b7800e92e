#include "once/testing/ClaimSimulation.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace peridotsail::testing;

// Checks invariants 6 and 7 under random interleavings of repeated requests,
// lost, slow and late store operations, store outages, killed and paused hosts
// and changes of holder.
TEST_CASE("no key runs twice and not-run is true in any interleaving")
{
  ClaimSimulationResult total;
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
    ClaimSimulationOptions options;
    options.seed_ = seed;
    const ClaimSimulationResult result = ClaimSimulation(options).Run();
    INFO("seed " << seed);
    REQUIRE(result.keysRunTwice_ == 0);
    REQUIRE(result.falseNotRun_ == 0);
    REQUIRE(result.falseOutcome_ == 0);
    total.keysRun_ += result.keysRun_;
    total.replays_ += result.replays_;
    total.unknown_ += result.unknown_;
    total.notRun_ += result.notRun_;
    total.takeovers_ += result.takeovers_;
    total.memoryRuns_ += result.memoryRuns_;
    total.lostAnswers_ += result.lostAnswers_;
    total.fenced_ += result.fenced_;
  }
  // The simulation must have covered each of these cases.
  CHECK(total.keysRun_ > 4000);
  CHECK(total.replays_ > 1000);
  CHECK(total.unknown_ > 1000);
  CHECK(total.notRun_ > 1000);
  CHECK(total.takeovers_ > 4000);
  CHECK(total.memoryRuns_ > 500);
  CHECK(total.lostAnswers_ > 1000);
  CHECK(total.fenced_ > 100);
}

// Checks that the simulation can detect a double execution at all.
TEST_CASE("without durable claims the simulation executes some keys twice")
{
  int twice = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ClaimSimulationOptions options;
    options.seed_ = seed;
    options.memoryOnly_ = true;
    twice += ClaimSimulation(options).Run().keysRunTwice_;
  }
  CHECK(twice > 0);
}
