#include "gateway/ViewCache.h"

#include <algorithm>
#include <set>

namespace peridotsail {

namespace {

std::size_t
SizeOf(const KvItem& aItem)
{
  return aItem.key_.size() + aItem.value_.size();
}

}

// Updates the revision of the event's key. Returns false if the event is
// already known.
bool
ViewCache::RecordRevision(const KvItem& aEvent)
{
  const auto known = keys_.find(aEvent.key_);
  if (aEvent.removed_) {
    // Pass the removal on: the key may have been removed while this host read
    // the store, and followers may know a key that this host has never seen.
    if (known == keys_.end()) {
      return true;
    }
    if (known->second >= aEvent.revision_) {
      return false;
    }
    keys_.erase(known);
    return true;
  }
  if (known != keys_.end() && known->second >= aEvent.revision_) {
    // The event may bring the value of a deferred one.
    return !aEvent.deferred_ && SetValue(aEvent);
  }
  keys_[aEvent.key_] = aEvent.revision_;
  return true;
}

bool
ViewCache::IsLarge(const KvItem& aItem) const
{
  return aItem.value_.size() > options_.maxInlineBytes_;
}

void
ViewCache::Append(const KvItem& aEvent)
{
  if (!aEvent.deferred_ && !IsLarge(aEvent)) {
    Retain(aEvent);
    return;
  }
  const auto former = deferred_.find(aEvent.key_);
  if (former != deferred_.end()) {
    if (former->second > aEvent.revision_) {
      return;
    }
    EraseEvent({ former->second, aEvent.key_ });
  }
  KvItem event;
  event.key_ = aEvent.key_;
  event.revision_ = aEvent.revision_;
  event.deferred_ = true;
  deferred_[event.key_] = event.revision_;
  Retain(std::move(event));
}

void
ViewCache::Retain(KvItem aEvent)
{
  EventId id{ aEvent.revision_, aEvent.key_ };
  EraseEvent(id);
  bytes_ += SizeOf(aEvent);
  events_.emplace(std::move(id), std::move(aEvent));
  while (events_.size() > options_.maxEvents_ || bytes_ > options_.maxBytes_) {
    const EventId oldest = events_.begin()->first;
    compactedRevision_ = std::max(compactedRevision_, oldest.first);
    EraseEvent(oldest);
  }
}

void
ViewCache::EraseEvent(const EventId& aId)
{
  const auto event = events_.find(aId);
  if (event == events_.end()) {
    return;
  }
  bytes_ -= SizeOf(event->second);
  events_.erase(event);
}

bool
ViewCache::SetValue(const KvItem& aItem)
{
  const auto missing = missing_.find(aItem.key_);
  if (missing == missing_.end() ||
      ValueOf(aItem.key_, aItem.revision_) != nullptr) {
    return false;
  }
  if (aItem.revision_ >= missing->second) {
    missing_.erase(missing);
  }
  KeepValue(aItem);
  return true;
}

const KvItem*
ViewCache::ValueOf(const std::string& aKey, std::uint64_t aRevision) const
{
  const auto value = values_.find(aKey);
  const bool known =
    value != values_.end() && value->second.revision_ >= aRevision;
  return known ? &value->second : nullptr;
}

// Updates the large value of the key of a new event.
void
ViewCache::RecordValue(const KvItem& aEvent)
{
  if (aEvent.deferred_) {
    if (ValueOf(aEvent.key_, aEvent.revision_) == nullptr) {
      missing_[aEvent.key_] = aEvent.revision_;
    }
  } else if (IsLarge(aEvent)) {
    const auto missing = missing_.find(aEvent.key_);
    if (missing != missing_.end() && missing->second <= aEvent.revision_) {
      missing_.erase(missing);
    }
    KeepValue(aEvent);
  } else {
    DropValue(aEvent.key_);
  }
}

void
ViewCache::KeepValue(const KvItem& aItem)
{
  if (ValueOf(aItem.key_, aItem.revision_) != nullptr) {
    return;
  }
  KvItem& value = values_[aItem.key_];
  valueBytes_ -= value.value_.size();
  value = aItem;
  valueBytes_ += value.value_.size();
  while (valueBytes_ > options_.maxValueBytes_) {
    const auto oldest = std::min_element(
      values_.begin(),
      values_.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.revision_ < aRight.second.revision_;
      });
    valueBytes_ -= oldest->second.value_.size();
    values_.erase(oldest);
  }
}

// Forgets the large value of a key that was removed or has a small value now.
void
ViewCache::DropValue(const std::string& aKey)
{
  missing_.erase(aKey);
  const auto value = values_.find(aKey);
  if (value != values_.end()) {
    valueBytes_ -= value->second.value_.size();
    values_.erase(value);
  }
}

std::vector<KvItem>
ViewCache::Replace(std::vector<KvItem> aItems, std::uint64_t aRevision)
{
  std::set<std::string> present;
  std::vector<KvItem> changes;
  for (KvItem& item : aItems) {
    present.insert(item.key_);
    if (RecordRevision(item)) {
      changes.push_back(std::move(item));
    }
  }
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (present.count(it->first) > 0) {
      ++it;
      continue;
    }
    KvItem removal;
    removal.key_ = it->first;
    removal.revision_ = aRevision;
    removal.removed_ = true;
    changes.push_back(removal);
    it = keys_.erase(it);
  }
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const KvItem& aLeft, const KvItem& aRight) {
                     return aLeft.revision_ < aRight.revision_;
                   });
  // No follower can start from a revision before the first read.
  const bool first = revision_ == 0;
  compactedRevision_ = first ? aRevision : compactedRevision_;
  for (const KvItem& change : changes) {
    if (!first || change.revision_ > aRevision) {
      Append(change);
    }
    RecordValue(change);
  }
  revision_ = std::max(revision_, aRevision);
  return changes;
}

std::vector<KvItem>
ViewCache::Add(std::vector<KvItem> aEvents, std::uint64_t aRevision)
{
  std::vector<KvItem> changes;
  for (KvItem& event : aEvents) {
    if (RecordRevision(event)) {
      Append(event);
      RecordValue(event);
      changes.push_back(std::move(event));
    }
  }
  revision_ = std::max(revision_, aRevision);
  return changes;
}

std::optional<std::vector<KvItem>>
ViewCache::EventsSince(std::uint64_t aRevision) const
{
  if (revision_ == 0 || aRevision < compactedRevision_) {
    return std::nullopt;
  }
  std::vector<KvItem> events;
  const EventId after{ aRevision + 1, "" };
  for (auto it = events_.lower_bound(after); it != events_.end(); ++it) {
    events.push_back(it->second);
  }
  return events;
}

}
