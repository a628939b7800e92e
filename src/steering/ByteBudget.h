#pragma once

// A limit that the hosts of a region hold together, as far as this host may use
// it. ShareBucket is the fixed share; an adapter over the shared budget of the
// budget slice adds loans between hosts.

#include "base/BootClock.h"

namespace peridotsail {

// The limits of one configuration version for all hosts of a region together.
struct ShareLimits
{
  // Tokens per second.
  double rate_ = 0;
  // Tokens that may be taken at once.
  double burst_ = 0;
  // Host slots of the region; each has an equal share.
  int slots_ = 1;
};

class ByteBudget
{
public:
  virtual ~ByteBudget() = default;

  // A configuration version came into force on this host.
  virtual void SetLimits(const ShareLimits& aLimits, TimePoint aNow) = 0;
  // Takes up to aTokens and returns how many. They count as used.
  virtual double TakeUpTo(double aTokens, TimePoint aNow) = 0;
  // Whether this host holds a share now.
  virtual bool Valid(TimePoint aNow) const = 0;
};

}
