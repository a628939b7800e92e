#pragma once

// A seeded simulation of three regions with seven entry hosts: callers with
// cached look-up answers, pools with slots and queues, cold caches, relays with
// distance, and measurements that lag. One region loses three of four servers
// for a while; later it is drained. Compares ways of steering in one run.

#include <cstdint>
#include <string_view>

namespace peridotsail::testing {

enum class SteeringPolicy
{
  // The project's classes.
  Peridotsail,
  // The same without shift caps.
  NoCaps,
  // Always the nearest region that is not drained.
  NearestOnly,
  // The region with the lowest last measured utilization, for look-ups and for
  // each request.
  LeastLoaded,
};

struct SimulationOptions
{
  SteeringPolicy policy_ = SteeringPolicy::Peridotsail;
  std::uint64_t seed_ = 1;
  // No measurement arrives in the second half of the failure.
  bool measurementsStop_ = false;
};

struct SimulationResult
{
  int requests_ = 0;
  int refused_ = 0;
  int relayed_ = 0;
  double medianMs_ = 0;
  double p99Ms_ = 0;
  // The worst window of any region pair, in seconds' worth of its cap; 1 is the
  // limit.
  double maxCapSeconds_ = 0;
  // The longest queue of any region, as a part of its slots.
  double maxQueueRatio_ = 0;
  // The lowest free part of the slots of the receiving regions in any second of
  // the drain.
  double minDrainHeadroom_ = 1;
  // From the drain's start to the last request that arrived in the region.
  double drainSeconds_ = 0;
  // What the plan forecast for the last such request; 0 without a plan.
  double forecastSeconds_ = 0;
};

SimulationResult
RunSteeringSimulation(const SimulationOptions& aOptions);

std::string_view
NameOf(SteeringPolicy aPolicy);

}
