#pragma once

// Interface for this host's share of a rate limit that all hosts of a region
// enforce together. ShareBucket implements a fixed equal share. An adapter over
// SharedBudget (src/budget) can add loans between hosts.

#include "base/BootClock.h"

namespace peridotsail {

// The regional limits of one configuration version, for all hosts together.
struct ShareLimits
{
  // Tokens per second.
  double rate_ = 0;
  // Maximum number of tokens that can be taken at once.
  double burst_ = 0;
  // Number of host slots in the region. Each slot has an equal share.
  int slots_ = 1;
};

class ByteBudget
{
public:
  virtual ~ByteBudget() = default;

  // Applies the limits of a new configuration version.
  virtual void SetLimits(const ShareLimits& aLimits, TimePoint aNow) = 0;
  // Takes up to aTokens and returns the number of tokens taken.
  virtual double TakeUpTo(double aTokens, TimePoint aNow) = 0;
  // Returns whether this host currently holds a share.
  virtual bool Valid(TimePoint aNow) const = 0;
};

}
