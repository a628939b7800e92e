#include "app/TrafficHooks.h"

#include "base/EventLog.h"

#include <algorithm>

namespace peridotsail {

TrafficHooks::TrafficHooks(const Settings& aSettings,
                           const Snapshot<Configuration>& aConfiguration,
                           const HostDirectory& aDirectory,
                           BudgetKeeper& aBudgets)
  : settings_(aSettings)
  , configuration_(aConfiguration)
  , directory_(aDirectory)
  , budgets_(aBudgets)
  , selector_(aSettings.region_)
{
}

PipelineHooks
TrafficHooks::Make()
{
  PipelineHooks hooks;
  hooks.configuration_ = [this] { return configuration_.Get(); };
  hooks.lookup_ = [this](const std::string& aBlock) { return Lookup(aBlock); };
  hooks.authenticate_ = [this](const std::string* aAuthorization,
                               Error& aError) {
    return Authenticate(aAuthorization, aError);
  };
  hooks.admit_ = [this](const std::string& aCustomer) {
    return budgets_.Admit(aCustomer);
  };
  hooks.chooseServer_ =
    [this](const ServerQuery& aQuery,
           const std::function<void(ServerChoice)>& aCallback) {
      ChooseServer(aQuery, aCallback);
    };
  hooks.onExchange_ = [this](const BackendServerConfig& aServer,
                             const ExchangeResult& aResult) {
    selector_.OnExchange(aServer, aResult, BootClock::now());
  };
  hooks.chooseRelay_ = [this](const ServerQuery& aQuery) {
    return ChooseRelay(aQuery);
  };
  hooks.mayRetry_ = [](const ServerQuery&, const ExchangeResult&) {
    return true;
  };
  return hooks;
}

void
TrafficHooks::OnLink(const PeerHello& aPeer, bool aUp)
{
  if (aUp) {
    linked_[aPeer.hostName_] = aPeer;
  } else {
    linked_.erase(aPeer.hostName_);
  }
}

void
TrafficHooks::SetKeyState(const KeyState& aState)
{
  if (keysOf_ != aState.configuration_) {
    keysOf_ = aState.configuration_;
    keyTable_.SetConfiguration(keysOf_);
  }
  keyTable_.SetWithdrawn(aState.withdrawn_);
  keyTable_.SetFreshUntil(aState.freshUntil_);
}

std::string
TrafficHooks::Lookup(const std::string& aBlock) const
{
  const ConfigurationPtr configuration = configuration_.Get();
  const auto hosts =
    directory_.HostsFor(aBlock, configuration.get(), BootClock::now());
  LogEvent(Event::LookupDecision,
           { { "block", aBlock },
             { "hosts", hosts.size() },
             { "first", hosts.empty() ? "" : hosts.front().name_ } });
  return LookupJson(hosts, settings_.lookupTtl_, configuration.get());
}

std::optional<std::string>
TrafficHooks::Authenticate(const std::string* aAuthorization,
                           Error& aError) const
{
  const KeyDecision decision = keyTable_.Check(
    BootClock::now(),
    aAuthorization == nullptr ? std::string_view() : *aAuthorization);
  if (decision.refusal_) {
    aError = { *decision.refusal_, "" };
    return std::nullopt;
  }
  return decision.customer_;
}

void
TrafficHooks::ChooseServer(const ServerQuery& aQuery,
                           const std::function<void(ServerChoice)>& aCallback)
{
  ServerChoice choice;
  choice.server_ = selector_.Choose(*aQuery.configuration_,
                                    aQuery.route_->pool_,
                                    aQuery.tried_,
                                    BootClock::now());
  choice.refusal_ = MakeRefusal(ErrorKind::NoBackendServer);
  aCallback(choice);
}

bool
TrafficHooks::RegionHasPool(const Configuration& aConfiguration,
                            const std::string& aRegion,
                            const std::string& aPool)
{
  const auto& servers = aConfiguration.backendServers_;
  return !aConfiguration.IsDraining(DrainKind::Region, aRegion) &&
         std::any_of(servers.begin(),
                     servers.end(),
                     [&](const BackendServerConfig& aServer) {
                       return aServer.pool_ == aPool &&
                              aServer.region_ == aRegion &&
                              !aConfiguration.IsDraining(
                                DrainKind::BackendServer, aServer.name_);
                     });
}

std::optional<RelayTarget>
TrafficHooks::ChooseRelay(const ServerQuery& aQuery) const
{
  const Configuration& configuration = *aQuery.configuration_;
  const std::string& pool = aQuery.route_->pool_;
  if (selector_.HasServer(configuration, pool, BootClock::now())) {
    return std::nullopt;
  }
  for (const auto& [name, peer] : linked_) {
    if (peer.region_ != settings_.region_ &&
        RegionHasPool(configuration, peer.region_, pool)) {
      return RelayTarget{ name, peer.region_ };
    }
  }
  return std::nullopt;
}

}
