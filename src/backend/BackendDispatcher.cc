#include "backend/BackendDispatcherImpl.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <boost/asio/post.hpp>

namespace peridotsail {

void
BackendDispatcher::Impl::Configure(Pool& aPool,
                                   const PoolConfig& aConfig,
                                   TimePoint aNow)
{
  aPool.config_ = aConfig;
  aPool.servers_.clear();
  std::vector<BackendServerConfig> servers;
  std::set<std::string> leaving = aPool.listedLeaving_;
  // Drains of the whole region are not applied here: steering moves their
  // requests away gradually.
  for (const BackendServerConfig& server : configuration_->backendServers_) {
    if (server.pool_ != aConfig.name_ || server.region_ != options_.region_) {
      continue;
    }
    servers.push_back(server);
    aPool.servers_[server.name_] = server;
    if (configuration_->IsDraining(DrainKind::BackendServer, server.name_)) {
      leaving.insert(server.name_);
    }
  }
  aPool.pool_.SetServers(aConfig.warmUp_, servers, leaving, aNow);
  aPool.pool_.SetHosts(hostRank_, hostCount_);
  LogStateChanges(aPool);
}

void
BackendDispatcher::Impl::Choose(BackendRequest aRequest, Callback aCallback)
{
  const TimePoint now = BootClock::now();
  const auto it = pools_.find(aRequest.pool_);
  if (it == pools_.end() || !it->second.pool_.HasAvailableServer(now)) {
    aCallback({ std::nullopt, ErrorKind::NoBackendServer, 2 });
    return;
  }
  Pool& pool = it->second;
  if (!PassesQuarantine(aRequest, aCallback)) {
    return;
  }
  if (aRequest.tried_.empty()) {
    pool.retryBudget_.RecordRequest(now);
  }
  const bool mayDispatch =
    aRequest.shed_ ? pool.retryBudget_.TryTake(now) : pool.queue_.size() == 0;
  if (!mayDispatch || !Dispatch(aRequest, aCallback)) {
    Enqueue(pool, std::move(aRequest), std::move(aCallback));
  }
}

bool
BackendDispatcher::Impl::PassesQuarantine(BackendRequest& aRequest,
                                          Callback& aCallback)
{
  switch (quarantine_.Check(aRequest.fingerprint_, BootClock::now())) {
    case QuarantineVerdict::Run:
      return true;
    case QuarantineVerdict::Wait:
      waiting_[++lastId_] = { std::move(aRequest), std::move(aCallback), true };
      ArmQueueTimer();
      return false;
    case QuarantineVerdict::Refuse:
      break;
  }
  quarantined_.Add(1);
  aCallback({ std::nullopt, ErrorKind::RequestQuarantined, 0 });
  return false;
}

bool
BackendDispatcher::Impl::Dispatch(const BackendRequest& aRequest,
                                  const Callback& aCallback)
{
  Pool& pool = pools_.at(aRequest.pool_);
  const auto name = pool.pool_.Acquire(BootClock::now(), aRequest.tried_);
  if (!name) {
    return false;
  }
  quarantine_.Started(aRequest.fingerprint_);
  aCallback({ pool.servers_.at(*name), ErrorKind::NoBackendServer, 0 });
  return true;
}

void
BackendDispatcher::Impl::Enqueue(Pool& aPool,
                                 BackendRequest aRequest,
                                 Callback aCallback)
{
  const TimePoint now = BootClock::now();
  const QueuedRequest queued{ ++lastId_,
                              aRequest.customer_,
                              aRequest.deadline_ };
  const bool shed = aRequest.shed_;
  waiting_[queued.id_] = { std::move(aRequest), std::move(aCallback), false };
  std::vector<QueueRefusal> refused;
  if (shed) {
    aPool.queue_.PushFront(queued);
  } else {
    aPool.queue_.Push(queued, aPool.pool_.UsableSlots(now), now, refused);
  }
  Refuse(refused);
  ArmQueueTimer();
}

void
BackendDispatcher::Impl::Refuse(const std::vector<QueueRefusal>& aRefused)
{
  for (const QueueRefusal& refusal : aRefused) {
    auto node = waiting_.extract(refusal.id_);
    if (!node.empty()) {
      node.mapped().callback_(
        { std::nullopt, refusal.kind_, refusal.retryAfterSeconds_ });
    }
  }
}

void
BackendDispatcher::Impl::DrainQueue(Pool& aPool)
{
  const TimePoint now = BootClock::now();
  std::vector<QueueRefusal> refused;
  aPool.queue_.Expire(now, refused);
  const bool hasServer = aPool.pool_.HasAvailableServer(now);
  while (aPool.queue_.size() > 0 &&
         (!hasServer || aPool.pool_.HasFreeSlot(now))) {
    const auto id = aPool.queue_.Pop(now, refused);
    if (!id) {
      break;
    }
    if (!hasServer) {
      refused.push_back({ *id, ErrorKind::NoBackendServer, 2 });
      continue;
    }
    auto node = waiting_.extract(*id);
    Waiting& waiting = node.mapped();
    // The fingerprint may have become suspect while the request was queued.
    if (PassesQuarantine(waiting.request_, waiting.callback_) &&
        !Dispatch(waiting.request_, waiting.callback_)) {
      aPool.queue_.PushFront(
        { *id, waiting.request_.customer_, waiting.request_.deadline_ });
      waiting_.insert(std::move(node));
      break;
    }
  }
  Refuse(refused);
}

void
BackendDispatcher::Impl::RecheckQuarantine()
{
  const TimePoint now = BootClock::now();
  std::vector<std::uint64_t> released;
  for (const auto& [id, waiting] : waiting_) {
    const bool expired = now >= waiting.request_.deadline_;
    if (waiting.awaitsQuarantine_ &&
        (expired || quarantine_.Check(waiting.request_.fingerprint_, now) !=
                      QuarantineVerdict::Wait)) {
      released.push_back(id);
    }
  }
  for (const std::uint64_t id : released) {
    auto node = waiting_.extract(id);
    Waiting& waiting = node.mapped();
    if (now >= waiting.request_.deadline_) {
      waiting.callback_({ std::nullopt, ErrorKind::DeadlineExceeded, 1 });
    } else {
      Choose(std::move(waiting.request_), std::move(waiting.callback_));
    }
  }
}

void
BackendDispatcher::Impl::ArmQueueTimer()
{
  waitingGauge_.Set(static_cast<double>(waiting_.size()));
  if (queueTimerArmed_ || waiting_.empty()) {
    return;
  }
  queueTimerArmed_ = true;
  queueTimer_.expires_after(detail::ToSteady(options_.queueInterval_));
  queueTimer_.async_wait([weak = weak_from_this()](auto aError) {
    const auto self = weak.lock();
    if (aError || !self) {
      return;
    }
    self->queueTimerArmed_ = false;
    self->RecheckQuarantine();
    for (auto& entry : self->pools_) {
      self->DrainQueue(entry.second);
    }
    self->ArmQueueTimer();
  });
}

BackendDispatcher::BackendDispatcher(
  boost::asio::io_context& aContext,
  BackendDispatcherOptions aOptions,
  Metrics& aMetrics,
  std::function<void(std::string)> aSendNotice)
  : impl_(std::make_shared<Impl>(aContext,
                                 std::move(aOptions),
                                 aMetrics,
                                 std::move(aSendNotice)))
{
}

BackendDispatcher::~BackendDispatcher() = default;

void
BackendDispatcher::SetConfiguration(const ConfigurationPtr& aConfiguration)
{
  if (aConfiguration == nullptr || aConfiguration == impl_->configuration_) {
    return;
  }
  impl_->configuration_ = aConfiguration;
  const TimePoint now = BootClock::now();
  for (const PoolConfig& config : aConfiguration->pools_) {
    // Seeds differ between hosts, so that they do not make the same choices.
    const auto it =
      impl_->pools_
        .try_emplace(config.name_,
                     static_cast<std::uint64_t>(now.time_since_epoch().count()))
        .first;
    impl_->Configure(it->second, config, now);
  }
  for (auto& [name, pool] : impl_->pools_) {
    if (aConfiguration->FindPool(name) == nullptr) {
      impl_->Configure(pool, PoolConfig(pool.config_), now);
    }
  }
  if (!impl_->probing_) {
    impl_->ProbeAll();
    impl_->ArmProbeTimer();
  }
}

void
BackendDispatcher::SetLeaving(const std::string& aPool,
                              std::set<std::string> aServers)
{
  const auto it = impl_->pools_.find(aPool);
  if (it != impl_->pools_.end()) {
    it->second.listedLeaving_ = std::move(aServers);
    impl_->Configure(
      it->second, PoolConfig(it->second.config_), BootClock::now());
  }
}

void
BackendDispatcher::SetHosts(int aRank, int aCount)
{
  impl_->hostRank_ = aRank;
  impl_->hostCount_ = aCount;
  for (auto& entry : impl_->pools_) {
    entry.second.pool_.SetHosts(aRank, aCount);
  }
}

bool
BackendDispatcher::HasServer(const std::string& aPool) const
{
  const auto it = impl_->pools_.find(aPool);
  return it != impl_->pools_.end() &&
         it->second.pool_.HasAvailableServer(BootClock::now());
}

int
BackendDispatcher::FreeSlots(const std::string& aPool) const
{
  const auto it = impl_->pools_.find(aPool);
  if (it == impl_->pools_.end()) {
    return 0;
  }
  const int waiting = static_cast<int>(it->second.queue_.size());
  return it->second.pool_.FreeSlots(BootClock::now()) - waiting;
}

void
BackendDispatcher::Choose(BackendRequest aRequest,
                          std::function<void(const BackendDecision&)> aCallback)
{
  impl_->Choose(std::move(aRequest), std::move(aCallback));
}

void
BackendDispatcher::OnOutcome(const BackendRequest& aRequest,
                             const std::string& aServer,
                             const BackendOutcome& aOutcome)
{
  const TimePoint now = BootClock::now();
  impl_->quarantine_.Ended(aRequest.fingerprint_);
  const auto it = impl_->pools_.find(aRequest.pool_);
  if (it == impl_->pools_.end()) {
    return;
  }
  Impl::Pool& pool = it->second;
  pool.pool_.Release(aServer, aOutcome.outcome_, now);
  switch (aOutcome.outcome_) {
    case AttemptOutcome::Completed:
      pool.queue_.RecordServiceTime(aOutcome.time_);
      pool.responseTimeout_.Record(aOutcome.time_, now);
      impl_->quarantine_.Completed(aRequest.fingerprint_, now);
      break;
    case AttemptOutcome::TimedOut:
      pool.responseTimeout_.Record(aOutcome.time_, now);
      break;
    case AttemptOutcome::Shed:
      impl_->shed_.Add(1);
      break;
    case AttemptOutcome::Reset:
      impl_->quarantine_.Died(aRequest.fingerprint_, aServer, now);
      [[fallthrough]];
    case AttemptOutcome::ConnectFailed:
      if (pool.servers_.count(aServer) > 0) {
        impl_->ProbeConnection(
          aRequest.pool_, pool.servers_.at(aServer), std::nullopt);
      }
      break;
    case AttemptOutcome::Cancelled:
      break;
  }
  impl_->LogStateChanges(pool);
  if (aOutcome.stalled_) {
    pool.responseTimeout_.Record(aOutcome.time_, now);
  }
  // Posted, because the exchange that reports the outcome is still on the call
  // stack and not finished.
  boost::asio::post(impl_->context_,
                    [weak = std::weak_ptr(impl_), name = aRequest.pool_] {
                      const auto self = weak.lock();
                      if (self) {
                        self->DrainQueue(self->pools_.at(name));
                        self->ArmQueueTimer();
                      }
                    });
}

bool
BackendDispatcher::MayRetry(const BackendRequest& aRequest)
{
  const auto it = impl_->pools_.find(aRequest.pool_);
  if (it == impl_->pools_.end()) {
    return false;
  }
  const bool may =
    aRequest.shed_ || it->second.retryBudget_.TryTake(BootClock::now());
  if (may) {
    impl_->retries_.Add(1);
  }
  return may;
}

std::optional<Duration>
BackendDispatcher::ResponseTimeout(const BackendRequest& aRequest) const
{
  const auto it = impl_->pools_.find(aRequest.pool_);
  const TimePoint now = BootClock::now();
  if (it == impl_->pools_.end() || aRequest.tried_.size() > 1 ||
      !it->second.retryBudget_.CanTake(now)) {
    return std::nullopt;
  }
  return it->second.responseTimeout_.Timeout(now);
}

void
BackendDispatcher::OnQuarantineNotice(const std::string& aPayload)
{
  const auto notice =
    DecodeQuarantineNotice({ aPayload.begin(), aPayload.end() });
  if (!notice) {
    LogEvent(Event::PeerMessageMalformed, { { "type", "QuarantineNotice" } });
    return;
  }
  impl_->quarantine_.Apply(*notice, BootClock::now());
}

}
