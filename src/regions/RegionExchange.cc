#include "regions/RegionExchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotsail {

namespace {

// The sender of this host's own reports.
const std::string kSelf;
// Between neighbouring continents; until the round trip is measured.
constexpr Duration kUnknownRoundTrip = std::chrono::milliseconds(80);
// A smaller change of a kept share is not reported.
constexpr double kMinReportedChange = 0.05;

}

RegionExchange::RegionExchange(RegionExchangeOptions aOptions,
                               RegionExchangeHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , codec_(options_.regions_)
  , meter_(options_.regions_.size())
  , hostReports_(options_.reportLifetime_)
  , regionReports_(options_.reportLifetime_)
  , planner_(options_.regions_.size(), options_.planner_)
  , hostCounts_(options_.regions_.size(), 0)
{
}

void
RegionExchange::SetHosts(const std::vector<std::vector<RegionHost>>& aHosts)
{
  coordinator_.SetHosts(aHosts[options_.region_], options_.region_);
  std::size_t first = 0;
  for (std::size_t region = 0; region < aHosts.size(); ++region) {
    hostCounts_[region] = aHosts[region].size();
    if (hostCounts_[region] > 0 && hostCounts_[first] == 0) {
      first = region;
    }
  }
  planReceiver_.SetHosts(aHosts[first], first);
}

void
RegionExchange::SetCapacity(std::map<std::string, ServiceSlots> aSlots)
{
  slots_ = std::move(aSlots);
  bySlots_.clear();
  for (const auto& [service, slots] : slots_) {
    ServicePlan& plan = bySlots_[service];
    plan.shares_ =
      SharesBySlots(slots.slots_, options_.planner_.targets_)[options_.region_];
    plan.overflow_.assign(options_.regions_.size(), false);
  }
}

void
RegionExchange::SendReport(ReportReceiver& aReceiver,
                           const DemandReport& aReport,
                           DemandReports& aOwn,
                           TimePoint aNow)
{
  const RegionHost* host = aReceiver.Next(aNow);
  if (host == nullptr || host->self_) {
    aOwn.Add(kSelf, aReport, aNow);
    return;
  }
  aReceiver.OnSent();
  for (const std::string& bytes : codec_.Encode(aReport)) {
    hooks_.send_(bytes, host->address_);
  }
}

void
RegionExchange::OnTick(TimePoint aNow)
{
  hostReports_.DropOld(aNow);
  regionReports_.DropOld(aNow);
  DemandReport report;
  report.region_ = options_.region_;
  report.sequence_ = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, ToMilliseconds(aNow.time_since_epoch())));
  report.services_ = meter_.Measure(aNow);
  report.roundTrips_ = hooks_.roundTrips_();
  SendReport(coordinator_, report, hostReports_, aNow);
  coordinating_ = !hostReports_.IsEmpty();
  if (coordinating_) {
    SendReport(planReceiver_, SumOfHosts(aNow), regionReports_, aNow);
  }
  const bool wasPlanning = std::exchange(planning_, !regionReports_.IsEmpty());
  if (planning_ && !wasPlanning) {
    // What this host knew as an earlier planner is out of date.
    planner_ = RegionPlanner(options_.regions_.size(), options_.planner_);
  }
  if (planning_) {
    ComputePlan(aNow);
  }
  ReportChanges(aNow);
}

DemandReport
RegionExchange::SumOfHosts(TimePoint aNow) const
{
  DemandReport sum;
  sum.regional_ = true;
  sum.region_ = options_.region_;
  sum.sequence_ = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, ToMilliseconds(aNow.time_since_epoch())));
  sum.hosts_ = hostReports_.All().size();
  sum.roundTrips_.assign(options_.regions_.size(), Duration::zero());
  for (const auto& [from, received] : hostReports_.All()) {
    for (const auto& [service, demand] : received.report_.services_) {
      AddDemand(sum.services_[service], demand);
    }
    for (std::size_t region = 0; region < sum.roundTrips_.size(); ++region) {
      const Duration way = received.report_.roundTrips_[region];
      Duration& shortest = sum.roundTrips_[region];
      if (way > Duration::zero() &&
          (shortest == Duration::zero() || way < shortest)) {
        shortest = way;
      }
    }
  }
  for (const auto& [service, plan] : plan_.services_) {
    sum.shares_.emplace(service, plan.shares_);
    // A service without requests is planned on, so that its work returns.
    sum.services_[service].fixed_.resize(options_.regions_.size(), 0);
  }
  return sum;
}

// Takes over the regions' demand. Several hosts may report parts of a region
// during a change of its coordinator.
void
RegionExchange::ReadRegions(TimePoint aNow)
{
  std::vector<std::map<std::string, ServiceDemand>> demands(
    options_.regions_.size());
  std::vector<std::size_t> hosts(options_.regions_.size(), 0);
  for (const auto& [from, received] : regionReports_.All()) {
    const DemandReport& report = received.report_;
    hosts[report.region_] += report.hosts_;
    for (const auto& [service, demand] : report.services_) {
      if (slots_.count(service) > 0) {
        AddDemand(demands[report.region_][service], demand);
      }
    }
    for (const auto& [service, shares] : report.shares_) {
      if (slots_.count(service) > 0) {
        planner_.SetCurrentShares(service, report.region_, shares);
      }
    }
  }
  for (std::size_t region = 0; region < demands.size(); ++region) {
    if (hostCounts_[region] == 0) {
      planner_.ClearDemand(region);
    }
    // Hosts that have just turned to another coordinator are in both reports.
    const double once = std::min(1.0,
                                 static_cast<double>(hostCounts_[region]) /
                                   static_cast<double>(hosts[region]));
    for (auto& [service, demand] : demands[region]) {
      for (double& fixed : demand.fixed_) {
        fixed *= once;
      }
      planner_.SetDemand(
        service, region, demand.movable_ * once, demand.fixed_, aNow);
    }
  }
}

RoundTripMatrix
RegionExchange::RoundTrips() const
{
  const std::size_t regions = options_.regions_.size();
  RoundTripMatrix roundTrips(regions,
                             std::vector<Duration>(regions, kUnknownRoundTrip));
  for (const auto& [from, received] : regionReports_.All()) {
    const DemandReport& report = received.report_;
    for (std::size_t to = 0; to < regions; ++to) {
      if (report.roundTrips_[to] > Duration::zero()) {
        roundTrips[report.region_][to] = report.roundTrips_[to];
      }
    }
  }
  return roundTrips;
}

void
RegionExchange::ComputePlan(TimePoint aNow)
{
  std::map<std::string, ServiceDemand> totals;
  for (const auto& [from, received] : regionReports_.All()) {
    for (const auto& [service, demand] : received.report_.services_) {
      AddDemand(totals[service], demand);
    }
  }
  ReadRegions(aNow);
  ServiceCapacity capacity;
  capacity.roundTrips_ = RoundTrips();
  for (const auto& [service, total] : totals) {
    const auto slots = slots_.find(service);
    if (slots == slots_.end()) {
      continue;
    }
    capacity.slots_ = slots->second.slots_;
    capacity.slotsPerServer_ = slots->second.perServer_;
    capacity.targetLatency_ = total.targetLatency_;
    capacity.serviceTime_ = ServiceTimeOf(total);
    planner_.Plan(service, capacity, aNow);
  }
  lastVersion_ = std::max(lastVersion_, plan_.version_) + 1;
  UsePlan(PlanOfRegion(options_.region_), aNow);
}

RegionPlan
RegionExchange::PlanOfRegion(std::size_t aRegion) const
{
  RegionPlan plan;
  plan.version_ = lastVersion_;
  for (const auto& [service, slots] : slots_) {
    if (const auto part = planner_.ServicePlanFor(service, aRegion)) {
      plan.services_.emplace(service, *part);
    }
  }
  return plan;
}

bool
RegionExchange::OnMessage(const std::string& aBytes,
                          const std::string& aFrom,
                          TimePoint aNow)
{
  if (!RegionMessageCodec::IsRegionMessage(aBytes)) {
    return false;
  }
  const auto message = codec_.Decode(aBytes);
  if (!message) {
    ++dropped_;
  } else if (const auto* report = std::get_if<DemandReport>(&*message)) {
    OnReport(*report, aFrom, aNow);
  } else {
    OnPlan(std::get<PlanMessage>(*message), aFrom, aNow);
  }
  return true;
}

void
RegionExchange::OnReport(DemandReport aReport,
                         const std::string& aFrom,
                         TimePoint aNow)
{
  const bool regional = aReport.regional_;
  const std::size_t region = aReport.region_;
  const bool wantsPlan = aReport.wantsPlan_;
  DemandReports& reports = regional ? regionReports_ : hostReports_;
  const bool expected = regional || region == options_.region_;
  if (!expected || !reports.Add(aFrom, std::move(aReport), aNow)) {
    ++dropped_;
    return;
  }
  if (!wantsPlan) {
    return;
  }
  // A planner has a plan for each region; other hosts have their own region's.
  PlanMessage answer;
  answer.region_ = region;
  if (!regional) {
    answer.plan_ = plan_;
  } else if (planning_) {
    answer.plan_ = PlanOfRegion(region);
  }
  if (answer.plan_.version_ != 0) {
    answer.plan_.age_ = aNow - plannedAt_;
  }
  for (const std::string& bytes : codec_.Encode(answer)) {
    hooks_.send_(bytes, aFrom);
  }
}

void
RegionExchange::OnPlan(const PlanMessage& aMessage,
                       const std::string& aFrom,
                       TimePoint aNow)
{
  coordinator_.OnAnswer(aFrom);
  planReceiver_.OnAnswer(aFrom);
  if (aMessage.region_ != options_.region_ || aMessage.plan_.version_ == 0) {
    return;
  }
  UsePlan(aMessage.plan_, aNow);
}

void
RegionExchange::UsePlan(const RegionPlan& aPlan, TimePoint aNow)
{
  const TimePoint plannedAt = aNow - aPlan.age_;
  if (aPlan.version_ == plan_.version_ && plan_.version_ != 0) {
    // Another part of the same plan, or the same again.
    for (const auto& [service, plan] : aPlan.services_) {
      plan_.services_[service] = plan;
    }
    return;
  }
  const bool expired =
    plan_.version_ == 0 || aNow - plannedAt_ > options_.planRenewal_;
  if (aPlan.version_ < plan_.version_ &&
      (!expired || plannedAt <= plannedAt_)) {
    ++dropped_;
    return;
  }
  plan_ = aPlan;
  plannedAt_ = plannedAt;
}

const ServicePlan*
RegionExchange::PlanFor(const std::string& aService, TimePoint aNow) const
{
  const auto bySlots = bySlots_.find(aService);
  if (bySlots == bySlots_.end()) {
    return nullptr;
  }
  const auto planned = plan_.services_.find(aService);
  const bool usable = planned != plan_.services_.end() &&
                      aNow - plannedAt_ <= options_.planLifetime_;
  return usable ? &planned->second : &bySlots->second;
}

void
RegionExchange::ReportChanges(TimePoint aNow)
{
  for (const auto& [service, slots] : slots_) {
    const ServicePlan* plan = PlanFor(service, aNow);
    const double kept = plan->shares_[options_.region_];
    const bool measured = plan != &bySlots_.at(service);
    const auto [reported, added] =
      reported_.emplace(service, std::make_pair(kept, measured));
    auto& [lastKept, lastMeasured] = reported->second;
    const bool same = std::abs(kept - lastKept) < kMinReportedChange &&
                      measured == lastMeasured;
    if (!added && same) {
      continue;
    }
    lastKept = kept;
    lastMeasured = measured;
    hooks_.onChange_({ service,
                       kept,
                       plan_.version_,
                       measured ? aNow - plannedAt_ : Duration(),
                       measured });
  }
}

}
