#include "steering/ShareBucket.h"

#include <algorithm>

namespace peridotsail {

void
ShareBucket::SetLimits(const ShareLimits& aLimits, TimePoint aNow)
{
  Refill(aNow);
  const double slots = std::max(1, aLimits.slots_);
  const Version next{ aLimits.rate_ / slots, aLimits.burst_ / slots };
  if (!versions_.empty()) {
    versions_.back().replacedAt_ = aNow;
  }
  versions_.push_back(next);
  level_ = std::min(level_, Burst(aNow));
}

void
ShareBucket::SetSlot(std::uint64_t aEpoch,
                     TimePoint aValidUntil,
                     TimePoint aNow)
{
  validUntil_ = aValidUntil;
  if (aEpoch == epoch_) {
    return;
  }
  epoch_ = aEpoch;
  level_ = 0;
  refilledAt_ = std::max(refilledAt_, aNow);
}

bool
ShareBucket::TryTake(double aTokens, TimePoint aNow)
{
  if (Level(aNow) < aTokens) {
    return false;
  }
  level_ -= aTokens;
  return true;
}

double
ShareBucket::TakeUpTo(double aTokens, TimePoint aNow)
{
  const double taken = std::clamp(aTokens, 0.0, std::max(0.0, Level(aNow)));
  level_ -= taken;
  return taken;
}

void
ShareBucket::TakeWithDebt(double aTokens, TimePoint aNow)
{
  Refill(aNow);
  level_ = std::max(level_ - aTokens, -Burst(aNow));
}

bool
ShareBucket::Valid(TimePoint aNow) const
{
  return aNow < validUntil_;
}

double
ShareBucket::Level(TimePoint aNow)
{
  Refill(aNow);
  return Valid(aNow) ? level_ : 0;
}

double
ShareBucket::Rate(TimePoint aNow) const
{
  double rate = versions_.empty() ? 0 : versions_.back().rate_;
  for (const Version& version : versions_) {
    if (version.replacedAt_ == TimePoint::max() ||
        aNow < version.replacedAt_ + kRaiseDelay) {
      rate = std::min(rate, version.rate_);
    }
  }
  return rate;
}

double
ShareBucket::Burst(TimePoint aNow) const
{
  double burst = versions_.empty() ? 0 : versions_.back().burst_;
  for (const Version& version : versions_) {
    if (version.replacedAt_ == TimePoint::max() ||
        aNow < version.replacedAt_ + kRaiseDelay) {
      burst = std::min(burst, version.burst_);
    }
  }
  return burst;
}

void
ShareBucket::Refill(TimePoint aNow)
{
  // Refills piecewise, split at the times at which old versions expire, so that
  // each interval uses the rate that was in force.
  while (refilledAt_ < aNow) {
    while (versions_.size() > 1 &&
           versions_.front().replacedAt_ + kRaiseDelay <= refilledAt_) {
      versions_.pop_front();
    }
    TimePoint step = aNow;
    for (const Version& version : versions_) {
      if (version.replacedAt_ != TimePoint::max() &&
          version.replacedAt_ + kRaiseDelay > refilledAt_) {
        step = std::min(step, version.replacedAt_ + kRaiseDelay);
      }
    }
    level_ += Rate(refilledAt_) * ToSeconds(step - refilledAt_);
    level_ = std::min(level_, Burst(refilledAt_));
    refilledAt_ = step;
  }
}

}
