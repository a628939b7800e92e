#pragma once

// How long a host may act on a view of the fleet that the store has not
// confirmed since. Until then two hosts may disagree about what is whose, so a
// host that joins, or takes something over, waits until a former holder has
// stopped: until it says so, or until its view must be too old.

#include "base/BootClock.h"

namespace peridotsail {

// For tokens of a customer's allowance. Must be shorter than the lease of a
// registration.
constexpr Duration kMaxAllowanceViewAge = std::chrono::milliseconds(3500);

// For requests to cold backend servers. Must be shorter than the lease of a
// registration.
constexpr Duration kMaxColdStartViewAge = std::chrono::milliseconds(1800);

}
