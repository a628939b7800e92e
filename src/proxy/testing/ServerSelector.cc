#include "proxy/testing/ServerSelector.h"

#include <algorithm>

namespace peridotsail {

namespace {

// How long a server is ejected after a failed connection.
constexpr Duration kEjection = std::chrono::seconds(1);

}

ServerSelector::ServerSelector(std::string aRegion)
  : region_(std::move(aRegion))
{
}

bool
ServerSelector::MayUse(const Configuration& aConfiguration,
                       const BackendServerConfig& aServer,
                       TimePoint aNow) const
{
  const auto ejected = ejectedUntil_.find(aServer.name_);
  return aServer.region_ == region_ &&
         !aConfiguration.IsDraining(DrainKind::BackendServer, aServer.name_) &&
         (ejected == ejectedUntil_.end() || ejected->second <= aNow);
}

bool
ServerSelector::HasServer(const Configuration& aConfiguration,
                          const std::string& aPool,
                          TimePoint aNow) const
{
  const auto& servers = aConfiguration.backendServers_;
  return std::any_of(
    servers.begin(), servers.end(), [&](const BackendServerConfig& aServer) {
      return aServer.pool_ == aPool && MayUse(aConfiguration, aServer, aNow);
    });
}

int
ServerSelector::FreeSlots(const Configuration& aConfiguration,
                          const std::string& aPool,
                          TimePoint aNow) const
{
  int free = 0;
  for (const BackendServerConfig& server : aConfiguration.backendServers_) {
    if (server.pool_ == aPool && MayUse(aConfiguration, server, aNow)) {
      const auto busy = inFlight_.find(server.name_);
      free += server.slots_ - (busy == inFlight_.end() ? 0 : busy->second);
    }
  }
  return free;
}

std::optional<BackendServerConfig>
ServerSelector::Choose(const Configuration& aConfiguration,
                       const std::string& aPool,
                       const std::set<std::string>& aTried,
                       TimePoint aNow)
{
  const BackendServerConfig* best = nullptr;
  for (const BackendServerConfig& server : aConfiguration.backendServers_) {
    const bool usable = server.pool_ == aPool &&
                        aTried.count(server.name_) == 0 &&
                        MayUse(aConfiguration, server, aNow);
    if (usable &&
        (best == nullptr || inFlight_[server.name_] < inFlight_[best->name_])) {
      best = &server;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++inFlight_[best->name_];
  return *best;
}

void
ServerSelector::OnExchange(const BackendServerConfig& aServer,
                           const ExchangeResult& aResult,
                           TimePoint aNow)
{
  --inFlight_[aServer.name_];
  if (aResult.connectFailed_) {
    ejectedUntil_[aServer.name_] = aNow + kEjection;
  }
}

}
