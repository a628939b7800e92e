// Tests what hosts pass on to each other when the store was restored from an
// older copy, without a network.

#include "gateway/PendingValues.h"
#include "gateway/ViewCache.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr int kKeys = 8;

KvItem
Item(const std::string& aKey, const StorePosition& aPosition, bool aRemoved)
{
  KvItem item;
  item.key_ = aKey;
  item.value_ = aRemoved ? "" : "value";
  item.revision_ = aPosition.revision_;
  item.era_ = aPosition.era_;
  item.removed_ = aRemoved;
  return item;
}

// A store with random changes that can go back to a copy.
struct RandomStore
{
  using Keys = std::map<std::string, StorePosition>;

  explicit RandomStore(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void Change(int aCount)
  {
    std::uniform_int_distribution<int> anyKey(0, kKeys - 1);
    std::uniform_int_distribution<int> chance(0, 9);
    for (int i = 0; i < aCount; ++i) {
      const std::string key = "k" + std::to_string(anyKey(random_));
      ++position_.revision_;
      const bool removed = chance(random_) < 4 && keys_.erase(key) > 0;
      if (!removed) {
        keys_[key] = position_;
      }
      history_.push_back(Item(key, position_, removed));
    }
  }
  void Restore(const RandomStore& aCopy)
  {
    keys_ = aCopy.keys_;
    history_.clear();
    position_ = { aCopy.position_.revision_, position_.era_ + 1 };
    for (auto& [key, position] : keys_) {
      position.era_ = position_.era_;
    }
  }
  // Applies all items or the events after the cache's position.
  void Read(ViewCache& aCache) const
  {
    std::vector<KvItem> items;
    for (const auto& [key, position] : keys_) {
      items.push_back(Item(key, position, false));
    }
    aCache.Replace(items, position_);
  }
  void Watch(ViewCache& aCache) const
  {
    std::vector<KvItem> events;
    for (const KvItem& event : history_) {
      if (event.Position() > aCache.Position()) {
        events.push_back(event);
      }
    }
    aCache.Add(events, position_);
  }

  std::mt19937_64 random_;
  Keys keys_;
  std::vector<KvItem> history_;
  StorePosition position_{ 1, 1 };
};

// Applies the events to the keys that a host knows.
void
Apply(RandomStore::Keys& aKeys, const std::vector<KvItem>& aEvents)
{
  for (const KvItem& event : aEvents) {
    if (event.removed_) {
      aKeys.erase(event.key_);
    } else {
      aKeys[event.key_] = event.Position();
    }
  }
}

}

// Guards against followers that keep what a restored store has lost, or miss
// what it gives out again: those that are behind the host they follow, level
// with it, ahead of it, or two eras behind.
TEST_CASE("A follower ends with what is in the restored store, or with nothing")
{
  int served = 0;
  int refused = 0;
  for (std::uint64_t seed = kSeed; seed < kSeed + 300; ++seed) {
    INFO("seed " << seed);
    RandomStore store(seed);
    std::uniform_int_distribution<int> few(0, 6);
    const auto count = [&] { return few(store.random_); };
    store.Change(20);
    ViewCache host;
    ViewCache follower;
    store.Read(host);
    store.Read(follower);
    RandomStore::Keys seen = store.keys_;
    RandomStore copy = store;
    // Both go on to some point of the era.
    for (int i = 0; i < 3; ++i) {
      store.Change(count());
      if (count() < 3) {
        copy = store;
      }
      if (count() < 4) {
        store.Watch(host);
      }
      if (count() < 4) {
        const StorePosition former = follower.Position();
        store.Watch(follower);
        for (const KvItem& event : store.history_) {
          if (event.Position() > former) {
            Apply(seen, { event });
          }
        }
      }
    }
    const int restores = 1 + count() % 2;
    for (int i = 0; i < restores; ++i) {
      store.Restore(copy);
      store.Change(count());
      store.Read(host);
    }
    store.Change(count());
    store.Watch(host);
    const auto events = host.EventsSince(follower.Position());
    if (!events) {
      ++refused;
      continue;
    }
    ++served;
    Apply(seen, follower.Add(*events, host.Position()));
    CHECK(seen == store.keys_);
  }
  CHECK(served > 50);
  CHECK(refused > 50);
}

// Guards against a view that is taken for confirmed with a large value of an
// earlier era, because that value has a higher revision.
TEST_CASE("A value of an earlier era does not confirm a later view")
{
  const auto at = [](double aSeconds) {
    return TimePoint() + FromSeconds(aSeconds + 1000);
  };
  PendingValues pending;
  pending.Confirmed(at(1), {});
  pending.Confirmed(at(2), { { "config", { 100, 1 } } });
  REQUIRE(pending.TakeRequests().size() == 1);
  pending.Confirmed(at(3), { { "config", { 80, 2 } } });
  pending.Received("config", { 100, 1 });
  CHECK(pending.ConfirmedAt() == at(2));
  const auto requests = pending.TakeRequests();
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().position_ == StorePosition(80, 2));
  pending.Received("config", { 80, 2 });
  CHECK(pending.ConfirmedAt() == at(3));
}
