#include "gateway/ViewCache.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;

KvItem
Item(const std::string& aKey, std::uint64_t aRevision, bool aRemoved = false)
{
  KvItem item;
  item.key_ = aKey;
  item.value_ = aRemoved ? "" : "value " + std::to_string(aRevision);
  item.revision_ = aRevision;
  item.removed_ = aRemoved;
  return item;
}

}

// Guards against changes that a follower misses, in any interleaving of what
// its host read from the store: paged reads that overlap with changes, and
// repeated events.
TEST_CASE("A follower of a cache ends with what is in the store")
{
  for (std::uint64_t seed = kSeed; seed < kSeed + 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> anyKey(0, 9);
    std::uniform_int_distribution<int> chance(0, 9);
    std::map<std::string, std::uint64_t> store;
    std::vector<KvItem> history;
    std::uint64_t revision = 1;
    const auto change = [&] {
      const std::string key = "k" + std::to_string(anyKey(random));
      ++revision;
      const bool removed = chance(random) < 4 && store.count(key) > 0;
      if (removed) {
        store.erase(key);
      } else {
        store[key] = revision;
      }
      history.push_back(Item(key, revision, removed));
    };
    // Reads the keys one by one while the store changes.
    const auto read = [&](ViewCache& aCache) {
      const std::uint64_t begun = revision;
      std::vector<KvItem> items;
      for (int i = 0; i < 10; ++i) {
        const std::string key = "k" + std::to_string(i);
        if (store.count(key) > 0) {
          items.push_back(Item(key, store[key]));
        }
        if (chance(random) < 3) {
          change();
        }
      }
      aCache.Replace(items, begun);
      return begun;
    };
    const auto watch = [&](ViewCache& aCache, std::uint64_t aAfter) {
      std::vector<KvItem> events;
      for (const KvItem& event : history) {
        if (event.revision_ > aAfter) {
          events.push_back(event);
        }
      }
      aCache.Add(events, revision);
      return revision;
    };
    for (int i = 0; i < 20; ++i) {
      change();
    }
    ViewCache host;
    ViewCache follower;
    std::map<std::string, std::uint64_t> seen;
    const auto see = [&](const std::vector<KvItem>& aEvents) {
      for (const KvItem& event : aEvents) {
        if (event.removed_) {
          seen.erase(event.key_);
        } else {
          seen[event.key_] = event.revision_;
        }
      }
    };
    const bool followerFirst = chance(random) < 5;
    std::uint64_t hostAt = followerFirst ? 0 : read(host);
    const std::uint64_t begun = revision;
    std::vector<KvItem> items;
    items.reserve(store.size());
    for (const auto& [key, at] : store) {
      items.push_back(Item(key, at));
    }
    see(follower.Replace(items, begun));
    for (int i = 0; i < chance(random); ++i) {
      change();
    }
    hostAt = followerFirst ? read(host) : hostAt;
    for (int round = 0; round < 8; ++round) {
      for (int i = 0; i < chance(random); ++i) {
        change();
      }
      hostAt = chance(random) < 2 ? read(host) : watch(host, hostAt);
      const auto events = host.EventsSince(follower.Position());
      if (events) {
        see(follower.Add(*events, host.Position()));
      } else {
        // No longer retained; the follower reads the store.
        std::vector<KvItem> missed;
        for (const KvItem& event : history) {
          if (event.revision_ > follower.Position()) {
            missed.push_back(event);
          }
        }
        see(follower.Add(missed, revision));
      }
    }
    hostAt = watch(host, hostAt);
    const auto last = host.EventsSince(follower.Position());
    REQUIRE(last);
    see(follower.Add(*last, host.Position()));
    CHECK(seen == store);
  }
}

// Guards against memory use that grows with every change.
TEST_CASE("A cache keeps a bounded number of changes and bytes")
{
  ViewCacheOptions options;
  options.maxEvents_ = 10;
  options.maxBytes_ = 100;
  ViewCache cache(options);
  cache.Replace({}, 1);
  for (std::uint64_t revision = 2; revision < 50; ++revision) {
    cache.Add({ Item("k", revision) }, revision);
  }
  CHECK_FALSE(cache.EventsSince(1));
  CHECK_FALSE(cache.EventsSince(30));
  const auto events = cache.EventsSince(45);
  REQUIRE(events);
  CHECK(events->size() == 4);
  CHECK(cache.EventsSince(49)->empty());
}

// Guards against followers that receive each version of a large value, or wait
// for it before they learn of smaller changes.
TEST_CASE("Large values are kept apart from the events")
{
  ViewCacheOptions options;
  options.maxInlineBytes_ = 100;
  options.maxValueBytes_ = 1000;
  ViewCache cache(options);
  const auto large = [](const std::string& aKey, std::uint64_t aRevision) {
    KvItem item = Item(aKey, aRevision);
    item.value_.resize(400, 'x');
    return item;
  };
  const auto deferred = [](const std::string& aKey, std::uint64_t aRevision) {
    KvItem item;
    item.key_ = aKey;
    item.revision_ = aRevision;
    item.deferred_ = true;
    return item;
  };
  cache.Replace({ large("config", 1) }, 1);
  REQUIRE(cache.ValueOf("config", 1) != nullptr);
  cache.Add({ large("config", 2), Item("server", 3), large("config", 4) }, 4);
  const auto events = cache.EventsSince(1);
  REQUIRE(events);
  REQUIRE(events->size() == 2);
  CHECK(events->at(0).key_ == "server");
  CHECK_FALSE(events->at(0).deferred_);
  CHECK(events->at(1).revision_ == 4);
  CHECK(events->at(1).deferred_);
  CHECK(events->at(1).value_.empty());
  CHECK(cache.Missing().empty());
  REQUIRE(cache.ValueOf("config", 3) != nullptr);
  CHECK(cache.ValueOf("config", 3)->revision_ == 4);
  CHECK(cache.ValueOf("config", 5) == nullptr);
  SECTION("a deferred value is missing until it arrives")
  {
    CHECK(cache.Add({ deferred("config", 6) }, 6).size() == 1);
    CHECK(cache.Missing() == ViewCache::Positions{ { "config", 6 } });
    CHECK(cache.ValueOf("config", 6) == nullptr);
    CHECK(cache.ValueOf("config", 4) != nullptr);
    CHECK(cache.SetValue(large("config", 5)));
    CHECK(cache.Missing().count("config") == 1);
    CHECK_FALSE(cache.SetValue(large("config", 5)));
    CHECK(cache.SetValue(large("config", 7)));
    CHECK(cache.Missing().empty());
    CHECK_FALSE(cache.SetValue(large("config", 8)));
    // The event of the value that is already known.
    cache.Add({ deferred("config", 7) }, 7);
    CHECK(cache.Missing().empty());
  }
  SECTION("a complete read brings a missing value")
  {
    cache.Add({ deferred("config", 6) }, 6);
    const auto changes =
      cache.Replace({ large("config", 6), Item("server", 3) }, 6);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().key_ == "config");
    CHECK(cache.Missing().empty());
    CHECK(cache.EventsSince(4)->size() == 1);
  }
  SECTION("a complete read that began earlier does not hide a newer event")
  {
    cache.Add({ deferred("config", 8) }, 8);
    cache.Replace({ large("config", 6), Item("server", 3) }, 7);
    CHECK(cache.Missing() == ViewCache::Positions{ { "config", 8 } });
    REQUIRE(cache.EventsSince(7)->size() == 1);
    CHECK(cache.EventsSince(7)->front().revision_ == 8);
  }
  SECTION("a removed or small value is not missing")
  {
    cache.Add({ deferred("config", 6), deferred("other", 7) }, 7);
    cache.Add({ Item("config", 8, true), Item("other", 9) }, 9);
    CHECK(cache.Missing().empty());
    CHECK(cache.ValueOf("config", 1) == nullptr);
  }
  SECTION("the size of the kept values is limited")
  {
    cache.Add({ large("second", 5), large("third", 6) }, 6);
    CHECK(cache.ValueOf("config", 1) == nullptr);
    CHECK(cache.ValueOf("second", 5) != nullptr);
    CHECK(cache.ValueOf("third", 6) != nullptr);
  }
}
