#pragma once

// Tracks the large values that a host has heard of but not yet received, and
// the time up to which its view is confirmed nevertheless: a view with a
// pending value is only as recent as the last confirmation at which the value
// that the host has was the newest. Performs no I/O.
//
//   PendingValues pending;
//   pending.Confirmed(confirmedAt, cache.Missing());
//   for (const ValueRequest& request : pending.TakeRequests()) { ... }
//   pending.Received(key, revision);       // or pending.Failed(key)
//   TimePoint confirmedAt = pending.ConfirmedAt();

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// A request for a value that has at least this revision.
struct ValueRequest
{
  std::string key_;
  std::uint64_t revision_ = 0;
  // Number of requests for the key that failed since its last value.
  int failures_ = 0;
};

class PendingValues
{
public:
  // The keys and revisions of values that the host does not have.
  using Missing = std::map<std::string, std::uint64_t>;

  // The view, except for the missing values, is as recent as the store was at
  // aConfirmedAt.
  void Confirmed(TimePoint aConfirmedAt, const Missing& aMissing);
  // Returns the requests that are to be sent; one for a key at a time.
  std::vector<ValueRequest> TakeRequests();
  // A value arrived that has at least the requested revision.
  void Received(const std::string& aKey, std::uint64_t aRevision);
  void Failed(const std::string& aKey);
  // The time up to which the whole view is confirmed.
  TimePoint ConfirmedAt() const;

private:
  struct Pending
  {
    std::uint64_t newest_ = 0;
    // The last confirmation at which the host's value was the newest.
    TimePoint currentAt_ = TimePoint::min();
    // The revision that is being requested; 0 for none.
    std::uint64_t requested_ = 0;
    // The last confirmation at which the requested value was the newest.
    TimePoint requestedCurrentAt_ = TimePoint::min();
    int failures_ = 0;
  };

  TimePoint confirmedAt_ = TimePoint::min();
  std::map<std::string, Pending> pending_;
};

}
