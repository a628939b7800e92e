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
// One way, in seconds.
constexpr double kNearWay = 0.0005;
constexpr double kFarWay = 0.055;
// Hosts read of a change of the store between these times after it.
constexpr double kLeastLag = 0.1;
constexpr double kMostLag = 1.2;
constexpr double kPublishEvery = 1;
// From the start of the crashing request to the end of its server.
constexpr double kCrashAfter = 0.005;
constexpr double kLongestHold = 1;
constexpr double kTimerLag = 0.0005;
constexpr double kHoldCheck = 0.05;
constexpr int kMostAttempts = 2;
constexpr int kThird = 3;

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
    record.name_ = Name(i);
    record.peers_ = std::to_string(i);
    record.region_ = kRegions[i % kRegions.size()];
    records_[record.name_] = record;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    MakeProcess(i);
  }
  servers_.resize(static_cast<std::size_t>(options_.servers_));
  for (Server& server : servers_) {
    server.id_ = "s" + std::to_string(nextServer_++);
  }
  Post(Uniform(0, kPublishEvery), [this] { PublishRefusals(); });
  SendOther();
  CrashOther();
}

std::string
QuarantineFleet::Name(std::size_t aHost)
{
  return "h" + std::to_string(aHost);
}

double
QuarantineFleet::Uniform(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(random_);
}

void
QuarantineFleet::Post(double aAt, std::function<void()> aTask)
{
  tasks_.emplace(aAt, std::move(aTask));
}

void
QuarantineFleet::PostOn(std::size_t aHost,
                        double aAt,
                        std::function<void(Host&)> aTask)
{
  Post(
    aAt,
    [this, aHost, process = hosts_[aHost].process_, task = std::move(aTask)] {
      Host& host = hosts_[aHost];
      if (!host.alive_ || host.process_ != process) {
        return;
      }
      if (now_ < host.frozenUntil_) {
        PostOn(aHost, host.frozenUntil_, task);
        return;
      }
      task(host);
      SetTimer(aHost);
    });
}

void
QuarantineFleet::MakeProcess(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  ++host.process_;
  host.alive_ = true;
  host.timerAt_ = 0;
  host.owners_ = std::make_unique<AllowanceOwners>(
    kDomains, kRegions[aHost % kRegions.size()], Name(aHost));
  host.owners_->SetHosts(records_);
  FleetQuarantineHooks hooks;
  hooks.send_ = [this, aHost](const std::string& aTo,
                              const QuarantineMessage& aMessage) {
    Send(aHost, std::stoul(aTo), aMessage);
  };
  host.quarantine_ = std::make_unique<FleetQuarantine>(
    options_.quarantine_, *host.owners_, std::move(hooks));
  for (const auto& [name, record] : records_) {
    if (name != Name(aHost)) {
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
  // Not before the time, however it is rounded.
  const double at = std::max(now_, ToSeconds(*next - At(0))) + kTimerLag;
  if (host.timerAt_ > now_ && host.timerAt_ <= at) {
    return;
  }
  host.timerAt_ = at;
  PostOn(
    aHost, at, [this](Host& aSelf) { aSelf.quarantine_->OnTimer(At(now_)); });
}

void
QuarantineFleet::Announce()
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const double at = std::max(now_, storeOutUntil_);
    PostOn(i, at + Uniform(kLeastLag, kMostLag), [this](Host& aSelf) {
      aSelf.owners_->SetHosts(records_);
    });
  }
}

// Each host publishes what it refuses, and the others read it a little later.
void
QuarantineFleet::PublishRefusals()
{
  Post(now_ + kPublishEvery, [this] { PublishRefusals(); });
  if (now_ < storeOutUntil_) {
    return;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto record = records_.find(Name(i));
    if (!hosts_[i].alive_ || now_ < hosts_[i].frozenUntil_ ||
        record == records_.end()) {
      continue;
    }
    HostRecord next = record->second;
    next.refused_ =
      MakeFingerprintRecords(hosts_[i].quarantine_->Published(At(now_)),
                             next.refused_,
                             At(now_),
                             UnixMs());
    next.completed_ = MakeFingerprintRecords(
      hosts_[i].quarantine_->Objections(), next.completed_, At(now_), UnixMs());
    next.suspected_ = MakeSuspicionRecords(
      hosts_[i].quarantine_->Unheard(At(now_)), next.suspected_, UnixMs());
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
        PostOn(to,
               now_ + Uniform(kLeastLag, kMostLag),
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
  if (now_ < hosts_[aFrom].cutUntil_ || Uniform(0, 1) < options_.lost_) {
    return;
  }
  const bool near = SameRegion(aFrom, aTo);
  const int copies = Uniform(0, 1) < options_.doubled_ ? 2 : 1;
  const std::string bytes = EncodeQuarantineMessage(aMessage);
  for (int i = 0; i < copies; ++i) {
    const bool late = Uniform(0, 1) < 0.1;
    const double way = (near ? kNearWay : kFarWay) +
                       (late ? Uniform(0, options_.lateSeconds_) : 0);
    PostOn(aTo, now_ + way, [this, aFrom, bytes](Host& aSelf) {
      const auto message = DecodeQuarantineMessage(bytes);
      if (message && now_ >= aSelf.cutUntil_) {
        aSelf.quarantine_->Receive(*message, std::to_string(aFrom), At(now_));
      }
    });
  }
}

void
QuarantineFleet::SendOther()
{
  if (options_.requests_ <= 0) {
    return;
  }
  Post(now_ + Uniform(0, 2 / options_.requests_), [this] {
    SendOther();
    const auto request = std::make_shared<Request>();
    const std::uint64_t number = Uniform(0, 1) < options_.popular_
                                   ? random_() % options_.popularKinds_
                                   : options_.popularKinds_ + ++nextOther_;
    request->fingerprint_ =
      MakeFingerprint("c", "GET", "/" + std::to_string(number), 0, "");
    request->idempotent_ = Uniform(0, 1) < options_.othersIdempotent_;
    request->host_ = random_() % hosts_.size();
    ++counts_.others_;
    Begin(request);
  });
}

void
QuarantineFleet::CrashOther()
{
  if (options_.otherCrashes_ <= 0) {
    return;
  }
  Post(now_ + Uniform(0, 2 / options_.otherCrashes_), [this] {
    CrashOther();
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
  request->mayComeAgain_ = options_.idempotent_;
  request->host_ = aHost;
  Begin(request);
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
QuarantineFleet::Begin(const RequestPtr& aRequest)
{
  Host& host = hosts_[aRequest->host_];
  if (!host.alive_ || now_ < host.frozenUntil_) {
    return;
  }
  aRequest->process_ = host.process_;
  Pass(aRequest, [this, aRequest] { Attempt(aRequest); });
}

// As the data path does it: held while a decision is due, for a second at most.
void
QuarantineFleet::Pass(const RequestPtr& aRequest,
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
    aRequest->heldUntil_ = now_ + kLongestHold;
    counts_.othersHeld_ += aRequest->crashing_ ? 0 : 1;
  }
  if (verdict == QuarantineVerdict::Run || now_ >= aRequest->heldUntil_) {
    aNext();
    return;
  }
  PostOn(aRequest->host_, now_ + kHoldCheck, [this, aRequest, aNext](Host&) {
    Pass(aRequest, aNext);
  });
}

void
QuarantineFleet::CountSending(const RequestPtr& aRequest)
{
  const Host& host = hosts_[aRequest->host_];
  if (aRequest->crashing_ && counts_.crashed_ >= kThird &&
      now_ > thirdCrashAt_ + kSteadySeconds &&
      now_ > host.disturbedUntil_ + kSteadySeconds) {
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
    // The attempt to connect fails, and another server is tried.
    host.quarantine_->ServerChecked(server.id_, false, At(now_), At(now_));
    PostOn(aRequest->host_, now_ + kNearWay, [this, aRequest](Host&) {
      Attempt(aRequest);
    });
    return;
  }
  ++aRequest->attempts_;
  aRequest->sentAt_ = now_;
  CountSending(aRequest);
  host.quarantine_->Started(aRequest->fingerprint_);
  server.running_.push_back(aRequest);
  const std::string id = server.id_;
  const double run = aRequest->crashing_ ? kCrashAfter : Uniform(0.02, 0.6);
  Post(now_ + run, [this, aRequest, index, id] {
    Server& there = servers_[index];
    const auto running =
      std::find(there.running_.begin(), there.running_.end(), aRequest);
    if (there.id_ != id || running == there.running_.end()) {
      return;
    }
    if (!aRequest->crashing_) {
      Finish(aRequest, index);
      return;
    }
    if (++counts_.crashed_ == kThird) {
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
  PostOn(aRequest->host_,
         now_ + kNearWay,
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
      PostOn(request->host_,
             now_ + kNearWay,
             [this, request, aServer, id = server.id_](Host&) {
               Lose(request, aServer, id);
             });
    }
  }
  Post(now_ + Uniform(1.5, 4), [this, aServer] {
    servers_[aServer].id_ = "s" + std::to_string(nextServer_++);
    servers_[aServer].alive_ = true;
  });
}

void
QuarantineFleet::Lose(const RequestPtr& aRequest,
                      std::size_t aServer,
                      const std::string& aId)
{
  counts_.othersCut_ += aRequest->crashing_ ? 0 : 1;
  FleetQuarantine& quarantine = *hosts_[aRequest->host_].quarantine_;
  quarantine.Died(aRequest->fingerprint_, aId, At(now_));
  CheckServer(aRequest->host_, aServer, aId);
  quarantine.Ended(aRequest->fingerprint_);
  const bool again =
    aRequest->idempotent_ && aRequest->attempts_ < kMostAttempts;
  if (again) {
    quarantine.AwaitVerdict(
      aRequest->fingerprint_, aId, At(now_), [this, aRequest] {
        Pass(aRequest, [this, aRequest] { Attempt(aRequest); });
      });
  } else if (aRequest->mayComeAgain_) {
    // The caller turns to another host of its region at once.
    const auto next = std::make_shared<Request>(*aRequest);
    next->mayComeAgain_ = false;
    next->attempts_ = 0;
    next->heldUntil_ = 0;
    do {
      next->host_ = random_() % hosts_.size();
    } while (!SameRegion(next->host_, aRequest->host_));
    Post(now_ + 0.01, [this, next] { Begin(next); });
  }
}

void
QuarantineFleet::CheckServer(std::size_t aHost,
                             std::size_t aServer,
                             const std::string& aId)
{
  PostOn(aHost,
         now_ + 2 * kNearWay,
         [this, aServer, aId, begun = now_](Host& aSelf) {
           const Server& server = servers_[aServer];
           const bool alive = server.alive_ && server.id_ == aId;
           aSelf.quarantine_->ServerChecked(aId, alive, At(begun), At(now_));
         });
}

void
QuarantineFleet::Kill(std::size_t aHost, double aDown)
{
  constexpr double kLapse = 4;
  Host& host = hosts_[aHost];
  if (!host.alive_) {
    return;
  }
  host.alive_ = false;
  ++host.process_;
  host.disturbedUntil_ = std::max(host.disturbedUntil_, now_ + aDown);
  if (aDown > kLapse) {
    Post(now_ + kLapse, [this, aHost] {
      records_.erase(Name(aHost));
      Announce();
    });
  }
  Post(now_ + aDown, [this, aHost] {
    HostRecord record;
    record.name_ = Name(aHost);
    record.peers_ = std::to_string(aHost);
    record.region_ = kRegions[aHost % kRegions.size()];
    records_[record.name_] = record;
    MakeProcess(aHost);
    Announce();
  });
}

void
QuarantineFleet::Freeze(std::size_t aHost, double aUntil)
{
  hosts_[aHost].frozenUntil_ = std::max(hosts_[aHost].frozenUntil_, aUntil);
  hosts_[aHost].disturbedUntil_ =
    std::max(hosts_[aHost].disturbedUntil_, aUntil);
}

void
QuarantineFleet::CutFromHosts(std::size_t aHost, double aUntil)
{
  hosts_[aHost].cutUntil_ = std::max(hosts_[aHost].cutUntil_, aUntil);
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
