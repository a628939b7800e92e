#include "backend/BackendPool.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

// Fraction of a server's slots at the start of slow start.
constexpr double kMinWarmUpFraction = 0.1;

double
RelativeLoad(const ServerCandidate& aCandidate)
{
  return (aCandidate.ownInFlight_ + aCandidate.othersInFlight_ + 1) /
         aCandidate.usableSlots_;
}

}

std::optional<LoadReport>
ParseLoadReport(std::string_view aText)
{
  const auto json = ParseBoundedJson(aText);
  constexpr int kMaxRequests = 1'000'000;
  const auto readCount = [&json](const char* aName) -> std::optional<int> {
    if (!json.contains(aName) || !json[aName].is_number_unsigned() ||
        json[aName].get<std::uint64_t>() > kMaxRequests) {
      return std::nullopt;
    }
    return json[aName].get<int>();
  };
  if (!json.is_object()) {
    return std::nullopt;
  }
  const std::optional<int> inFlight = readCount("in_flight");
  const std::optional<int> slots = readCount("slots");
  if (!inFlight || !slots || !json.contains("leaving") ||
      !json["leaving"].is_boolean()) {
    return std::nullopt;
  }
  return LoadReport{ *inFlight, *slots, json["leaving"].get<bool>() };
}

const ServerCandidate&
ChooseLeastLoadedOfTwo(const std::vector<ServerCandidate>& aCandidates,
                       std::mt19937_64& aRandom)
{
  const std::size_t count = aCandidates.size();
  const std::size_t first = aRandom() % count;
  std::size_t second = first;
  if (count > 1) {
    second = (first + 1 + aRandom() % (count - 1)) % count;
  }
  return RelativeLoad(aCandidates[second]) < RelativeLoad(aCandidates[first])
           ? aCandidates[second]
           : aCandidates[first];
}

bool
BackendPool::Server::IsLeaving() const
{
  return removed_ || listedLeaving_ || reportedLeaving_;
}

BackendPool::BackendPool(BackendPoolOptions aOptions, std::uint64_t aSeed)
  : options_(std::move(aOptions))
  , random_(aSeed)
{
}

BackendPool::Server*
BackendPool::Find(const std::string& aServer)
{
  for (Server& server : servers_) {
    if (server.config_.name_ == aServer) {
      return &server;
    }
  }
  return nullptr;
}

void
BackendPool::SetServers(Duration aWarmUp,
                        const std::vector<BackendServerConfig>& aServers,
                        const std::set<std::string>& aLeaving,
                        TimePoint aNow)
{
  warmUp_ = aWarmUp;
  for (Server& server : servers_) {
    server.removed_ = true;
  }
  for (const BackendServerConfig& config : aServers) {
    Server* server = Find(config.name_);
    if (server == nullptr) {
      servers_.emplace_back();
      server = &servers_.back();
      if (initialized_) {
        server->warmUpStart_ = aNow;
      }
    } else if (server->config_.address_ != config.address_) {
      // A different process under the same name: discard the previous state.
      const int inFlight = server->ownInFlight_;
      *server = Server{};
      server->ownInFlight_ = inFlight;
      server->warmUpStart_ = aNow;
    }
    server->config_ = config;
    server->removed_ = false;
    server->listedLeaving_ = aLeaving.count(config.name_) > 0;
  }
  servers_.erase(std::remove_if(servers_.begin(),
                                servers_.end(),
                                [](const Server& aServer) {
                                  return aServer.removed_ &&
                                         aServer.ownInFlight_ == 0;
                                }),
                 servers_.end());
  initialized_ = true;
}

void
BackendPool::SetHosts(int aRank, int aCount)
{
  hostCount_ = std::max(1, aCount);
  hostRank_ = std::clamp(aRank, 0, hostCount_ - 1);
}

void
BackendPool::StartBackoff(Server& aServer, TimePoint aNow)
{
  const bool reset = !aServer.backoffUntil_ ||
                     aNow - *aServer.backoffUntil_ > options_.backoffResetTime_;
  const Duration backoff =
    reset ? options_.initialBackoff_ : aServer.nextBackoff_;
  aServer.backoffUntil_ = aNow + backoff;
  aServer.nextBackoff_ = std::min(backoff * 2, options_.maxBackoff_);
}

void
BackendPool::RecordSoftFailure(Server& aServer, TimePoint aNow)
{
  aServer.lastFailure_ = aNow;
  ++aServer.consecutiveSoftFailures_;
  const bool ejected = aServer.ejectedUntil_ && aNow < *aServer.ejectedUntil_;
  if (!ejected &&
      aServer.consecutiveSoftFailures_ >= options_.ejectionThreshold_) {
    StartBackoff(aServer, aNow);
    aServer.ejectedUntil_ = aServer.backoffUntil_;
  }
}

void
BackendPool::RecordConnectFailure(Server& aServer, TimePoint aNow)
{
  // A single failed connection makes the server unavailable. A dead server has
  // no requests in flight, so least-loaded selection would otherwise prefer it.
  aServer.lastFailure_ = aNow;
  if (!aServer.down_) {
    aServer.down_ = true;
    StartBackoff(aServer, aNow);
  }
}

void
BackendPool::Reinstate(Server& aServer, TimePoint aNow)
{
  aServer.down_ = false;
  aServer.ejectedUntil_.reset();
  aServer.consecutiveSoftFailures_ = 0;
  aServer.warmUpStart_ = aNow;
}

void
BackendPool::OnProbe(const std::string& aServer,
                     ProbeResult aResult,
                     TimePoint aStarted,
                     TimePoint aNow)
{
  Server* server = Find(aServer);
  if (server == nullptr) {
    return;
  }
  if (aResult == ProbeResult::ConnectFailed) {
    RecordConnectFailure(*server, aNow);
    return;
  }
  if (aResult != ProbeResult::Passed) {
    RecordSoftFailure(*server, aNow);
    return;
  }
  if (server->lastFailure_ && aStarted <= *server->lastFailure_) {
    return;
  }
  if (!server->down_) {
    if (server->ejectedUntil_ && aNow >= *server->ejectedUntil_) {
      Reinstate(*server, aNow);
    }
    return;
  }
  // If no server is available, waiting for the backoff would only cause
  // requests to be refused.
  if (aNow >= *server->backoffUntil_ || !HasAvailableServer(aNow)) {
    Reinstate(*server, aNow);
  }
}

void
BackendPool::OnLoadReport(const std::string& aServer,
                          const LoadReport& aReport,
                          TimePoint aNow)
{
  if (Server* server = Find(aServer)) {
    server->reportedLeaving_ = aReport.leaving_;
    server->reportTime_ = aNow;
    const int others = aReport.inFlight_ - server->ownInFlight_;
    // Limits the effect of wrong reports: a server cannot run more requests
    // than it has slots.
    server->reportedOthers_ = std::clamp(others, 0, server->config_.slots_);
  }
}

double
BackendPool::WarmUpFraction(const Server& aServer, TimePoint aNow) const
{
  if (!aServer.warmUpStart_ || warmUp_ <= Duration::zero()) {
    return 1;
  }
  const double fraction =
    ToSeconds(aNow - *aServer.warmUpStart_) / ToSeconds(warmUp_);
  return std::clamp(fraction, kMinWarmUpFraction, 1.0);
}

int
BackendPool::OwnShare(const Server& aServer, std::size_t aIndex) const
{
  // The remainder of the division goes to different hosts for different
  // servers, so that the hosts' total shares are about equal.
  const int slots = aServer.config_.slots_;
  const int rank =
    static_cast<int>((static_cast<std::size_t>(hostRank_) + aIndex) %
                     static_cast<std::size_t>(hostCount_));
  return slots / hostCount_ + (rank < slots % hostCount_ ? 1 : 0);
}

int
BackendPool::ExcessOverShare(std::size_t aIndex) const
{
  const Server& server = servers_[aIndex];
  return std::max(0, server.ownInFlight_ - OwnShare(server, aIndex));
}

bool
BackendPool::MayExceedShare() const
{
  int excess = 0;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    excess += ExcessOverShare(i);
  }
  return excess + 1 <= excessWindow_;
}

int
BackendPool::SlotLimit(const Server& aServer, int aSlots, TimePoint aNow) const
{
  return static_cast<int>(std::ceil(aSlots * WarmUpFraction(aServer, aNow)));
}

bool
BackendPool::EjectionsApply(TimePoint aNow) const
{
  int reachable = 0;
  int ejected = 0;
  for (const Server& server : servers_) {
    if (!server.IsLeaving() && !server.down_) {
      ++reachable;
      ejected += server.ejectedUntil_ && aNow < *server.ejectedUntil_ ? 1 : 0;
    }
  }
  return ejected * 2 <= reachable;
}

bool
BackendPool::IsAvailable(const Server& aServer,
                         TimePoint aNow,
                         bool aEjectionsApply) const
{
  if (aServer.IsLeaving() || aServer.down_) {
    return false;
  }
  return !(aEjectionsApply && aServer.ejectedUntil_ &&
           aNow < *aServer.ejectedUntil_);
}

std::vector<ServerCandidate>
BackendPool::CandidatesWithin(bool aOwnShareOnly,
                              TimePoint aNow,
                              const std::set<std::string>& aAvoid) const
{
  std::vector<ServerCandidate> candidates;
  const bool ejectionsApply = EjectionsApply(aNow);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const Server& server = servers_[i];
    const int slots =
      aOwnShareOnly ? OwnShare(server, i) : server.config_.slots_;
    const bool shed =
      (server.shedBackoffUntil_ && aNow < *server.shedBackoffUntil_) ||
      (!aOwnShareOnly && server.excessBackoffUntil_ &&
       aNow < *server.excessBackoffUntil_);
    if (!IsAvailable(server, aNow, ejectionsApply) || shed ||
        server.ownInFlight_ >= SlotLimit(server, slots, aNow) ||
        aAvoid.count(server.config_.name_) > 0) {
      continue;
    }
    ServerCandidate candidate;
    candidate.index_ = i;
    candidate.ownInFlight_ = server.ownInFlight_;
    if (server.reportTime_) {
      const double halfLives = ToSeconds(aNow - *server.reportTime_) /
                               ToSeconds(options_.reportHalfLife_);
      candidate.othersInFlight_ =
        server.reportedOthers_ * std::exp2(-std::max(0.0, halfLives));
    }
    candidate.usableSlots_ =
      server.config_.slots_ * WarmUpFraction(server, aNow);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<ServerCandidate>
BackendPool::Candidates(TimePoint aNow,
                        const std::set<std::string>& aAvoid) const
{
  std::vector<ServerCandidate> candidates;
  if (options_.sharePolicy_ != SharePolicy::Ignored) {
    candidates = CandidatesWithin(true, aNow, aAvoid);
  }
  const bool excess =
    options_.sharePolicy_ == SharePolicy::Ignored ||
    (options_.sharePolicy_ == SharePolicy::OwnShareFirst && MayExceedShare());
  if (candidates.empty() && excess) {
    candidates = CandidatesWithin(false, aNow, aAvoid);
  }
  return candidates;
}

std::optional<std::string>
BackendPool::Acquire(TimePoint aNow, const std::set<std::string>& aAvoid)
{
  std::vector<ServerCandidate> candidates = Candidates(aNow, aAvoid);
  if (candidates.empty() && !aAvoid.empty()) {
    candidates = Candidates(aNow, {});
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  Server& server = servers_[options_.chooser_(candidates, random_).index_];
  ++server.ownInFlight_;
  return server.config_.name_;
}

void
BackendPool::RecordShed(Server& aServer, bool aExcess, TimePoint aNow)
{
  if (aExcess) {
    excessWindow_ =
      std::max(1.0, excessWindow_ * options_.excessWindowDecrease_);
    aServer.excessBackoff_ = std::clamp(aServer.excessBackoff_ * 2,
                                        options_.excessBackoff_,
                                        options_.maxExcessBackoff_);
    aServer.excessBackoffUntil_ = aNow + aServer.excessBackoff_;
    return;
  }
  constexpr int kShedsBeforeDoubling = 3;
  constexpr int kMaxDoublings = 10;
  const int doublings = std::clamp(
    aServer.consecutiveSheds_ - kShedsBeforeDoubling + 1, 0, kMaxDoublings);
  ++aServer.consecutiveSheds_;
  aServer.shedBackoffUntil_ =
    aNow + std::min(options_.shedBackoff_ * (1 << doublings),
                    options_.maxShedBackoff_);
}

void
BackendPool::RecordCompleted(Server& aServer, bool aExcess)
{
  aServer.consecutiveSoftFailures_ = 0;
  aServer.consecutiveSheds_ = 0;
  if (aExcess) {
    excessWindow_ += options_.excessWindowIncrease_;
    aServer.excessBackoff_ = {};
  }
}

void
BackendPool::Release(const std::string& aServer,
                     AttemptOutcome aOutcome,
                     TimePoint aNow)
{
  Server* server = Find(aServer);
  if (server == nullptr) {
    return;
  }
  const auto index = static_cast<std::size_t>(server - servers_.data());
  const bool excess = hostCount_ > 1 && ExcessOverShare(index) > 0;
  server->ownInFlight_ = std::max(0, server->ownInFlight_ - 1);
  switch (aOutcome) {
    case AttemptOutcome::Completed:
      RecordCompleted(*server, excess);
      break;
    case AttemptOutcome::Shed:
      RecordShed(*server, excess, aNow);
      break;
    case AttemptOutcome::ConnectFailed:
      RecordConnectFailure(*server, aNow);
      break;
    case AttemptOutcome::Reset:
    case AttemptOutcome::TimedOut:
      RecordSoftFailure(*server, aNow);
      break;
    case AttemptOutcome::Cancelled:
      break;
  }
}

bool
BackendPool::HasFreeSlot(TimePoint aNow) const
{
  return !Candidates(aNow, {}).empty();
}

bool
BackendPool::HasAvailableServer(TimePoint aNow) const
{
  return UsableSlots(aNow) > 0;
}

int
BackendPool::UsableSlots(TimePoint aNow) const
{
  int slots = 0;
  const bool ejectionsApply = EjectionsApply(aNow);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (IsAvailable(servers_[i], aNow, ejectionsApply)) {
      slots += SlotLimit(servers_[i], servers_[i].config_.slots_, aNow);
    }
  }
  return slots;
}

int
BackendPool::FreeSlots(TimePoint aNow) const
{
  int busy = 0;
  const bool ejectionsApply = EjectionsApply(aNow);
  for (const Server& server : servers_) {
    busy += IsAvailable(server, aNow, ejectionsApply) ? server.ownInFlight_ : 0;
  }
  return UsableSlots(aNow) - busy;
}

bool
BackendPool::IsDown(const std::string& aServer) const
{
  return std::any_of(
    servers_.begin(), servers_.end(), [&aServer](const Server& aEntry) {
      return aEntry.config_.name_ == aServer && aEntry.down_;
    });
}

std::vector<ServerStatus>
BackendPool::Status(TimePoint aNow) const
{
  std::vector<ServerStatus> rows;
  for (const Server& server : servers_) {
    ServerStatus row;
    row.name_ = server.config_.name_;
    row.ownInFlight_ = server.ownInFlight_;
    row.leaving_ = server.IsLeaving();
    row.down_ = server.down_;
    row.ejected_ = server.ejectedUntil_ && aNow < *server.ejectedUntil_;
    row.warmingUp_ = WarmUpFraction(server, aNow) < 1;
    rows.push_back(std::move(row));
  }
  return rows;
}

}
