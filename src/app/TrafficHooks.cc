#include "app/TrafficHooks.h"

#include "base/EventLog.h"

namespace peridotsail {

namespace {

BackendRequest
ToBackendRequest(const ServerQuery& aQuery)
{
  return { aQuery.route_->pool_, aQuery.customer_, aQuery.fingerprint_,
           aQuery.deadline_,     aQuery.tried_,    aQuery.shed_ };
}

AttemptOutcome
ToAttemptOutcome(const ExchangeResult& aResult)
{
  if (!aResult.error_) {
    return AttemptOutcome::Completed;
  }
  if (aResult.callerDisconnected_ || aResult.stalledConnectionOpenedAt_) {
    return AttemptOutcome::Cancelled;
  }
  if (aResult.connectFailed_) {
    return AttemptOutcome::ConnectFailed;
  }
  if (aResult.shed_) {
    return AttemptOutcome::Shed;
  }
  if (aResult.connectionLost_) {
    return AttemptOutcome::Reset;
  }
  return aResult.error_->kind_ == ErrorKind::DeadlineExceeded
           ? AttemptOutcome::TimedOut
           : AttemptOutcome::Cancelled;
}

}

TrafficHooks::TrafficHooks(const Settings& aSettings,
                           const Snapshot<Configuration>& aConfiguration,
                           const HostDirectory& aDirectory,
                           BudgetManager& aBudgets,
                           BackendDispatcher& aBackends,
                           Metrics& aMetrics)
  : settings_(aSettings)
  , configuration_(aConfiguration)
  , budgets_(aBudgets)
  , backends_(aBackends)
  , steering_(aSettings, aConfiguration, aDirectory, aBackends, aMetrics)
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
  hooks.admit_ = [this](const std::string& aCustomer) {
    return budgets_.Admit(aCustomer);
  };
  hooks.chooseServer_ =
    [this](const ServerQuery& aQuery,
           const std::function<void(ServerChoice)>& aCallback) {
      ChooseServer(aQuery, aCallback);
    };
  hooks.onExchange_ = [this](const ServerQuery& aQuery,
                             const BackendServerConfig& aServer,
                             const ExchangeResult& aResult) {
    OnExchange(aQuery, aServer, aResult);
  };
  hooks.chooseRelay_ = [this](const ServerQuery& aQuery) {
    return steering_.ChooseRelay(aQuery);
  };
  hooks.onRelayRefused_ = [this](const std::string& aRegion) {
    steering_.OnRelayRefused(aRegion);
  };
  hooks.reserveRelay_ = [this](const std::string& aHost,
                               double aBytes,
                               RelayAllowancePtr& aAllowance) {
    return steering_.ReserveRelay(aHost, aBytes, aAllowance);
  };
  hooks.admitRelayed_ = [this](const ServerQuery& aQuery,
                               const std::string& aFromRegion) {
    return steering_.Admit(aQuery, aFromRegion);
  };
  hooks.mayRetry_ = [this](const ServerQuery& aQuery, const ExchangeResult&) {
    return backends_.MayRetry(ToBackendRequest(aQuery));
  };
  hooks.responseTimeout_ = [this](const ServerQuery& aQuery) {
    return backends_.ResponseTimeout(ToBackendRequest(aQuery));
  };
  return hooks;
}

void
TrafficHooks::OnLink(const PeerHello& aPeer, bool aUp)
{
  steering_.OnLink(aPeer, aUp);
  if (aUp) {
    linkedPeers_[aPeer.hostName_] = aPeer;
  } else {
    linkedPeers_.erase(aPeer.hostName_);
  }
  // The hosts of a region divide the slots of its backend servers.
  int rank = 0;
  int count = 1;
  for (const auto& [name, peer] : linkedPeers_) {
    if (peer.region_ == settings_.region_) {
      ++count;
      rank += name < settings_.hostName_ ? 1 : 0;
    }
  }
  backends_.SetHosts(rank, count);
}

void
TrafficHooks::SetKeyState(const KeyState& aState)
{
  if (keyTableConfiguration_ != aState.configuration_) {
    keyTableConfiguration_ = aState.configuration_;
    keyTable_.SetConfiguration(keyTableConfiguration_);
  }
  keyTable_.SetWithdrawn(aState.withdrawn_);
  keyTable_.SetFreshUntil(aState.freshUntil_);
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
  backends_.SetConfiguration(aQuery.configuration_);
  backends_.Choose(
    ToBackendRequest(aQuery), [aCallback](const BackendDecision& aDecision) {
      ServerChoice choice;
      choice.server_ = aDecision.server_;
      choice.refusal_ = MakeRefusal(aDecision.refusal_);
      choice.refusal_.execution_ = ExecutionState::NotRun;
      choice.refusal_.retryAfterSeconds_ = aDecision.retryAfterSeconds_;
      aCallback(choice);
    });
}

void
TrafficHooks::OnExchange(const ServerQuery& aQuery,
                         const BackendServerConfig& aServer,
                         const ExchangeResult& aResult)
{
  BackendOutcome outcome;
  outcome.time_ = BootClock::now() - aQuery.chosenAt_;
  outcome.stalled_ = aResult.stalledConnectionOpenedAt_.has_value();
  outcome.outcome_ = ToAttemptOutcome(aResult);
  backends_.OnOutcome(ToBackendRequest(aQuery), aServer.name_, outcome);
}

}
