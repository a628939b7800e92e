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
RegionAdmission::SetConfiguration(const Configuration& aConfiguration,
                                  TimePoint aNow)
{
  const RegionConfig* region = aConfiguration.FindRegion(ownRegion_);
  isConfigured_ = region != nullptr;
  draining_ = aConfiguration.IsDraining(DrainKind::Region, ownRegion_);
  hasCapacityLimit_ = isConfigured_ && region->capacityPerSecond_ > 0;
  if (hasCapacityLimit_) {
    const int slots = std::max(1, region->slots_);
    // At least one request per slot, so that every host can admit requests.
    const double burst = std::max<double>(
      slots, region->capacityPerSecond_ * options_.burstSeconds_);
    bucket_.SetLimits({ region->capacityPerSecond_, burst, slots }, aNow);
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
RegionAdmission::RecordLocalRequest(TimePoint aNow)
{
  if (hasCapacityLimit_) {
    bucket_.TakeWithDebt(1, aNow);
  }
}

std::optional<ErrorKind>
RegionAdmission::AdmitRelayed(int aFreeSlots, TimePoint aNow)
{
  if (!isConfigured_ || draining_ || aFreeSlots <= options_.reservedSlots_) {
    return ErrorKind::RegionFull;
  }
  if (hasCapacityLimit_ && !bucket_.TryTake(1, aNow)) {
    return ErrorKind::RegionFull;
  }
  return std::nullopt;
}

double
RegionAdmission::Headroom(TimePoint aNow)
{
  if (!isConfigured_ || draining_) {
    return 0;
  }
  if (!hasCapacityLimit_) {
    return std::numeric_limits<double>::infinity();
  }
  return bucket_.Valid(aNow) ? std::max(0.0, bucket_.Level(aNow)) : 0;
}

}
