#pragma once

// Limits the rate at which all hosts together send requests to a cold backend
// server (see InstanceRecord::coldLeft_), without coordination messages: only
// the hosts of the server's region may use it, and each gets an equal share of
// the rate that the server can handle while it is cold. A newly joined host
// sends nothing until the other hosts have read its registration and the
// requests they sent under their larger shares have left the window. A host
// with a stale view sends nothing either, because its own registration may have
// expired and the others may have taken over its share. Performs no I/O.
//
//   ColdStartLimit limit(options);
//   limit.SetHosts(registered, hostsInRegion, now);   // with each view
//   if (limit.TryTake(instance.id, perSecond, viewAge, now)) { send }

#include "base/BootClock.h"
#include "base/ViewAge.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct ColdStartOptions
{
  // Factor and constant addition to the server's rate that a cold server is
  // known to tolerate in any second, from the platform's bounds.
  double overage_ = 1.5;
  double slack_ = 5;
  // Fraction of that bound used by the hosts; the rest covers hosts that joined
  // recently and network delays.
  double usableFraction_ = 0.8;
  // Nothing is sent while the view is older than this.
  Duration maxViewAge_ = kMaxColdStartViewAge;
  // The bound applies to any one second; the longer window absorbs variation in
  // network delay.
  Duration window_ = std::chrono::milliseconds(1150);
  // Delay between a host's registration and its first use of its share: the
  // other hosts have read the registration or have stopped by then, and the
  // requests that they sent under their larger shares have left the window.
  Duration joinDelay_ = maxViewAge_ + window_;
};

class ColdStartLimit
{
public:
  explicit ColdStartLimit(ColdStartOptions aOptions);

  // aRegistered: whether this host is registered. aHosts: the number of
  // registered hosts in its region.
  void SetHosts(bool aRegistered, std::size_t aHosts, TimePoint aNow);
  // The same with the names of the hosts, aSelf among them. With more hosts
  // than requests, each of the first hosts in a server's order may send one,
  // and the others none.
  void SetHosts(bool aRegistered,
                const std::vector<std::string>& aHosts,
                const std::string& aSelf,
                TimePoint aNow);
  // aPerSecond is the server's configured rate while it is cold. Returns true
  // if the request may be sent.
  bool TryTake(const std::string& aInstance,
               double aPerSecond,
               Duration aViewAge,
               TimePoint aNow);

private:
  // The requests that this host may send to the server within a window, of
  // aTotal for all hosts.
  double ShareOf(const std::string& aInstance, double aTotal) const;
  // The number of hosts that come before this one in the server's order.
  std::size_t RankFor(const std::string& aInstance) const;

  // Send times within the window, by server.
  std::map<std::string, std::deque<TimePoint>> sends_;
  ColdStartOptions options_;
  std::size_t hosts_ = 1;
  // Hashes of the other hosts' names and of this host's; empty if not known.
  std::vector<std::uint64_t> others_;
  std::uint64_t self_ = 0;
  std::optional<TimePoint> joinedAt_;
};

}
