#pragma once

// Tracks the large values that a host has heard of but not yet received, and
// the time up to which its view is confirmed nevertheless: a view with a
// pending value is only as recent as the last confirmation at which the value
// that the host has was the newest. Performs no I/O.
//
//   PendingValues pending;
//   pending.Confirmed(confirmedAt, cache.Missing());
//   for (const ValueRequest& request : pending.TakeRequests()) { ... }
//   pending.Received(key, position);       // or pending.Failed(key)
//   TimePoint confirmedAt = pending.ConfirmedAt();

#include "base/BootClock.h"
#include "restore/StorePosition.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// A request for a value of this position or a later one.
struct ValueRequest
{
  std::string key_;
  StorePosition position_;
  // Number of requests for the key that failed since its last value.
  int failures_ = 0;
};

class PendingValues
{
public:
  // The keys and positions of values that the host does not have.
  using Missing = std::map<std::string, StorePosition>;

  // The view, except for the missing values, is as recent as the store was at
  // aConfirmedAt.
  void Confirmed(TimePoint aConfirmedAt, const Missing& aMissing);
  // Returns the requests that are to be sent; one for a key at a time.
  std::vector<ValueRequest> TakeRequests();
  // A value arrived. It is of no use if it is older than the requested one.
  void Received(const std::string& aKey, const StorePosition& aPosition);
  void Failed(const std::string& aKey);
  // The time up to which the whole view is confirmed.
  TimePoint ConfirmedAt() const;

private:
  struct Pending
  {
    StorePosition newest_;
    // The last confirmation at which the host's value was the newest.
    TimePoint currentAt_ = TimePoint::min();
    // The position that is being requested; 0 for none.
    StorePosition requested_;
    // The last confirmation at which the requested value was the newest.
    TimePoint requestedCurrentAt_ = TimePoint::min();
    int failures_ = 0;
  };

  TimePoint confirmedAt_ = TimePoint::min();
  std::map<std::string, Pending> pending_;
};

}
