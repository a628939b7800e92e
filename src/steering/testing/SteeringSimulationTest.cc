#include "steering/testing/SteeringSimulation.h"

#include <catch2/catch.hpp>

using namespace peridotsail::testing;

// Compares steering with simpler policies, so that a regression against them is
// noticed: shift caps hold where relaying without caps exceeds them, fewer
// requests are refused and queues are shorter than without relays, and a drain
// ends within its forecast.
TEST_CASE("steering keeps its bounds in a failure and a drain")
{
  for (const bool measurementsStop : { false, true }) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const auto run = [&](SteeringPolicy aPolicy) {
        return RunSteeringSimulation({ aPolicy, seed, measurementsStop });
      };
      const SimulationResult steered = run(SteeringPolicy::Peridotsail);
      const SimulationResult uncapped = run(SteeringPolicy::NoCaps);
      const SimulationResult nearest = run(SteeringPolicy::NearestOnly);
      const SimulationResult leastLoaded = run(SteeringPolicy::LeastLoaded);
      INFO("seed " << seed << " measurements stop " << measurementsStop);
      CHECK(steered.maxCapSeconds_ <= 1);
      CHECK(uncapped.maxCapSeconds_ > 1);
      CHECK(leastLoaded.maxCapSeconds_ > 10);
      CHECK(steered.refused_ * 100 < nearest.refused_);
      CHECK(steered.refused_ * 10 < leastLoaded.refused_);
      CHECK(steered.maxQueueRatio_ < nearest.maxQueueRatio_);
      CHECK(steered.p99Ms_ < nearest.p99Ms_);
      CHECK(steered.p99Ms_ < leastLoaded.p99Ms_);
      CHECK(steered.minDrainHeadroom_ >= 0);
      CHECK(steered.drainSeconds_ > nearest.drainSeconds_);
      CHECK(steered.drainSeconds_ <= steered.forecastSeconds_);
    }
  }
}
