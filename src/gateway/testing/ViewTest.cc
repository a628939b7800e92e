#include "gateway/PendingValues.h"
#include "gateway/ViewCache.h"
#include "gateway/ViewMessages.h"
#include "gateway/ViewSources.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace peridotsail;
using nlohmann::json;

namespace {

constexpr std::uint64_t kSeed = 20261204;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

std::string
NameOf(int aHost)
{
  return "h" + std::to_string(aHost);
}

std::map<std::string, HostRecord>
MakeHosts(int aHosts, const std::string& aRegion)
{
  std::map<std::string, HostRecord> hosts;
  for (int i = 0; i < aHosts; ++i) {
    HostRecord record;
    record.name_ = NameOf(i);
    record.region_ = aRegion;
    record.peers_ = record.name_ + ":1";
    hosts[record.name_] = record;
  }
  return hosts;
}

ViewSources
SourcesOf(const std::string& aSelf,
          const std::map<std::string, HostRecord>& aHosts)
{
  ViewSources sources(aSelf, "east", {});
  sources.SetHosts(aHosts);
  return sources;
}

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

// Guards against every host reading the store, and against one host that must
// serve the whole fleet.
TEST_CASE("One host of a region reads the store and few follow each host")
{
  const int size = GENERATE(1, 2, 13, 39, 200);
  auto hosts = MakeHosts(size, "east");
  HostRecord other;
  other.name_ = "far";
  other.region_ = "west";
  other.peers_ = "far:1";
  hosts["far"] = other;
  int readers = 0;
  std::map<std::string, std::size_t> followers;
  for (int i = 0; i < size; ++i) {
    const ViewSource source = SourcesOf(NameOf(i), hosts).Next(At(0));
    readers += source.IsStore() ? 1 : 0;
    if (!source.IsStore()) {
      ++followers[source.host_];
      CHECK(hosts.at(source.host_).peers_ == source.address_);
    }
  }
  CHECK(readers == 1);
  CHECK(followers.count("far") == 0);
  for (const auto& [host, count] : followers) {
    CHECK(count <= ViewSourceOptions().maxFollowers_);
  }
}

// Guards against hosts that follow each other in a cycle and never receive
// changes from the store.
TEST_CASE("Each host's view comes from the store in a few steps")
{
  const auto hosts = MakeHosts(200, "east");
  for (int i = 0; i < 200; ++i) {
    ViewSource source = SourcesOf(NameOf(i), hosts).Next(At(0));
    int steps = 0;
    while (!source.IsStore() && steps < 10) {
      source = SourcesOf(source.host_, hosts).Next(At(0));
      ++steps;
    }
    CHECK(steps <= 3);
  }
}

// Guards against a host that has no usable source left.
TEST_CASE("A host goes on to the store and to others when a source fails")
{
  const auto hosts = MakeHosts(13, "east");
  int follower = 0;
  while (SourcesOf(NameOf(follower), hosts).ReadsStore()) {
    ++follower;
  }
  ViewSources sources = SourcesOf(NameOf(follower), hosts);
  const ViewSource first = sources.Next(At(0));
  REQUIRE_FALSE(first.IsStore());
  CHECK(first.preferred_);
  sources.Failed(first, ViewFailure::Unusable, At(0));
  // Another host near the root of the tree may come before the store.
  const ViewSource second = sources.Next(At(0));
  std::set<std::string> asked{ first.host_, NameOf(follower) };
  if (!second.IsStore()) {
    CHECK(asked.insert(second.host_).second);
    sources.Failed(second, ViewFailure::Unusable, At(0));
  }
  CHECK(sources.Next(At(0)).IsStore());
  SECTION("it returns to the neighbour after a while, and later each time")
  {
    CHECK(sources.Next(At(2.9)).IsStore());
    CHECK(sources.Next(At(3)).host_ == first.host_);
    sources.Failed(first, ViewFailure::Unusable, At(3));
    CHECK(sources.Next(At(7.9)).host_ != first.host_);
    CHECK(sources.Next(At(8)).host_ == first.host_);
  }
  SECTION("it asks others while the store turns it away")
  {
    sources.Failed({}, ViewFailure::Unusable, At(0));
    for (std::size_t i = 0; i < ViewSourceOptions().extraNeighbours_; ++i) {
      const ViewSource other = sources.Next(At(0.1));
      REQUIRE_FALSE(other.IsStore());
      CHECK(asked.insert(other.host_).second);
      sources.Failed(other, ViewFailure::Unusable, At(0.1));
    }
    // All sources are in backoff; the store is the first that may be asked
    // again.
    const ViewSource next = sources.Next(At(0.2));
    CHECK(next.IsStore());
    CHECK(next.notBefore_ == At(1));
  }
  SECTION("a source that answers is used at once")
  {
    sources.Answered(first);
    CHECK(sources.Next(At(0)).host_ == first.host_);
  }
}

// Guards against backoffs that delay a change by seconds after the store's
// recovery: a configuration must be in force 2.5 s after it.
TEST_CASE("Soon after an outage every host asks the store or its neighbour")
{
  const auto hosts = MakeHosts(13, "east");
  constexpr double kReturn = 20;
  for (int host = 0; host < 13; ++host) {
    INFO("host " << host);
    ViewSources sources = SourcesOf(NameOf(host), hosts);
    double now = 0;
    double worst = 0;
    double asked = 0;
    while (now < kReturn) {
      const ViewSource source = sources.Next(At(now));
      if (source.notBefore_ > At(now)) {
        now = ToSeconds(source.notBefore_ - At(0));
        continue;
      }
      if (source.IsStore() || source.preferred_) {
        worst = std::max(worst, now - asked);
        asked = now;
      }
      // The store refuses immediately; a neighbour responds at the end of its
      // wait.
      if (source.IsStore()) {
        now += 0.01;
      } else {
        now += source.preferred_ ? 1.05 : 0.3;
        asked = source.preferred_ ? now : asked;
      }
      sources.Failed(source, ViewFailure::Stale, At(now));
    }
    CHECK(worst < 1);
  }
}

// Guards against a host that alternates between two stale neighbours and never
// asks the store, so that its view becomes older than is allowed for keys.
TEST_CASE("A host whose neighbours are behind reads the store next")
{
  const auto hosts = MakeHosts(13, "east");
  for (int host = 0; host < 13; ++host) {
    INFO("host " << host);
    ViewSources sources = SourcesOf(NameOf(host), hosts);
    double now = 0;
    double age = 0;
    for (int i = 0; i < 20; ++i) {
      const ViewSource source = sources.Next(At(now));
      REQUIRE(source.notBefore_ <= At(now));
      if (source.IsStore()) {
        sources.Answered(source);
        age = 0;
        now += 0.1;
        continue;
      }
      const double wait = source.preferred_ ? 1.05 : 0.3;
      now += wait;
      age += wait;
      CHECK(age < 1.5);
      sources.Failed(source, ViewFailure::Stale, At(now));
    }
  }
}

// Guards against following hosts that cannot respond.
TEST_CASE("Hosts that leave or have no address are not followed")
{
  auto hosts = MakeHosts(3, "east");
  hosts["h0"].draining_ = true;
  hosts["h1"].peers_.clear();
  CHECK(SourcesOf("h2", hosts).ReadsStore());
  CHECK(SourcesOf("h0", hosts).Next(At(0)).host_ == "h2");
  CHECK(SourcesOf("unregistered", hosts).Next(At(0)).host_ == "h2");
  CHECK(SourcesOf("h0", {}).Next(At(0)).IsStore());
}

// Guards against a host behind a slow link that must send every change to its
// region.
TEST_CASE("Hosts behind slow links follow others and are not followed")
{
  constexpr int kHosts = 13;
  auto hosts = MakeHosts(kHosts, "east");
  std::set<std::string> slow;
  for (int i = 0; i < 9; ++i) {
    hosts[NameOf(i)].linkMbps_ = 10;
    slow.insert(NameOf(i));
  }
  hosts[NameOf(9)].linkMbps_ = 60;
  hosts[NameOf(10)].linkMbps_ = 200;
  hosts[NameOf(11)].linkMbps_ = 200;
  // The bandwidth of the last host is not known, as in an earlier release.
  int readers = 0;
  for (int i = 0; i < kHosts; ++i) {
    const ViewSource source = SourcesOf(NameOf(i), hosts).Next(At(0));
    readers += source.IsStore() ? 1 : 0;
    CHECK(slow.count(source.IsStore() ? NameOf(i) : source.host_) == 0);
  }
  CHECK(readers == 1);
  // Where all links are alike, none is slow.
  for (auto& [name, host] : hosts) {
    host.linkMbps_ = 10;
  }
  CHECK(SourcesOf(NameOf(0), hosts).Next(At(0)).host_ ==
        SourcesOf(NameOf(0), MakeHosts(kHosts, "east")).Next(At(0)).host_);
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
      const auto events = host.EventsSince(follower.Revision());
      if (events) {
        see(follower.Add(*events, host.Revision()));
      } else {
        // No longer retained; the follower reads the store.
        std::vector<KvItem> missed;
        for (const KvItem& event : history) {
          if (event.revision_ > follower.Revision()) {
            missed.push_back(event);
          }
        }
        see(follower.Add(missed, revision));
      }
    }
    hostAt = watch(host, hostAt);
    const auto last = host.EventsSince(follower.Revision());
    REQUIRE(last);
    see(follower.Add(*last, host.Revision()));
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
    CHECK(cache.Missing() == ViewCache::Revisions{ { "config", 6 } });
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
    CHECK(cache.Missing() == ViewCache::Revisions{ { "config", 8 } });
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

// Guards against a view that is said to be confirmed at a time at which the
// store had a newer value, and against one that is not confirmed at all while
// new values come faster than they can be received.
TEST_CASE("A view with a pending value is confirmed up to its last value")
{
  using Missing = PendingValues::Missing;
  PendingValues pending;
  pending.Confirmed(At(1), {});
  CHECK(pending.ConfirmedAt() == At(1));
  pending.Confirmed(At(2), { { "config", 10 } });
  const auto requests = pending.TakeRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().key_ == "config");
  CHECK(requests.front().revision_ == 10);
  CHECK(pending.TakeRequests().empty());
  CHECK(pending.ConfirmedAt() == At(1));
  SECTION("the value confirms the view as far as it was the newest")
  {
    pending.Confirmed(At(3), Missing{ { "config", 10 } });
    pending.Confirmed(At(4), Missing{ { "config", 12 } });
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(3));
    REQUIRE(pending.TakeRequests().size() == 1);
    pending.Confirmed(At(5), Missing{ { "config", 12 } });
    // The response to the first request does not answer the second one.
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(3));
    pending.Received("config", 12);
    CHECK(pending.ConfirmedAt() == At(5));
  }
  SECTION("a newer value than the requested one confirms the whole view")
  {
    pending.Confirmed(At(4), Missing{ { "config", 12 } });
    pending.Received("config", 13);
    CHECK(pending.ConfirmedAt() == At(4));
  }
  SECTION("a failed request is sent again")
  {
    pending.Failed("config");
    CHECK(pending.ConfirmedAt() == At(1));
    const auto repeated = pending.TakeRequests();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().failures_ == 1);
  }
  SECTION("a value that is no longer missing ends the wait")
  {
    pending.Confirmed(At(3), {});
    CHECK(pending.ConfirmedAt() == At(3));
  }
  SECTION("each pending value limits the confirmation")
  {
    pending.Confirmed(At(3), Missing{ { "config", 10 }, { "other", 11 } });
    pending.Received("config", 10);
    CHECK(pending.ConfirmedAt() == At(2));
  }
}

// Guards against accepting malformed or truncated responses.
TEST_CASE("Truncated and malformed view responses are rejected")
{
  ViewResponse response;
  response.status_ = KvStatus::Done;
  response.events_ = { Item("configuration", 8), Item("server", 9, true) };
  KvItem deferred;
  deferred.key_ = "large";
  deferred.revision_ = 9;
  deferred.deferred_ = true;
  response.events_.push_back(deferred);
  response.events_[0].value_ = std::string("\xff\x00{", 3);
  response.revision_ = 9;
  response.confirmedOffset_ = -std::chrono::milliseconds(250);
  response.storeRecoveredAgo_ = std::chrono::milliseconds(700);
  const std::string whole = EncodeViewResponse(response);
  const auto read = DecodeViewResponse(whole);
  REQUIRE(read);
  CHECK(read->status_ == KvStatus::Done);
  REQUIRE(read->events_.size() == 3);
  CHECK(read->events_[2].deferred_);
  CHECK_FALSE(read->events_[2].removed_);
  CHECK_FALSE(read->events_[1].deferred_);
  CHECK(read->events_[0].value_ == response.events_[0].value_);
  CHECK_FALSE(read->events_[0].removed_);
  CHECK(read->events_[1].removed_);
  CHECK(read->revision_ == 9);
  CHECK(read->confirmedOffset_ == response.confirmedOffset_);
  CHECK(read->storeRecoveredAgo_ == response.storeRecoveredAgo_);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeViewResponse(whole.substr(0, size)));
  }
  const json valid = { { "gone", false },      { "source", "" },
                       { "source", "" },       { "revision", 3 },
                       { "confirmed_us", -5 }, { "events", json::array() } };
  const auto with = [&](const char* aField, const json& aValue) {
    json message = valid;
    message[aField] = aValue;
    return message;
  };
  const json rows[] = {
    json::array(),
    with("gone", "no"),
    with("source", 3),
    with("source", 3),
    with("revision", "three"),
    with("confirmed_us", "late"),
    with("confirmed_us", std::numeric_limits<std::int64_t>::max()),
    with("confirmed_us", std::numeric_limits<std::int64_t>::min()),
    with("store_back_us", "now"),
    with("events", 4),
    with("events", json::array({ 1 })),
    with("events", json::array({ { { "key", 1 }, { "revision", 2 } } })),
    with("events",
         json::array(
           { { { "key", "k" }, { "revision", 2 }, { "value", "text" } } })),
    with("events",
         json::array(
           { { { "key", "k" }, { "revision", 2 }, { "deferred", 1 } } })),
  };
  for (const json& row : rows) {
    INFO(row);
    std::string bytes;
    json::to_cbor(row, bytes);
    CHECK_FALSE(DecodeViewResponse(bytes));
  }
}

// Guards against accepting malformed or truncated values.
TEST_CASE("Truncated and malformed values are rejected")
{
  KvItem item = Item("configuration", 8);
  item.value_ = std::string("\xff\x00{", 3);
  const std::string whole = EncodeViewValue(item);
  const auto read = DecodeViewValue(whole);
  REQUIRE(read);
  CHECK(read->key_ == item.key_);
  CHECK(read->value_ == item.value_);
  CHECK(read->revision_ == 8);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeViewValue(whole.substr(0, size)));
  }
  const json valid = json::from_cbor(whole);
  const auto with = [&](const char* aField, const json& aValue) {
    json message = valid;
    message[aField] = aValue;
    return message;
  };
  constexpr std::size_t kTooLarge = std::size_t{ 1 } << 40U;
  const json rows[] = { json::array(),
                        with("key", 1),
                        with("revision", "eight"),
                        with("size", item.value_.size() + 1),
                        with("size", kTooLarge),
                        with("size", -1),
                        with("deflated", "text"),
                        with("deflated", json::binary({ 255, 255 })) };
  for (const json& row : rows) {
    INFO(row);
    std::string bytes;
    json::to_cbor(row, bytes);
    CHECK_FALSE(DecodeViewValue(bytes));
  }
}
