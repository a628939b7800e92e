#pragma once

// The load of OverloadedRegionTest, what becomes of it, and the planner of its
// regions.
//
//   PlannedRegions plans;
//   plans.Plan(slotsByRegion, seconds);   // each kPlanInterval

#include "base/Hash.h"
#include "regions/RegionPlanner.h"
#include "slots/SlotQueue.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail::overload {

constexpr double kStep = 0.005;
constexpr double kCalm = 2, kOverload = 8, kOverloadEnd = 14, kEnd = 20;
constexpr std::size_t kRegions = 3, kRanks = 3, kCustomers = 5, kHot = 0;
constexpr int kSlots = 3;
constexpr double kRoundTrip = 0.04, kPlanInterval = 0.5, kPatience = 2;
// Servers by region. The first five, half of the first region, share a failure
// domain.
inline const std::vector<std::size_t> kServers{ 10, 8, 4 };
constexpr std::size_t kEvacuated = 5;

struct Work
{
  double service_, target_, busySlots_;
};
// 40 busy slots of 66 while it is calm.
inline const std::array<Work, kRanks> kWork{
  { { 0.2, 0.4, 12 }, { 0.3, 0.6, 13 }, { 1, 3, 15 } }
};
inline const double kCallsPerSecond = 12 / 0.2 + 13 / 0.3 + 15 / 1.0;

inline TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::seconds(1000)) + FromSeconds(aSeconds);
}

struct Server
{
  std::string name_;
  std::size_t region_ = 0;
  std::unique_ptr<SlotQueue> queue_;
  bool usable_ = true;
  int running_ = 0;
};

// The first servers of the region in the object's rendezvous order.
inline std::vector<std::size_t>
FirstServers(const std::vector<Server>& aServers,
             std::uint64_t aObject,
             std::size_t aRegion,
             std::size_t aCount)
{
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    const Server& server = aServers[i];
    if (server.region_ == aRegion && server.usable_) {
      const std::uint64_t hash = StableHash("server" + server.name_);
      order.emplace_back(-RendezvousScore(aObject, hash, 1), i);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<std::size_t> first;
  for (std::size_t i = 0; i < std::min(aCount, order.size()); ++i) {
    first.push_back(order[i].second);
  }
  return first;
}

struct Call
{
  std::uint64_t object_ = 0;
  std::size_t rank_ = 0, customer_ = 0, region_ = 0;
  double begin_ = 0;
  bool returned_ = false, promised_ = false;
  // The servers to ask, the next one, and the ask that waits at the first one.
  std::vector<std::size_t> servers_;
  std::size_t next_ = 0;
  std::uint64_t waiting_ = 0;
  double wait_ = 0;
  std::size_t server_ = 0;
  std::uint64_t grant_ = 0;
  double endsAt_ = 0;

  // Requests are abandoned after twice the target latency.
  double Deadline() const { return begin_ + 2 * kWork[rank_].target_; }
};

struct Count
{
  int all_ = 0, served_ = 0, inTarget_ = 0, refused_ = 0;
  double Share(int aPart) const { return all_ > 0 ? 1.0 * aPart / all_ : 1; }
  double Served() const { return Share(served_); }
  double InTarget() const { return Share(inTarget_); }
  double Refused() const { return Share(refused_); }
};

// By the time at which the call began.
enum Phase
{
  WarmUp,
  Calm,
  Overload,
  Recovery,
  Recovered
};

inline Phase
PhaseOf(double aTime)
{
  return aTime < kCalm              ? WarmUp
         : aTime < kOverload        ? Calm
         : aTime < kOverloadEnd     ? Overload
         : aTime < kOverloadEnd + 4 ? Recovery
                                    : Recovered;
}

struct PlanOutcome
{
  double maxExchange_ = 0, maxStepExcess_ = 0, maxExport_ = 0;
};

struct Outcome
{
  // Calls that their customer's allowance admitted, and all of them.
  std::array<std::array<Count, kRanks>, 5> ranks_;
  std::array<std::array<Count, kCustomers>, 5> customers_;
  // Decisions on the hot customer's tokens.
  Count newcomers_, inTurn_;
  int refusals_ = 0, refusedAtOnce_ = 0, refusedTooLate_ = 0, unanswered_ = 0;
  int maxRunning_ = 0;
  // Refusals at the time of the calm, whenever the call began.
  int refusedInCalm_ = 0;
  // The hot customer's tokens.
  double minTokens_ = 0;
  PlanOutcome plans_;
};

// The planner of the regions, and what its plans did at most.
class PlannedRegions
{
public:
  void Plan(const std::vector<double>& aSlots, double aNow)
  {
    for (std::size_t region = 0; region < kRegions; ++region) {
      const double busy = std::exchange(demand_[region], 0) / kPlanInterval;
      planner_.SetDemand("s", region, busy, { 0, 0, 0 }, At(aNow));
    }
    const ShareMatrix former = shares_;
    ServiceCapacity capacity;
    capacity.slots_ = aSlots;
    capacity.roundTrips_.assign(
      kRegions, std::vector<Duration>(kRegions, FromSeconds(kRoundTrip)));
    capacity.targetLatency_ = FromSeconds(kWork[0].target_);
    planner_.Plan("s", capacity, At(aNow));
    shares_ = *planner_.SharesOf("s");
    for (std::size_t region = 0; region < kRegions; ++region) {
      Check(former, region, aNow);
    }
  }

  const RegionShares& SharesOf(std::size_t aRegion) const
  {
    return shares_[aRegion];
  }

  const RegionPlannerOptions options_ =
    PlannerOptionsFor(0.15, std::chrono::seconds(2));
  RegionPlanner planner_{ kRegions, options_ };
  // Work that arrived since the last plan, in seconds of a slot.
  std::array<double, kRegions> demand_{};
  PlanOutcome outcome_;

private:
  void Check(const ShareMatrix& aFormer, std::size_t aRegion, double aNow)
  {
    const double out = ExportedShare(shares_[aRegion], aRegion);
    double in = 0;
    for (std::size_t from = 0; from < kRegions; ++from) {
      in += from == aRegion ? 0 : shares_[from][aRegion];
    }
    outcome_.maxExchange_ = std::max(outcome_.maxExchange_, std::min(in, out));
    outcome_.maxExport_ = std::max(outcome_.maxExport_, out);
    // Only the beginning of the overload is a loss of capacity.
    const bool loss = aNow >= kOverload - kStep &&
                      aNow < kOverload + ToSeconds(options_.lossDuration_);
    const double perSecond =
      loss ? options_.maxLossStepPerSecond_ : options_.maxStepPerSecond_;
    if (!aFormer.empty()) {
      const double moved = MovedShare(aFormer[aRegion], shares_[aRegion]);
      outcome_.maxStepExcess_ =
        std::max(outcome_.maxStepExcess_, moved - perSecond * kPlanInterval);
    }
  }

  ShareMatrix shares_;
};

}
