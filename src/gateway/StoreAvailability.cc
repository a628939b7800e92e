#include "gateway/StoreAvailability.h"

#include <algorithm>

namespace peridotsail {

StoreAvailability::StoreAvailability(StoreAvailabilityOptions aOptions)
  : options_(aOptions)
{
}

bool
StoreAvailability::Failed(TimePoint aSentAt, TimePoint aNow)
{
  failedAt_ = aNow;
  // A later call may have succeeded in the meantime.
  if (!reachable_ || aSentAt < respondedAt_) {
    return false;
  }
  reachable_ = false;
  return true;
}

bool
StoreAvailability::Responded(TimePoint aNow)
{
  const bool recovered = !reachable_;
  reachable_ = true;
  RecordResponse(aNow);
  if (recovered) {
    recoveredAt_ = aNow;
  } else if (lastSilence_ > options_.callInterval_ + options_.responseMargin_) {
    suspectedRecoveryAt_ = aNow;
  }
  return recovered;
}

void
StoreAvailability::Restored(TimePoint aNow)
{
  recoveredAt_ = aNow;
}

bool
StoreAvailability::RespondedToNeighbour(TimePoint aConfirmedAt,
                                        std::optional<Duration> aRecoveredAgo,
                                        TimePoint aNow)
{
  // The store may have failed for all hosts after it confirmed that view.
  if (aConfirmedAt <= failedAt_) {
    return false;
  }
  const bool recovered = !reachable_;
  reachable_ = true;
  if (aConfirmedAt > respondedAt_) {
    RecordResponse(aConfirmedAt);
  }
  // A neighbour that knows of no outage shows that only this host was cut off.
  if (aRecoveredAgo) {
    recoveredAt_ = std::max(recoveredAt_, aNow - *aRecoveredAgo);
  }
  return recovered;
}

void
StoreAvailability::RecordResponse(TimePoint aAt)
{
  lastSilence_ =
    respondedAt_ == TimePoint::min() ? Duration::zero() : aAt - respondedAt_;
  respondedAt_ = aAt;
}

std::optional<TimePoint>
StoreAvailability::KeepUntil(TimePoint aNow) const
{
  if (!reachable_) {
    return aNow + options_.reregistrationTime_;
  }
  const TimePoint recoveredAt = std::max(recoveredAt_, suspectedRecoveryAt_);
  const bool recent = recoveredAt != TimePoint::min() &&
                      aNow - recoveredAt < options_.reregistrationTime_;
  return recent ? std::optional(recoveredAt + options_.reregistrationTime_)
                : std::nullopt;
}

}
