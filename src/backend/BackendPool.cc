#include "backend/BackendPool.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

// The smallest part of a server that slow start uses.
constexpr double kFirstWarmUpFraction = 0.1;

double
LoadOf(const ServerCandidate& aCandidate)
{
  return (aCandidate.ownInFlight_ + aCandidate.othersInFlight_ + 1) /
         aCandidate.usableSlots_;
}

}

std::optional<LoadReport>
ParseLoadReport(std::string_view aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  constexpr int kMostRequests = 1'000'000;
  const auto readCount = [&json](const char* aName) -> std::optional<int> {
    if (!json.contains(aName) || !json[aName].is_number_unsigned() ||
        json[aName].get<std::uint64_t>() > kMostRequests) {
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
  return LoadOf(aCandidates[second]) < LoadOf(aCandidates[first])
           ? aCandidates[second]
           : aCandidates[first];
}

bool
BackendPool::Server::Leaving() const
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
      if (filled_) {
        server->warmUpStart_ = aNow;
      }
    } else if (server->config_.address_ != config.address_) {
      // Another process under the same name: nothing known carries over.
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
  filled_ = true;
}

void
BackendPool::SetHosts(int aRank, int aCount)
{
  hostCount_ = std::max(1, aCount);
  hostRank_ = std::clamp(aRank, 0, hostCount_ - 1);
}

void
BackendPool::Eject(Server& aServer, TimePoint aNow)
{
  const bool forgotten =
    !aServer.backOffUntil_ ||
    aNow - *aServer.backOffUntil_ > options_.backOffForgotten_;
  const Duration backOff =
    forgotten ? options_.firstBackOff_ : aServer.nextBackOff_;
  aServer.backOffUntil_ = aNow + backOff;
  aServer.nextBackOff_ = std::min(backOff * 2, options_.longestBackOff_);
}

void
BackendPool::RecordSoftFailure(Server& aServer, TimePoint aNow)
{
  aServer.lastFailure_ = aNow;
  ++aServer.consecutiveSoft_;
  const bool ejected = aServer.softUntil_ && aNow < *aServer.softUntil_;
  if (!ejected && aServer.consecutiveSoft_ >= options_.softFailures_) {
    Eject(aServer, aNow);
    aServer.softUntil_ = aServer.backOffUntil_;
  }
}

void
BackendPool::RecordConnectFailure(Server& aServer, TimePoint aNow)
{
  // One failed connection takes the server out. A dead server has no requests
  // in flight, so it would otherwise attract all of them.
  aServer.lastFailure_ = aNow;
  if (!aServer.down_) {
    aServer.down_ = true;
    Eject(aServer, aNow);
  }
}

void
BackendPool::BringBack(Server& aServer, TimePoint aNow)
{
  aServer.down_ = false;
  aServer.softUntil_.reset();
  aServer.consecutiveSoft_ = 0;
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
    if (server->softUntil_ && aNow >= *server->softUntil_) {
      BringBack(*server, aNow);
    }
    return;
  }
  // With no server in use, waiting for the back-off only refuses requests.
  if (aNow >= *server->backOffUntil_ || !HasServerInUse(aNow)) {
    BringBack(*server, aNow);
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
    // A server cannot run more than its slots, whatever it reports.
    server->reportedOthers_ = std::clamp(others, 0, server->config_.slots_);
  }
}

double
BackendPool::WarmUpFraction(const Server& aServer, TimePoint aNow) const
{
  if (!aServer.warmUpStart_ || warmUp_ <= Duration::zero()) {
    return 1;
  }
  const double part =
    ToSeconds(aNow - *aServer.warmUpStart_) / ToSeconds(warmUp_);
  return std::clamp(part, kFirstWarmUpFraction, 1.0);
}

int
BackendPool::OwnShare(const Server& aServer, std::size_t aIndex) const
{
  // The remainder of the division goes to other hosts for each server, so that
  // the shares of all servers together are about equal.
  const int slots = aServer.config_.slots_;
  const int rank =
    static_cast<int>((static_cast<std::size_t>(hostRank_) + aIndex) %
                     static_cast<std::size_t>(hostCount_));
  return slots / hostCount_ + (rank < slots % hostCount_ ? 1 : 0);
}

int
BackendPool::BeyondShare(std::size_t aIndex) const
{
  const Server& server = servers_[aIndex];
  return std::max(0, server.ownInFlight_ - OwnShare(server, aIndex));
}

bool
BackendPool::MayGoBeyondShare() const
{
  int beyond = 0;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    beyond += BeyondShare(i);
  }
  return beyond + 1 <= beyondWindow_;
}

int
BackendPool::SlotLimit(const Server& aServer, int aSlots, TimePoint aNow) const
{
  return static_cast<int>(std::ceil(aSlots * WarmUpFraction(aServer, aNow)));
}

bool
BackendPool::SoftReasonsCount(TimePoint aNow) const
{
  int reachable = 0;
  int excluded = 0;
  for (const Server& server : servers_) {
    if (!server.Leaving() && !server.down_) {
      ++reachable;
      excluded += server.softUntil_ && aNow < *server.softUntil_ ? 1 : 0;
    }
  }
  return excluded * 2 <= reachable;
}

bool
BackendPool::InUse(const Server& aServer,
                   TimePoint aNow,
                   bool aSoftCounts) const
{
  if (aServer.Leaving() || aServer.down_) {
    return false;
  }
  return !(aSoftCounts && aServer.softUntil_ && aNow < *aServer.softUntil_);
}

std::vector<ServerCandidate>
BackendPool::CandidatesWithin(bool aShare,
                              TimePoint aNow,
                              const std::set<std::string>& aAvoid) const
{
  std::vector<ServerCandidate> candidates;
  const bool softCounts = SoftReasonsCount(aNow);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const Server& server = servers_[i];
    const int slots = aShare ? OwnShare(server, i) : server.config_.slots_;
    const bool shed =
      (server.shedUntil_ && aNow < *server.shedUntil_) ||
      (!aShare && server.beyondUntil_ && aNow < *server.beyondUntil_);
    if (!InUse(server, aNow, softCounts) || shed ||
        server.ownInFlight_ >= SlotLimit(server, slots, aNow) ||
        aAvoid.count(server.config_.name_) > 0) {
      continue;
    }
    ServerCandidate candidate;
    candidate.index_ = i;
    candidate.ownInFlight_ = server.ownInFlight_;
    if (server.reportTime_) {
      const double halves = ToSeconds(aNow - *server.reportTime_) /
                            ToSeconds(options_.reportHalfLife_);
      candidate.othersInFlight_ =
        server.reportedOthers_ * std::exp2(-std::max(0.0, halves));
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
  if (options_.shareUse_ != ShareUse::Ignored) {
    candidates = CandidatesWithin(true, aNow, aAvoid);
  }
  const bool beyond =
    options_.shareUse_ == ShareUse::Ignored ||
    (options_.shareUse_ == ShareUse::First && MayGoBeyondShare());
  if (candidates.empty() && beyond) {
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
BackendPool::RecordShed(Server& aServer, bool aBeyond, TimePoint aNow)
{
  if (aBeyond) {
    beyondWindow_ = std::max(1.0, beyondWindow_ * options_.beyondCut_);
    aServer.beyondHold_ = std::clamp(aServer.beyondHold_ * 2,
                                     options_.beyondHold_,
                                     options_.longestBeyondHold_);
    aServer.beyondUntil_ = aNow + aServer.beyondHold_;
    return;
  }
  constexpr int kShedBeforeDoubling = 3;
  constexpr int kMostDoublings = 10;
  const int doublings = std::clamp(
    aServer.consecutiveShed_ - kShedBeforeDoubling + 1, 0, kMostDoublings);
  ++aServer.consecutiveShed_;
  aServer.shedUntil_ = aNow + std::min(options_.shedHold_ * (1 << doublings),
                                       options_.longestShedHold_);
}

void
BackendPool::RecordCompleted(Server& aServer, bool aBeyond)
{
  aServer.consecutiveSoft_ = 0;
  aServer.consecutiveShed_ = 0;
  if (aBeyond) {
    beyondWindow_ += options_.beyondGrowth_;
    aServer.beyondHold_ = {};
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
  const bool beyond = hostCount_ > 1 && BeyondShare(index) > 0;
  server->ownInFlight_ = std::max(0, server->ownInFlight_ - 1);
  switch (aOutcome) {
    case AttemptOutcome::Completed:
      RecordCompleted(*server, beyond);
      break;
    case AttemptOutcome::Shed:
      RecordShed(*server, beyond, aNow);
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
BackendPool::HasServerInUse(TimePoint aNow) const
{
  return SlotsInUse(aNow) > 0;
}

int
BackendPool::SlotsInUse(TimePoint aNow) const
{
  int slots = 0;
  const bool softCounts = SoftReasonsCount(aNow);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (InUse(servers_[i], aNow, softCounts)) {
      slots += SlotLimit(servers_[i], servers_[i].config_.slots_, aNow);
    }
  }
  return slots;
}

int
BackendPool::FreeSlots(TimePoint aNow) const
{
  int busy = 0;
  const bool softCounts = SoftReasonsCount(aNow);
  for (const Server& server : servers_) {
    busy += InUse(server, aNow, softCounts) ? server.ownInFlight_ : 0;
  }
  return SlotsInUse(aNow) - busy;
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
    row.leaving_ = server.Leaving();
    row.down_ = server.down_;
    row.ejected_ = server.softUntil_ && aNow < *server.softUntil_;
    row.warmingUp_ = WarmUpFraction(server, aNow) < 1;
    rows.push_back(std::move(row));
  }
  return rows;
}

}
