#pragma once

// How much of a region's work stays in the region. Pure; needs no network.
//
// Work stays near its callers as long as the region has room for it. A region
// with few servers for its callers, because it was built so or because servers
// were evacuated or lost, sends a part of its objects to the others: all hosts
// of the region compute the same part from the registrations.
//
// While there is room, the way decides: where it is short against the time in
// which callers want their answers, more objects go to other regions, so that
// each server has fewer of them and keeps them warm.
//
//   RegionShareOptions options;
//   options.minRemoteWeight_ = LatencyWeight(way, target);
//   const double weight =
//     RemoteSlotWeight({ localSlots, allSlots, regions }, options);

#include "base/BootClock.h"

#include <cstddef>

namespace peridotsail {

struct RegionCapacity
{
  // Slots of usable backend servers of a service.
  double localSlots_ = 0;
  double allSlots_ = 0;
  // Regions with callers; each is taken to have an equal part of them.
  std::size_t regions_ = 1;
};

struct RegionShareOptions
{
  // The weight of a slot in another region while there is room in this one.
  double minRemoteWeight_ = 0.125;
  // What a region keeps against its part of all slots: the way to another
  // region costs latency, so that a little more load at home is better.
  double homePreference_ = 1.2;
};

// The weight that the way to another region (one round trip) leaves to a slot
// there, when callers want their answers within aTarget; from 1 down to 0.05.
double
LatencyWeight(Duration aWay, Duration aTarget);

// The weight of a slot in another region against one in this region.
double
RemoteSlotWeight(const RegionCapacity& aRoom,
                 const RegionShareOptions& aOptions = {});

}
