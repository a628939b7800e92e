#pragma once

// Caches the store's keys as last read by this host and the most recent
// changes, for hosts that follow this one instead of the store. Performs no
// I/O.
//
//   std::vector<KvItem> changes = cache.Replace(items, position);
//   changes = cache.Add(events, position);
//   auto events = cache.EventsSince(position);   // nullopt: not retained
//
// Large values are kept apart from the events, which refer to them, so that a
// follower learns of small changes while it still receives a large value, and
// receives only the newest value of a key.
//
//   for (const auto& [key, position] : cache.Missing()) { ... }   // fetch it
//   cache.SetValue(item);
//   const KvItem* value = cache.ValueOf(key, position);
//
// A complete read of a store that was restored from an older copy makes every
// entry a change of the new era, and every entry that is gone a removal. A
// follower of an earlier era receives these after the changes of that era,
// unless it has read further in that era than this host.

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
  // The position of each key's last change.
  using Positions = std::map<std::string, StorePosition>;

  explicit ViewCache(ViewCacheOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Applies a complete read that includes at least all changes up to the
  // position. Returns the differences from the previous state as events.
  std::vector<KvItem> Replace(std::vector<KvItem> aItems,
                              const StorePosition& aPosition);
  // Applies the events up to the position and returns those that are new.
  std::vector<KvItem> Add(std::vector<KvItem> aEvents,
                          const StorePosition& aPosition);
  // Returns the events after the position, or nullopt if they are no longer
  // retained. Events with large values are deferred.
  std::optional<std::vector<KvItem>> EventsSince(
    const StorePosition& aPosition) const;
  // Its revision is zero before the first read.
  const StorePosition& Position() const { return position_; }

  // The era of the first read.
  std::uint64_t FirstEra() const { return firstEra_; }

  // The keys whose newest value has not been received, with its position.
  const Positions& Missing() const { return missing_; }
  // Adds a value that was fetched. Returns false if it is of no use: the key
  // was removed, or a value of the same position or a newer one is known.
  bool SetValue(const KvItem& aItem);
  // Returns the newest known large value of the key, or null if there is none
  // that is at least as new as the position.
  const KvItem* ValueOf(const std::string& aKey,
                        const StorePosition& aPosition) const;

private:
  // A key may have several changes at one position of a complete read.
  using EventId = std::pair<StorePosition, std::string>;

  bool RecordPosition(const KvItem& aEvent);
  void AdvanceTo(const StorePosition& aPosition);
  bool IsLarge(const KvItem& aItem) const;
  void Append(const KvItem& aEvent);
  void Retain(KvItem aEvent);
  void EraseEvent(const EventId& aId);
  void RecordValue(const KvItem& aEvent);
  void KeepValue(const KvItem& aItem);
  void DropValue(const std::string& aKey);

  ViewCacheOptions options_;
  // The last change of each existing key.
  Positions keys_;
  std::map<EventId, KvItem> events_;
  std::size_t bytes_ = 0;
  // The last deferred event of each key. A newer one replaces it.
  Positions deferred_;
  // The newest known large value of each key.
  std::map<std::string, KvItem> values_;
  std::size_t valueBytes_ = 0;
  Positions missing_;
  // All events after this position are retained, except those that a newer
  // deferred event has replaced.
  StorePosition compacted_;
  // The last position of the previous era.
  StorePosition restoredFrom_;
  std::uint64_t firstEra_ = 0;
  StorePosition position_;
};

}
