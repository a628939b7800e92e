#pragma once

// Caches the store's keys as last read by this host and the most recent
// changes, for hosts that follow this one instead of the store. Performs no
// I/O.
//
//   std::vector<KvItem> changes = cache.Replace(items, revision);
//   changes = cache.Add(events, revision);
//   auto events = cache.EventsSince(revision);   // nullopt: not retained

#include "gateway/KvStore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct ViewCacheOptions
{
  // Limits on the retained changes: their number and the size of their keys and
  // values.
  std::size_t maxEvents_ = 4096;
  std::size_t maxBytes_ = 4 << 20;
};

class ViewCache
{
public:
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
  // retained.
  std::optional<std::vector<KvItem>> EventsSince(std::uint64_t aRevision) const;
  // Zero before the first read.
  std::uint64_t Revision() const { return revision_; }

private:
  bool RecordRevision(const KvItem& aEvent);
  void Append(const KvItem& aEvent);

  ViewCacheOptions options_;
  // The revision of each existing key.
  std::map<std::string, std::uint64_t> keys_;
  std::deque<KvItem> events_;
  std::size_t bytes_ = 0;
  // All events after this revision are retained.
  std::uint64_t compactedRevision_ = 0;
  std::uint64_t revision_ = 0;
};

}
