#pragma once

// A simple load balancer for pipeline tests. It chooses the backend server of a
// pool, in this host's region, with the fewest requests in flight from this
// host. Servers that are draining or recently failed a connection are excluded.

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

  // Whether the region has a server of the pool that accepts new requests.
  bool HasServer(const Configuration& aConfiguration,
                 const std::string& aPool,
                 TimePoint aNow) const;
  // Slots of the pool's usable servers minus this host's requests in flight;
  // negative when this host has more requests in flight than there are slots.
  int FreeSlots(const Configuration& aConfiguration,
                const std::string& aPool,
                TimePoint aNow) const;
  // Chooses a server and counts the request as in flight on it.
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
