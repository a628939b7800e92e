#pragma once

// Deterministic simulation of three regions with seven entry hosts. Models
// callers with cached lookup answers, pools with slots and queues, cold caches,
// network latency between regions and delayed measurements. One region loses
// three quarters of its capacity for a while and is drained later. Used to
// compare steering policies.

#include <cstdint>
#include <string_view>

namespace peridotsail::testing {

enum class SteeringPolicy
{
  // HostSteering with all its components.
  Peridotsail,
  // HostSteering without shift caps.
  NoCaps,
  // Always the nearest region that is not drained.
  NearestOnly,
  // The region with the lowest measured utilization, both in lookups and for
  // each request.
  LeastLoaded,
};

struct SimulationOptions
{
  SteeringPolicy policy_ = SteeringPolicy::Peridotsail;
  std::uint64_t seed_ = 1;
  // No measurements arrive in the second half of the failure.
  bool measurementsStop_ = false;
};

struct SimulationResult
{
  int requests_ = 0;
  int refused_ = 0;
  int relayed_ = 0;
  double medianMs_ = 0;
  double p99Ms_ = 0;
  // Maximum burst of any region pair in any window, in seconds of its cap. The
  // limit is 1.
  double maxCapSeconds_ = 0;
  // Maximum queue length of any region, relative to its slots.
  double maxQueueRatio_ = 0;
  // Minimum fraction of free slots in the receiving regions during the drain.
  double minDrainHeadroom_ = 1;
  // Time from the start of the drain to the last request that arrived in the
  // region.
  double drainSeconds_ = 0;
  // The value forecast by the drain plan. 0 for policies without a plan.
  double forecastSeconds_ = 0;
};

SimulationResult
RunSteeringSimulation(const SimulationOptions& aOptions);

std::string_view
NameOf(SteeringPolicy aPolicy);

}
