#include "steering/HostSteering.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

constexpr double kBytesPerMbit = 125'000;

double
CapBytes(const Configuration& aConfiguration,
         const std::string& aFrom,
         const std::string& aTo)
{
  const ShiftCapConfig* cap = aConfiguration.FindShiftCap(aFrom, aTo);
  return cap == nullptr ? std::numeric_limits<double>::infinity()
                        : cap->mbitPerSecond_ * kBytesPerMbit;
}

// Returns the longest warm-up time of the pools with servers in the region.
Duration
WarmUpOf(const Configuration& aConfiguration, const std::string& aRegion)
{
  Duration longest{};
  for (const BackendServerConfig& server : aConfiguration.backendServers_) {
    const PoolConfig* pool = aConfiguration.FindPool(server.pool_);
    if (server.region_ == aRegion && pool != nullptr) {
      longest = std::max(longest, pool->warmUp_);
    }
  }
  return longest;
}

}

HostSteering::HostSteering(std::string aOwnRegion,
                           const HostSteeringOptions& aOptions)
  : ownRegion_(std::move(aOwnRegion))
  , drainOptions_(aOptions.drain_)
  , lookup_(aOptions.lookup_)
  , weights_(aOptions.weights_)
  , caps_(
      ownRegion_,
      aOptions.makeBudget_
        ? aOptions.makeBudget_
        : [this](const std::string&) -> std::unique_ptr<ByteBudget> {
        auto bucket = std::make_unique<ShareBucket>();
        shares_.push_back(bucket.get());
        return bucket;
      },
      aOptions.caps_)
  , admission_(ownRegion_, aOptions.admission_)
{
  drainOptions_.timeToLive_ = aOptions.lookup_.timeToLive_;
  drainOptions_.maxStepPerSecond_ = aOptions.weights_.maxStepPerSecond_;
}

void
HostSteering::SetConfiguration(const ConfigurationPtr& aConfiguration,
                               TimePoint aNow)
{
  const bool isFirst = configuration_ == nullptr;
  configuration_ = aConfiguration;
  lookup_.SetConfiguration(aConfiguration);
  weights_.SetConfiguration(*aConfiguration, aNow);
  caps_.SetConfiguration(*aConfiguration, aNow);
  admission_.SetConfiguration(*aConfiguration, aNow);
  SetSlot(epoch_, validUntil_, aNow);
  std::vector<RegionDrain> drains;
  for (const DrainConfig& drain : aConfiguration->drains_) {
    if (drain.kind_ != DrainKind::Region) {
      continue;
    }
    const auto known = std::find_if(
      drains_.begin(), drains_.end(), [&](const RegionDrain& aOld) {
        return aOld.region_ == drain.name_;
      });
    if (known != drains_.end()) {
      drains.push_back(*known);
    } else {
      const DrainPlan plan =
        isFirst ? DrainPlan{} : Forecast(drain.kind_, drain.name_, aNow);
      drains.push_back({ drain.name_, aNow, plan });
    }
  }
  drains_ = std::move(drains);
  UpdateRegionShares(aNow);
}

void
HostSteering::SetHosts(std::vector<LookupHost> aHosts)
{
  hosts_ = aHosts;
  lookup_.SetHosts(std::move(aHosts));
}

void
HostSteering::SetSlot(std::uint64_t aEpoch,
                      TimePoint aValidUntil,
                      TimePoint aNow)
{
  epoch_ = aEpoch;
  validUntil_ = aValidUntil;
  admission_.SetSlot(aEpoch, aValidUntil, aNow);
  for (ShareBucket* share : shares_) {
    share->SetSlot(aEpoch, aValidUntil, aNow);
  }
}

void
HostSteering::SetRoundTrip(const std::string& aRegion, Duration aRoundTrip)
{
  weights_.SetRoundTrip(ownRegion_, aRegion, aRoundTrip);
  lookup_.SetRoundTrip(ownRegion_, aRegion, aRoundTrip);
}

bool
HostSteering::Observe(const std::string& aRegion,
                      const RegionMeasurement& aMeasurement,
                      TimePoint aNow)
{
  return weights_.Observe(aRegion, aMeasurement, aNow);
}

void
HostSteering::Tick(TimePoint aNow)
{
  weights_.Tick(aNow);
  UpdateRegionShares(aNow);
}

void
HostSteering::UpdateRegionShares(TimePoint aNow)
{
  if (configuration_ == nullptr) {
    return;
  }
  for (const RegionConfig& region : configuration_->regions_) {
    RegionShare share = weights_.Share(region.name_);
    share.keepFraction_ = KeepFraction(region.name_, aNow);
    lookup_.SetRegionShare(region.name_, share);
  }
}

double
HostSteering::KeepFraction(const std::string& aRegion, TimePoint aNow) const
{
  double keep = weights_.Share(aRegion).keepFraction_;
  for (const RegionDrain& drain : drains_) {
    if (drain.region_ == aRegion) {
      keep = std::min(keep, drain.plan_.KeepFractionAt(aNow - drain.start_));
    }
  }
  return keep;
}

LookupAnswer
HostSteering::Lookup(std::string_view aBlock) const
{
  return lookup_.Answer(aBlock, ownRegion_);
}

SteerDecision
HostSteering::Steer(SteerRequestInput aRequest, TimePoint aNow)
{
  aRequest.ownRegion_ = ownRegion_;
  SteerDecision decision = SteerRequest(aRequest, weights_, caps_, aNow);
  if (decision.action_ == SteerAction::ServeLocally) {
    admission_.RecordLocalRequest(aNow);
  }
  return decision;
}

std::string
HostSteering::RegionOf(DrainKind aKind, const std::string& aName) const
{
  if (aKind == DrainKind::Region) {
    return aName;
  }
  if (aKind == DrainKind::Host) {
    for (const LookupHost& host : hosts_) {
      if (host.name_ == aName) {
        return host.region_;
      }
    }
    return {};
  }
  for (const BackendServerConfig& server : configuration_->backendServers_) {
    if (server.name_ == aName) {
      return server.region_;
    }
  }
  return {};
}

// Returns the measured demand of the region, or an equal share of it for a host
// or a backend server.
DrainDemand
HostSteering::DemandOf(DrainKind aKind,
                       const std::string& aName,
                       const RegionConfig& aRegion) const
{
  DrainDemand demand;
  demand.requestsPerSecond_ = weights_.DemandOf(aRegion.name_);
  demand.maxRequestTimeout_ = Duration::zero();
  double response = 0;
  for (const RouteConfig& route : configuration_->routes_) {
    demand.maxRequestTimeout_ =
      std::max(demand.maxRequestTimeout_, route.timeout_);
    response = std::max(response, caps_.EstimateResponseSize(route.name_));
  }
  demand.responseBytes_ = std::max(1.0, response);
  double shares = 0;
  if (aKind == DrainKind::Host) {
    for (const LookupHost& host : hosts_) {
      const bool counts =
        host.region_ == aRegion.name_ && host.state_ == LookupHostState::Live;
      shares += counts ? 1 : 0;
    }
  } else if (aKind == DrainKind::BackendServer) {
    for (const BackendServerConfig& server : configuration_->backendServers_) {
      const bool counts = server.region_ == aRegion.name_ &&
                          !configuration_->IsDraining(aKind, server.name_);
      shares += counts || server.name_ == aName ? 1 : 0;
    }
  }
  demand.requestsPerSecond_ /= std::max(1.0, shares);
  return demand;
}

DrainPlan
HostSteering::Forecast(DrainKind aKind,
                       const std::string& aName,
                       TimePoint aNow) const
{
  const std::string home =
    configuration_ == nullptr ? std::string() : RegionOf(aKind, aName);
  const RegionConfig* region =
    home.empty() ? nullptr : configuration_->FindRegion(home);
  if (region == nullptr) {
    return {};
  }
  const DrainDemand demand = DemandOf(aKind, aName, *region);
  std::vector<DrainDestination> destinations;
  if (aKind != DrainKind::Region) {
    // When a host is drained, the region's backend servers keep their demand.
    // When a backend server is drained, the region's other servers take its
    // demand up to their headroom.
    const double headroom = aKind == DrainKind::Host
                              ? demand.requestsPerSecond_
                              : weights_.HeadroomOf(home, aNow);
    destinations.push_back({ home, headroom, WarmUpOf(*configuration_, home) });
  }
  if (aKind != DrainKind::Host) {
    for (const RegionCandidate& other : weights_.RelayOrder(home, 0, aNow)) {
      destinations.push_back(
        { other.region_,
          other.headroomPerSecond_,
          WarmUpOf(*configuration_, other.region_),
          CapBytes(*configuration_, home, other.region_),
          CapBytes(*configuration_, other.region_, home) });
    }
  }
  return PlanDrain(aKind, demand, destinations, drainOptions_);
}

}
