#pragma once

// A simple choice for tests of the pipeline: the backend server of a pool in
// this host's region with the fewest requests in flight from this host. Servers
// that are draining or failed a connection a moment ago are left out.

#include "base/BootClock.h"
#include "config/Configuration.h"
#include "proxy/ExchangeResult.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace peridotsail {

class ServerSelector
{
public:
  explicit ServerSelector(std::string aRegion);

  // Whether the region has a server of the pool that may get new work.
  bool HasServer(const Configuration& aConfiguration,
                 const std::string& aPool,
                 TimePoint aNow) const;
  // Slots of the pool's usable servers that no request of this host occupies;
  // negative when this host has sent more than they run at once.
  int FreeSlots(const Configuration& aConfiguration,
                const std::string& aPool,
                TimePoint aNow) const;
  // Counts the request as in flight on the chosen server.
  std::optional<BackendServerConfig> Choose(const Configuration& aConfiguration,
                                            const std::string& aPool,
                                            const std::set<std::string>& aTried,
                                            TimePoint aNow);
  void OnExchange(const BackendServerConfig& aServer,
                  const ExchangeResult& aResult,
                  TimePoint aNow);

private:
  bool MayUse(const Configuration& aConfiguration,
              const BackendServerConfig& aServer,
              TimePoint aNow) const;

  std::string region_;
  std::map<std::string, int> inFlight_;
  std::map<std::string, TimePoint> ejectedUntil_;
};

}
