#pragma once

// Bounds the rate of requests to cold backend servers at the host that grants
// all requests to them (the owner), over all hosts together: in any one second
// at most perSecond * overage + slack requests are sent. An owner counts its
// grants. A grant expires at the asking host kColdGrantLifetime after that host
// asked, hence at most that long after it was granted, so the requests sent in
// any second were granted within the window.
//
// While owners change, two hosts may consider themselves the owner. A host
// therefore grants nothing until it has been the owner in all of its views for
// takeoverDelay_: by then a former owner has either learned of the change or
// stopped because its view is too old, and its grants have left the window.
//
// Performs no I/O. Not thread-safe.
//
//   ColdRate rate(options);
//   rate.SetHosts(candidates, now);          // with each view
//   rate.SetServers(serversWithOwners, now);     // with each view
//   rate.OnViewAge(viewAge, now);                // at least each half second
//   if (rate.TryTake(server, perSecond, viewAge, now)) { grant }
//   if (IsColdGrantUsable(askedAt, now)) { send }   // at the asking host

#include "base/BootClock.h"
#include "base/ViewAge.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// Time for which a grant may be used, from when the asking host sent its
// request for it.
constexpr Duration kColdGrantLifetime = std::chrono::milliseconds(100);

struct ColdRateOptions
{
  // Factor and constant addition to the server's rate that a cold server is
  // known to tolerate in any second, from the platform's bounds.
  double overage_ = 1.5;
  double slack_ = 5;
  // Fraction of that bound that is granted; the rest covers a host that is
  // suspended between its check of the grant and the write to the socket.
  double usableFraction_ = 0.9;
  // Nothing is granted while the owner's view is older than this.
  Duration maxViewAge_ = kMaxColdStartViewAge;
  // The second for which the bound applies, a grant's lifetime, and a margin
  // for clocks that run at different speeds.
  Duration window_ = std::chrono::seconds(1) + kColdGrantLifetime +
                     std::chrono::milliseconds(50);
  Duration takeoverDelay_ = maxViewAge_ + window_;
};

// Returns whether a grant for which this host asked at aAskedAt may be used.
inline bool
IsColdGrantUsable(TimePoint aAskedAt, TimePoint aNow)
{
  return aNow - aAskedAt < kColdGrantLifetime;
}

// A backend server and whether this host is its owner in the current view.
struct OwnedServer
{
  std::string id_;
  bool owned_ = false;
};

class ColdRate
{
public:
  explicit ColdRate(ColdRateOptions aOptions);

  // aCandidates: the hosts that can be owners, in any order; empty while this
  // host is not registered.
  void SetHosts(std::vector<std::string> aCandidates, TimePoint aNow);
  // All servers of the view.
  void SetServers(const std::vector<OwnedServer>& aServers, TimePoint aNow);
  // A view that was not confirmed for longer than maxViewAge_ may have missed
  // other owners, so all waits start again.
  void OnViewAge(Duration aViewAge, TimePoint aNow);
  // aPerSecond is the server's configured rate while it is cold. Returns true
  // if one request may be granted now, and counts it.
  bool TryTake(const std::string& aServer,
               double aPerSecond,
               Duration aViewAge,
               TimePoint aNow);
  // The number of grants in any window_. Zero if the bound is below one request
  // per second, as a single request would exceed it.
  double GrantsPerWindow(double aPerSecond) const;

private:
  struct Entry
  {
    bool owned_ = false;
    // This host has been the owner in all of its views since then.
    TimePoint ownedSince_;
    std::deque<TimePoint> grants_;
  };

  ColdRateOptions options_;
  std::vector<std::string> candidates_;
  TimePoint hostsChangedAt_ = TimePoint::min();
  TimePoint confirmedAt_ = TimePoint::min();
  std::map<std::string, Entry> entries_;
};

}
