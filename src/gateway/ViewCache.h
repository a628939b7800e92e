#pragma once

// Caches the store's keys as last read by this host and the most recent
// changes, for hosts that follow this one instead of the store. Performs no
// I/O.
//
//   std::vector<KvItem> changes = cache.Replace(items, revision);
//   changes = cache.Add(events, revision);
//   auto events = cache.EventsSince(revision);   // nullopt: not retained
//
// Large values are kept apart from the events, which refer to them, so that a
// follower learns of small changes while it still receives a large value, and
// receives only the newest value of a key.
//
//   for (const auto& [key, revision] : cache.Missing()) { ... }   // fetch it
//   cache.SetValue(item);
//   const KvItem* value = cache.ValueOf(key, revision);

#include "gateway/KvStore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

// Larger values are not part of the events that hosts pass on to each other.
constexpr std::size_t kMaxInlineValueBytes = 16 << 10;

struct ViewCacheOptions
{
  // Limits on the retained changes: their number and the size of their keys and
  // values.
  std::size_t maxEvents_ = 4096;
  std::size_t maxBytes_ = 4 << 20;
  // Limit on the retained large values.
  std::size_t maxValueBytes_ = 4 << 20;
  // Values above this size are large.
  std::size_t maxInlineBytes_ = kMaxInlineValueBytes;
};

class ViewCache
{
public:
  // The revision of each key.
  using Revisions = std::map<std::string, std::uint64_t>;

  explicit ViewCache(ViewCacheOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Applies a complete read that includes at least all changes up to the
  // revision. Returns the differences from the previous state as events.
  std::vector<KvItem> Replace(std::vector<KvItem> aItems,
                              std::uint64_t aRevision);
  // Applies the events up to the revision and returns those that are new.
  std::vector<KvItem> Add(std::vector<KvItem> aEvents, std::uint64_t aRevision);
  // Returns the events after the revision, or nullopt if they are no longer
  // retained. Events with large values are deferred.
  std::optional<std::vector<KvItem>> EventsSince(std::uint64_t aRevision) const;
  // Zero before the first read.
  std::uint64_t Revision() const { return revision_; }

  // The keys whose newest value has not been received, with its revision.
  const Revisions& Missing() const { return missing_; }
  // Adds a value that was fetched. Returns false if it is of no use: the key
  // was removed, or a value of the same revision or a newer one is known.
  bool SetValue(const KvItem& aItem);
  // Returns the newest known large value of the key, or null if there is none
  // that is at least as new as the revision.
  const KvItem* ValueOf(const std::string& aKey, std::uint64_t aRevision) const;

private:
  // A key may have several changes at one revision of a complete read.
  using EventId = std::pair<std::uint64_t, std::string>;

  bool RecordRevision(const KvItem& aEvent);
  bool IsLarge(const KvItem& aItem) const;
  void Append(const KvItem& aEvent);
  void Retain(KvItem aEvent);
  void EraseEvent(const EventId& aId);
  void RecordValue(const KvItem& aEvent);
  void KeepValue(const KvItem& aItem);
  void DropValue(const std::string& aKey);

  ViewCacheOptions options_;
  // The revision of each existing key.
  Revisions keys_;
  std::map<EventId, KvItem> events_;
  std::size_t bytes_ = 0;
  // The last deferred event of each key. A newer one replaces it.
  Revisions deferred_;
  // The newest known large value of each key.
  std::map<std::string, KvItem> values_;
  std::size_t valueBytes_ = 0;
  Revisions missing_;
  // All events after this revision are retained, except those that a newer
  // deferred event has replaced.
  std::uint64_t compactedRevision_ = 0;
  std::uint64_t revision_ = 0;
};

}
