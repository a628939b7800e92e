#include "app/SteeringAdapter.h"

#include "base/EventLog.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
// Estimated time for which a request occupies a slot of a backend server. Used
// to estimate the wait when the pool is full.
constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(50);
// Smallest change of a region's keep fraction that is logged.
constexpr double kMinLoggedChange = 0.05;

HostSteeringOptions
MakeOptions(const Settings& aSettings)
{
  HostSteeringOptions options;
  options.lookup_.timeToLive_ = aSettings.lookupTtl_;
  // A pool may have a single slot; a reserved slot would leave none for relayed
  // requests.
  options.admission_.reservedSlots_ = 0;
  return options;
}

bool
RegionHasPool(const Configuration& aConfiguration,
              const std::string& aRegion,
              const std::string& aPool)
{
  const auto& servers = aConfiguration.backendServers_;
  return std::any_of(
    servers.begin(), servers.end(), [&](const BackendServerConfig& aServer) {
      return aServer.pool_ == aPool && aServer.region_ == aRegion &&
             !aConfiguration.IsDraining(DrainKind::BackendServer,
                                        aServer.name_);
    });
}

}

SteeringAdapter::SteeringAdapter(const Settings& aSettings,
                                 const Snapshot<Configuration>& aConfiguration,
                                 const HostDirectory& aDirectory,
                                 const BackendDispatcher& aBackends,
                                 Metrics& aMetrics)
  : settings_(aSettings)
  , configuration_(aConfiguration)
  , directory_(aDirectory)
  , backends_(aBackends)
  , metrics_(aMetrics)
  , steering_(
      std::make_shared<HostSteering>(aSettings.region_, MakeOptions(aSettings)))
{
}

void
SteeringAdapter::Refresh()
{
  const TimePoint now = BootClock::now();
  const ConfigurationPtr configuration = configuration_.Get();
  const bool newVersion =
    configuration != appliedConfiguration_ && configuration != nullptr;
  const bool tick = now - lastTick_ >= kTickInterval;
  if (newVersion) {
    ApplyConfiguration(configuration, now);
  }
  // Leaving notices expire without a new revision, so each tick reads the list
  // too.
  if (newVersion || tick || directory_.Revision() != directoryRevision_) {
    directoryRevision_ = directory_.Revision();
    std::vector<LookupHost> hosts = directory_.LookupHosts(now);
    hostStates_.clear();
    for (const LookupHost& host : hosts) {
      hostStates_[host.name_] = host.state_;
    }
    steering_->SetHosts(std::move(hosts));
  }
  if (tick) {
    Tick(now);
  }
}

void
SteeringAdapter::ApplyConfiguration(const ConfigurationPtr& aConfiguration,
                                    TimePoint aNow)
{
  appliedConfiguration_ = aConfiguration;
  std::vector<std::string> previouslyDrained;
  for (const RegionDrain& drain : steering_->Drains()) {
    previouslyDrained.push_back(drain.region_);
  }
  steering_->SetConfiguration(aConfiguration, aNow);
  for (const RegionDrain& drain : steering_->Drains()) {
    if (std::find(previouslyDrained.begin(),
                  previouslyDrained.end(),
                  drain.region_) == previouslyDrained.end()) {
      LogEvent(Event::RegionDrainPlanned,
               { { "region", drain.region_ },
                 { "move_seconds", ToSeconds(drain.plan_.moveTime_) },
                 { "total_seconds", ToSeconds(drain.plan_.totalTime_) },
                 { "bound", NameOf(drain.plan_.bound_) },
                 { "shortfall", drain.plan_.shortfallPerSecond_ } });
    }
  }
}

void
SteeringAdapter::Tick(TimePoint aNow)
{
  lastTick_ = aNow;
  if (appliedConfiguration_ == nullptr) {
    return;
  }
  steering_->Tick(aNow);
  for (const RegionConfig& region : appliedConfiguration_->regions_) {
    const double keepFraction = steering_->KeepFraction(region.name_, aNow);
    const std::string label = "region=\"" + region.name_ + "\"";
    metrics_
      .Gauge("peridotsail_region_kept_ratio",
             "Part of its own callers that a region keeps in look-ups.",
             label)
      .Set(keepFraction);
    const auto logged = loggedKeepFractions_.emplace(region.name_, 1).first;
    if (std::abs(logged->second - keepFraction) >= kMinLoggedChange) {
      logged->second = keepFraction;
      LogEvent(Event::RegionWeightChanged,
               { { "region", region.name_ },
                 { "kept", keepFraction },
                 { "state",
                   NameOf(steering_->Weights().State(region.name_, aNow)) } });
    }
  }
  for (const ShiftPairStatus& pair : steering_->Caps().Status()) {
    const std::string label =
      "from=\"" + settings_.region_ + "\",to=\"" + pair.to_ + "\"";
    metrics_
      .Gauge("peridotsail_shift_bytes",
             "Bytes sent to another region under its shift cap.",
             label)
      .Set(pair.sentBytes_);
    metrics_
      .Gauge("peridotsail_shift_refused",
             "Reservations that the shift cap had no room for.",
             label)
      .Set(static_cast<double>(pair.refusedCount_));
  }
}

std::string
SteeringAdapter::Lookup(const std::string& aBlock)
{
  Refresh();
  const LookupAnswer answer = steering_->Lookup(aBlock);
  LogEvent(
    Event::LookupDecision,
    { { "block", aBlock },
      { "home_region", answer.homeRegion_ },
      { "hosts", answer.hosts_.size() },
      { "first", answer.hosts_.empty() ? "" : answer.hosts_.front()->name_ } });
  metrics_.Counter("peridotsail_lookups_total", "Look-ups answered.").Add(1);
  return LookupJson(answer);
}

std::optional<Duration>
SteeringAdapter::EstimateLocalWait(const ServerQuery& aQuery,
                                   TimePoint aNow) const
{
  const std::string& pool = aQuery.route_->pool_;
  if (!backends_.HasServer(pool) || IsOwnDrainFinished(aNow)) {
    return std::nullopt;
  }
  const int free = backends_.FreeSlots(pool);
  return free > 0 ? Duration::zero() : kAssumedServiceTime * (1 - free);
}

bool
SteeringAdapter::IsOwnDrainFinished(TimePoint aNow) const
{
  const auto& drains = steering_->Drains();
  return std::any_of(
    drains.begin(), drains.end(), [&](const RegionDrain& aDrain) {
      return aDrain.region_ == settings_.region_ &&
             aDrain.plan_.Finished(aNow - aDrain.start_);
    });
}

const PeerHello*
SteeringAdapter::FindPeer(const std::string& aRegion, std::uint64_t aKey) const
{
  const PeerHello* best = nullptr;
  double bestScore = 0;
  for (const auto& [name, peer] : linkedPeers_) {
    const auto state = hostStates_.find(name);
    const bool leaving =
      state != hostStates_.end() && state->second != LookupHostState::Live;
    const double score = RendezvousScore(aKey, StableHash(name), 1);
    if (peer.region_ == aRegion && !leaving && score > bestScore) {
      best = &peer;
      bestScore = score;
    }
  }
  return best;
}

std::optional<RelayTarget>
SteeringAdapter::ChooseRelay(const ServerQuery& aQuery)
{
  Refresh();
  const TimePoint now = BootClock::now();
  SteerRequestInput input;
  input.key_ = StableHash(settings_.hostName_, ++decisionCount_);
  input.requestBytes_ = aQuery.requestBytes_;
  input.localWait_ = EstimateLocalWait(aQuery, now);
  input.hasLocalServer_ = input.localWait_.has_value();
  input.remainingTime_ = aQuery.deadline_ - now;
  input.triedRegions_ = aQuery.triedRegions_;
  input.isReachable_ = [&](const std::string& aRegion) {
    return RegionHasPool(
             *aQuery.configuration_, aRegion, aQuery.route_->pool_) &&
           FindPeer(aRegion, input.key_) != nullptr;
  };
  SteerDecision decision = steering_->Steer(input, now);
  CountDecision(decision);
  if (decision.action_ == SteerAction::ServeLocally) {
    return std::nullopt;
  }
  LogEvent(Event::SteeringDecision,
           { { "route", aQuery.route_->name_ },
             { "customer", aQuery.customer_ },
             { "action", NameOf(decision.action_) },
             { "reason", NameOf(decision.reason_) },
             { "to_region", decision.region_ },
             { "bytes", aQuery.requestBytes_ } });
  RelayTarget target;
  if (decision.action_ == SteerAction::Refuse) {
    target.refusal_ = MakeRefusal(decision.errorKind_);
    return target;
  }
  target.host_ = FindPeer(decision.region_, input.key_)->hostName_;
  target.region_ = decision.region_;
  target.allowance_ = std::make_shared<RelayAllowance>(
    steering_, std::move(decision.reservation_));
  return target;
}

void
SteeringAdapter::CountDecision(const SteerDecision& aDecision)
{
  metrics_
    .Counter("peridotsail_steering_decisions_total",
             "Requests by where they are served, and why.",
             "action=\"" + std::string(NameOf(aDecision.action_)) +
               "\",reason=\"" + std::string(NameOf(aDecision.reason_)) + "\"")
    .Add(1);
}

RelayAdmission
SteeringAdapter::Admit(const ServerQuery& aQuery,
                       const std::string& aFromRegion)
{
  Refresh();
  const TimePoint now = BootClock::now();
  const std::string& route = aQuery.route_->name_;
  RelayAdmission admission;
  if (aFromRegion == settings_.region_) {
    return admission;
  }
  // The response is traffic from this region to the source's region.
  std::optional<ShiftReservation> reservation = steering_->Caps().Reserve(
    aFromRegion, steering_->Caps().EstimateResponseSize(route), now);
  if (!reservation) {
    admission.refusal_ = ErrorKind::ShiftCapReached;
  } else {
    // A slot holder without backend servers of the pool forwards the request;
    // the region that runs it decides on the admission.
    const std::string& pool = aQuery.route_->pool_;
    const bool isForwarded = aQuery.forHolder_ && !backends_.HasServer(pool);
    if (!isForwarded) {
      admission.refusal_ =
        steering_->Admission().AdmitRelayed(backends_.FreeSlots(pool), now);
    }
    admission.allowance_ =
      std::make_shared<RelayAllowance>(steering_, std::move(*reservation));
    if (!admission.refusal_) {
      admission.allowance_->SetOnEnd(
        [steering = steering_.get(), route](double aBytes) {
          steering->Caps().RecordResponseSize(route, aBytes);
        });
    }
  }
  const std::string result =
    admission.refusal_ ? std::string(NameOf(*admission.refusal_)) : "admitted";
  metrics_
    .Counter("peridotsail_relay_admissions_total",
             "Requests relayed from other regions, by decision.",
             "result=\"" + result + "\"")
    .Add(1);
  LogEvent(Event::RelayAdmission,
           { { "route", route },
             { "customer", aQuery.customer_ },
             { "from_region", aFromRegion },
             { "result", result } });
  return admission;
}

bool
SteeringAdapter::ReserveRelay(const std::string& aHost,
                              double aBytes,
                              RelayAllowancePtr& aAllowance)
{
  Refresh();
  const auto peer = linkedPeers_.find(aHost);
  const bool isSameRegion =
    peer == linkedPeers_.end() || peer->second.region_ == settings_.region_;
  if (isSameRegion) {
    return true;
  }
  std::optional<ShiftReservation> reservation =
    steering_->Caps().Reserve(peer->second.region_, aBytes, BootClock::now());
  if (!reservation) {
    return false;
  }
  aAllowance =
    std::make_shared<RelayAllowance>(steering_, std::move(*reservation));
  return true;
}

void
SteeringAdapter::SetSlot(const SlotValidity& aValidity)
{
  const TimePoint until =
    aValidity.index_ >= 0 ? aValidity.validUntil_ : TimePoint{};
  steering_->SetSlot(aValidity.epoch_, until, BootClock::now());
}

void
SteeringAdapter::OnRelayRefused(const std::string& aRegion)
{
  steering_->Weights().RecordRefusal(aRegion, BootClock::now());
}

void
SteeringAdapter::OnLink(const PeerHello& aPeer, bool aUp)
{
  if (aUp) {
    linkedPeers_[aPeer.hostName_] = aPeer;
  } else {
    linkedPeers_.erase(aPeer.hostName_);
  }
}

}
