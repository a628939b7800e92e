#include "gateway/testing/QuarantineFleet.h"

#include "gateway/QuarantineRecords.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

const std::map<std::string, std::string> kDomains{ { "a", "east" },
                                                   { "b", "north" },
                                                   { "c", "west" } };
const std::vector<std::string> kRegions{ "east", "north", "west" };
// One-way latencies, in seconds.
constexpr double kLocalLatency = 0.0005;
constexpr double kRemoteLatency = 0.055;
// The minimum and maximum delay, in seconds, after which hosts read a change of
// the store.
constexpr double kMinReadDelay = 0.1;
constexpr double kMaxReadDelay = 1.2;
constexpr double kPublishInterval = 1;
// The time from the start of the crashing request to the crash of its server.
constexpr double kCrashDelay = 0.005;
constexpr double kMaxHold = 1;
constexpr double kTimerDelay = 0.0005;
constexpr double kHoldPollInterval = 0.05;
constexpr int kMaxAttempts = 2;
constexpr int kThirdCrash = 3;

const std::string&
CrashingFingerprint()
{
  static const std::string kFingerprint =
    MakeFingerprint("c", "GET", "/crashing", 0, "");
  return kFingerprint;
}

bool
SameRegion(std::size_t aOne, std::size_t aOther)
{
  return aOne % kRegions.size() == aOther % kRegions.size();
}

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

}

QuarantineFleet::QuarantineFleet(int aHosts,
                                 QuarantineFleetOptions aOptions,
                                 std::uint64_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
{
  hosts_.resize(static_cast<std::size_t>(aHosts));
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    HostRecord record;
    record.name_ = HostName(i);
    record.peers_ = std::to_string(i);
    record.region_ = kRegions[i % kRegions.size()];
    records_[record.name_] = record;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    StartProcess(i);
  }
  servers_.resize(static_cast<std::size_t>(options_.servers_));
  for (Server& server : servers_) {
    server.id_ = "s" + std::to_string(nextServer_++);
  }
  Schedule(Uniform(0, kPublishInterval), [this] { PublishRefusals(); });
  SendOtherRequest();
  CrashRandomServer();
}

std::string
QuarantineFleet::HostName(std::size_t aHost)
{
  return "h" + std::to_string(aHost);
}

double
QuarantineFleet::Uniform(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(random_);
}

void
QuarantineFleet::Schedule(double aAt, std::function<void()> aTask)
{
  tasks_.emplace(aAt, std::move(aTask));
}

void
QuarantineFleet::ScheduleOn(std::size_t aHost,
                            double aAt,
                            std::function<void(Host&)> aTask)
{
  Schedule(
    aAt,
    [this, aHost, process = hosts_[aHost].process_, task = std::move(aTask)] {
      Host& host = hosts_[aHost];
      if (!host.alive_ || host.process_ != process) {
        return;
      }
      if (now_ < host.suspendedUntil_) {
        ScheduleOn(aHost, host.suspendedUntil_, task);
        return;
      }
      task(host);
      SetTimer(aHost);
    });
}

void
QuarantineFleet::StartProcess(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  ++host.process_;
  host.alive_ = true;
  host.timerAt_ = 0;
  host.owners_ = std::make_unique<AllowanceOwners>(
    kDomains, kRegions[aHost % kRegions.size()], HostName(aHost));
  host.owners_->SetHosts(records_);
  FleetQuarantineHooks hooks;
  hooks.send_ = [this, aHost](const std::string& aTo,
                              const QuarantineMessage& aMessage) {
    Send(aHost, std::stoul(aTo), aMessage);
  };
  host.quarantine_ = std::make_unique<FleetQuarantine>(
    options_.quarantine_, *host.owners_, std::move(hooks));
  for (const auto& [name, record] : records_) {
    if (name != HostName(aHost)) {
      ReadRecord(host, record);
    }
  }
}

void
QuarantineFleet::SetTimer(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  const auto next = host.quarantine_->NextTimeout(At(now_));
  if (!next) {
    return;
  }
  // Never before the timeout, whatever the rounding.
  const double at = std::max(now_, ToSeconds(*next - At(0))) + kTimerDelay;
  if (host.timerAt_ > now_ && host.timerAt_ <= at) {
    return;
  }
  host.timerAt_ = at;
  ScheduleOn(
    aHost, at, [this](Host& aSelf) { aSelf.quarantine_->OnTimer(At(now_)); });
}

void
QuarantineFleet::AnnounceHosts()
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const double at = std::max(now_, storeUnavailableUntil_);
    ScheduleOn(i,
               at + Uniform(kMinReadDelay, kMaxReadDelay),
               [this](Host& aSelf) { aSelf.owners_->SetHosts(records_); });
  }
}

// Each host publishes its refused requests; the others read them a little
// later.
void
QuarantineFleet::PublishRefusals()
{
  Schedule(now_ + kPublishInterval, [this] { PublishRefusals(); });
  if (now_ < storeUnavailableUntil_) {
    return;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto record = records_.find(HostName(i));
    if (!hosts_[i].alive_ || now_ < hosts_[i].suspendedUntil_ ||
        record == records_.end()) {
      continue;
    }
    HostRecord next = record->second;
    next.refused_ =
      MakeFingerprintRecords(hosts_[i].quarantine_->PublishedRefusals(At(now_)),
                             next.refused_,
                             At(now_),
                             UnixMs());
    next.completed_ = MakeFingerprintRecords(
      hosts_[i].quarantine_->Objections(), next.completed_, At(now_), UnixMs());
    next.suspected_ = MakeSuspicionRecords(
      hosts_[i].quarantine_->UnacknowledgedReports(At(now_)),
      next.suspected_,
      UnixMs());
    const bool same = next.refused_ == record->second.refused_ &&
                      next.completed_ == record->second.completed_ &&
                      next.suspected_ == record->second.suspected_;
    if (same) {
      continue;
    }
    ++counts_.writes_;
    record->second = next;
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (to != i) {
        ScheduleOn(to,
                   now_ + Uniform(kMinReadDelay, kMaxReadDelay),
                   [this, next](Host& aSelf) { ReadRecord(aSelf, next); });
      }
    }
  }
}

void
QuarantineFleet::ReadRecord(Host& aHost, const HostRecord& aRecord)
{
  const TimePoint now = At(now_);
  for (const FingerprintTime& refused :
       ReadFingerprintRecords(aRecord.refused_, now, UnixMs())) {
    aHost.quarantine_->ApplyPublished(refused, now);
  }
  for (const FingerprintTime& completed :
       ReadFingerprintRecords(aRecord.completed_, now, UnixMs())) {
    aHost.quarantine_->ApplyObjection(completed, now);
  }
  for (const QuarantineNotice& suspicion :
       ReadSuspicionRecords(aRecord.suspected_, UnixMs())) {
    aHost.quarantine_->ApplySuspicion(suspicion, now);
  }
}

std::int64_t
QuarantineFleet::UnixMs() const
{
  return ToMilliseconds(FromSeconds(now_));
}

void
QuarantineFleet::Send(std::size_t aFrom,
                      std::size_t aTo,
                      const QuarantineMessage& aMessage)
{
  ++counts_.messages_;
  if (now_ < hosts_[aFrom].partitionedUntil_ ||
      Uniform(0, 1) < options_.lossRate_) {
    return;
  }
  const bool local = SameRegion(aFrom, aTo);
  const int copies = Uniform(0, 1) < options_.duplicateRate_ ? 2 : 1;
  const std::string bytes = EncodeQuarantineMessage(aMessage);
  for (int i = 0; i < copies; ++i) {
    const bool delayed = Uniform(0, 1) < 0.1;
    const double latency =
      (local ? kLocalLatency : kRemoteLatency) +
      (delayed ? Uniform(0, options_.maxDelaySeconds_) : 0);
    ScheduleOn(aTo, now_ + latency, [this, aFrom, bytes](Host& aSelf) {
      const auto message = DecodeQuarantineMessage(bytes);
      if (message && now_ >= aSelf.partitionedUntil_) {
        aSelf.quarantine_->Receive(*message, std::to_string(aFrom), At(now_));
      }
    });
  }
}

void
QuarantineFleet::SendOtherRequest()
{
  if (options_.otherRequestRate_ <= 0) {
    return;
  }
  Schedule(now_ + Uniform(0, 2 / options_.otherRequestRate_), [this] {
    SendOtherRequest();
    const auto request = std::make_shared<Request>();
    const std::uint64_t number = Uniform(0, 1) < options_.popularFraction_
                                   ? random_() % options_.popularRequests_
                                   : options_.popularRequests_ + ++nextOther_;
    request->fingerprint_ =
      MakeFingerprint("c", "GET", "/" + std::to_string(number), 0, "");
    request->idempotent_ = Uniform(0, 1) < options_.othersIdempotent_;
    request->host_ = random_() % hosts_.size();
    ++counts_.others_;
    StartRequest(request);
  });
}

void
QuarantineFleet::CrashRandomServer()
{
  if (options_.otherCrashRate_ <= 0) {
    return;
  }
  Schedule(now_ + Uniform(0, 2 / options_.otherCrashRate_), [this] {
    CrashRandomServer();
    const std::size_t server = random_() % servers_.size();
    if (servers_[server].alive_) {
      Crash(server);
    }
  });
}

void
QuarantineFleet::SendCrashing(std::size_t aHost)
{
  const auto request = std::make_shared<Request>();
  request->fingerprint_ = CrashingFingerprint();
  request->crashing_ = true;
  request->idempotent_ = options_.idempotent_;
  request->callerMayRetry_ = options_.idempotent_;
  request->host_ = aHost;
  StartRequest(request);
}

void
QuarantineFleet::CrashServers(std::size_t aServers)
{
  for (std::size_t server = 0; server < aServers; ++server) {
    if (servers_[server].alive_) {
      Crash(server);
    }
  }
}

bool
QuarantineFleet::Refuses(std::size_t aHost)
{
  return hosts_[aHost].quarantine_->Check(CrashingFingerprint(), At(now_)) ==
         QuarantineVerdict::Refuse;
}

void
QuarantineFleet::StartRequest(const RequestPtr& aRequest)
{
  Host& host = hosts_[aRequest->host_];
  if (!host.alive_ || now_ < host.suspendedUntil_) {
    return;
  }
  aRequest->process_ = host.process_;
  PassQuarantine(aRequest, [this, aRequest] { Attempt(aRequest); });
}

// Same as on the data path: held while a decision is pending, for one second at
// most.
void
QuarantineFleet::PassQuarantine(const RequestPtr& aRequest,
                                const std::function<void()>& aNext)
{
  Host& host = hosts_[aRequest->host_];
  const auto verdict =
    host.quarantine_->Check(aRequest->fingerprint_, At(now_));
  if (verdict == QuarantineVerdict::Refuse) {
    counts_.othersRefused_ += aRequest->crashing_ ? 0 : 1;
    return;
  }
  if (verdict == QuarantineVerdict::Wait && aRequest->heldUntil_ == 0) {
    aRequest->heldUntil_ = now_ + kMaxHold;
    counts_.othersHeld_ += aRequest->crashing_ ? 0 : 1;
  }
  if (verdict == QuarantineVerdict::Run || now_ >= aRequest->heldUntil_) {
    aNext();
    return;
  }
  ScheduleOn(
    aRequest->host_, now_ + kHoldPollInterval, [this, aRequest, aNext](Host&) {
      PassQuarantine(aRequest, aNext);
    });
}

void
QuarantineFleet::CountLateSend(const RequestPtr& aRequest)
{
  const Host& host = hosts_[aRequest->host_];
  if (aRequest->crashing_ && counts_.crashed_ >= kThirdCrash &&
      now_ > thirdCrashAt_ + kStableSeconds &&
      now_ > host.faultyUntil_ + kStableSeconds) {
    ++counts_.sentLate_;
  }
}

void
QuarantineFleet::Attempt(const RequestPtr& aRequest)
{
  Host& host = hosts_[aRequest->host_];
  const std::size_t index = random_() % servers_.size();
  Server& server = servers_[index];
  if (!server.alive_) {
    // The connection attempt fails, and another server is tried.
    host.quarantine_->ServerChecked(server.id_, false, At(now_), At(now_));
    ScheduleOn(aRequest->host_, now_ + kLocalLatency, [this, aRequest](Host&) {
      Attempt(aRequest);
    });
    return;
  }
  ++aRequest->attempts_;
  aRequest->sentAt_ = now_;
  CountLateSend(aRequest);
  host.quarantine_->Started(aRequest->fingerprint_);
  server.running_.push_back(aRequest);
  const std::string id = server.id_;
  const double run = aRequest->crashing_ ? kCrashDelay : Uniform(0.02, 0.6);
  Schedule(now_ + run, [this, aRequest, index, id] {
    Server& current = servers_[index];
    const auto running =
      std::find(current.running_.begin(), current.running_.end(), aRequest);
    if (current.id_ != id || running == current.running_.end()) {
      return;
    }
    if (!aRequest->crashing_) {
      Finish(aRequest, index);
      return;
    }
    if (++counts_.crashed_ == kThirdCrash) {
      thirdCrashAt_ = now_;
    }
    Crash(index);
  });
}

void
QuarantineFleet::Finish(const RequestPtr& aRequest, std::size_t aServer)
{
  Server& server = servers_[aServer];
  server.running_.erase(
    std::find(server.running_.begin(), server.running_.end(), aRequest));
  if (hosts_[aRequest->host_].process_ != aRequest->process_) {
    return;
  }
  ScheduleOn(aRequest->host_,
             now_ + kLocalLatency,
             [this, aRequest, id = server.id_](Host& aSelf) {
               aSelf.quarantine_->Completed(aRequest->fingerprint_, At(now_));
               aSelf.quarantine_->ServerChecked(
                 id, true, At(aRequest->sentAt_), At(now_));
               aSelf.quarantine_->Ended(aRequest->fingerprint_);
             });
}

void
QuarantineFleet::Crash(std::size_t aServer)
{
  Server& server = servers_[aServer];
  server.alive_ = false;
  const std::vector<RequestPtr> lost = std::move(server.running_);
  server.running_.clear();
  for (const RequestPtr& request : lost) {
    if (hosts_[request->host_].process_ == request->process_) {
      ScheduleOn(request->host_,
                 now_ + kLocalLatency,
                 [this, request, aServer, id = server.id_](Host&) {
                   OnConnectionLost(request, aServer, id);
                 });
    }
  }
  Schedule(now_ + Uniform(1.5, 4), [this, aServer] {
    servers_[aServer].id_ = "s" + std::to_string(nextServer_++);
    servers_[aServer].alive_ = true;
  });
}

void
QuarantineFleet::OnConnectionLost(const RequestPtr& aRequest,
                                  std::size_t aServer,
                                  const std::string& aId)
{
  counts_.othersInterrupted_ += aRequest->crashing_ ? 0 : 1;
  FleetQuarantine& quarantine = *hosts_[aRequest->host_].quarantine_;
  quarantine.Died(aRequest->fingerprint_, aId, At(now_));
  CheckServer(aRequest->host_, aServer, aId);
  quarantine.Ended(aRequest->fingerprint_);
  const bool retry =
    aRequest->idempotent_ && aRequest->attempts_ < kMaxAttempts;
  if (retry) {
    quarantine.AwaitVerdict(
      aRequest->fingerprint_, aId, At(now_), [this, aRequest] {
        PassQuarantine(aRequest, [this, aRequest] { Attempt(aRequest); });
      });
  } else if (aRequest->callerMayRetry_) {
    // The caller retries immediately at another host of its region.
    const auto next = std::make_shared<Request>(*aRequest);
    next->callerMayRetry_ = false;
    next->attempts_ = 0;
    next->heldUntil_ = 0;
    do {
      next->host_ = random_() % hosts_.size();
    } while (!SameRegion(next->host_, aRequest->host_));
    Schedule(now_ + 0.01, [this, next] { StartRequest(next); });
  }
}

void
QuarantineFleet::CheckServer(std::size_t aHost,
                             std::size_t aServer,
                             const std::string& aId)
{
  ScheduleOn(aHost,
             now_ + 2 * kLocalLatency,
             [this, aServer, aId, startedAt = now_](Host& aSelf) {
               const Server& server = servers_[aServer];
               const bool alive = server.alive_ && server.id_ == aId;
               aSelf.quarantine_->ServerChecked(
                 aId, alive, At(startedAt), At(now_));
             });
}

void
QuarantineFleet::Kill(std::size_t aHost, double aDownSeconds)
{
  constexpr double kLeaseTtl = 4;
  Host& host = hosts_[aHost];
  if (!host.alive_) {
    return;
  }
  host.alive_ = false;
  ++host.process_;
  host.faultyUntil_ = std::max(host.faultyUntil_, now_ + aDownSeconds);
  if (aDownSeconds > kLeaseTtl) {
    Schedule(now_ + kLeaseTtl, [this, aHost] {
      records_.erase(HostName(aHost));
      AnnounceHosts();
    });
  }
  Schedule(now_ + aDownSeconds, [this, aHost] {
    HostRecord record;
    record.name_ = HostName(aHost);
    record.peers_ = std::to_string(aHost);
    record.region_ = kRegions[aHost % kRegions.size()];
    records_[record.name_] = record;
    StartProcess(aHost);
    AnnounceHosts();
  });
}

void
QuarantineFleet::Suspend(std::size_t aHost, double aUntil)
{
  hosts_[aHost].suspendedUntil_ =
    std::max(hosts_[aHost].suspendedUntil_, aUntil);
  hosts_[aHost].faultyUntil_ = std::max(hosts_[aHost].faultyUntil_, aUntil);
}

void
QuarantineFleet::Partition(std::size_t aHost, double aUntil)
{
  hosts_[aHost].partitionedUntil_ =
    std::max(hosts_[aHost].partitionedUntil_, aUntil);
}

void
QuarantineFleet::RunUntil(double aNow)
{
  while (!tasks_.empty() && tasks_.begin()->first <= aNow) {
    const auto task = std::move(tasks_.begin()->second);
    now_ = std::max(now_, tasks_.begin()->first);
    tasks_.erase(tasks_.begin());
    task();
  }
  now_ = std::max(now_, aNow);
}

}
