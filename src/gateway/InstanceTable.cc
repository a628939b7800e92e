#include "gateway/InstanceTable.h"

#include "base/EventLog.h"
#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <set>

namespace peridotsail {

Instance::Instance(InstanceRecord aRecord)
  : queue_(aRecord.slots_)
  , record_(std::move(aRecord))
  , idHash_(MixHash(std::hash<std::string>()(record_.id_)))
{
}

bool
Instance::IsUsable(TimePoint aNow) const
{
  return registered_ && !evacuated_ && !record_.draining_ && !leaving_ &&
         !IsPaused(aNow) && aNow >= restsUntil_;
}

void
Instance::SetLeaving()
{
  if (!leaving_) {
    leaving_ = true;
    LogEvent(Event::BackendServerState,
             { { "server", record_.id_ }, { "state", "leaving" } });
  }
}

void
Instance::SetResting(TimePoint aUntil)
{
  if (aUntil > restsUntil_) {
    restsUntil_ = aUntil;
    LogEvent(Event::BackendServerState,
             { { "server", record_.id_ }, { "state", "resting" } });
  }
}

void
Instance::Pause(TimePoint aNow, const InstanceHealthOptions& aOptions)
{
  pause_ = pause_ == Duration::zero()
             ? aOptions.firstPause_
             : std::min(pause_ * 2, aOptions.longestPause_);
  pausedUntil_ = aNow + pause_;
  failureRate_ = aOptions.rateAtReturn_;
  LogEvent(Event::BackendServerState,
           { { "server", record_.id_ },
             { "state", "paused" },
             { "seconds", ToSeconds(pause_) } });
}

bool
Instance::Count(InstanceSignal aSignal, const InstanceHealthOptions& aOptions)
{
  const bool failed = aSignal != InstanceSignal::Success;
  failureRate_ += aOptions.weight_ * ((failed ? 1.0 : 0.0) - failureRate_);
  if (!failed && failureRate_ < aOptions.rateAtReturn_ / 2) {
    pause_ = Duration::zero();
  }
  return failed && (aSignal == InstanceSignal::Unreachable ||
                    failureRate_ > aOptions.failureLimit_);
}

InstanceTable::InstanceTable(std::map<std::string, std::string> aRegions,
                             std::string aRegion)
  : regions_(std::move(aRegions))
  , region_(std::move(aRegion))
{
  std::set<std::string> names;
  for (const auto& [failureDomain, region] : regions_) {
    names.insert(region);
  }
  regionCount_ = std::max<std::size_t>(1, names.size());
}

void
InstanceTable::Apply(const FleetSnapshot& aSnapshot)
{
  for (auto it = instances_.begin(); it != instances_.end();) {
    if (aSnapshot.instances_.count(it->first) == 0) {
      it->second->registered_ = false;
      it = instances_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& [id, record] : aSnapshot.instances_) {
    const auto readAt = aSnapshot.readAt_.find(id);
    const TimePoint at =
      readAt == aSnapshot.readAt_.end() ? TimePoint::min() : readAt->second;
    ApplyRecord(record, at, aSnapshot);
  }
  byService_.clear();
  const double sharers =
    std::max(1.0, static_cast<double>(CountHostsInRegion(aSnapshot, region_)));
  for (const auto& [id, instance] : instances_) {
    instance->queue_.SetSharers(instance->region_ == region_ ? sharers : 1);
    byService_[instance->record_.service_].push_back(instance);
  }
  CountSlots();
}

void
InstanceTable::ApplyRecord(const InstanceRecord& aRecord,
                           TimePoint aReadAt,
                           const FleetSnapshot& aSnapshot)
{
  const auto region = regions_.find(aRecord.failureDomain_);
  if (region == regions_.end()) {
    return;
  }
  InstancePtr& instance = instances_[aRecord.id_];
  // A new lifetime knows nothing of before: neither does this host.
  const bool replaced = instance && instance->record_.born_ != aRecord.born_;
  if (!instance || replaced) {
    if (replaced) {
      instance->registered_ = false;
    }
    instance = std::make_shared<Instance>(aRecord);
    instance->region_ = region->second;
  }
  instance->record_ = aRecord;
  instance->queue_.SetSlots(aRecord.slots_);
  instance->coldUntil_ = aReadAt == TimePoint::min()
                           ? TimePoint::min()
                           : aReadAt + aRecord.coldLeft_;
  instance->evacuated_ = aSnapshot.evacuated_.count(aRecord.failureDomain_) > 0;
}

// Only what the store says counts, so that all hosts of a region come to the
// same weights; what this host found out itself does not.
void
InstanceTable::CountSlots()
{
  rooms_.clear();
  for (const auto& [service, instances] : byService_) {
    RegionCapacity room;
    room.regions_ = regionCount_;
    for (const InstancePtr& instance : instances) {
      if (instance->evacuated_ || instance->record_.draining_) {
        continue;
      }
      const double slots = instance->record_.slots_;
      room.allSlots_ += slots;
      room.localSlots_ += instance->region_ == region_ ? slots : 0;
    }
    rooms_[service] = room;
  }
}

void
InstanceTable::Learn(Instance& aInstance,
                     InstanceSignal aSignal,
                     TimePoint aNow,
                     const InstanceHealthOptions& aOptions) const
{
  if (!aInstance.Count(aSignal, aOptions) || aInstance.IsPaused(aNow)) {
    return;
  }
  const std::vector<InstancePtr>& others =
    OfService(aInstance.record_.service_);
  const auto leftOut =
    std::count_if(others.begin(), others.end(), [&](const InstancePtr& aOther) {
      return aOther->IsPaused(aNow);
    });
  const double most =
    aOptions.mostLeftOut_ * static_cast<double>(others.size());
  if (aSignal == InstanceSignal::Unreachable ||
      static_cast<double>(leftOut) + 1 <= std::max(1.0, most)) {
    aInstance.Pause(aNow, aOptions);
  }
}

RegionCapacity
InstanceTable::Room(const std::string& aService) const
{
  const auto found = rooms_.find(aService);
  return found == rooms_.end() ? RegionCapacity() : found->second;
}

const std::vector<InstancePtr>&
InstanceTable::OfService(const std::string& aService) const
{
  static const std::vector<InstancePtr> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

}
