#include "budget/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

TokenBucket::TokenBucket(TimePoint aNow)
  : updatedAt_(aNow)
{
}

void
TokenBucket::Advance(TimePoint aNow)
{
  if (aNow <= updatedAt_) {
    return;
  }
  level_ = std::min(capacity_, level_ + rate_ * ToSeconds(aNow - updatedAt_));
  updatedAt_ = aNow;
}

void
TokenBucket::SetLimits(double aRate, double aCapacity, TimePoint aNow)
{
  Advance(aNow);
  rate_ = std::max(0.0, aRate);
  capacity_ = std::max(0.0, aCapacity);
  level_ = std::min(level_, capacity_);
}

bool
TokenBucket::TryTake(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  if (aTokens < 0 || level_ < aTokens) {
    return false;
  }
  level_ -= aTokens;
  return true;
}

double
TokenBucket::TakeUpTo(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  const double taken = std::clamp(aTokens, 0.0, level_);
  level_ -= taken;
  return taken;
}

void
TokenBucket::AddTokens(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  level_ = std::min(capacity_, level_ + std::max(0.0, aTokens));
}

Duration
TokenBucket::WaitFor(double aTokens) const
{
  if (level_ >= aTokens) {
    return Duration::zero();
  }
  if (rate_ <= 0 || aTokens > capacity_) {
    return Duration::max();
  }
  // One day exceeds any useful wait and avoids overflow in the conversion.
  constexpr double kMaxSeconds = 86'400;
  return FromSeconds(
    std::min(kMaxSeconds, std::ceil((aTokens - level_) / rate_ * 1e9) / 1e9));
}

}
