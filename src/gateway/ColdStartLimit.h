#pragma once

// Bounds what all hosts together send to a cold backend server, without talk
// between them: only the hosts of the server's region may use it, and each has
// an equal part of the server's rate. Pure.
//
//   ColdStartLimit limit(options);
//   if (limit.TryTake(instance.id, perSecond, hostsInRegion, now)) { send }

#include "base/BootClock.h"

#include <deque>
#include <map>
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
};

class ColdStartLimit
{
public:
  explicit ColdStartLimit(ColdStartOptions aOptions);

  // aPerSecond is the server's configured rate while it is cold.
  bool TryTake(const std::string& aInstance,
               double aPerSecond,
               std::size_t aHosts,
               TimePoint aNow);

private:
  // Sends within the counted window, by server.
  std::map<std::string, std::deque<TimePoint>> sends_;
  ColdStartOptions options_;
};

}
