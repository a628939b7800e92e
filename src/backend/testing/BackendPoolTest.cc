#include "backend/BackendPool.h"

#include "backend/RetryBudget.h"
#include "backend/testing/SelectionSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(10);
const TimePoint kStart{ std::chrono::seconds(1000) };

std::vector<BackendServerConfig>
Servers(int aCount, int aSlots)
{
  std::vector<BackendServerConfig> servers;
  for (int i = 0; i < aCount; ++i) {
    BackendServerConfig config;
    config.name_ = "s" + std::to_string(i);
    config.slots_ = aSlots;
    servers.push_back(config);
  }
  return servers;
}

BackendPool
PoolOf(int aCount, int aSlots, SharePolicy aPolicy = SharePolicy::OwnShareFirst)
{
  BackendPoolOptions options;
  options.sharePolicy_ = aPolicy;
  BackendPool pool(options, 1);
  pool.SetServers(kWarmUp, Servers(aCount, aSlots), {}, kStart);
  return pool;
}

// Acquires until no slot is free; returns the number of slots taken per server.
std::map<std::string, int>
TakeAll(BackendPool& aPool, TimePoint aNow)
{
  std::map<std::string, int> taken;
  while (const auto server = aPool.Acquire(aNow)) {
    ++taken[*server];
  }
  return taken;
}

}

// Guards against new work on a leaving server: each of the three sources alone
// must stop new requests immediately, and a request that completes must not
// reinstate the server.
TEST_CASE("a leaving server receives no new work")
{
  const std::string source = GENERATE("configured", "reported", "removed");
  INFO(source);
  BackendPool pool = PoolOf(2, 3);
  TakeAll(pool, kStart);
  if (source == "configured") {
    pool.SetServers(kWarmUp, Servers(2, 3), { "s1" }, kStart);
  } else if (source == "reported") {
    pool.OnLoadReport("s1", { 0, 3, true }, kStart);
  } else {
    pool.SetServers(kWarmUp, Servers(1, 3), {}, kStart);
  }
  for (int i = 0; i < 3; ++i) {
    pool.Release("s0", AttemptOutcome::Completed, kStart);
    pool.Release("s1", AttemptOutcome::Completed, kStart);
  }
  pool.OnProbe("s1", ProbeResult::Passed, kStart, kStart);
  CHECK(TakeAll(pool, kStart) == std::map<std::string, int>{ { "s0", 3 } });
}

// Guards against a dead server that attracts requests because it has none in
// flight, and against results of probes that started before it failed.
TEST_CASE("a server whose connections fail stays down until a later probe")
{
  BackendPool pool = PoolOf(2, 3);
  const auto at = [](int aMilliseconds) {
    return kStart + std::chrono::milliseconds(aMilliseconds);
  };
  pool.OnProbe("s1", ProbeResult::ConnectFailed, at(0), at(10));
  pool.OnProbe("s1", ProbeResult::Passed, at(5), at(600));
  CHECK(pool.IsDown("s1"));
  pool.OnProbe("s1", ProbeResult::Passed, at(400), at(401));
  CHECK(pool.IsDown("s1"));
  pool.OnProbe("s1", ProbeResult::Passed, at(700), at(701));
  CHECK_FALSE(pool.IsDown("s1"));
  // The second backoff is twice as long.
  pool.OnProbe("s1", ProbeResult::ConnectFailed, at(800), at(800));
  pool.OnProbe("s1", ProbeResult::Passed, at(1700), at(1700));
  CHECK(pool.IsDown("s1"));
  pool.OnProbe("s1", ProbeResult::Passed, at(1801), at(1801));
  CHECK_FALSE(pool.IsDown("s1"));
  // Without another available server, the backoff does not apply.
  pool.OnProbe("s0", ProbeResult::ConnectFailed, at(2000), at(2000));
  pool.OnProbe("s1", ProbeResult::ConnectFailed, at(2000), at(2000));
  pool.OnProbe("s1", ProbeResult::Passed, at(2001), at(2002));
  CHECK_FALSE(pool.IsDown("s1"));
}

// Guards against sending a full share of the load to a server with cold caches.
TEST_CASE("a reinstated server warms up and a new host's servers do not")
{
  BackendPool pool = PoolOf(2, 6);
  pool.OnProbe("s1", ProbeResult::ConnectFailed, kStart, kStart);
  TimePoint now = kStart + std::chrono::seconds(1);
  pool.OnProbe("s1", ProbeResult::Passed, now, now);
  std::map<std::string, int> taken = TakeAll(pool, now);
  CHECK(taken["s0"] == 6);
  CHECK(taken["s1"] == 1);
  now += kWarmUp / 2;
  CHECK(TakeAll(pool, now) == std::map<std::string, int>{ { "s1", 2 } });
  CHECK(TakeAll(pool, now + kWarmUp)["s1"] == 3);
}

// Guards against shares that overlap, and against slots that belong to no host.
TEST_CASE("the shares of the hosts add up to the slots of each server")
{
  for (const int hosts : { 1, 2, 3, 4 }) {
    for (const int slots : { 3, 5, 6 }) {
      std::map<std::string, int> total;
      for (int rank = 0; rank < hosts; ++rank) {
        BackendPool pool = PoolOf(20, slots, SharePolicy::OwnShareOnly);
        pool.SetHosts(rank, hosts);
        for (const auto& [server, taken] : TakeAll(pool, kStart)) {
          total[server] += taken;
        }
      }
      CHECK(total.size() == 20);
      CHECK(std::all_of(total.begin(), total.end(), [&](const auto& aEntry) {
        return aEntry.second == slots;
      }));
    }
  }
}

// Guards the pool's invariants under any order of events: no request on leaving
// or unreachable servers, never more requests than slots, and soft failures
// (failing health checks, resets, timeouts) never make a reachable pool
// unavailable.
TEST_CASE("random events never break the pool's invariants")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    BackendPool pool = PoolOf(6, 3);
    TimePoint now = kStart;
    std::vector<std::string> inFlight;
    std::set<std::string> leaving;
    for (int step = 0; step < 2000; ++step) {
      now += std::chrono::milliseconds(random() % 50);
      const std::string server = "s" + std::to_string(random() % 6);
      const auto event = random() % 10;
      if (event < 4) {
        if (const auto chosen = pool.Acquire(now)) {
          REQUIRE(leaving.count(*chosen) == 0);
          REQUIRE_FALSE(pool.IsDown(*chosen));
          inFlight.push_back(*chosen);
          REQUIRE(std::count(inFlight.begin(), inFlight.end(), *chosen) <= 3);
        }
      } else if (event < 7 && !inFlight.empty()) {
        const auto outcome = static_cast<AttemptOutcome>(random() % 6);
        pool.Release(inFlight.back(), outcome, now);
        inFlight.pop_back();
      } else if (event == 7) {
        pool.OnProbe(server, static_cast<ProbeResult>(random() % 4), now, now);
      } else if (event == 8) {
        const LoadReport report{ static_cast<int>(random() % 100), 3, false };
        pool.OnLoadReport(server, report, now);
      } else if (random() % 20 == 0) {
        leaving = { server };
        pool.SetServers(kWarmUp, Servers(6, 3), leaving, now);
      }
      bool reachable = false;
      for (const ServerStatus& row : pool.Status(now)) {
        reachable = reachable || (!row.leaving_ && !row.down_);
      }
      REQUIRE(pool.HasAvailableServer(now) == reachable);
    }
  }
}

// Guards against malformed responses of load endpoints.
TEST_CASE("load reports are parsed strictly")
{
  CHECK(ParseLoadReport(R"({"in_flight":1,"slots":3,"leaving":true,"x":1})")
          ->leaving_);
  for (const char* text : { "",
                            "[]",
                            "{",
                            R"({"in_flight":1,"slots":3})",
                            R"({"in_flight":-1,"slots":3,"leaving":false})",
                            R"({"in_flight":1e9,"slots":3,"leaving":false})",
                            R"({"in_flight":99999999999999999999,"slots":3,
                                "leaving":false})" }) {
    INFO(text);
    CHECK_FALSE(ParseLoadReport(text).has_value());
  }
}

// Guards against running a non-idempotent request twice. Covers all
// combinations of the properties of a failed attempt.
TEST_CASE("a request runs again only when it is idempotent or did not run")
{
  for (int bits = 0; bits < 32; ++bits) {
    FailedAttempt attempt;
    attempt.idempotent_ = (bits & 1) != 0;
    attempt.notRun_ = (bits & 2) != 0;
    attempt.bodyBuffered_ = (bits & 4) != 0;
    attempt.responseStarted_ = (bits & 8) != 0;
    attempt.attemptsMade_ = (bits & 16) != 0 ? kMaxAttempts : 1;
    const bool expected =
      (bits & 3) != 0 && (bits & 4) != 0 && (bits & 8) == 0 && (bits & 16) == 0;
    CHECK(IsRetryable(attempt) == expected);
  }
}

// Guards against retry amplification within any ten seconds.
TEST_CASE("retries stay below a tenth of recent requests plus the floor")
{
  RetryBudget budget;
  std::mt19937_64 random(7);
  std::vector<std::pair<TimePoint, bool>> events;
  TimePoint now = kStart;
  int granted = 0;
  for (int i = 0; i < 5000; ++i) {
    now += std::chrono::milliseconds(random() % 20);
    budget.RecordRequest(now);
    events.emplace_back(now, false);
    if (budget.TryTake(now)) {
      ++granted;
      events.emplace_back(now, true);
    }
    double requests = 0;
    double retries = 0;
    for (auto it = events.rbegin();
         it != events.rend() && now - it->first < std::chrono::seconds(9);
         ++it) {
      ++(it->second ? retries : requests);
    }
    // The budget counts whole seconds, so its window is 9 to 10 seconds long.
    REQUIRE(retries <= 3 + 0.1 * (requests + 1 + 200));
  }
  CHECK(granted > 400);
  CHECK(granted < 560);
}

// Guards the choice of the default policy in docs/notes/backend.md, with bounds
// on the results that selection_benchmark prints. Runs in simulated time, so
// the results are reproducible.
TEST_CASE("own shares first, then any slot within the retry budget")
{
  SelectionCase input;
  input.hosts_ = 3;
  input.requests_ = 4000;
  SECTION("even load: no refusals and fewer shed requests than random")
  {
    input.reportsWrongLoad_ = GENERATE(false, true);
    const auto chosen = Simulate(input, SelectionPolicy::OwnShareFirst, 3);
    const auto random = Simulate(input, SelectionPolicy::Random, 3);
    CHECK(chosen.refused_ == 0);
    CHECK(chosen.shed_ * 2 < random.shed_);
  }
  SECTION("uneven load: far fewer refusals than with own shares only")
  {
    input.hosts_ = 2;
    input.firstHostFraction_ = 0.8;
    const auto chosen = Simulate(input, SelectionPolicy::OwnShareFirst, 3);
    const auto ownShareOnly = Simulate(input, SelectionPolicy::OwnShareOnly, 3);
    CHECK(chosen.refused_ * 5 < ownShareOnly.refused_);
  }
}
