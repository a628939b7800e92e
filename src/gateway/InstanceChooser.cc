#include "gateway/InstanceChooser.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace peridotsail {

namespace {

struct Scored
{
  const InstancePtr* instance_;
  double score_;
};

double
WeightOf(const Instance& aInstance, const ChoiceQuery& aQuery)
{
  const bool local = aInstance.Region() == aQuery.region_;
  return aInstance.Record().slots_ * (local ? 1.0 : aQuery.remoteWeight_);
}

// Higher for a server that is expected to answer sooner.
double
RoomScore(const Instance& aInstance, double aWeight, TimePoint aNow)
{
  return aWeight / ToSeconds(aInstance.queue_.Expected(aNow));
}

std::vector<Scored>
Rank(const std::vector<InstancePtr>& aCandidates,
     const ChoiceQuery& aQuery,
     TimePoint aNow)
{
  std::vector<Scored> ranked;
  for (const InstancePtr& instance : aCandidates) {
    const bool allowed = instance->IsUsable(aNow) &&
                         IsHome(aQuery.homeRegions_, instance->Region()) &&
                         aQuery.tried_.count(instance->Record().id_) == 0;
    if (!allowed) {
      continue;
    }
    const double weight = WeightOf(*instance, aQuery);
    const double score =
      aQuery.hasObject_
        ? RendezvousScore(aQuery.objectHash_, instance->IdHash(), weight)
        : RoomScore(*instance, weight, aNow);
    ranked.push_back({ &instance, score });
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Scored& aLeft, const Scored& aRight) {
              return aLeft.score_ > aRight.score_;
            });
  return ranked;
}

// The run time beyond which a server counts as slow, from the servers that have
// run something lately; no limit while fewer than three have.
Duration
SlowLimit(const std::vector<Scored>& aRanked,
          TimePoint aNow,
          const ChooserOptions& aOptions)
{
  std::vector<Duration> times;
  for (const Scored& scored : aRanked) {
    const QueueEstimate& queue = (*scored.instance_)->queue_;
    if (queue.IsRunTimeRecent(aNow)) {
      times.push_back(queue.RunTime());
    }
  }
  if (times.size() < 3) {
    return Duration::max();
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return FromSeconds(ToSeconds(*middle) * aOptions.slowFactor_);
}

// A server of another region that answers in time where the object's server
// would be late. The first one of each region by score is where that region's
// own requests for the object go, so that the object is probably warm there.
InstancePtr
FindInTime(const std::vector<Scored>& aRanked,
           const Instance& aHome,
           const ChoiceQuery& aQuery,
           TimePoint aNow)
{
  if (!aQuery.admitRemote_ || aHome.queue_.Expected(aNow) <= aQuery.target_) {
    return nullptr;
  }
  std::set<std::string> seen{ aHome.Region() };
  for (const Scored& scored : aRanked) {
    const InstancePtr& instance = *scored.instance_;
    if (!seen.insert(instance->Region()).second) {
      continue;
    }
    const QueueEstimate& queue = instance->queue_;
    const bool inTime = !instance->IsCold(aNow) && queue.HasRoom(aNow) &&
                        aQuery.way_ + queue.Expected(aNow) <= aQuery.target_;
    if (inTime) {
      return aQuery.admitRemote_() ? instance : nullptr;
    }
  }
  return nullptr;
}

bool
IsSlow(const Instance& aInstance, Duration aLimit, TimePoint aNow)
{
  return aInstance.queue_.IsRunTimeRecent(aNow) &&
         aInstance.queue_.RunTime() > aLimit;
}

}

std::optional<std::vector<std::string>>
CommonHomes(const std::vector<std::string>& aLeft,
            const std::vector<std::string>& aRight)
{
  if (aLeft.empty() || aRight.empty()) {
    return aLeft.empty() ? aRight : aLeft;
  }
  std::vector<std::string> common;
  for (const std::string& region : aLeft) {
    if (IsHome(aRight, region)) {
      common.push_back(region);
    }
  }
  if (common.empty()) {
    return std::nullopt;
  }
  return common;
}

bool
IsHome(const std::vector<std::string>& aHomeRegions, const std::string& aRegion)
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
    FromSeconds(ToSeconds(aQuery.timeLeft_) * aOptions.timePart_);
  const Duration slowLimit = SlowLimit(ranked, aNow, aOptions);
  Choice choice;
  for (const Scored& scored : ranked) {
    const InstancePtr& instance = *scored.instance_;
    const QueueEstimate& queue = instance->queue_;
    if (IsSlow(*instance, slowLimit, aNow)) {
      continue;
    }
    const bool takes =
      choice.full_ ? queue.IsHalfFree(aNow)
                   : queue.Expected(aNow) <= limit || queue.HasFreeSlot(aNow);
    if (!takes) {
      if (!choice.full_) {
        choice.full_ = instance;
        choice.wait_ = queue.Expected(aNow) - limit;
      }
      continue;
    }
    if (instance->IsCold(aNow) && !aQuery.admitCold_(*instance)) {
      continue;
    }
    choice.instance_ = instance;
    if (aQuery.hasObject_ && !choice.full_ &&
        instance->Region() == aQuery.region_) {
      if (const InstancePtr other =
            FindInTime(ranked, *instance, aQuery, aNow)) {
        choice.instance_ = other;
      }
    }
    return choice;
  }
  return choice;
}

}
