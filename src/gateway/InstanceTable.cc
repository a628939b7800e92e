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
  return registered_ && !evacuated_ && !record_.draining_ && !shuttingDown_ &&
         !IsEjected(aNow) && aNow >= backoffUntil_;
}

void
Instance::SetShuttingDown()
{
  if (!shuttingDown_) {
    shuttingDown_ = true;
    LogEvent(Event::BackendServerState,
             { { "server", record_.id_ }, { "state", "leaving" } });
  }
}

void
Instance::SetBackoff(TimePoint aUntil)
{
  if (aUntil > backoffUntil_) {
    backoffUntil_ = aUntil;
    LogEvent(Event::BackendServerState,
             { { "server", record_.id_ }, { "state", "resting" } });
  }
}

void
Instance::Eject(TimePoint aNow, const InstanceHealthOptions& aOptions)
{
  ejectionTime_ = ejectionTime_ == Duration::zero()
                    ? aOptions.initialEjectionTime_
                    : std::min(ejectionTime_ * 2, aOptions.maxEjectionTime_);
  ejectedUntil_ = aNow + ejectionTime_;
  failureRate_ = aOptions.failureRateAfterEjection_;
  LogEvent(Event::BackendServerState,
           { { "server", record_.id_ },
             { "state", "paused" },
             { "seconds", ToSeconds(ejectionTime_) } });
}

bool
Instance::UpdateFailureRate(InstanceOutcome aOutcome,
                            const InstanceHealthOptions& aOptions)
{
  const bool failed = aOutcome != InstanceOutcome::Success;
  failureRate_ += aOptions.smoothing_ * ((failed ? 1.0 : 0.0) - failureRate_);
  if (!failed && failureRate_ < aOptions.failureRateAfterEjection_ / 2) {
    ejectionTime_ = Duration::zero();
  }
  return failed && (aOutcome == InstanceOutcome::Unreachable ||
                    failureRate_ > aOptions.failureThreshold_);
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
  const double hosts =
    std::max(1.0, static_cast<double>(CountHostsInRegion(aSnapshot, region_)));
  for (const auto& [id, instance] : instances_) {
    instance->queue_.SetHostCount(instance->region_ == region_ ? hosts : 1);
    byService_[instance->record_.service_].push_back(instance);
  }
  UpdateCapacities();
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
  // A restarted server starts with fresh state at this host.
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

// Uses only the registrations and not this host's own health data, so that all
// hosts of a region compute the same weights.
void
InstanceTable::UpdateCapacities()
{
  capacities_.clear();
  for (const auto& [service, instances] : byService_) {
    RegionCapacity capacity;
    capacity.regions_ = regionCount_;
    for (const InstancePtr& instance : instances) {
      if (instance->evacuated_ || instance->record_.draining_) {
        continue;
      }
      const double slots = instance->record_.slots_;
      capacity.allSlots_ += slots;
      ++capacity.servers_;
      capacity.slotsByRegion_[instance->region_] += slots;
      capacity.localSlots_ += instance->region_ == region_ ? slots : 0;
    }
    capacities_[service] = capacity;
  }
}

void
InstanceTable::RecordOutcome(Instance& aInstance,
                             InstanceOutcome aOutcome,
                             TimePoint aNow,
                             const InstanceHealthOptions& aOptions) const
{
  if (!aInstance.UpdateFailureRate(aOutcome, aOptions) ||
      aInstance.IsEjected(aNow)) {
    return;
  }
  const std::vector<InstancePtr>& others =
    OfService(aInstance.record_.service_);
  const auto ejected =
    std::count_if(others.begin(), others.end(), [&](const InstancePtr& aOther) {
      return aOther->IsEjected(aNow);
    });
  const double maxEjected =
    aOptions.maxEjectedFraction_ * static_cast<double>(others.size());
  if (aOutcome == InstanceOutcome::Unreachable ||
      static_cast<double>(ejected) + 1 <= std::max(1.0, maxEjected)) {
    aInstance.Eject(aNow, aOptions);
  }
}

InstancePtr
InstanceTable::Find(const std::string& aId) const
{
  const auto found = instances_.find(aId);
  return found == instances_.end() ? nullptr : found->second;
}

RegionCapacity
InstanceTable::Capacity(const std::string& aService) const
{
  const auto found = capacities_.find(aService);
  return found == capacities_.end() ? RegionCapacity() : found->second;
}

const std::vector<InstancePtr>&
InstanceTable::OfService(const std::string& aService) const
{
  static const std::vector<InstancePtr> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

}
