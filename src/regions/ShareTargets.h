#pragma once

// The division of a service's work between the regions that the planner aims
// at, see RegionPlanner.h. Performs no I/O.
//
//   ShareMatrix target = TargetShares(loads, capacity, options);

#include "regions/RegionPlan.h"

#include <vector>

namespace peridotsail {

// Round-trip times between regions, [from][to].
using RoundTripMatrix = std::vector<std::vector<Duration>>;

struct ShareTargetOptions
{
  // The fraction of a region's slots up to which it keeps all work, if it
  // cannot be computed from the service.
  double targetUtilization_ = 0.7;
  // Bounds on the computed value: servers of a region are not loaded evenly,
  // and demand is measured with an error.
  double minTargetUtilization_ = 0.5;
  double maxTargetUtilization_ = 0.75;
  // While the regions exceed the target, work leaves a region only if it is
  // busier than the receiver by this much for each full target latency that the
  // round trip takes.
  double distanceMargin_ = 0.25;
  // The round trip at which a region counts as half as attractive.
  Duration halfWeightRoundTrip_ = std::chrono::milliseconds(50);
};

struct ServiceCapacity
{
  // By region.
  std::vector<double> slots_;
  RoundTripMatrix roundTrips_;
  // The shortest target latency of the service's callers; zero: not known.
  Duration targetLatency_{};
  // The mean slots of a server, and the mean time of a request in a slot; zero:
  // not known.
  double slotsPerServer_ = 0;
  Duration serviceTime_{};
};

// The fraction of a region's slots up to which it keeps all work: where the
// mean wait for a slot equals the round trip. Beyond it, a request is answered
// sooner in a region with free slots.
double
TargetUtilization(const ServiceCapacity& aCapacity,
                  const ShareTargetOptions& aOptions = {});

// The division of the work without limits on its change. If the shares in use
// are given, flows stay with their receivers as long as these have headroom,
// and none leads to a region that exports now.
ShareMatrix
TargetShares(const std::vector<RegionLoad>& aLoads,
             const ServiceCapacity& aCapacity,
             const ShareTargetOptions& aOptions = {},
             const ShareMatrix& aCurrent = {});

// The division while demand is not known: callers spread evenly over the
// regions that use the target fraction of all slots.
ShareMatrix
SharesBySlots(const std::vector<double>& aSlots,
              const ShareTargetOptions& aOptions = {});

}
