#include "steering/DrainPlan.h"

#include <algorithm>
#include <array>

namespace peridotsail {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
// Upper bound of the move time. A plan that would take longer is considered
// impracticable.
constexpr double kMaxMoveSeconds = 24 * 3600;
// 40 bisection steps over kMaxMoveSeconds resolve less than a microsecond.
constexpr int kBisectionSteps = 40;

// Returns the sustained request rate that the shift caps permit.
double
MaxRelayRate(const DrainDemand& aDemand, const DrainDestination& aDestination)
{
  const double requests = aDemand.requestBytes_ > 0
                            ? aDestination.requestCap_ / aDemand.requestBytes_
                            : kInfinity;
  const double responses =
    aDemand.responseBytes_ > 0
      ? aDestination.responseCap_ / aDemand.responseBytes_
      : kInfinity;
  return std::min(requests, responses);
}

class Planner
{
public:
  Planner(DrainKind aKind,
          const DrainDemand& aDemand,
          const std::vector<DrainDestination>& aDestinations,
          const DrainOptions& aOptions)
    : kind_(aKind)
    , demand_(aDemand)
    , destinations_(aDestinations)
    , options_(aOptions)
  {
  }

  DrainPlan Plan()
  {
    DrainPlan plan;
    double maxTotal = 0;
    for (const DrainDestination& destination : destinations_) {
      maxTotal += MaxRate(destination);
    }
    movedPerSecond_ = std::min(demand_.requestsPerSecond_, maxTotal);
    if (demand_.requestsPerSecond_ > 0) {
      plan.movableFraction_ = movedPerSecond_ / demand_.requestsPerSecond_;
      plan.shortfallPerSecond_ = demand_.requestsPerSecond_ - movedPerSecond_;
    }
    const double seconds = kind_ == DrainKind::Region ? RegionSeconds(plan) : 0;
    if (kind_ != DrainKind::Region) {
      plan.bound_ = DrainBound::TimeToLive;
    }
    plan.moveTime_ = FromSeconds(seconds);
    const Duration cached = kind_ == DrainKind::BackendServer
                              ? Duration::zero()
                              : options_.timeToLive_;
    plan.totalTime_ = plan.moveTime_ + cached + demand_.maxRequestTimeout_;
    Distribute(seconds, plan);
    return plan;
  }

private:
  // The maximum rate that a destination can take, however slow the move is.
  double MaxRate(const DrainDestination& aDestination) const
  {
    if (kind_ == DrainKind::BackendServer) {
      return std::min(aDestination.headroomPerSecond_,
                      MaxRelayRate(demand_, aDestination));
    }
    // With a cap of zero, requests from callers with cached answers could not
    // be relayed.
    return MaxRelayRate(demand_, aDestination) > 0
             ? aDestination.headroomPerSecond_
             : 0;
  }

  double RateByCap(const DrainDestination& aDestination, double aSeconds) const
  {
    return MaxRelayRate(demand_, aDestination) * aSeconds /
           ToSeconds(options_.timeToLive_);
  }

  double RateByHeadroom(const DrainDestination& aDestination,
                        double aSeconds) const
  {
    const double cold = ToSeconds(aDestination.warmUp_) *
                        std::max(0.0, options_.coldCacheCost_ - 1);
    return cold <= 0
             ? aDestination.headroomPerSecond_
             : aDestination.headroomPerSecond_ * aSeconds / (aSeconds + cold);
  }

  // Returns the shortest move time in which the destinations together can take
  // the moved demand. aRate(destination, seconds) is the rate that a
  // destination can take with a given move time.
  template<typename RateFunction>
  double MinMoveSeconds(const RateFunction& aRate) const
  {
    // RateByHeadroom approaches the full headroom only asymptotically, so
    // exactly full headroom would never be reached.
    constexpr double kSufficientFraction = 0.999;
    const auto isSufficient = [&](double aSeconds) {
      double sum = 0;
      for (const DrainDestination& destination : destinations_) {
        sum += std::min(MaxRate(destination), aRate(destination, aSeconds));
      }
      return sum >= movedPerSecond_ * kSufficientFraction;
    };
    double low = 0;
    double high = kMaxMoveSeconds;
    if (isSufficient(low)) {
      return 0;
    }
    for (int i = 0; i < kBisectionSteps; ++i) {
      const double middle = (low + high) / 2;
      (isSufficient(middle) ? high : low) = middle;
    }
    return high;
  }

  double RegionSeconds(DrainPlan& aPlan) const
  {
    if (movedPerSecond_ <= 0) {
      return 0;
    }
    const double cap =
      MinMoveSeconds([this](const auto& aDestination, double aTime) {
        return RateByCap(aDestination, aTime);
      });
    const double headroom =
      MinMoveSeconds([this](const auto& aDestination, double aTime) {
        return RateByHeadroom(aDestination, aTime);
      });
    const double both =
      MinMoveSeconds([this](const auto& aDestination, double aTime) {
        return std::min(RateByCap(aDestination, aTime),
                        RateByHeadroom(aDestination, aTime));
      });
    double warmUp = 0;
    for (const DrainDestination& destination : destinations_) {
      if (MaxRate(destination) > 0) {
        warmUp = std::max(warmUp, ToSeconds(destination.warmUp_));
      }
    }
    const double steps = aPlan.movableFraction_ / options_.maxStepPerSecond_;
    using Constraint = std::pair<double, DrainBound>;
    const std::array<Constraint, 4> constraints{
      Constraint{ cap, DrainBound::ShiftCap },
      Constraint{ headroom, DrainBound::Headroom },
      Constraint{ warmUp, DrainBound::WarmUp },
      Constraint{ steps, DrainBound::StepLimit }
    };
    const Constraint slowest =
      *std::max_element(constraints.begin(),
                        constraints.end(),
                        [](const Constraint& aLeft, const Constraint& aRight) {
                          return aLeft.first < aRight.first;
                        });
    aPlan.bound_ = slowest.second;
    return std::max(slowest.first, both);
  }

  // Divides the moved demand in proportion to what each destination can take.
  void Distribute(double aSeconds, DrainPlan& aPlan) const
  {
    std::vector<double> rates;
    double sum = 0;
    for (const DrainDestination& destination : destinations_) {
      double rate = MaxRate(destination);
      if (kind_ == DrainKind::Region) {
        rate = std::min({ rate,
                          RateByCap(destination, aSeconds),
                          RateByHeadroom(destination, aSeconds) });
      }
      rates.push_back(rate);
      sum += rate;
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
      if (rates[i] > 0 && sum > 0) {
        aPlan.allocations_.push_back(
          { destinations_[i].region_, movedPerSecond_ * rates[i] / sum });
      }
    }
  }

  DrainKind kind_;
  const DrainDemand& demand_;
  const std::vector<DrainDestination>& destinations_;
  const DrainOptions& options_;
  double movedPerSecond_ = 0;
};

}

double
DrainPlan::KeepFractionAt(Duration aSinceStart) const
{
  if (moveTime_ <= Duration::zero()) {
    return 1 - movableFraction_;
  }
  const double progress =
    std::clamp(ToSeconds(aSinceStart) / ToSeconds(moveTime_), 0.0, 1.0);
  return 1 - movableFraction_ * progress;
}

bool
DrainPlan::Finished(Duration aSinceStart) const
{
  return Feasible() && aSinceStart >= totalTime_;
}

DrainPlan
PlanDrain(DrainKind aKind,
          const DrainDemand& aDemand,
          const std::vector<DrainDestination>& aDestinations,
          const DrainOptions& aOptions)
{
  return Planner(aKind, aDemand, aDestinations, aOptions).Plan();
}

std::string_view
NameOf(DrainBound aBound)
{
  switch (aBound) {
    case DrainBound::Nothing:
      return "nothing";
    case DrainBound::ShiftCap:
      return "shift-cap";
    case DrainBound::Headroom:
      return "headroom";
    case DrainBound::WarmUp:
      return "warm-up";
    case DrainBound::StepLimit:
      return "step-limit";
    case DrainBound::TimeToLive:
      break;
  }
  return "time-to-live";
}

}
