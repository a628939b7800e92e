#include "regions/RegionRouting.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridotsail {

namespace {

// The window of the bound on the shift between regions.
constexpr Duration kShiftWindow = std::chrono::seconds(2);

std::vector<std::string>
RegionNames(const RegionRoutingSettings& aSettings)
{
  std::set<std::string> names{ aSettings.region_ };
  for (const auto& [failureDomain, region] : aSettings.failureDomains_) {
    names.insert(region);
  }
  return { names.begin(), names.end() };
}

}

RegionRouting::RegionRouting(RegionRoutingSettings aSettings,
                             const RegionLatency& aRoundTrips,
                             RegionRoutingHooks aHooks)
  : settings_(std::move(aSettings))
  , regions_(RegionNames(settings_))
  , enabled_(regions_.size() > 1 && settings_.maxShift_ > 0)
  , roundTrips_(aRoundTrips)
  , homes_(regions_)
  , exchange_(MakeOptions(), MakeHooks(std::move(aHooks)))
{
}

RegionExchangeOptions
RegionRouting::MakeOptions() const
{
  RegionExchangeOptions options;
  options.regions_ = regions_;
  options.region_ = IndexOf(settings_.region_);
  options.planner_ = PlannerOptionsFor(settings_.maxShift_, kShiftWindow);
  return options;
}

RegionExchangeHooks
RegionRouting::MakeHooks(RegionRoutingHooks aHooks) const
{
  RegionExchangeHooks hooks;
  hooks.send_ = std::move(aHooks.send_);
  hooks.onChange_ = std::move(aHooks.onChange_);
  hooks.roundTrips_ = [this] {
    std::vector<Duration> roundTrips;
    for (const std::string& region : regions_) {
      roundTrips.push_back(roundTrips_.To(region));
    }
    return roundTrips;
  };
  return hooks;
}

std::size_t
RegionRouting::IndexOf(const std::string& aRegion) const
{
  const auto found = std::find(regions_.begin(), regions_.end(), aRegion);
  return static_cast<std::size_t>(found - regions_.begin());
}

void
RegionRouting::SetHosts(const std::vector<RegionPeer>& aHosts)
{
  std::vector<std::vector<RegionHost>> hosts(regions_.size());
  for (const RegionPeer& host : aHosts) {
    const std::size_t region = IndexOf(host.region_);
    if (region < regions_.size() && !host.address_.empty()) {
      hosts[region].push_back(
        { host.name_, host.address_, host.name_ == settings_.name_ });
    }
  }
  exchange_.SetHosts(hosts);
}

void
RegionRouting::SetCapacities(
  const std::map<std::string, RegionCapacity>& aCapacities)
{
  std::map<std::string, ServiceSlots> slots;
  for (const auto& [service, capacity] : aCapacities) {
    std::vector<double>& row = slots[service].slots_;
    row.assign(regions_.size(), 0);
    slots[service].perServer_ =
      capacity.servers_ > 0 ? capacity.allSlots_ / capacity.servers_ : 0;
    for (const auto& [region, count] : capacity.slotsByRegion_) {
      if (const std::size_t index = IndexOf(region); index < row.size()) {
        row[index] = count;
      }
    }
  }
  exchange_.SetCapacity(std::move(slots));
}

std::optional<RegionChoice>
RegionRouting::Choose(const RegionRequest& aRequest, TimePoint aNow) const
{
  const bool planned = enabled_ && !aRequest.hasHomeRegions_ &&
                       roundTrips_.IsKnown() &&
                       !IsNear(roundTrips_.Mean(), aRequest.targetLatency_);
  const ServicePlan* plan =
    planned ? exchange_.PlanFor(aRequest.service_, aNow) : nullptr;
  if (plan == nullptr) {
    return std::nullopt;
  }
  RegionChoice choice;
  choice.region_ = regions_[homes_.Choose(aRequest.key_, plan->shares_)];
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    if (plan->overflow_[region]) {
      choice.overflow_.push_back(regions_[region]);
    }
  }
  return choice;
}

void
RegionRouting::RecordArrival(const RegionRequest& aRequest,
                             bool aPlanned,
                             const std::string& aRegion)
{
  if (!enabled_) {
    return;
  }
  std::optional<std::size_t> runsIn;
  if (!aPlanned) {
    runsIn = IndexOf(aRegion);
  }
  exchange_.Meter().RecordArrival(
    aRequest.service_, aRequest.route_, runsIn, aRequest.targetLatency_);
}

void
RegionRouting::RecordServed(const std::string& aService,
                            const std::string& aRoute,
                            const std::string& aRegion,
                            Duration aElapsed,
                            bool aMayHaveWaited)
{
  if (enabled_) {
    exchange_.Meter().RecordServed(
      aService, aRoute, aElapsed - roundTrips_.To(aRegion), aMayHaveWaited);
  }
}

}
