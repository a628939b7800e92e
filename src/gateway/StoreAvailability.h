#pragma once

// Concludes whether the store was out, so that registrations of backend servers
// may have expired although the servers still run. Such servers register again
// soon after the store's recovery.
//
// The age of the view is no evidence: a neighbour that does not respond makes
// the view as old as an outage does. Evidence is a failed call of this host, a
// long time without any response of the store, or the report of a neighbour.
//
// Performs no I/O.

#include "base/BootClock.h"
#include "base/ViewAge.h"

#include <optional>

namespace peridotsail {

struct StoreAvailabilityOptions
{
  // This host calls the store at least this often, to renew its lease.
  Duration callInterval_ = kRegistrationRenewal;
  // A response may be later than callInterval_ by this much.
  Duration responseMargin_ = std::chrono::milliseconds(500);
  // Backend servers whose registrations expired in an outage register again
  // within this time of the store's recovery.
  Duration reregistrationTime_ = std::chrono::milliseconds(2000);
};

class StoreAvailability
{
public:
  explicit StoreAvailability(StoreAvailabilityOptions aOptions);

  // A read that was sent at aSentAt failed. Returns whether the store becomes
  // unreachable.
  bool Failed(TimePoint aSentAt, TimePoint aNow);
  // The store responded to any call of this host. Returns whether it becomes
  // reachable.
  bool Responded(TimePoint aNow);
  // The store was restored from an older copy: what was written since the copy
  // is gone, as if it had expired in an outage that ends now.
  void Restored(TimePoint aNow);
  // The store confirmed a neighbour's view at aConfirmedAt; aRecoveredAgo is
  // set if the neighbour knows of a recent recovery. Returns whether the store
  // becomes reachable.
  bool RespondedToNeighbour(TimePoint aConfirmedAt,
                            std::optional<Duration> aRecoveredAgo,
                            TimePoint aNow);

  // Returns the time until which a backend server is used whose registration
  // was found to be gone, or nullopt if it is removed at once.
  std::optional<TimePoint> KeepUntil(TimePoint aNow) const;
  bool IsReachable() const { return reachable_; }
  // The recovery from an outage that is certain, for neighbours;
  // TimePoint::min() if there was none.
  TimePoint RecoveredAt() const { return recoveredAt_; }
  // The time between the last two responses to any host that is known of.
  Duration LastSilence() const { return lastSilence_; }

private:
  void RecordResponse(TimePoint aAt);

  StoreAvailabilityOptions options_;
  bool reachable_ = true;
  TimePoint failedAt_ = TimePoint::min();
  TimePoint respondedAt_ = TimePoint::min();
  Duration lastSilence_{};
  TimePoint recoveredAt_ = TimePoint::min();
  // The end of a long time without a response. This host may have been
  // suspended or cut off in that time, so neighbours are not told.
  TimePoint suspectedRecoveryAt_ = TimePoint::min();
};

}
