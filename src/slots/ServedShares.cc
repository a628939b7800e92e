#include "slots/ServedShares.h"

#include <cmath>

namespace peridotsail {

namespace {

// A class with a smaller count is forgotten when there are too many classes.
constexpr double kIdleCount = 0.1;

}

void
DecayedCount::Add(double aAmount, TimePoint aNow, Duration aWindow)
{
  value_ = Value(aNow, aWindow) + aAmount;
  at_ = aNow;
}

double
DecayedCount::Value(TimePoint aNow, Duration aWindow) const
{
  if (at_ == TimePoint::min()) {
    return 0;
  }
  return value_ * std::exp(-ToSeconds(aNow - at_) / ToSeconds(aWindow));
}

ServedShares::ServedShares(ServedSharesOptions aOptions)
  : options_(aOptions)
{
}

void
ServedShares::Record(std::uint64_t aClass, bool aGranted, TimePoint aNow)
{
  if (classes_.size() >= options_.maxClasses_ && classes_.count(aClass) == 0) {
    RemoveIdle(aNow);
  }
  const double granted = aGranted ? 1 : 0;
  total_.granted_.Add(granted, aNow, options_.window_);
  total_.all_.Add(1, aNow, options_.window_);
  if (classes_.size() >= options_.maxClasses_ && classes_.count(aClass) == 0) {
    return;
  }
  Counts& counts = classes_[aClass];
  counts.granted_.Add(granted, aNow, options_.window_);
  counts.all_.Add(1, aNow, options_.window_);
}

void
ServedShares::RemoveIdle(TimePoint aNow)
{
  for (auto it = classes_.begin(); it != classes_.end();) {
    const bool idle =
      it->second.all_.Value(aNow, options_.window_) < kIdleCount;
    it = idle ? classes_.erase(it) : std::next(it);
  }
}

double
ServedShares::ServedFraction(const Counts& aCounts, TimePoint aNow) const
{
  const double granted = aCounts.granted_.Value(aNow, options_.window_);
  const double all = aCounts.all_.Value(aNow, options_.window_);
  return (granted + 1) / (all + 1);
}

bool
ServedShares::IsBelowFloor(std::uint64_t aClass, TimePoint aNow) const
{
  const auto found = classes_.find(aClass);
  return found != classes_.end() &&
         ServedFraction(found->second, aNow) <
           options_.floor_ * ServedFraction(total_, aNow);
}

}
