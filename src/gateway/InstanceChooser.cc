#include "gateway/InstanceChooser.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace peridotsail {

namespace {

struct Scored
{
  const InstancePtr* instance_;
  // Servers of a lower tier come first.
  int tier_;
  double score_;
};

// Returns 0 for the chosen region, 1 for this host's and 2 for the others.
int
TierOf(const Instance& aInstance, const ChoiceQuery& aQuery)
{
  if (aQuery.chosenRegion_.empty() ||
      aInstance.Region() == aQuery.chosenRegion_) {
    return 0;
  }
  return aInstance.Region() == aQuery.region_ ? 1 : 2;
}

double
WeightOf(const Instance& aInstance, const ChoiceQuery& aQuery)
{
  const bool weighted =
    aQuery.chosenRegion_.empty() && aInstance.Region() != aQuery.region_;
  return aInstance.Record().slots_ * (weighted ? aQuery.remoteWeight_ : 1.0);
}

// Returns a higher score for a server that is expected to respond sooner.
double
LoadScore(const Instance& aInstance, double aWeight, TimePoint aNow)
{
  return aWeight / ToSeconds(aInstance.queue_.ExpectedLatency(aNow));
}

std::vector<Scored>
Rank(const std::vector<InstancePtr>& aCandidates,
     const ChoiceQuery& aQuery,
     TimePoint aNow)
{
  std::vector<Scored> ranked;
  for (const InstancePtr& instance : aCandidates) {
    const bool allowed =
      instance->IsUsable(aNow) &&
      IsHomeRegion(aQuery.homeRegions_, instance->Region()) &&
      aQuery.tried_.count(instance->Record().id_) == 0;
    if (!allowed) {
      continue;
    }
    const double weight = WeightOf(*instance, aQuery);
    const double score =
      aQuery.hasObject_
        ? RendezvousScore(aQuery.objectHash_, instance->IdHash(), weight)
        : LoadScore(*instance, weight, aNow);
    ranked.push_back({ &instance, TierOf(*instance, aQuery), score });
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Scored& aLeft, const Scored& aRight) {
              return aLeft.tier_ != aRight.tier_ ? aLeft.tier_ < aRight.tier_
                                                 : aLeft.score_ > aRight.score_;
            });
  return ranked;
}

// Returns the service time above which a server counts as slow, based on the
// servers that have recently completed requests; no limit if there are fewer
// than three.
Duration
SlowLimit(const std::vector<Scored>& aRanked,
          TimePoint aNow,
          const ChooserOptions& aOptions)
{
  std::vector<Duration> times;
  for (const Scored& scored : aRanked) {
    const QueueEstimate& queue = (*scored.instance_)->queue_;
    if (queue.IsServiceTimeRecent(aNow)) {
      times.push_back(queue.ServiceTime());
    }
  }
  if (times.size() < 3) {
    return Duration::max();
  }
  const auto median =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), median, times.end());
  return FromSeconds(ToSeconds(*median) * aOptions.slowFactor_);
}

bool
MayOverflowTo(const std::string& aRegion, const ChoiceQuery& aQuery)
{
  const std::vector<std::string>& regions = aQuery.overflowRegions_;
  return aQuery.chosenRegion_.empty() ||
         std::find(regions.begin(), regions.end(), aRegion) != regions.end();
}

// Returns whether a request whose own server is overloaded may go to this one
// of another region. This host sends few requests there and so rarely has a
// recent report.
bool
TakesOverflow(const Instance& aInstance,
              const ChoiceQuery& aQuery,
              TimePoint aNow)
{
  return aInstance.Region() != aQuery.region_ && aQuery.takeRemoteToken_ &&
         !aInstance.IsCold(aNow) && aInstance.queue_.MayHaveFreeSlot(aNow) &&
         MayOverflowTo(aInstance.Region(), aQuery) && aQuery.takeRemoteToken_();
}

// Returns a server of another region that responds within the target latency
// although the object's server would not. The highest-ranked server of each
// region is the one to which that region's own requests for the object go, so
// the object is probably warm there.
InstancePtr
FindRemoteInTime(const std::vector<Scored>& aRanked,
                 const Instance& aHome,
                 const ChoiceQuery& aQuery,
                 TimePoint aNow)
{
  if (!aQuery.takeRemoteToken_ ||
      aHome.queue_.ExpectedLatency(aNow) <= aQuery.targetLatency_) {
    return nullptr;
  }
  std::set<std::string> seen{ aHome.Region() };
  for (const Scored& scored : aRanked) {
    const InstancePtr& instance = *scored.instance_;
    if (!seen.insert(instance->Region()).second ||
        !MayOverflowTo(instance->Region(), aQuery)) {
      continue;
    }
    const QueueEstimate& queue = instance->queue_;
    const bool inTime =
      !instance->IsCold(aNow) && queue.MayHaveFreeSlot(aNow) &&
      aQuery.roundTrip_ + queue.ExpectedLatency(aNow) <= aQuery.targetLatency_;
    if (inTime) {
      return aQuery.takeRemoteToken_() ? instance : nullptr;
    }
  }
  return nullptr;
}

bool
IsSlow(const Instance& aInstance, Duration aLimit, TimePoint aNow)
{
  return aInstance.queue_.IsServiceTimeRecent(aNow) &&
         aInstance.queue_.ServiceTime() > aLimit;
}

}

std::optional<std::vector<std::string>>
IntersectHomeRegions(const std::vector<std::string>& aLeft,
                     const std::vector<std::string>& aRight)
{
  if (aLeft.empty() || aRight.empty()) {
    return aLeft.empty() ? aRight : aLeft;
  }
  std::vector<std::string> common;
  for (const std::string& region : aLeft) {
    if (IsHomeRegion(aRight, region)) {
      common.push_back(region);
    }
  }
  if (common.empty()) {
    return std::nullopt;
  }
  return common;
}

bool
IsHomeRegion(const std::vector<std::string>& aHomeRegions,
             const std::string& aRegion)
{
  return aHomeRegions.empty() ||
         std::find(aHomeRegions.begin(), aHomeRegions.end(), aRegion) !=
           aHomeRegions.end();
}

Choice
ChooseInstance(const std::vector<InstancePtr>& aCandidates,
               const ChoiceQuery& aQuery,
               TimePoint aNow,
               const ChooserOptions& aOptions)
{
  const std::vector<Scored> ranked = Rank(aCandidates, aQuery, aNow);
  const Duration limit =
    FromSeconds(ToSeconds(aQuery.timeLeft_) * aOptions.timeLeftFraction_);
  const Duration slowLimit = SlowLimit(ranked, aNow, aOptions);
  Choice choice;
  for (const Scored& scored : ranked) {
    const InstancePtr& instance = *scored.instance_;
    const QueueEstimate& queue = instance->queue_;
    if (IsSlow(*instance, slowLimit, aNow)) {
      continue;
    }
    const bool granted =
      aQuery.slotsGranted_ && instance->Region() == aQuery.region_;
    const bool hasCapacity =
      granted ||
      (choice.overloaded_
         ? queue.IsHalfIdle(aNow) || TakesOverflow(*instance, aQuery, aNow)
         : queue.ExpectedLatency(aNow) <= limit || queue.HasFreeSlot(aNow));
    if (!hasCapacity) {
      if (!choice.overloaded_) {
        choice.overloaded_ = instance;
        choice.wait_ = queue.ExpectedLatency(aNow) - limit;
      }
      continue;
    }
    if (instance->IsCold(aNow) && !aQuery.takeColdToken_(*instance)) {
      continue;
    }
    choice.instance_ = instance;
    if (aQuery.hasObject_ && !choice.overloaded_ &&
        instance->Region() == aQuery.region_) {
      if (const InstancePtr other =
            FindRemoteInTime(ranked, *instance, aQuery, aNow)) {
        choice.instance_ = other;
      }
    }
    return choice;
  }
  return choice;
}

}
