#include "steering/RegionAdmission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridotsail {

RegionAdmission::RegionAdmission(std::string aOwnRegion,
                                 RegionAdmissionOptions aOptions)
  : ownRegion_(std::move(aOwnRegion))
  , options_(aOptions)
{
}

void
RegionAdmission::Adopt(const Configuration& aConfiguration, TimePoint aNow)
{
  const RegionConfig* region = aConfiguration.FindRegion(ownRegion_);
  known_ = region != nullptr;
  draining_ = aConfiguration.IsDraining(DrainKind::Region, ownRegion_);
  limited_ = known_ && region->capacityPerSecond_ > 0;
  if (limited_) {
    const int slots = std::max(1, region->slots_);
    // Each host can admit one request at least.
    const double burst = std::max<double>(
      slots, region->capacityPerSecond_ * options_.burstSeconds_);
    bucket_.Adopt({ region->capacityPerSecond_, burst, slots }, aNow);
  }
}

void
RegionAdmission::SetSlot(std::uint64_t aEpoch,
                         TimePoint aValidUntil,
                         TimePoint aNow)
{
  bucket_.SetSlot(aEpoch, aValidUntil, aNow);
}

void
RegionAdmission::NoteOwn(TimePoint aNow)
{
  if (limited_) {
    bucket_.TakeAlways(1, aNow);
  }
}

std::optional<ErrorKind>
RegionAdmission::AdmitRelayed(int aFreeSlots, TimePoint aNow)
{
  if (!known_ || draining_ || aFreeSlots <= options_.reservedSlots_) {
    return ErrorKind::RegionFull;
  }
  if (limited_ && !bucket_.TryTake(1, aNow)) {
    return ErrorKind::RegionFull;
  }
  return std::nullopt;
}

double
RegionAdmission::Headroom(TimePoint aNow)
{
  if (!known_ || draining_) {
    return 0;
  }
  if (!limited_) {
    return std::numeric_limits<double>::infinity();
  }
  return bucket_.Valid(aNow) ? std::max(0.0, bucket_.Level(aNow)) : 0;
}

}
