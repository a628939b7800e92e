#pragma once

// Bounds what all hosts together send to a cold backend server, without talk
// between them: only the hosts of the server's region may use it, and each has
// an equal part of the server's rate. A host that joins takes nothing until the
// others have read of it and what they sent with their larger parts is past.
// A host whose view is old takes nothing either: its own registration may have
// ended, and the others may have its part. Pure.
//
//   ColdStartLimit limit(options);
//   limit.SetHosts(registered, hostsInRegion, now);   // with each view
//   if (limit.TryTake(instance.id, perSecond, viewAge, now)) { send }

#include "base/BootClock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace peridotsail {

struct ColdStartOptions
{
  // Factor and addition of the rate that a cold server is known to bear in any
  // second, from the platform's bounds.
  double overage_ = 1.5;
  double slack_ = 5;
  // The part of that bound which the hosts use; the rest covers hosts that
  // joined a moment ago and delays on the way.
  double part_ = 0.8;
  // From a host's registration until it takes its part: the others read of it
  // within half a second, and what they sent is past after the window.
  Duration joinDelay_ = std::chrono::milliseconds(2000);
  // Nothing is taken with an older view; shorter than the life of a
  // registration.
  Duration mostViewAge_ = std::chrono::milliseconds(2000);
};

class ColdStartLimit
{
public:
  explicit ColdStartLimit(ColdStartOptions aOptions);

  // Whether this host is registered, and the registered hosts of its region.
  void SetHosts(bool aRegistered, std::size_t aHosts, TimePoint aNow);
  // aPerSecond is the server's configured rate while it is cold.
  bool TryTake(const std::string& aInstance,
               double aPerSecond,
               Duration aViewAge,
               TimePoint aNow);

private:
  // Sends within the counted window, by server.
  std::map<std::string, std::deque<TimePoint>> sends_;
  ColdStartOptions options_;
  std::size_t hosts_ = 1;
  std::optional<TimePoint> joinedAt_;
};

}
