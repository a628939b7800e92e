#include "app/TrafficHooks.h"

#include "base/Hash.h"

namespace peridotsail {

TrafficHooks::TrafficHooks(const Settings& aSettings,
                           const Snapshot<Configuration>& aConfiguration,
                           const HostDirectory& aDirectory,
                           Metrics& aMetrics)
  : configuration_(aConfiguration)
  , selector_(aSettings.region_)
  , steering_(aSettings, aConfiguration, aDirectory, selector_, aMetrics)
{
}

PipelineHooks
TrafficHooks::Make()
{
  PipelineHooks hooks;
  hooks.configuration_ = [this] { return configuration_.Get(); };
  hooks.lookup_ = [this](const std::string& aBlock) {
    return steering_.Lookup(aBlock);
  };
  hooks.authenticate_ = [this](const std::string* aAuthorization,
                               Error& aError) {
    return Authenticate(aAuthorization, aError);
  };
  hooks.admit_ = [](const std::string&) -> std::optional<Refusal> {
    return std::nullopt;
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
    return steering_.ChooseRelay(aQuery);
  };
  hooks.onRelayRefused_ = [this](const std::string& aRegion) {
    steering_.OnRelayRefused(aRegion);
  };
  hooks.admitRelayed_ = [this](const ServerQuery& aQuery,
                               const std::string& aFromRegion) {
    return steering_.Admit(aQuery, aFromRegion);
  };
  hooks.mayRetry_ = [](const ServerQuery&, const ExchangeResult&) {
    return true;
  };
  return hooks;
}

void
TrafficHooks::OnLink(const PeerHello& aPeer, bool aUp)
{
  steering_.OnLink(aPeer, aUp);
}

std::optional<std::string>
TrafficHooks::Authenticate(const std::string* aAuthorization,
                           Error& aError) const
{
  constexpr std::string_view kScheme = "Bearer ";
  aError = { ErrorKind::Unauthenticated, "" };
  if (aAuthorization == nullptr || aAuthorization->rfind(kScheme, 0) != 0) {
    return std::nullopt;
  }
  const std::string_view presented =
    std::string_view(*aAuthorization).substr(kScheme.size());
  const std::size_t dot = presented.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string hash = Sha256Hex(presented.substr(dot + 1));
  const ConfigurationPtr configuration = configuration_.Get();
  for (const KeyConfig& key : configuration->keys_) {
    if (key.id_ != presented.substr(0, dot) ||
        !EqualConstantTime(key.sha256_, hash)) {
      continue;
    }
    if (key.withdrawn_) {
      aError.kind_ = ErrorKind::KeyWithdrawn;
      return std::nullopt;
    }
    return key.customer_;
  }
  return std::nullopt;
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

}
