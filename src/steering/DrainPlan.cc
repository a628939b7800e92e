#include "steering/DrainPlan.h"

#include <algorithm>
#include <array>

namespace peridotsail {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
// A plan that would take longer counts as one that cannot be carried out.
constexpr double kMaxMoveSeconds = 24 * 3600;
// Halvings of kMaxMoveSeconds: the result is exact to less than a microsecond.
constexpr int kHalvings = 40;

// Requests per second that the caps let through as a steady flow.
double
RelayLimit(const DrainDemand& aDemand, const DrainDestination& aDestination)
{
  const double requests = aDemand.requestBytes_ > 0
                            ? aDestination.capTo_ / aDemand.requestBytes_
                            : kInfinity;
  const double responses = aDemand.responseBytes_ > 0
                             ? aDestination.capBack_ / aDemand.responseBytes_
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
    double takers = 0;
    for (const DrainDestination& destination : destinations_) {
      takers += MostOf(destination);
    }
    moved_ = std::min(demand_.requestsPerSecond_, takers);
    if (demand_.requestsPerSecond_ > 0) {
      plan.movable_ = moved_ / demand_.requestsPerSecond_;
      plan.shortfallPerSecond_ = demand_.requestsPerSecond_ - moved_;
    }
    const double seconds = kind_ == DrainKind::Region ? RegionSeconds(plan) : 0;
    if (kind_ != DrainKind::Region) {
      plan.bound_ = DrainBound::TimeToLive;
    }
    plan.moveTime_ = FromSeconds(seconds);
    const Duration cached = kind_ == DrainKind::BackendServer
                              ? Duration::zero()
                              : options_.timeToLive_;
    plan.total_ = plan.moveTime_ + cached + demand_.longestRequest_;
    Distribute(seconds, plan);
    return plan;
  }

private:
  // The most that a destination takes, however slow the move is.
  double MostOf(const DrainDestination& aDestination) const
  {
    if (kind_ == DrainKind::BackendServer) {
      return std::min(aDestination.headroomPerSecond_,
                      RelayLimit(demand_, aDestination));
    }
    // Without any tokens not even one cached answer could be relayed.
    return RelayLimit(demand_, aDestination) > 0
             ? aDestination.headroomPerSecond_
             : 0;
  }

  double ByCap(const DrainDestination& aDestination, double aSeconds) const
  {
    return RelayLimit(demand_, aDestination) * aSeconds /
           ToSeconds(options_.timeToLive_);
  }

  double ByHeadroom(const DrainDestination& aDestination, double aSeconds) const
  {
    const double cold =
      ToSeconds(aDestination.warmUp_) * std::max(0.0, options_.coldCost_ - 1);
    return cold <= 0
             ? aDestination.headroomPerSecond_
             : aDestination.headroomPerSecond_ * aSeconds / (aSeconds + cold);
  }

  // The shortest time in which the destinations together take what is moved,
  // when a destination takes aTaken(destination, time) of it.
  template<typename Taken>
  double Shortest(const Taken& aTaken) const
  {
    // A destination's last bit of headroom would take for ever.
    constexpr double kAlmost = 0.999;
    const auto enough = [&](double aSeconds) {
      double sum = 0;
      for (const DrainDestination& destination : destinations_) {
        sum += std::min(MostOf(destination), aTaken(destination, aSeconds));
      }
      return sum >= moved_ * kAlmost;
    };
    double low = 0;
    double high = kMaxMoveSeconds;
    if (enough(low)) {
      return 0;
    }
    for (int i = 0; i < kHalvings; ++i) {
      const double middle = (low + high) / 2;
      (enough(middle) ? high : low) = middle;
    }
    return high;
  }

  double RegionSeconds(DrainPlan& aPlan) const
  {
    if (moved_ <= 0) {
      return 0;
    }
    const double cap = Shortest([this](const auto& aDestination, double aTime) {
      return ByCap(aDestination, aTime);
    });
    const double headroom =
      Shortest([this](const auto& aDestination, double aTime) {
        return ByHeadroom(aDestination, aTime);
      });
    const double both =
      Shortest([this](const auto& aDestination, double aTime) {
        return std::min(ByCap(aDestination, aTime),
                        ByHeadroom(aDestination, aTime));
      });
    double warmUp = 0;
    for (const DrainDestination& destination : destinations_) {
      if (MostOf(destination) > 0) {
        warmUp = std::max(warmUp, ToSeconds(destination.warmUp_));
      }
    }
    const double steps = aPlan.movable_ / options_.stepPerSecond_;
    using Row = std::pair<double, DrainBound>;
    const std::array<Row, 4> rows{ Row{ cap, DrainBound::ShiftCap },
                                   Row{ headroom, DrainBound::Headroom },
                                   Row{ warmUp, DrainBound::WarmUp },
                                   Row{ steps, DrainBound::StepLimit } };
    const Row slowest = *std::max_element(
      rows.begin(), rows.end(), [](const Row& aLeft, const Row& aRight) {
        return aLeft.first < aRight.first;
      });
    aPlan.bound_ = slowest.second;
    return std::max(slowest.first, both);
  }

  // Divides what is moved in proportion to what each destination can take.
  void Distribute(double aSeconds, DrainPlan& aPlan) const
  {
    std::vector<double> taken;
    double sum = 0;
    for (const DrainDestination& destination : destinations_) {
      double part = MostOf(destination);
      if (kind_ == DrainKind::Region) {
        part = std::min({ part,
                          ByCap(destination, aSeconds),
                          ByHeadroom(destination, aSeconds) });
      }
      taken.push_back(part);
      sum += part;
    }
    for (std::size_t i = 0; i < taken.size(); ++i) {
      if (taken[i] > 0 && sum > 0) {
        aPlan.parts_.push_back(
          { destinations_[i].region_, moved_ * taken[i] / sum });
      }
    }
  }

  DrainKind kind_;
  const DrainDemand& demand_;
  const std::vector<DrainDestination>& destinations_;
  const DrainOptions& options_;
  double moved_ = 0;
};

}

double
DrainPlan::KeepAt(Duration aSinceStart) const
{
  if (moveTime_ <= Duration::zero()) {
    return 1 - movable_;
  }
  const double part =
    std::clamp(ToSeconds(aSinceStart) / ToSeconds(moveTime_), 0.0, 1.0);
  return 1 - movable_ * part;
}

bool
DrainPlan::Finished(Duration aSinceStart) const
{
  return Feasible() && aSinceStart >= total_;
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
