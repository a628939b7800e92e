#pragma once

// Divides the work of each service between the regions, from the demand and the
// capacity of all of them. Performs no I/O.
//
// A region keeps all of its work while its slots are used below a target. Work
// above the target goes to regions with headroom, in proportion to it, nearer
// regions first. If the regions together exceed the target, the shares level
// their utilization, except for a margin for the time that the way to another
// region takes. A region that sends work of a service away takes none in: a
// flow begins only after the opposite one has ended.
//
// The shares follow the demand in small steps, so that no region's requests
// change their region abruptly. After a loss of capacity the steps are larger.
// The trend of the demand is extrapolated over the time that measuring and
// distributing the plan take. A recent peak counts for some time, because work
// that returned to its region could not leave it again as fast as demand grows.
//
//   RegionPlanner planner(3, options);
//   planner.SetDemand("inbox", region, movable, fixed, now);  // as reported
//   planner.Plan("inbox", { slots, roundTrips, target }, now);
//   planner.ServicePlanFor("inbox", region);

#include "regions/ShareTargets.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct RegionPlannerOptions
{
  ShareTargetOptions targets_;
  // The part of a region's requests that may change their region per second.
  double maxStepPerSecond_ = 0.0375;
  // The same after a loss of capacity, for lossDuration_.
  double maxLossStepPerSecond_ = 0.5;
  Duration lossDuration_ = std::chrono::seconds(3);
  // A region that loses this fraction of its slots at once has lost capacity.
  double lossFraction_ = 0.1;
  // Smaller changes of a region's shares are not made, because they would move
  // objects for the noise of the measurement.
  double minChange_ = 0.03;
  // Smoothing factors of the demand and of its trend (Holt's method), for
  // reports at intervals of sampleInterval_.
  double smoothing_ = 0.3;
  double trendSmoothing_ = 0.1;
  Duration sampleInterval_ = std::chrono::milliseconds(500);
  // How far the trend is extrapolated: the age of the measured values, and the
  // time until the hosts use the plan.
  Duration forecast_ = std::chrono::milliseconds(2000);
  // The time in which a peak of the demand fades to a third.
  Duration peakMemory_ = std::chrono::seconds(20);
  // Single requests may go to a region that is less utilized by the first
  // margin, until the difference falls below the second one.
  double overflowOnMargin_ = 0.15;
  double overflowOffMargin_ = 0.05;
};

// The options for a bound on the part of a region's requests that change their
// region from one window to the next.
RegionPlannerOptions
PlannerOptionsFor(double aMaxShift, Duration aWindow);

class RegionPlanner
{
public:
  RegionPlanner(std::size_t aRegions, RegionPlannerOptions aOptions);

  // A new measurement of a region's demand, at about each sample interval.
  // aFixed holds, by region, the work that runs there and cannot move.
  void SetDemand(const std::string& aService,
                 std::size_t aRegion,
                 double aMovable,
                 const std::vector<double>& aFixed,
                 TimePoint aNow);
  // The region has no hosts, so its callers use those of other regions.
  void ClearDemand(std::size_t aRegion);
  // The shares that the region uses, as it reports them. Only the first report
  // counts: a new planner continues from the shares of the former one.
  void SetCurrentShares(const std::string& aService,
                        std::size_t aRegion,
                        const RegionShares& aShares);
  void Plan(const std::string& aService,
            const ServiceCapacity& aCapacity,
            TimePoint aNow);
  // Null for a service that has not been planned.
  const ShareMatrix* SharesOf(const std::string& aService) const;
  std::optional<ServicePlan> ServicePlanFor(const std::string& aService,
                                            std::size_t aRegion) const;
  // The utilization of each region's slots under the plan.
  std::vector<double> UtilizationOf(const std::string& aService) const;

private:
  // Demand of one region, with its trend per sample interval.
  struct Demand
  {
    bool known_ = false;
    // The measurements so far, up to a few.
    int samples_ = 0;
    double movable_ = 0;
    double trend_ = 0;
    double peak_ = 0;
    std::vector<double> fixed_;
  };
  struct Service
  {
    std::vector<Demand> demands_;
    ShareMatrix shares_;
    // Whether the region has reported the shares that it uses.
    std::vector<bool> reported_;
    // Whether the region's shares are on the way to their target.
    std::vector<bool> moving_;
    // overflow_[from][to]
    std::vector<std::vector<bool>> overflow_;
    std::vector<double> slots_;
    std::vector<double> utilization_;
    // The target utilization of the last plan.
    double target_ = 0;
    bool planned_ = false;
    TimePoint plannedAt_{};
    TimePoint lossUntil_ = TimePoint::min();
  };

  Service& ServiceOf(const std::string& aService);
  std::vector<RegionLoad> LoadsOf(const Service& aService,
                                  const ServiceCapacity& aCapacity) const;
  void CheckLoss(Service& aService,
                 const ServiceCapacity& aCapacity,
                 TimePoint aNow) const;
  double StepOf(const Service& aService, TimePoint aNow) const;
  void MoveTowards(Service& aService,
                   const std::vector<RegionLoad>& aLoads,
                   const ServiceCapacity& aCapacity,
                   double aStep) const;
  bool ShouldMove(const Service& aService,
                  const RegionShares& aTarget,
                  const RegionLoad& aLoad,
                  std::size_t aRegion) const;
  bool IsOpposed(const Service& aService,
                 const ShareMatrix& aUnlimited,
                 std::size_t aRegion) const;
  void UpdateOverflow(Service& aService,
                      const std::vector<RegionLoad>& aLoads) const;

  std::size_t regions_;
  RegionPlannerOptions options_;
  std::map<std::string, Service> services_;
};

}
