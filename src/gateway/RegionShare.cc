#include "gateway/RegionShare.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// The weight halves with each such part of the target that the way takes.
constexpr double kHalvingPart = 0.07;
// Some objects go elsewhere whatever the way, so that the hosts know the
// servers there when their region loses its own.
constexpr double kLeastWeight = 0.05;

}

double
LatencyWeight(Duration aWay, Duration aTarget)
{
  if (aTarget <= Duration::zero()) {
    return kLeastWeight;
  }
  const double part = ToSeconds(aWay) / ToSeconds(aTarget);
  return std::clamp(std::exp2(-part / kHalvingPart), kLeastWeight, 1.0);
}

double
RemoteSlotWeight(const RegionCapacity& aRoom,
                 const RegionShareOptions& aOptions)
{
  const double remote = aRoom.allSlots_ - aRoom.localSlots_;
  if (aRoom.localSlots_ <= 0 || remote <= 0) {
    return 1;
  }
  const double partOfSlots = aRoom.localSlots_ / aRoom.allSlots_;
  const double partOfCallers = 1.0 / static_cast<double>(aRoom.regions_);
  const double kept = partOfSlots / partOfCallers * aOptions.homePreference_;
  if (kept >= 1) {
    return aOptions.minRemoteWeight_;
  }
  // The weight at which this part of the objects stays.
  const double weight = aRoom.localSlots_ * (1 - kept) / (kept * remote);
  return std::clamp(weight, aOptions.minRemoteWeight_, 1.0);
}

}
