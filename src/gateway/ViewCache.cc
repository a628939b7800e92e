#include "gateway/ViewCache.h"

#include <algorithm>
#include <set>

namespace peridotsail {

// Whether the event is news.
bool
ViewCache::Take(const KvItem& aEvent)
{
  const auto known = keys_.find(aEvent.key_);
  if (aEvent.removed_) {
    // Followers may know a key that was removed while this host read the store
    // and which it has not seen.
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
ViewCache::Keep(const KvItem& aEvent)
{
  events_.push_back(aEvent);
  bytes_ += aEvent.key_.size() + aEvent.value_.size();
  while (events_.size() > options_.mostEvents_ ||
         bytes_ > options_.mostBytes_) {
    const KvItem& oldest = events_.front();
    bytes_ -= oldest.key_.size() + oldest.value_.size();
    keptFrom_ = std::max(keptFrom_, oldest.revision_);
    events_.pop_front();
  }
}

std::vector<KvItem>
ViewCache::Replace(std::vector<KvItem> aItems, std::uint64_t aRevision)
{
  std::set<std::string> there;
  std::vector<KvItem> changes;
  for (KvItem& item : aItems) {
    there.insert(item.key_);
    if (Take(item)) {
      changes.push_back(std::move(item));
    }
  }
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (there.count(it->first) > 0) {
      ++it;
      continue;
    }
    KvItem gone;
    gone.key_ = it->first;
    gone.revision_ = aRevision;
    gone.removed_ = true;
    changes.push_back(gone);
    it = keys_.erase(it);
  }
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const KvItem& aLeft, const KvItem& aRight) {
                     return aLeft.revision_ < aRight.revision_;
                   });
  // Nobody can follow from before the first read.
  const bool first = revision_ == 0;
  keptFrom_ = first ? aRevision : keptFrom_;
  for (const KvItem& change : changes) {
    if (!first || change.revision_ > aRevision) {
      Keep(change);
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
    if (Take(event)) {
      Keep(event);
      changes.push_back(std::move(event));
    }
  }
  revision_ = std::max(revision_, aRevision);
  return changes;
}

std::optional<std::vector<KvItem>>
ViewCache::Since(std::uint64_t aRevision) const
{
  if (revision_ == 0 || aRevision < keptFrom_) {
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
