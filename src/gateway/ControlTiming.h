#pragma once

// Relates the timing of a ControlLoop to the bound within which a change in the
// store must take effect at each host.

#include "gateway/ControlLoop.h"

namespace peridotsail {

// Returns the longest time after which a host learns of a change if the store
// responds and two neighbours in a row do not. aPollTimeout is the time after
// which a poll of a neighbour fails, in addition to its wait.
Duration
LongestNotice(const ControlOptions& aOptions, Duration aPollTimeout);

// Shortens the waits of aOptions if LongestNotice exceeds aBound, to a tenth at
// most: a bound below the latencies of the network cannot be met.
void
FitToBound(ControlOptions& aOptions, Duration aPollTimeout, Duration aBound);

}
