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

// Updates the position of the event's key. Returns false if the event is
// already known.
bool
ViewCache::RecordPosition(const KvItem& aEvent)
{
  const auto known = keys_.find(aEvent.key_);
  if (aEvent.removed_) {
    // Pass the removal on: the key may have been removed while this host read
    // the store, and followers may know a key that this host has never seen.
    if (known == keys_.end()) {
      return true;
    }
    if (known->second >= aEvent.Position()) {
      return false;
    }
    keys_.erase(known);
    return true;
  }
  if (known != keys_.end() && known->second >= aEvent.Position()) {
    // The event may bring the value of a deferred one.
    return !aEvent.deferred_ && SetValue(aEvent);
  }
  keys_[aEvent.key_] = aEvent.Position();
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
    if (former->second > aEvent.Position()) {
      return;
    }
    EraseEvent({ former->second, aEvent.key_ });
  }
  KvItem event;
  event.key_ = aEvent.key_;
  event.revision_ = aEvent.revision_;
  event.era_ = aEvent.era_;
  event.deferred_ = true;
  deferred_[event.key_] = event.Position();
  Retain(std::move(event));
}

void
ViewCache::Retain(KvItem aEvent)
{
  EventId id{ aEvent.Position(), aEvent.key_ };
  EraseEvent(id);
  bytes_ += SizeOf(aEvent);
  events_.emplace(std::move(id), std::move(aEvent));
  while (events_.size() > options_.maxEvents_ || bytes_ > options_.maxBytes_) {
    const EventId oldest = events_.begin()->first;
    compacted_ = std::max(compacted_, oldest.first);
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
      ValueOf(aItem.key_, aItem.Position()) != nullptr) {
    return false;
  }
  if (aItem.Position() >= missing->second) {
    missing_.erase(missing);
  }
  KeepValue(aItem);
  return true;
}

const KvItem*
ViewCache::ValueOf(const std::string& aKey,
                   const StorePosition& aPosition) const
{
  const auto value = values_.find(aKey);
  const bool known =
    value != values_.end() && value->second.Position() >= aPosition;
  return known ? &value->second : nullptr;
}

// Updates the large value of the key of a new event.
void
ViewCache::RecordValue(const KvItem& aEvent)
{
  if (aEvent.deferred_) {
    if (ValueOf(aEvent.key_, aEvent.Position()) == nullptr) {
      missing_[aEvent.key_] = aEvent.Position();
    }
  } else if (IsLarge(aEvent)) {
    const auto missing = missing_.find(aEvent.key_);
    if (missing != missing_.end() && missing->second <= aEvent.Position()) {
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
  if (ValueOf(aItem.key_, aItem.Position()) != nullptr) {
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
        return aLeft.second.Position() < aRight.second.Position();
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

void
ViewCache::AdvanceTo(const StorePosition& aPosition)
{
  if (aPosition.era_ > position_.era_) {
    // A follower that is two eras behind reads the store itself.
    compacted_ = std::max(compacted_, StorePosition(0, position_.era_));
    restoredFrom_ = position_;
  }
  position_ = std::max(position_, aPosition);
}

std::vector<KvItem>
ViewCache::Replace(std::vector<KvItem> aItems, const StorePosition& aPosition)
{
  std::set<std::string> present;
  std::vector<KvItem> changes;
  for (KvItem& item : aItems) {
    present.insert(item.key_);
    if (RecordPosition(item)) {
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
    removal.revision_ = aPosition.revision_;
    removal.era_ = aPosition.era_;
    removal.removed_ = true;
    changes.push_back(removal);
    it = keys_.erase(it);
  }
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const KvItem& aLeft, const KvItem& aRight) {
                     return aLeft.Position() < aRight.Position();
                   });
  // No follower can start from a position before the first read.
  const bool first = position_.revision_ == 0;
  AdvanceTo(aPosition);
  if (first) {
    compacted_ = aPosition;
    firstEra_ = aPosition.era_;
  }
  for (const KvItem& change : changes) {
    if (!first || change.Position() > aPosition) {
      Append(change);
    }
    RecordValue(change);
  }
  return changes;
}

std::vector<KvItem>
ViewCache::Add(std::vector<KvItem> aEvents, const StorePosition& aPosition)
{
  std::vector<KvItem> changes;
  for (KvItem& event : aEvents) {
    if (RecordPosition(event)) {
      Append(event);
      RecordValue(event);
      changes.push_back(std::move(event));
    }
  }
  AdvanceTo(aPosition);
  return changes;
}

std::optional<std::vector<KvItem>>
ViewCache::EventsSince(const StorePosition& aPosition) const
{
  // A follower that read further in an earlier era than this host may know
  // entries whose removal this host never saw.
  const bool unknownPast =
    aPosition.era_ < position_.era_ && aPosition > restoredFrom_;
  if (position_.revision_ == 0 || aPosition < compacted_ || unknownPast) {
    return std::nullopt;
  }
  std::vector<KvItem> events;
  const EventId after{ { aPosition.revision_ + 1, aPosition.era_ }, "" };
  for (auto it = events_.lower_bound(after); it != events_.end(); ++it) {
    events.push_back(it->second);
  }
  return events;
}

}
