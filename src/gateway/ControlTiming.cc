#include "gateway/ControlTiming.h"

#include <algorithm>

namespace peridotsail {

namespace {

// A call of the store from the farthest region, and applying the changes.
constexpr Duration kStoreLatency = std::chrono::milliseconds(150);
// Shorter waits would make hosts call the store and their neighbours without
// pause.
constexpr double kMinTimingScale = 0.1;

// The part of LongestNotice that does not depend on the waits.
Duration
FixedNotice(const ControlOptions& aOptions, Duration aPollTimeout)
{
  return 2 * aPollTimeout + aOptions.shortWatchWait_ + kStoreLatency;
}

}

Duration
LongestNotice(const ControlOptions& aOptions, Duration aPollTimeout)
{
  return aOptions.minWatchInterval_ + aOptions.neighbourWait_ +
         aOptions.fallbackWait_ + FixedNotice(aOptions, aPollTimeout);
}

void
FitToBound(ControlOptions& aOptions, Duration aPollTimeout, Duration aBound)
{
  const Duration fixed = FixedNotice(aOptions, aPollTimeout);
  const Duration waits = LongestNotice(aOptions, aPollTimeout) - fixed;
  const double scale =
    std::max(kMinTimingScale, ToSeconds(aBound - fixed) / ToSeconds(waits));
  if (scale >= 1) {
    return;
  }
  for (Duration* wait : { &aOptions.minWatchInterval_,
                          &aOptions.watchWait_,
                          &aOptions.neighbourWait_,
                          &aOptions.fallbackWait_,
                          &aOptions.shortWatchAge_,
                          &aOptions.maxNeighbourAge_ }) {
    *wait = FromSeconds(scale * ToSeconds(*wait));
  }
}

}
