// Decisions of the memory account with a fake clock.

#include "memory/MemoryAccount.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::size_t kMegabyte = 1000000;
constexpr Duration kLong = std::chrono::seconds(10);

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds) + kLong);
}

MemoryOptions
Options(std::size_t aMegabytes)
{
  MemoryOptions options;
  options.machineBytes_ = aMegabytes * kMegabyte;
  return options;
}

using Ids = std::vector<HoldId>;

}

// Guards against a bound that refuses a single legal body, and against one that
// leaves no memory for the rest of the process.
TEST_CASE("The largest legal body fits alone on every machine that can hold it")
{
  for (const std::size_t machine : { 110, 160, 260, 512 }) {
    for (const std::size_t body : { 4, 48, 68 }) {
      INFO(machine << " MB, body of " << body << " MB");
      MemoryAccount account(Options(machine));
      account.SetLargestBody(body * kMegabyte);
      CHECK(account.Bound() <= machine * kMegabyte * 3 / 4);
      const HoldId id = account.Open(HoldStage::Receiving, At(0));
      CHECK(account.Request(id, body * kMegabyte, At(0)) ==
            MemoryVerdict::Admitted);
    }
  }
}

// Guards against large bodies that use up what small requests need.
TEST_CASE("Small requests have a reserve that large bodies cannot use")
{
  MemoryAccount account(Options(100));
  MemoryVerdict verdict = MemoryVerdict::Admitted;
  while (verdict == MemoryVerdict::Admitted) {
    const HoldId id = account.Open(HoldStage::Receiving, At(0));
    verdict = account.Request(id, kMegabyte, At(0));
  }
  CHECK(verdict == MemoryVerdict::Waiting);
  for (int i = 0; i < 60; ++i) {
    const HoldId id = account.Open(HoldStage::Receiving, At(0));
    CHECK(account.Request(id, 90000, At(0)) == MemoryVerdict::Admitted);
  }
  CHECK(account.Held() <= account.Bound());
}

// Guards against closing requests that a server executes or connections that
// make progress, and against holds that keep memory forever.
TEST_CASE("Stalled holds are closed for those that wait, the largest first")
{
  MemoryAccount account(Options(100));
  const auto open = [&](HoldStage aStage, std::size_t aMegabytes) {
    const HoldId id = account.Open(aStage, At(0));
    REQUIRE(account.Request(id, aMegabytes * kMegabyte, At(0)) ==
            MemoryVerdict::Admitted);
    return id;
  };
  open(HoldStage::Executing, 12);
  const HoldId medium = open(HoldStage::Sending, 9);
  const HoldId large = open(HoldStage::Receiving, 10);
  const HoldId active = open(HoldStage::Receiving, 8);
  open(HoldStage::Receiving, 4);
  const HoldId waiter = account.Open(HoldStage::Receiving, At(0));
  CHECK(account.Request(waiter, 18 * kMegabyte, At(0)) ==
        MemoryVerdict::Waiting);
  CHECK(account.Decide(At(900)).closed_.empty());
  // Single bytes are no progress.
  account.Progress(large, 1, At(1000));
  account.Progress(active, 5000, At(1000));
  const MemoryDecisions decisions = account.Decide(At(1100));
  CHECK(decisions.closed_ == Ids{ large, medium });
  CHECK(account.Decide(At(1150)).closed_.empty());
  account.Close(large);
  account.Close(medium);
  CHECK(account.Decide(At(1200)).admitted_ == Ids{ waiter });
}

// Guards against waiting without end, and against a large request that starves
// behind smaller ones.
TEST_CASE("Waiting is bounded and first come first served")
{
  MemoryAccount account(Options(100));
  const HoldId executing = account.Open(HoldStage::Executing, At(0));
  account.Force(executing, 40 * kMegabyte);
  const HoldId large = account.Open(HoldStage::Receiving, At(0));
  CHECK(account.Request(large, 30 * kMegabyte, At(0)) ==
        MemoryVerdict::Waiting);
  const HoldId later = account.Open(HoldStage::Receiving, At(100));
  CHECK(account.Request(later, kMegabyte, At(100)) == MemoryVerdict::Waiting);
  const HoldId answer = account.Open(HoldStage::Executing, At(200));
  CHECK(account.Request(answer, 20 * kMegabyte, At(200)) ==
        MemoryVerdict::Waiting);
  account.Force(executing, 20 * kMegabyte);
  // What a server sends goes before unfinished requests.
  CHECK(account.Decide(At(300)).admitted_ == Ids{ answer });
  const MemoryDecisions late = account.Decide(At(2050));
  CHECK(late.refused_ == Ids{ large });
  CHECK(late.admitted_ == Ids{ later });
  CHECK(account.Waiting() == 0);
}

// Guards against bodies of unknown length that block each other until all of
// them are refused.
TEST_CASE("Growing bodies that block each other end one after the other")
{
  MemoryAccount account(Options(100));
  constexpr std::size_t kBody = 4 * kMegabyte;
  std::map<HoldId, std::size_t> sizes;
  for (int i = 0; i < 30; ++i) {
    sizes[account.Open(HoldStage::Receiving, At(0))] = 0;
  }
  int ended = 0;
  int now = 0;
  while (!sizes.empty()) {
    REQUIRE(++now < 1900);
    const MemoryDecisions decisions = account.Decide(At(now));
    for (const HoldId id : decisions.refused_) {
      account.Close(id);
      sizes.erase(id);
    }
    std::map<HoldId, std::size_t> growing;
    growing.swap(sizes);
    for (auto [id, size] : growing) {
      if (size >= kBody) {
        account.Close(id);
        ++ended;
        continue;
      }
      const std::size_t next = size == 0 ? 64000 : 2 * size;
      const bool admitted =
        account.Request(id, next, At(now)) == MemoryVerdict::Admitted;
      sizes[id] = admitted ? next : size;
    }
  }
  CHECK(ended >= 20);
  CHECK(account.Held() == 0);
}

// Guards against more waiting connections than the kernel may buffer for.
TEST_CASE("The number of waiting holds is bounded")
{
  MemoryAccount account(Options(100));
  account.Force(account.Open(HoldStage::Executing, At(0)), account.Bound());
  std::size_t waiting = 0;
  MemoryVerdict verdict = MemoryVerdict::Waiting;
  while (verdict == MemoryVerdict::Waiting) {
    const HoldId id = account.Open(HoldStage::Receiving, At(0));
    verdict = account.Request(id, kMegabyte, At(0));
    waiting += verdict == MemoryVerdict::Waiting ? 1 : 0;
  }
  CHECK(verdict == MemoryVerdict::Refused);
  CHECK(waiting * MemoryOptions().waiterBytes_ <= 100 * kMegabyte / 16);
}

// Guards against sums that drift or exceed the bound, and against holds that
// wait forever.
TEST_CASE("Random requests never exceed the bound")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    MemoryAccount account(Options(100));
    Ids open;
    int now = 0;
    for (int i = 0; i < 2000; ++i) {
      now += static_cast<int>(random() % 30);
      const auto stage = static_cast<HoldStage>(random() % 3);
      if (open.size() < 60) {
        open.push_back(account.Open(stage, At(now)));
      }
      const std::size_t at = random() % open.size();
      account.Request(open[at], random() % (5 * kMegabyte), At(now));
      if (random() % 4 == 0) {
        account.Close(open[at]);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      }
      for (const HoldId id : account.Decide(At(now)).closed_) {
        account.Close(id);
        open.erase(std::find(open.begin(), open.end(), id));
      }
      REQUIRE(account.Held() <= account.Bound());
    }
    account.Decide(At(now + 3000));
    CHECK(account.Waiting() == 0);
    for (const HoldId id : open) {
      account.Close(id);
    }
    CHECK(account.Held() == 0);
  }
}

// Guards against connections that are bounded apart from the requests: together
// they would exceed the memory of the machine.
TEST_CASE("Connections and requests share one bound")
{
  MemoryAccount account(Options(100));
  account.SetConnections(MaxConnections(Options(100)));
  CHECK(account.Held() > 12 * kMegabyte);
  MemoryVerdict verdict = MemoryVerdict::Admitted;
  while (verdict == MemoryVerdict::Admitted) {
    const HoldId id = account.Open(HoldStage::Receiving, At(0));
    verdict = account.Request(id, 50000, At(0));
  }
  CHECK(account.Held() <= account.Bound());
  CHECK(account.Bound() == 50 * kMegabyte);
}

// Guards against connections without a request that keep the largest legal body
// from being served.
TEST_CASE("The largest legal body fits beside many connections")
{
  MemoryAccount account(Options(110));
  account.SetLargestBody(68 * kMegabyte);
  account.SetConnections(400);
  const HoldId id = account.Open(HoldStage::Receiving, At(0));
  CHECK(account.Request(id, 68 * kMegabyte, At(0)) == MemoryVerdict::Admitted);
  CHECK(account.Bound() <= 110 * kMegabyte * 3 / 4);
}
