#pragma once

// A token bucket with fractional tokens. Pure: the caller passes the time.
//
//   TokenBucket bucket(now);
//   bucket.SetLimits(50, 100, now);   // 50 tokens a second, at most 100
//   if (bucket.TryTake(1, now)) { ... }
//
// A bucket starts empty. Time never runs backwards inside a bucket: an earlier
// time than the last one counts as the last one.

#include "base/BootClock.h"

namespace peridotsail {

class TokenBucket
{
public:
  explicit TokenBucket(TimePoint aNow);

  // Refills up to aNow with the old limits, then applies the new ones. Tokens
  // above the new cap are lost.
  void SetLimits(double aRate, double aCapacity, TimePoint aNow);
  // Refills up to aNow.
  void Advance(TimePoint aNow);
  // Takes all of the tokens or none.
  bool TryTake(double aTokens, TimePoint aNow);
  // Takes up to aTokens and returns how many.
  double TakeUpTo(double aTokens, TimePoint aNow);
  // Adds tokens; those above the cap are lost.
  void AddTokens(double aTokens, TimePoint aNow);
  // The wait until aTokens are there by refill alone; Duration::max() when the
  // limits never allow it.
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
