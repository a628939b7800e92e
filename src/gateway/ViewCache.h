#pragma once

// The store's items as this host last read them, with the latest changes, for
// the hosts that follow this one instead of the store. Pure.
//
//   std::vector<KvItem> changes = cache.Replace(items, revision);
//   changes = cache.Add(events, revision);
//   auto events = cache.Since(revision);   // nothing: too long ago

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
  // Changes that are kept, by number and by the bytes of their values.
  std::size_t mostEvents_ = 4096;
  std::size_t mostBytes_ = 4 << 20;
};

class ViewCache
{
public:
  explicit ViewCache(ViewCacheOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Takes over a complete read that shows at least all changes up to the
  // revision, and returns what differs from before as events.
  std::vector<KvItem> Replace(std::vector<KvItem> aItems,
                              std::uint64_t aRevision);
  // Takes over the events up to the revision; returns those that are new.
  std::vector<KvItem> Add(std::vector<KvItem> aEvents, std::uint64_t aRevision);
  // The events after the revision; nothing when they are no longer kept.
  std::optional<std::vector<KvItem>> Since(std::uint64_t aRevision) const;
  // Zero before the first read.
  std::uint64_t Revision() const { return revision_; }

private:
  bool Take(const KvItem& aEvent);
  void Keep(const KvItem& aEvent);

  ViewCacheOptions options_;
  // The revision of each existing key.
  std::map<std::string, std::uint64_t> keys_;
  std::deque<KvItem> events_;
  std::size_t bytes_ = 0;
  // All events after this revision are kept.
  std::uint64_t keptFrom_ = 0;
  std::uint64_t revision_ = 0;
};

}
