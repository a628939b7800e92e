#pragma once

// The entry hosts known to this host. The platform's list lags behind, so
// notices from leaving hosts take precedence. Used on the traffic thread.

#include "base/BootClock.h"
#include "steering/LookupService.h"
#include "store/HostListClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

class HostDirectory
{
public:
  explicit HostDirectory(ListedHost aSelf);

  void SetList(std::vector<ListedHost> aHosts);
  // Marks a host as leaving until its notice expires.
  void SetLeaving(const std::string& aHostName, TimePoint aNow);
  void SetSelfLeaving();
  // Returns all hosts with an address for callers, and their states.
  std::vector<LookupHost> LookupHosts(TimePoint aNow) const;
  // Increases with each change, except when a leaving notice expires.
  std::uint64_t Revision() const { return revision_; }
  // Returns the listed hosts except this one that have an address for peers.
  std::vector<ListedHost> Peers() const;

private:
  ListedHost self_;
  std::vector<ListedHost> hosts_;
  // Notices expire, because a replacement host may reuse the name.
  std::map<std::string, TimePoint> leavingUntil_;
  std::uint64_t revision_ = 0;
};

// Returns the JSON body of the response to a lookup.
std::string
LookupJson(const LookupAnswer& aAnswer);

}
