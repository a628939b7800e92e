#pragma once

// One host's fixed share of a limit that a region's hosts hold together: a
// token bucket with 1/N of the rate and of the burst, N being the region's host
// slots. Pure.
//
//   ShareBucket bucket;
//   bucket.SetLimits({ 900, 900, 3 }, now);
//   bucket.SetSlot(epoch, validUntil, now);
//   if (bucket.TryTake(1, now)) { ... }
//
// Invariant: the hosts of a region together take at most rate * t + burst
// tokens in any window of length t. A new holder starts empty; a lower limit
// holds at once; a higher one only after kRaiseDelay, when no host can still
// use an older configuration version.

#include "base/BootClock.h"
#include "steering/ByteBudget.h"

#include <cstdint>
#include <deque>

namespace peridotsail {

class ShareBucket : public ByteBudget
{
public:
  // The time in which a configuration version reaches all hosts.
  static constexpr Duration kRaiseDelay = std::chrono::seconds(10);

  void SetLimits(const ShareLimits& aLimits, TimePoint aNow) override;
  // The slot that this host holds. A new epoch starts empty; nothing is taken
  // from validUntil on, also when the host was paused and finds that out late.
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);

  // Takes all of the tokens or none.
  bool TryTake(double aTokens, TimePoint aNow);
  double TakeUpTo(double aTokens, TimePoint aNow) override;
  // Takes the tokens even when they are missing, down to a debt of one cap.
  void TakeWithDebt(double aTokens, TimePoint aNow);
  bool Valid(TimePoint aNow) const override;
  double Level(TimePoint aNow);
  double Rate(TimePoint aNow) const;
  double Burst(TimePoint aNow) const;

private:
  struct Version
  {
    double rate_ = 0;
    double burst_ = 0;
    // When the next version replaced it.
    TimePoint replacedAt_ = TimePoint::max();
  };

  void Refill(TimePoint aNow);

  std::deque<Version> versions_;
  std::uint64_t epoch_ = 0;
  TimePoint validUntil_{};
  double level_ = 0;
  TimePoint refilledAt_{};
};

}
