#pragma once

// What this host knows of the entry hosts: the platform's list, which lags,
// corrected by notices of hosts that are leaving. Orders them for look-ups.
// Used on the traffic thread.

#include "base/BootClock.h"
#include "config/Configuration.h"
#include "platform/HostListClient.h"

#include <map>
#include <optional>
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
  // Hosts for callers in order of preference: those of this host's region
  // first, the order within a region by rendezvous hashing of the block.
  std::vector<ListedHost> HostsFor(const std::string& aBlock,
                                   const Configuration* aConfiguration,
                                   TimePoint aNow) const;
  // All listed hosts but this one.
  std::vector<ListedHost> Peers() const;

private:
  bool MayName(const ListedHost& aHost,
               const Configuration* aConfiguration,
               TimePoint aNow) const;

  ListedHost self_;
  std::vector<ListedHost> hosts_;
  // The notices count for a time only, because a replaced host may come back
  // under the same name.
  std::map<std::string, TimePoint> leavingUntil_;
};

// The JSON answer to a look-up.
std::string
LookupJson(const std::vector<ListedHost>& aHosts,
           Duration aTtl,
           const Configuration* aConfiguration);

}
