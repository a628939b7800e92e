#include "once/testing/OnceWorld.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace peridotsail::testing;

// Guards invariants 6 and 7 against any order of repeated requests, lost, slow
// and late store operations, outages, kills, pauses and takeovers.
TEST_CASE("no key runs twice and not-run is true in any interleaving")
{
  OnceWorldResult total;
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
    OnceWorldOptions options;
    options.seed_ = seed;
    const OnceWorldResult result = OnceWorld(options).Run();
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
  // The interleavings reach each of the cases.
  CHECK(total.keysRun_ > 4000);
  CHECK(total.replays_ > 1000);
  CHECK(total.unknown_ > 1000);
  CHECK(total.notRun_ > 1000);
  CHECK(total.takeovers_ > 4000);
  CHECK(total.memoryRuns_ > 500);
  CHECK(total.lostAnswers_ > 1000);
  CHECK(total.fenced_ > 100);
}

// Guards the simulation: it must be able to show a double run.
TEST_CASE("claims in memory only run keys twice in the same interleavings")
{
  int twice = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    OnceWorldOptions options;
    options.seed_ = seed;
    options.memoryOnly_ = true;
    twice += OnceWorld(options).Run().keysRunTwice_;
  }
  CHECK(twice > 0);
}
