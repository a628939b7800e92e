#pragma once

// One host's fixed share of a limit that the hosts of a region enforce
// together: a token bucket with 1/N of the rate and burst, where N is the
// number of host slots in the region. Performs no I/O and reads no clock.
//
//   ShareBucket bucket;
//   bucket.SetLimits({ 900, 900, 3 }, now);
//   bucket.SetSlot(epoch, validUntil, now);
//   if (bucket.TryTake(1, now)) { ... }
//
// Invariant: the hosts of a region together take at most rate * t + burst
// tokens in any window of length t. To maintain it, the bucket of a new slot
// holder starts empty, a lower limit takes effect immediately, and a higher
// limit takes effect after kRaiseDelay, when no host can still use an older
// configuration version.

#include "base/BootClock.h"
#include "steering/ByteBudget.h"

#include <cstdint>
#include <deque>

namespace peridotsail {

class ShareBucket : public ByteBudget
{
public:
  // Maximum time until all hosts have applied a configuration version.
  static constexpr Duration kRaiseDelay = std::chrono::seconds(10);

  void SetLimits(const ShareLimits& aLimits, TimePoint aNow) override;
  // Sets the lease of this host's slot. A new epoch starts with an empty
  // bucket. No tokens can be taken at or after aValidUntil, even if the host
  // was paused and has not yet noticed that its lease expired.
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);

  // Takes all aTokens or none.
  bool TryTake(double aTokens, TimePoint aNow);
  double TakeUpTo(double aTokens, TimePoint aNow) override;
  // Takes the tokens unconditionally. The level can become negative, down to
  // minus one burst.
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
    // Time at which the next version replaced this one.
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
