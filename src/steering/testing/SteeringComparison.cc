// Prints a comparison of steering policies, all with the same seeds.

#include "steering/testing/SteeringSimulation.h"

#include <cstdio>
#include <string>

using namespace peridotsail::testing;

int
main()
{
  std::printf("%-13s %-5s %4s %8s %8s %8s %7s %7s %7s %8s %8s %8s %9s\n",
              "policy",
              "stop",
              "seed",
              "requests",
              "refused",
              "relayed",
              "p50ms",
              "p99ms",
              "cap",
              "queue",
              "headroom",
              "drain_s",
              "forecast");
  for (const bool measurementsStop : { false, true }) {
    for (const SteeringPolicy policy : { SteeringPolicy::Peridotsail,
                                         SteeringPolicy::NoCaps,
                                         SteeringPolicy::NearestOnly,
                                         SteeringPolicy::LeastLoaded }) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const SimulationResult result =
          RunSteeringSimulation({ policy, seed, measurementsStop });
        std::printf("%-13s %-5s %4d %8d %8d %8d %7.0f %7.0f %7.2f %8.2f %8.2f "
                    "%8.1f %9.1f\n",
                    std::string(NameOf(policy)).c_str(),
                    measurementsStop ? "yes" : "no",
                    static_cast<int>(seed),
                    result.requests_,
                    result.refused_,
                    result.relayed_,
                    result.medianMs_,
                    result.p99Ms_,
                    result.maxCapSeconds_,
                    result.maxQueueRatio_,
                    result.minDrainHeadroom_,
                    result.drainSeconds_,
                    result.forecastSeconds_);
      }
    }
  }
  return 0;
}
