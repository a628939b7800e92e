#pragma once

// Decides how much of a region's work stays in the region. Performs no I/O.
//
// Work stays close to its callers as long as the region has capacity for it. A
// region with few servers for its callers, by design or because servers were
// evacuated or lost, routes a fraction of its objects to other regions. All
// hosts of the region compute the same fraction from the registrations.
//
// While there is capacity, network latency decides: where the round trip to
// other regions is short compared to the callers' latency target, more objects
// go to other regions, so that each server handles fewer objects and keeps them
// in its cache.
//
//   RegionShareOptions options;
//   options.minRemoteWeight_ = LatencyWeight(roundTrip, target);
//   const double weight =
//     RemoteSlotWeight({ localSlots, allSlots, regions }, options);

#include "base/BootClock.h"

#include <cstddef>
#include <map>
#include <string>

namespace peridotsail {

struct RegionCapacity
{
  // Slots of the usable backend servers of a service.
  double localSlots_ = 0;
  double allSlots_ = 0;
  // Number of regions with callers; callers are assumed to be spread evenly
  // over them.
  std::size_t regions_ = 1;
  std::map<std::string, double> slotsByRegion_{};
  // The number of those servers.
  int servers_ = 0;
};

struct RegionShareOptions
{
  // The weight of a slot in another region while this region has spare
  // capacity.
  double minRemoteWeight_ = 0.125;
  // Factor by which a region keeps more work than its share of all slots. The
  // round trip to another region adds latency, so slightly higher load in the
  // local region is preferable.
  double localPreference_ = 1.2;
};

// The weight of a slot in another region given the round-trip time to it and
// the latency target of the callers; between 0.05 and 1.
double
LatencyWeight(Duration aRoundTrip, Duration aTarget);

// Returns whether the round trip to other regions is so short compared to the
// target that objects are shared by all regions to keep them warm. Otherwise
// work leaves its region only for lack of capacity, see RegionPlanner.h.
bool
IsNear(Duration aRoundTrip, Duration aTarget);

// The weight of a slot in another region relative to a slot in this region.
double
RemoteSlotWeight(const RegionCapacity& aCapacity,
                 const RegionShareOptions& aOptions = {});

}
