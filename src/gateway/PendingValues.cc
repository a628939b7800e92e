#include "gateway/PendingValues.h"

#include <algorithm>

namespace peridotsail {

void
PendingValues::Confirmed(TimePoint aConfirmedAt, const Missing& aMissing)
{
  for (auto it = pending_.begin(); it != pending_.end();) {
    it = aMissing.count(it->first) > 0 ? std::next(it) : pending_.erase(it);
  }
  const TimePoint former = confirmedAt_;
  confirmedAt_ = std::max(confirmedAt_, aConfirmedAt);
  for (const auto& [key, position] : aMissing) {
    const auto [it, added] = pending_.try_emplace(key);
    Pending& pending = it->second;
    if (added) {
      pending.currentAt_ = former;
    }
    pending.newest_ = position;
    if (pending.requested_ == position) {
      pending.requestedCurrentAt_ = confirmedAt_;
    }
  }
}

std::vector<ValueRequest>
PendingValues::TakeRequests()
{
  std::vector<ValueRequest> requests;
  for (auto& [key, pending] : pending_) {
    if (pending.requested_ == StorePosition()) {
      pending.requested_ = pending.newest_;
      pending.requestedCurrentAt_ = confirmedAt_;
      requests.push_back({ key, pending.newest_, pending.failures_ });
    }
  }
  return requests;
}

void
PendingValues::Received(const std::string& aKey, const StorePosition& aPosition)
{
  const auto found = pending_.find(aKey);
  // The response to an earlier request can arrive after a later request.
  if (found == pending_.end() || aPosition < found->second.requested_) {
    return;
  }
  Pending& pending = found->second;
  if (aPosition >= pending.newest_) {
    pending_.erase(found);
    return;
  }
  pending.currentAt_ =
    std::max(pending.currentAt_, pending.requestedCurrentAt_);
  pending.requested_ = {};
  pending.failures_ = 0;
}

void
PendingValues::Failed(const std::string& aKey)
{
  const auto found = pending_.find(aKey);
  if (found != pending_.end()) {
    found->second.requested_ = {};
    ++found->second.failures_;
  }
}

TimePoint
PendingValues::ConfirmedAt() const
{
  TimePoint confirmedAt = confirmedAt_;
  for (const auto& [key, pending] : pending_) {
    confirmedAt = std::min(confirmedAt, pending.currentAt_);
  }
  return confirmedAt;
}

}
