#include "gateway/FleetView.h"

#include "base/EventLog.h"

namespace peridotsail {

namespace {

// A delayed write is at most this far behind. An entry that is further behind
// follows one whose sequence was wrong.
constexpr std::uint64_t kMaxSequenceLag = 10000;

// Returns whether the record was written before another one of its server.
bool
IsOutdated(const InstanceRecord& aRecord, const InstanceRecord& aOther)
{
  if (aRecord.born_ != aOther.born_) {
    return aRecord.born_ < aOther.born_;
  }
  return aRecord.sequence_ < aOther.sequence_ &&
         aOther.sequence_ - aRecord.sequence_ <= kMaxSequenceLag;
}

}

FleetView::FleetView(const ControlCodec& aCodec,
                     std::string aSelf,
                     FleetViewHooks aHooks)
  : codec_(aCodec)
  , self_(std::move(aSelf))
  , hooks_(std::move(aHooks))
{
}

void
FleetView::Apply(const std::vector<KvItem>& aEvents)
{
  const KvItem* configuration = nullptr;
  for (const KvItem& event : aEvents) {
    if (!event.deferred_ &&
        codec_.classify_(event.key_).kind_ == Kind::Configuration) {
      configuration = &event;
    }
  }
  for (const KvItem& event : aEvents) {
    const bool superseded = configuration != nullptr &&
                            event.key_ == configuration->key_ &&
                            &event != configuration;
    if (!event.deferred_ && !superseded) {
      ApplyOne(event);
    }
  }
  ExpireMissing(BootClock::now());
}

void
FleetView::ApplyRestored(const std::vector<KvItem>& aEvents,
                         const RestoreDeadlines& aDeadlines)
{
  storedVersion_ = 0;
  restoring_ = aDeadlines;
  Apply(aEvents);
  restoring_.reset();
}

void
FleetView::ExpireMissing(TimePoint aNow)
{
  for (const std::string& name : missingHosts_.TakeExpired(aNow)) {
    RemoveHost(name);
  }
  if (IsUnstored()) {
    return;
  }
  for (const std::string& domain : missingEvacuations_.TakeExpired(aNow)) {
    RemoveEvacuation(domain, 0);
  }
}

std::uint64_t
FleetView::Version() const
{
  return view_.table_ ? view_.table_->Version() : 0;
}

void
FleetView::ApplyOne(const KvItem& aItem)
{
  const ControlCodec::Key key = codec_.classify_(aItem.key_);
  switch (key.kind_) {
    case Kind::Configuration:
      ApplyConfiguration(aItem);
      break;
    case Kind::Instance:
      ApplyInstance(key.name_, aItem);
      break;
    case Kind::Evacuation:
      ApplyEvacuation(key.name_, aItem);
      break;
    case Kind::Host:
      ApplyHost(key.name_, aItem);
      break;
    case Kind::Other:
      break;
  }
}

void
FleetView::ApplyConfiguration(const KvItem& aItem)
{
  if (aItem.removed_) {
    storedVersion_ = 0;
    return;
  }
  std::string reason;
  const TimePoint startedAt = BootClock::now();
  const RoutingTablePtr table = codec_.decodeTable_(aItem.value_, reason);
  const Duration decodeTime = BootClock::now() - startedAt;
  if (!table) {
    LogEvent(Event::ConfigurationRefused,
             { { "reason", reason }, { "revision", aItem.revision_ } });
    return;
  }
  storedVersion_ = table->Version();
  const std::uint64_t current = Version();
  if (table->Version() < current) {
    LogEvent(Event::ConfigurationReverted,
             { { "version", table->Version() }, { "in_force", current } });
    return;
  }
  if (table->Version() == current && view_.table_) {
    return;
  }
  view_.table_ = table;
  changed_ = true;
  LogEvent(Event::ConfigurationInForce,
           { { "version", table->Version() },
             { "revision", aItem.revision_ },
             { "bytes", aItem.value_.size() },
             { "decode_ms", ToMilliseconds(decodeTime) } });
}

void
FleetView::ApplyEvacuation(const std::string& aFailureDomain,
                           const KvItem& aItem)
{
  if (aItem.removed_ && restoring_) {
    missingEvacuations_.Keep(aFailureDomain, restoring_->evacuations_);
    return;
  }
  missingEvacuations_.Written(aFailureDomain);
  if (aItem.removed_) {
    RemoveEvacuation(aFailureDomain, aItem.revision_);
    return;
  }
  if (view_.evacuated_.insert(aFailureDomain).second) {
    changed_ = true;
    LogEvent(Event::EvacuationChanged,
             { { "failure_domain", aFailureDomain },
               { "evacuated", 1 },
               { "revision", aItem.revision_ } });
  }
}

void
FleetView::RemoveEvacuation(const std::string& aFailureDomain,
                            std::uint64_t aRevision)
{
  if (view_.evacuated_.erase(aFailureDomain) > 0) {
    changed_ = true;
    LogEvent(Event::EvacuationChanged,
             { { "failure_domain", aFailureDomain },
               { "evacuated", 0 },
               { "revision", aRevision } });
  }
}

bool
FleetView::EraseInstance(const std::string& aId)
{
  view_.readAt_.erase(aId);
  const bool known = view_.instances_.erase(aId) > 0;
  changed_ = changed_ || known;
  return known;
}

void
FleetView::RemoveInstance(const std::string& aId)
{
  if (view_.instances_.count(aId) == 0) {
    return;
  }
  const auto until = hooks_.keepUntil_(BootClock::now());
  if (!until) {
    EraseInstance(aId);
    return;
  }
  // Another outage does not extend the deadline.
  if (delayed_.try_emplace(aId, *until).second) {
    hooks_.onDelayed_(aId, *until);
  }
}

bool
FleetView::ExpireDelayed(const std::string& aId, TimePoint aUntil)
{
  const auto found = delayed_.find(aId);
  if (found == delayed_.end() || found->second != aUntil) {
    return false;
  }
  delayed_.erase(found);
  return EraseInstance(aId);
}

void
FleetView::ApplyInstance(const std::string& aId, const KvItem& aItem)
{
  if (aItem.removed_) {
    RemoveInstance(aId);
    return;
  }
  std::string reason;
  const auto record = codec_.decodeInstance_(aId, aItem.value_, reason);
  delayed_.erase(aId);
  if (!record) {
    LogEvent(Event::InstanceRecordRefused,
             { { "server", aId }, { "reason", reason } });
    EraseInstance(aId);
    return;
  }
  const auto known = view_.instances_.find(aId);
  if (known != view_.instances_.end() && IsOutdated(*record, known->second)) {
    return;
  }
  view_.instances_[aId] = *record;
  view_.readAt_[aId] = BootClock::now();
  changed_ = true;
}

void
FleetView::ApplyHost(const std::string& aName, const KvItem& aItem)
{
  if (aName == self_) {
    hooks_.onOwnRecord_(aItem.Position(), aItem.removed_);
  }
  if (aItem.removed_ && restoring_) {
    missingHosts_.Keep(aName, restoring_->hosts_);
    return;
  }
  missingHosts_.Written(aName);
  if (aItem.removed_) {
    RemoveHost(aName);
    return;
  }
  const auto host = DecodeHostRecord(aName, aItem.value_);
  if (!host) {
    LogEvent(Event::HostRecordRefused, { { "name", aName } });
    return;
  }
  view_.hosts_[aName] = *host;
  changed_ = true;
}

void
FleetView::RemoveHost(const std::string& aName)
{
  changed_ = view_.hosts_.erase(aName) > 0 || changed_;
}

FleetSnapshotPtr
FleetView::Snapshot()
{
  if (changed_ || !snapshot_) {
    changed_ = false;
    view_.registered_ = view_.hosts_.count(self_) > 0;
    snapshot_ = std::make_shared<const FleetSnapshot>(view_);
  }
  return snapshot_;
}

}
