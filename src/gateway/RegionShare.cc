#include "gateway/RegionShare.h"

#include <algorithm>

namespace peridotsail {

double
RemoteSlotWeight(const RegionRoom& aRoom, const RegionShareOptions& aOptions)
{
  const double remote = aRoom.allSlots_ - aRoom.localSlots_;
  if (aRoom.localSlots_ <= 0 || remote <= 0) {
    return 1;
  }
  const double partOfSlots = aRoom.localSlots_ / aRoom.allSlots_;
  const double partOfCallers = 1.0 / static_cast<double>(aRoom.regions_);
  const double kept = partOfSlots / partOfCallers * aOptions.homePreference_;
  if (kept >= 1) {
    return aOptions.leastWeight_;
  }
  // The weight at which this part of the objects stays.
  const double weight = aRoom.localSlots_ * (1 - kept) / (kept * remote);
  return std::clamp(weight, aOptions.leastWeight_, 1.0);
}

}
