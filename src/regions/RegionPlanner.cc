#include "regions/RegionPlanner.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// The part of the bound on shifts that the plan uses. The rest is left for
// requests that leave a busy server (RemoteBudget.h), for plans that reach
// hosts late and for the noise of a window.
constexpr double kPlannedShiftFraction = 0.4;
// The longest time between two plans that counts for the size of a step.
constexpr double kMaxStepSeconds = 1;
// A region below this fraction of the target utilization without its exports
// takes its work back, however little it is.
constexpr double kIdleFraction = 0.9;
// After this many measurements without work, a region counts as idle once
// another one has work.
constexpr int kMinIdleSamples = 4;

}

RegionPlannerOptions
PlannerOptionsFor(double aMaxShift, Duration aWindow)
{
  RegionPlannerOptions options;
  options.maxStepPerSecond_ =
    aMaxShift * kPlannedShiftFraction / ToSeconds(aWindow);
  return options;
}

RegionPlanner::RegionPlanner(std::size_t aRegions,
                             RegionPlannerOptions aOptions)
  : regions_(aRegions)
  , options_(aOptions)
{
}

RegionPlanner::Service&
RegionPlanner::ServiceOf(const std::string& aService)
{
  Service& service = services_[aService];
  if (service.demands_.empty()) {
    service.demands_.resize(regions_);
    service.shares_.resize(regions_);
    service.reported_.assign(regions_, false);
    service.moving_.assign(regions_, false);
    service.overflow_.assign(regions_, std::vector<bool>(regions_, false));
  }
  return service;
}

void
RegionPlanner::SetDemand(const std::string& aService,
                         std::size_t aRegion,
                         double aMovable,
                         const std::vector<double>& aFixed,
                         TimePoint)
{
  Demand& demand = ServiceOf(aService).demands_[aRegion];
  demand.samples_ = std::min(demand.samples_ + 1, kMinIdleSamples);
  if (!demand.known_) {
    // The first requests after a start say nothing about a trend.
    demand.known_ = aMovable > 0 || SumOf(aFixed) > 0;
    demand.movable_ = aMovable;
    demand.trend_ = 0;
    demand.peak_ = aMovable;
    demand.fixed_ = aFixed;
    return;
  }
  const double expected = demand.movable_ + demand.trend_;
  const double former = demand.movable_;
  demand.movable_ = expected + options_.smoothing_ * (aMovable - expected);
  demand.trend_ +=
    options_.trendSmoothing_ * (demand.movable_ - former - demand.trend_);
  const double fading = std::exp(-ToSeconds(options_.sampleInterval_) /
                                 ToSeconds(options_.peakMemory_));
  demand.peak_ =
    std::max(demand.movable_,
             demand.movable_ + (demand.peak_ - demand.movable_) * fading);
  for (std::size_t to = 0; to < demand.fixed_.size(); ++to) {
    demand.fixed_[to] += options_.smoothing_ * (aFixed[to] - demand.fixed_[to]);
  }
}

void
RegionPlanner::ClearDemand(std::size_t aRegion)
{
  for (auto& [name, service] : services_) {
    Demand& demand = service.demands_[aRegion];
    demand.movable_ = 0;
    demand.trend_ = 0;
    demand.peak_ = 0;
    std::fill(demand.fixed_.begin(), demand.fixed_.end(), 0.0);
  }
}

void
RegionPlanner::SetCurrentShares(const std::string& aService,
                                std::size_t aRegion,
                                const RegionShares& aShares)
{
  Service& service = ServiceOf(aService);
  if (!service.reported_[aRegion] && aShares.size() == regions_) {
    service.reported_[aRegion] = true;
    service.shares_[aRegion] = aShares;
  }
}

std::vector<RegionLoad>
RegionPlanner::LoadsOf(const Service& aService,
                       const ServiceCapacity& aCapacity) const
{
  std::vector<RegionLoad> loads(regions_);
  const double ahead =
    ToSeconds(options_.forecast_) / ToSeconds(options_.sampleInterval_);
  double known = 0;
  double movable = 0;
  for (std::size_t region = 0; region < regions_; ++region) {
    const Demand& demand = aService.demands_[region];
    loads[region].slots_ = aCapacity.slots_[region];
    if (!demand.known_) {
      continue;
    }
    loads[region].movable_ =
      std::max(demand.peak_, demand.movable_ + demand.trend_ * ahead);
    for (std::size_t to = 0; to < demand.fixed_.size(); ++to) {
      loads[to].fixed_ += demand.fixed_[to];
    }
    known += 1;
    movable += loads[region].movable_;
  }
  // Regions without a measurement count as the mean of the others, and before
  // any measurement as evenly loaded.
  const double assumed = known > 0 ? movable / known
                                   : options_.targets_.targetUtilization_ *
                                       SumOf(aCapacity.slots_) /
                                       static_cast<double>(regions_);
  for (std::size_t region = 0; region < regions_; ++region) {
    const Demand& demand = aService.demands_[region];
    const bool idle = known > 0 && demand.samples_ >= kMinIdleSamples;
    if (!demand.known_ && !idle) {
      loads[region].movable_ = assumed;
    }
  }
  return loads;
}

void
RegionPlanner::CheckLoss(Service& aService,
                         const ServiceCapacity& aCapacity,
                         TimePoint aNow) const
{
  for (std::size_t region = 0; region < aService.slots_.size(); ++region) {
    const double former = aService.slots_[region];
    if (aCapacity.slots_[region] < former * (1 - options_.lossFraction_)) {
      aService.lossUntil_ = aNow + options_.lossDuration_;
    }
  }
  aService.slots_ = aCapacity.slots_;
}

double
RegionPlanner::StepOf(const Service& aService, TimePoint aNow) const
{
  const double seconds =
    std::clamp(ToSeconds(aNow - aService.plannedAt_), 0.0, kMaxStepSeconds);
  const double perSecond = aNow < aService.lossUntil_
                             ? options_.maxLossStepPerSecond_
                             : options_.maxStepPerSecond_;
  return perSecond * seconds;
}

void
RegionPlanner::Plan(const std::string& aService,
                    const ServiceCapacity& aCapacity,
                    TimePoint aNow)
{
  Service& service = ServiceOf(aService);
  CheckLoss(service, aCapacity, aNow);
  const std::vector<RegionLoad> loads = LoadsOf(service, aCapacity);
  service.target_ = TargetUtilization(aCapacity, options_.targets_);
  if (!service.planned_) {
    const ShareMatrix initial =
      SharesBySlots(aCapacity.slots_, options_.targets_);
    for (std::size_t region = 0; region < regions_; ++region) {
      if (service.shares_[region].empty()) {
        service.shares_[region] = initial[region];
      }
    }
    service.planned_ = true;
  } else {
    MoveTowards(service, loads, aCapacity, StepOf(service, aNow));
  }
  service.plannedAt_ = aNow;
  UpdateOverflow(service, loads);
}

bool
RegionPlanner::ShouldMove(const Service& aService,
                          const RegionShares& aTarget,
                          const RegionLoad& aLoad,
                          std::size_t aRegion) const
{
  const RegionShares& current = aService.shares_[aRegion];
  const double distance = MovedShare(current, aTarget);
  const bool takesBack =
    ExportedShare(aTarget, aRegion) <= 0 &&
    WorkOf(aLoad) < kIdleFraction * aService.target_ * aLoad.slots_;
  return distance > 0 &&
         (takesBack || distance > options_.minChange_ ||
          (aService.moving_[aRegion] && distance > options_.minChange_ / 4));
}

// Returns whether a flow from the region stands in the way of one in the other
// direction.
bool
RegionPlanner::IsOpposed(const Service& aService,
                         const ShareMatrix& aUnlimited,
                         std::size_t aRegion) const
{
  const RegionShares& current = aService.shares_[aRegion];
  if (ExportedShare(current, aRegion) > 0 && TakesWork(aUnlimited, aRegion)) {
    return true;
  }
  for (std::size_t to = 0; to < regions_; ++to) {
    if (to != aRegion && current[to] > 0 &&
        ExportedShare(aUnlimited[to], to) > 0) {
      return true;
    }
  }
  return false;
}

// Reduces flows at once by the step, but begins or increases one only between
// regions without an opposite flow.
void
RegionPlanner::MoveTowards(Service& aService,
                           const std::vector<RegionLoad>& aLoads,
                           const ServiceCapacity& aCapacity,
                           double aStep) const
{
  const ShareMatrix former = aService.shares_;
  const ShareMatrix unlimited =
    TargetShares(aLoads, aCapacity, options_.targets_);
  const ShareMatrix targets =
    TargetShares(aLoads, aCapacity, options_.targets_, former);
  for (std::size_t from = 0; from < regions_; ++from) {
    RegionShares target = targets[from];
    for (std::size_t to = 0; to < regions_; ++to) {
      const bool blocked =
        to != from && target[to] > former[from][to] &&
        (TakesWork(former, from) || ExportedShare(former[to], to) > 0);
      if (blocked) {
        target[from] += target[to] - former[from][to];
        target[to] = former[from][to];
      }
    }
    const double distance = MovedShare(former[from], target);
    aService.moving_[from] = ShouldMove(aService, target, aLoads[from], from);
    const bool opposed = distance > 0 && IsOpposed(aService, unlimited, from);
    if (!aService.moving_[from] && !opposed) {
      continue;
    }
    const double part = distance > aStep ? aStep / distance : 1;
    for (std::size_t to = 0; to < regions_; ++to) {
      aService.shares_[from][to] =
        part < 1 ? former[from][to] + part * (target[to] - former[from][to])
                 : target[to];
    }
    DropSmallShares(aService.shares_[from], from);
  }
}

void
RegionPlanner::UpdateOverflow(Service& aService,
                              const std::vector<RegionLoad>& aLoads) const
{
  std::vector<double> utilization(regions_, 0);
  for (std::size_t to = 0; to < regions_; ++to) {
    double work = aLoads[to].fixed_;
    for (std::size_t from = 0; from < regions_; ++from) {
      work += aLoads[from].movable_ * aService.shares_[from][to];
    }
    utilization[to] = aLoads[to].slots_ > 0 ? work / aLoads[to].slots_ : 1;
  }
  aService.utilization_ = utilization;
  for (std::size_t from = 0; from < regions_; ++from) {
    for (std::size_t to = 0; to < regions_; ++to) {
      const bool open = aService.overflow_[from][to];
      const double margin =
        open ? options_.overflowOffMargin_ : options_.overflowOnMargin_;
      aService.overflow_[from][to] =
        from != to && aLoads[to].slots_ > 0 &&
        utilization[from] > utilization[to] + margin &&
        !TakesWork(aService.shares_, from) &&
        ExportedShare(aService.shares_[to], to) <= 0;
    }
  }
}

const ShareMatrix*
RegionPlanner::SharesOf(const std::string& aService) const
{
  const auto found = services_.find(aService);
  const bool planned = found != services_.end() && found->second.planned_;
  return planned ? &found->second.shares_ : nullptr;
}

std::optional<ServicePlan>
RegionPlanner::ServicePlanFor(const std::string& aService,
                              std::size_t aRegion) const
{
  const auto found = services_.find(aService);
  if (found == services_.end() || !found->second.planned_) {
    return std::nullopt;
  }
  return ServicePlan{ found->second.shares_[aRegion],
                      found->second.overflow_[aRegion] };
}

std::vector<double>
RegionPlanner::UtilizationOf(const std::string& aService) const
{
  const auto found = services_.find(aService);
  return found == services_.end() ? std::vector<double>()
                                  : found->second.utilization_;
}

}
