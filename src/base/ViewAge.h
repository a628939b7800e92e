#pragma once

// How long a host may act on a view of the fleet that the store has not
// confirmed since. Until then two hosts may disagree about what is whose, so a
// host that joins, or takes something over, waits until a former holder has
// stopped: until it says so, or until its view must be too old.

#include "base/BootClock.h"

namespace peridotsail {

// The lease of a host's registration and the interval of its renewals; two
// consecutive renewals may fail before the lease expires.
constexpr Duration kRegistrationLease = std::chrono::milliseconds(4000);
constexpr Duration kRegistrationRenewal = std::chrono::milliseconds(1300);

// For tokens of a customer's allowance.
constexpr Duration kMaxAllowanceViewAge = std::chrono::milliseconds(3500);

// For requests to cold backend servers.
constexpr Duration kMaxColdStartViewAge = std::chrono::milliseconds(1800);

// A host that is cut off from the store may act on its view for this long after
// its registration has expired: its last renewal may have been one interval
// older than its view.
constexpr Duration kMaxActingAfterExpiry =
  kMaxAllowanceViewAge - (kRegistrationLease - kRegistrationRenewal);

static_assert(kMaxAllowanceViewAge < kRegistrationLease);
static_assert(kMaxColdStartViewAge < kRegistrationLease);

}
