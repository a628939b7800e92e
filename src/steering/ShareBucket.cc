#include "steering/ShareBucket.h"

#include <algorithm>

namespace peridotsail {

void
ShareBucket::Adopt(const ShareLimits& aLimits, TimePoint aNow)
{
  Refill(aNow);
  const double slots = std::max(1, aLimits.slots_);
  const Version next{ aLimits.rate_ / slots, aLimits.burst_ / slots };
  if (!versions_.empty()) {
    versions_.back().replaced_ = aNow;
  }
  versions_.push_back(next);
  level_ = std::min(level_, Cap(aNow));
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
  refilled_ = std::max(refilled_, aNow);
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
ShareBucket::TakeAlways(double aTokens, TimePoint aNow)
{
  Refill(aNow);
  level_ = std::max(level_ - aTokens, -Cap(aNow));
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
    if (version.replaced_ == TimePoint::max() ||
        aNow < version.replaced_ + kRaiseDelay) {
      rate = std::min(rate, version.rate_);
    }
  }
  return rate;
}

double
ShareBucket::Cap(TimePoint aNow) const
{
  double cap = versions_.empty() ? 0 : versions_.back().cap_;
  for (const Version& version : versions_) {
    if (version.replaced_ == TimePoint::max() ||
        aNow < version.replaced_ + kRaiseDelay) {
      cap = std::min(cap, version.cap_);
    }
  }
  return cap;
}

void
ShareBucket::Refill(TimePoint aNow)
{
  // Steps over the ends of old versions, so that no refill is counted at a
  // rate that was not in force yet.
  while (refilled_ < aNow) {
    while (versions_.size() > 1 &&
           versions_.front().replaced_ + kRaiseDelay <= refilled_) {
      versions_.pop_front();
    }
    TimePoint step = aNow;
    for (const Version& version : versions_) {
      if (version.replaced_ != TimePoint::max() &&
          version.replaced_ + kRaiseDelay > refilled_) {
        step = std::min(step, version.replaced_ + kRaiseDelay);
      }
    }
    level_ += Rate(refilled_) * ToSeconds(step - refilled_);
    level_ = std::min(level_, Cap(refilled_));
    refilled_ = step;
  }
}

}
