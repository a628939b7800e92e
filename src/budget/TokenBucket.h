#pragma once

// A token bucket with fractional tokens. The caller passes the time.
//
//   TokenBucket bucket(now);
//   bucket.SetLimits(50, 100, now);   // 50 tokens per second, at most 100
//   if (bucket.TryTake(1, now)) { ... }
//
// The bucket is initially empty. A time before the latest time that was passed
// is treated as that time.

#include "base/BootClock.h"

namespace peridotsail {

class TokenBucket
{
public:
  explicit TokenBucket(TimePoint aNow);

  // Refills up to aNow with the old limits, then applies the new ones. Tokens
  // above the new capacity are discarded.
  void SetLimits(double aRate, double aCapacity, TimePoint aNow);
  // Refills up to aNow.
  void Advance(TimePoint aNow);
  // Takes all aTokens or none.
  bool TryTake(double aTokens, TimePoint aNow);
  // Takes up to aTokens and returns the number taken.
  double TakeUpTo(double aTokens, TimePoint aNow);
  // Adds tokens. Tokens above the capacity are discarded.
  void AddTokens(double aTokens, TimePoint aNow);
  // Returns the time until refill provides aTokens, or Duration::max() if the
  // limits never permit it.
  Duration WaitFor(double aTokens) const;

  double Level() const { return level_; }
  double Rate() const { return rate_; }
  double Capacity() const { return capacity_; }

private:
  double level_ = 0;
  double rate_ = 0;
  double capacity_ = 0;
  TimePoint updatedAt_;
};

}
