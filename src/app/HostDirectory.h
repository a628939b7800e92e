#pragma once

// What this host knows of the entry hosts: the platform's list, which lags,
// corrected by notices of hosts that are leaving. Used on the traffic thread.

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
  // A host stated that it is leaving; incarnation as in its hello.
  void SetLeaving(const std::string& aHostName, TimePoint aNow);
  void SetSelfLeaving();
  // All hosts that callers could use, with their states.
  std::vector<LookupHost> LookupHosts(TimePoint aNow) const;
  // Increases with each change; a leaving notice also ends by itself.
  std::uint64_t Revision() const { return revision_; }
  // All listed hosts but this one.
  std::vector<ListedHost> Peers() const;

private:
  ListedHost self_;
  std::vector<ListedHost> hosts_;
  // The notices count for a time only, because a replaced host may come back
  // under the same name.
  std::map<std::string, TimePoint> leavingUntil_;
  std::uint64_t revision_ = 0;
};

// The JSON answer to a look-up.
std::string
LookupJson(const LookupAnswer& aAnswer);

}
