#include "regions/ShareTargets.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// Rounds in which the receivers' headroom is given out; each one after the
// first covers what a full receiver could not take.
constexpr int kFillRounds = 4;
// Smaller amounts of work, in busy slots, are not moved.
constexpr double kMinWork = 1e-6;
// Larger servers are treated as if they had this many slots.
constexpr int kMaxSlotsPerServer = 256;
// Halvings of the interval in which the target utilization lies.
constexpr int kBisections = 12;
// The utilization up to which regions receive and down to which they export.
struct Levels
{
  double receive_ = 0;
  double export_ = 0;
};

Duration
MeanRoundTrip(const RoundTripMatrix& aRoundTrips)
{
  Duration sum{};
  int count = 0;
  for (std::size_t from = 0; from < aRoundTrips.size(); ++from) {
    for (std::size_t to = 0; to < aRoundTrips.size(); ++to) {
      if (from != to) {
        sum += aRoundTrips[from][to];
        ++count;
      }
    }
  }
  return count == 0 ? sum : sum / count;
}

// The mean time that a request waits for one of the slots of a server, in
// service times, for random arrivals (Erlang's formula).
double
MeanWait(double aUtilization, int aSlots)
{
  const double load = aUtilization * aSlots;
  double blocked = 1;
  for (int slot = 1; slot <= aSlots; ++slot) {
    blocked = load * blocked / (slot + load * blocked);
  }
  const double waits = blocked / (1 - aUtilization * (1 - blocked));
  return waits / (aSlots * (1 - aUtilization));
}

Levels
LevelsFor(const std::vector<RegionLoad>& aLoads,
          const ServiceCapacity& aCapacity,
          const ShareTargetOptions& aOptions)
{
  double work = 0;
  double slots = 0;
  for (const RegionLoad& load : aLoads) {
    work += WorkOf(load);
    slots += load.slots_;
  }
  Levels levels;
  levels.receive_ = std::max(TargetUtilization(aCapacity, aOptions),
                             slots > 0 ? work / slots : 0);
  double margin = 0;
  if (aCapacity.targetLatency_ > Duration::zero()) {
    margin = aOptions.distanceMargin_ *
             std::min(1.0,
                      ToSeconds(MeanRoundTrip(aCapacity.roundTrips_)) /
                        ToSeconds(aCapacity.targetLatency_));
  }
  levels.export_ =
    levels.receive_ +
    std::min(margin, levels.receive_ - TargetUtilization(aCapacity, aOptions));
  return levels;
}

double
ProximityOf(const ServiceCapacity& aCapacity,
            std::size_t aFrom,
            std::size_t aTo,
            const ShareTargetOptions& aOptions)
{
  if (aCapacity.roundTrips_.empty()) {
    return 1;
  }
  const double half = ToSeconds(aOptions.halfWeightRoundTrip_);
  const double way = ToSeconds(aCapacity.roundTrips_[aFrom][aTo]);
  return half / (half + std::max(0.0, way));
}

// Gives the excess work of regions to those with headroom.
class Distribution
{
public:
  Distribution(std::vector<double> aExcess, std::vector<double> aHeadroom)
    : excess_(std::move(aExcess))
    , headroom_(std::move(aHeadroom))
    , flows_(excess_.size(), RegionShares(excess_.size(), 0))
  {
  }

  // Flows in busy slots.
  const ShareMatrix& Flows() const { return flows_; }

  // Keeps as much of the present flows as the excess and the headroom allow.
  void Keep(const std::vector<RegionLoad>& aLoads, const ShareMatrix& aCurrent)
  {
    ShareMatrix asked = None();
    for (std::size_t from = 0; from < excess_.size(); ++from) {
      const double exported =
        aLoads[from].movable_ * ExportedShare(aCurrent[from], from);
      const double kept =
        exported > kMinWork ? std::min(1.0, excess_[from] / exported) : 0;
      for (std::size_t to = 0; to < excess_.size(); ++to) {
        asked[from][to] =
          to == from ? 0 : aLoads[from].movable_ * aCurrent[from][to] * kept;
      }
    }
    Grant(asked);
  }

  // Gives the rest to the receivers in proportion to their headroom, nearer
  // ones first.
  void Fill(const ServiceCapacity& aCapacity,
            const ShareTargetOptions& aOptions)
  {
    ShareMatrix asked = None();
    for (std::size_t from = 0; from < excess_.size(); ++from) {
      std::vector<double> weights(excess_.size(), 0);
      for (std::size_t to = 0; to < excess_.size(); ++to) {
        weights[to] =
          headroom_[to] * ProximityOf(aCapacity, from, to, aOptions);
      }
      const double total = SumOf(weights);
      if (excess_[from] <= kMinWork || total <= kMinWork) {
        continue;
      }
      for (std::size_t to = 0; to < excess_.size(); ++to) {
        asked[from][to] = excess_[from] * weights[to] / total;
      }
    }
    Grant(asked);
  }

private:
  ShareMatrix None() const
  {
    return ShareMatrix(excess_.size(), RegionShares(excess_.size(), 0));
  }

  void Grant(const ShareMatrix& aAsked)
  {
    for (std::size_t to = 0; to < excess_.size(); ++to) {
      double asked = 0;
      for (const RegionShares& row : aAsked) {
        asked += row[to];
      }
      const double granted =
        asked > 0 ? std::min(1.0, headroom_[to] / asked) : 0;
      for (std::size_t from = 0; from < excess_.size(); ++from) {
        const double amount = aAsked[from][to] * granted;
        flows_[from][to] += amount;
        excess_[from] -= amount;
        headroom_[to] = std::max(0.0, headroom_[to] - amount);
      }
    }
  }

  std::vector<double> excess_;
  std::vector<double> headroom_;
  ShareMatrix flows_;
};

}

double
TargetUtilization(const ServiceCapacity& aCapacity,
                  const ShareTargetOptions& aOptions)
{
  const int slots =
    std::min(static_cast<int>(aCapacity.slotsPerServer_), kMaxSlotsPerServer);
  const Duration way = MeanRoundTrip(aCapacity.roundTrips_);
  if (slots < 1 || aCapacity.serviceTime_ <= Duration::zero() ||
      way <= Duration::zero()) {
    return aOptions.targetUtilization_;
  }
  const double allowed = ToSeconds(way) / ToSeconds(aCapacity.serviceTime_);
  double low = aOptions.minTargetUtilization_;
  double high = aOptions.maxTargetUtilization_;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (MeanWait(middle, slots) > allowed ? high : low) = middle;
  }
  return low;
}

ShareMatrix
TargetShares(const std::vector<RegionLoad>& aLoads,
             const ServiceCapacity& aCapacity,
             const ShareTargetOptions& aOptions,
             const ShareMatrix& aCurrent)
{
  const std::size_t regions = aLoads.size();
  const Levels levels = LevelsFor(aLoads, aCapacity, aOptions);
  std::vector<double> excess(regions, 0);
  std::vector<double> headroom(regions, 0);
  for (std::size_t region = 0; region < regions; ++region) {
    const RegionLoad& load = aLoads[region];
    const double above = WorkOf(load) - levels.export_ * load.slots_;
    excess[region] = std::clamp(above, 0.0, load.movable_);
    const bool exports =
      !aCurrent.empty() && ExportedShare(aCurrent[region], region) > 0;
    if (above <= 0 && !exports) {
      headroom[region] =
        std::max(0.0, levels.receive_ * load.slots_ - WorkOf(load));
    }
  }
  Distribution distribution(std::move(excess), std::move(headroom));
  if (!aCurrent.empty()) {
    distribution.Keep(aLoads, aCurrent);
  }
  for (int round = 0; round < kFillRounds; ++round) {
    distribution.Fill(aCapacity, aOptions);
  }
  const ShareMatrix& flows = distribution.Flows();
  ShareMatrix shares;
  for (std::size_t from = 0; from < regions; ++from) {
    shares.push_back(KeepAll(regions, from));
    for (std::size_t to = 0; to < regions; ++to) {
      if (flows[from][to] > kMinWork) {
        const double share = flows[from][to] / aLoads[from].movable_;
        shares[from][to] += share;
        shares[from][from] = std::max(0.0, shares[from][from] - share);
      }
    }
  }
  return shares;
}

ShareMatrix
SharesBySlots(const std::vector<double>& aSlots,
              const ShareTargetOptions& aOptions)
{
  const double work = aOptions.targetUtilization_ * SumOf(aSlots);
  std::vector<RegionLoad> loads;
  loads.reserve(aSlots.size());
  for (const double slots : aSlots) {
    loads.push_back({ work / static_cast<double>(aSlots.size()), 0, slots });
  }
  ServiceCapacity capacity;
  capacity.slots_ = aSlots;
  return TargetShares(loads, capacity, aOptions);
}

}
