// Health probes, load reports and connection probes of BackendDispatcher.

#include "backend/BackendDispatcherImpl.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

namespace peridotsail {

void
BackendDispatcher::Impl::ArmProbeTimer()
{
  probing_ = true;
  probeTimer_.expires_after(detail::ToSteady(options_.probeInterval_));
  probeTimer_.async_wait([weak = weak_from_this()](auto aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->ProbeAll();
      self->ArmProbeTimer();
    }
  });
}

void
BackendDispatcher::Impl::ProbeAll()
{
  for (auto& [name, pool] : pools_) {
    for (const auto& entry : pool.servers_) {
      ProbeHealth(name, entry.second);
      ReadLoad(name, entry.second);
    }
    LogStateChanges(pool);
  }
}

void
BackendDispatcher::Impl::ProbeHealth(const std::string& aPool,
                                     const BackendServerConfig& aServer)
{
  const auto address = ParseAddress(aServer.address_);
  if (!address) {
    return;
  }
  client_.Call(
    *address,
    { "GET", pools_.at(aPool).config_.healthPath_, {}, "" },
    options_.probeTimeout_,
    [weak = weak_from_this(), aPool, aServer, startedAt = BootClock::now()](
      auto aResponse, const Error&) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aResponse) {
        self->OnProbeResult(aPool,
                            aServer.name_,
                            aResponse->status_ == 200 ? ProbeResult::Passed
                                                      : ProbeResult::Failed,
                            startedAt);
      } else {
        self->ProbeConnection(aPool, aServer, ProbeResult::TimedOut);
      }
    });
}

void
BackendDispatcher::Impl::ReadLoad(const std::string& aPool,
                                  const BackendServerConfig& aServer)
{
  const auto address = ParseAddress(aServer.address_);
  if (!address) {
    return;
  }
  client_.Call(
    *address,
    { "GET", pools_.at(aPool).config_.loadPath_, {}, "" },
    options_.probeTimeout_,
    [weak = weak_from_this(), aPool, name = aServer.name_](auto aResponse,
                                                           const Error&) {
      const auto self = weak.lock();
      if (!self || !aResponse || aResponse->status_ != 200) {
        return;
      }
      const auto report = ParseLoadReport(aResponse->body_);
      const auto pool = self->pools_.find(aPool);
      if (report && pool != self->pools_.end()) {
        pool->second.pool_.OnLoadReport(name, *report, BootClock::now());
      }
    });
}

void
BackendDispatcher::Impl::ProbeConnection(
  const std::string& aPool,
  const BackendServerConfig& aServer,
  std::optional<ProbeResult> aResultIfOpen)
{
  const auto address = ParseAddress(aServer.address_);
  if (!address) {
    return;
  }
  const auto stream = std::make_shared<detail::beast::tcp_stream>(context_);
  stream->expires_after(detail::ToSteady(options_.probeTimeout_));
  stream->async_connect(
    detail::ToEndpoint(*address),
    [weak = weak_from_this(),
     stream,
     aPool,
     name = aServer.name_,
     aResultIfOpen,
     startedAt = BootClock::now()](detail::ErrorCode aError) {
      if (const auto self = weak.lock()) {
        self->OnProbeResult(aPool,
                            name,
                            aError ? std::optional(ProbeResult::ConnectFailed)
                                   : aResultIfOpen,
                            startedAt);
      }
    });
}

void
BackendDispatcher::Impl::OnProbeResult(const std::string& aPool,
                                       const std::string& aServer,
                                       std::optional<ProbeResult> aResult,
                                       TimePoint aStartedAt)
{
  const TimePoint now = BootClock::now();
  const auto pool = pools_.find(aPool);
  if (pool != pools_.end() && aResult) {
    pool->second.pool_.OnProbe(aServer, *aResult, aStartedAt, now);
    LogStateChanges(pool->second);
  }
  const bool alive = aResult != ProbeResult::ConnectFailed;
  for (const QuarantineNotice& notice :
       quarantine_.ServerChecked(aServer, alive, aStartedAt, now)) {
    if (notice.quarantined_) {
      LogEvent(Event::RequestQuarantined,
               { { "fingerprint", notice.fingerprint_ },
                 { "last_server", aServer },
                 { "servers", notice.deaths_.size() } });
    }
    const auto bytes = EncodeQuarantineNotice(notice);
    sendNotice_(std::string(bytes.begin(), bytes.end()));
  }
}

void
BackendDispatcher::Impl::LogStateChanges(Pool& aPool)
{
  for (const ServerStatus& row : aPool.pool_.Status(BootClock::now())) {
    const std::string state = row.leaving_   ? "leaving"
                              : row.down_    ? "down"
                              : row.ejected_ ? "ejected"
                                             : "in use";
    std::string& last = aPool.loggedStates_[row.name_];
    if (last != state) {
      LogEvent(Event::BackendServerState,
               { { "server", row.name_ },
                 { "pool", aPool.config_.name_ },
                 { "state", state } });
      last = state;
    }
  }
}

}
