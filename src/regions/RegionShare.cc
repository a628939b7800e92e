#include "regions/RegionShare.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// The weight halves for each such fraction of the target that the round trip
// takes.
constexpr double kHalvingFraction = 0.07;
// Some objects are always routed to other regions, so that the hosts know the
// servers there if their own region loses its servers.
constexpr double kMinWeight = 0.05;
// Regions are near up to this fraction of the target. A warm object saves more
// time than a shorter round trip adds.
constexpr double kNearFraction = 0.1;

}

double
LatencyWeight(Duration aRoundTrip, Duration aTarget)
{
  if (aTarget <= Duration::zero()) {
    return kMinWeight;
  }
  const double fraction = ToSeconds(aRoundTrip) / ToSeconds(aTarget);
  return std::clamp(std::exp2(-fraction / kHalvingFraction), kMinWeight, 1.0);
}

bool
IsNear(Duration aRoundTrip, Duration aTarget)
{
  return ToSeconds(aRoundTrip) <= ToSeconds(aTarget) * kNearFraction;
}

double
RemoteSlotWeight(const RegionCapacity& aCapacity,
                 const RegionShareOptions& aOptions)
{
  const double remote = aCapacity.allSlots_ - aCapacity.localSlots_;
  if (aCapacity.localSlots_ <= 0 || remote <= 0) {
    return 1;
  }
  const double slotFraction = aCapacity.localSlots_ / aCapacity.allSlots_;
  const double callerFraction = 1.0 / static_cast<double>(aCapacity.regions_);
  const double kept = slotFraction / callerFraction * aOptions.localPreference_;
  if (kept >= 1) {
    return aOptions.minRemoteWeight_;
  }
  // The weight at which this fraction of the objects stays in the region.
  const double weight = aCapacity.localSlots_ * (1 - kept) / (kept * remote);
  return std::clamp(weight, aOptions.minRemoteWeight_, 1.0);
}

}
