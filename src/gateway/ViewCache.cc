#include "gateway/ViewCache.h"

#include <algorithm>
#include <set>

namespace peridotsail {

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
    return false;
  }
  keys_[aEvent.key_] = aEvent.revision_;
  return true;
}

void
ViewCache::Append(const KvItem& aEvent)
{
  events_.push_back(aEvent);
  bytes_ += aEvent.key_.size() + aEvent.value_.size();
  while (events_.size() > options_.maxEvents_ || bytes_ > options_.maxBytes_) {
    const KvItem& oldest = events_.front();
    bytes_ -= oldest.key_.size() + oldest.value_.size();
    compactedRevision_ = std::max(compactedRevision_, oldest.revision_);
    events_.pop_front();
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
  for (const KvItem& event : events_) {
    if (event.revision_ > aRevision) {
      events.push_back(event);
    }
  }
  return events;
}

}
