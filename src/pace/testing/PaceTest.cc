#include "pace/ColdRate.h"
#include "pace/ColdStartLimit.h"
#include "pace/PaceTable.h"
#include "pace/testing/StartingServer.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr double kStep = 0.002;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

struct RunResult
{
  bool crashed_ = false;
  int answers_ = 0;
  // Zero if the server never settled.
  double settledAt_ = 0;
  int answersUntilSettled_ = 0;
  // Time with demand and without a request at the server.
  double idleSeconds_ = 0;
};

// Sends as much as the pace allows, for a number of seconds or until the server
// crashes. Without a pace, the slots are the limit.
RunResult
RunServer(const StartingServerOptions& aServer,
          bool aPaced,
          double aSeconds,
          std::uint64_t aSeed,
          double aSettledSeconds = 0)
{
  StartingServer server(aServer, aSeed);
  ServerPace pace(aServer.slots_);
  pace.Begin(PaceCause::Started, At(0));
  std::map<int, PaceTicket> tickets;
  RunResult result;
  int nextId = 0;
  for (double now = 0; now < aSeconds && !server.Crashed(); now += kStep) {
    for (const CompletedRequest& request : server.Completed(now)) {
      ++result.answers_;
      const PaceAnswer answer{ PaceOutcome::Success,
                               FromSeconds(request.serviceSeconds_),
                               FromSeconds(aSettledSeconds) };
      pace.OnEnded(tickets.at(request.id_), answer, At(now));
      if (pace.Phase() == PacePhase::Settled && result.settledAt_ == 0) {
        result.settledAt_ = now;
        result.answersUntilSettled_ = result.answers_;
      }
    }
    const int limit =
      aPaced ? pace.Limit(At(now)).value_or(aServer.slots_) : aServer.slots_;
    while (server.AtServer() < limit) {
      tickets[nextId] = pace.OnSent(server.AtServer() + 1, At(now));
      server.Send(nextId++, now);
    }
    result.idleSeconds_ += server.AtServer() == 0 ? kStep : 0;
  }
  result.crashed_ = server.Crashed();
  return result;
}

StartingServerOptions
FlatServer(int aSlots)
{
  StartingServerOptions options;
  options.slots_ = aSlots;
  options.initialCapacity_ = aSlots;
  return options;
}

PacedServer
Server(const std::string& aId, std::int64_t aIncarnation, bool aOwned = true)
{
  PacedServer server;
  server.id_ = aId;
  server.service_ = "s";
  server.incarnation_ = aIncarnation;
  server.slots_ = 4;
  server.owned_ = aOwned;
  return server;
}

}

// Guards against a server that is flooded as soon as it is registered.
TEST_CASE("A server that warms up is not crashed by its first requests")
{
  for (std::uint64_t seed = kSeed; seed < kSeed + 20; ++seed) {
    INFO("seed " << seed);
    StartingServerOptions options;
    options.initialCapacity_ = 1.5;
    // The load alone crashes the simulated server.
    REQUIRE(RunServer(options, false, 20, seed).crashed_);
    const RunResult paced = RunServer(options, true, 20, seed);
    REQUIRE_FALSE(paced.crashed_);
    CHECK(paced.settledAt_ > 0);
    CHECK(paced.idleSeconds_ == 0);
  }
}

// Guards against a server that is left idle although its answers show that it
// handles all its slots.
TEST_CASE("Flat answers lead to the full slots within a few rounds")
{
  for (const int slots : { 1, 3, 12, 48 }) {
    INFO("slots " << slots << " seed " << kSeed);
    const RunResult result = RunServer(FlatServer(slots), true, 20, kSeed);
    CHECK(result.settledAt_ > 0);
    // The limit grows by one with each answer.
    CHECK(result.answersUntilSettled_ <= 3 * slots + 3);
    CHECK(result.idleSeconds_ == 0);
  }
}

// Guards against a comparison with other servers that keeps a slow one at its
// start value.
TEST_CASE("A server that is slower by itself reaches its full slots")
{
  StartingServerOptions options = FlatServer(12);
  options.serviceSeconds_ = 0.3;
  const RunResult result = RunServer(options, true, 20, kSeed, 0.1);
  INFO("seed " << kSeed);
  CHECK(result.settledAt_ > 0);
  CHECK(result.answersUntilSettled_ <= 3 * 12 + 3);
}

// Guards against a limit that stays high after the server has shown that it
// does not keep up.
TEST_CASE("Sheds, failures and lost connections reduce the limit")
{
  struct Row
  {
    PaceOutcome outcome_;
    int limit_;
    PaceCause cause_;
  };
  const Row rows[] = {
    { PaceOutcome::Shed, 4, PaceCause::Shed },
    { PaceOutcome::Failure, 4, PaceCause::Failure },
    { PaceOutcome::ConnectionLost, 1, PaceCause::ConnectionLost }
  };
  const PaceAnswer good{ PaceOutcome::Success, FromSeconds(0.1), {} };
  for (const Row& row : rows) {
    INFO(NameOf(row.cause_));
    ServerPace pace(16);
    pace.Begin(PaceCause::Started, At(0));
    for (int i = 1; i < 8; ++i) {
      pace.OnEnded(pace.OnSent(i, At(0.1 * i)), good, At(0.1 * i + 0.05));
    }
    REQUIRE(pace.Limit(At(0.8)) == 8);
    const PaceTicket first = pace.OnSent(7, At(0.8));
    const PaceTicket second = pace.OnSent(8, At(0.8));
    const auto change = pace.OnEnded(first, { row.outcome_, {}, {} }, At(0.9));
    REQUIRE(change);
    CHECK(change->phase_ == PacePhase::Reduced);
    CHECK(change->cause_ == row.cause_);
    CHECK(pace.Limit(At(0.9)) == row.limit_);
    // Requests that were in flight together reduce the limit once.
    CHECK_FALSE(pace.OnEnded(second, { row.outcome_, {}, {} }, At(0.91)));
    CHECK(pace.Limit(At(0.91)) == row.limit_);
  }
}

// Guards against a limit that only sheds and failures reduce, when the service
// times already show that the server does not keep up.
TEST_CASE("Service times that grow with the load reduce the limit")
{
  ServerPace pace(16);
  pace.Begin(PaceCause::Started, At(0));
  const PaceAnswer good{ PaceOutcome::Success, FromSeconds(0.1), {} };
  const PaceAnswer slow{ PaceOutcome::Success, FromSeconds(0.4), {} };
  for (int i = 1; i < 8; ++i) {
    pace.OnEnded(pace.OnSent(i, At(0.1 * i)), good, At(0.1 * i + 0.05));
  }
  std::optional<PaceChange> change;
  double now = 1;
  for (int i = 0; i < 6 && !change; ++i) {
    now += 0.1;
    change = pace.OnEnded(pace.OnSent(8, At(now)), slow, At(now + 0.05));
  }
  REQUIRE(change);
  CHECK(change->phase_ == PacePhase::Reduced);
  CHECK(change->cause_ == PaceCause::ServiceTime);
  CHECK(pace.Limit(At(now + 0.05)) == 4);
}

// Guards against a server that is never asked again because its answers were
// lost, and against one that is flooded meanwhile.
TEST_CASE("Lost answers leave a probe each half second")
{
  ServerPace pace(8);
  pace.Begin(PaceCause::Started, At(0));
  const PaceAnswer good{ PaceOutcome::Success, FromSeconds(0.1), {} };
  for (int i = 1; i <= 3; ++i) {
    pace.OnEnded(pace.OnSent(i, At(0.1 * i)), good, At(0.1 * i + 0.05));
  }
  // Each request ends by its timeout after one second, without an answer.
  std::vector<double> sent;
  std::deque<PaceTicket> open;
  int most = 0;
  for (double now = 0.5; now < 10; now += 0.01) {
    while (!open.empty() && At(now) - open.front().sentAt_ >= FromSeconds(1)) {
      pace.OnEnded(open.front(), { PaceOutcome::Unknown, {}, {} }, At(now));
      open.pop_front();
    }
    while (static_cast<int>(open.size()) < pace.Limit(At(now))) {
      const int concurrency = static_cast<int>(open.size()) + 1;
      open.push_back(pace.OnSent(concurrency, At(now)));
      sent.push_back(now);
    }
    most = now < 4 ? 0 : std::max(most, static_cast<int>(open.size()));
  }
  for (std::size_t i = 1; i < sent.size(); ++i) {
    REQUIRE(sent[i] - sent[i - 1] < 0.52);
  }
  // After the hold time, the limit is the start value and one probe.
  CHECK(most == 2);
  // The next answer starts the growth again from the start value.
  CHECK_FALSE(pace.OnEnded(pace.OnSent(1, At(10)), good, At(10.1)));
  CHECK(pace.Limit(At(10.1)) == 2);
}

// Guards against a flapping server that gets its full load after each return,
// against answers of a former process that count for the next one, and against
// a log line per answer.
TEST_CASE("A server that is ejected again and again starts low each time")
{
  std::vector<PaceNotice> notices;
  PaceTable table(
    {}, [&](const PaceNotice& aNotice) { notices.push_back(aNotice); });
  table.SetServers({ Server("a", 1) }, At(0));
  CHECK_FALSE(table.Limit("a", At(0)));
  for (int flap = 0; flap < 5; ++flap) {
    const double start = 10 + 3 * flap;
    const PaceTicket old = table.OnSent("a", 4, At(start - 0.1));
    table.OnRecovered("a", At(start));
    table.OnEnded("a", old, PaceOutcome::Success, FromSeconds(0.1), At(start));
    CHECK(table.Limit("a", At(start)) == 1);
    for (int i = 0; i < 20; ++i) {
      const double now = start + 0.1 * i;
      const int atServer = table.Limit("a", At(now)).value_or(4);
      table.OnEnded("a",
                    table.OnSent("a", atServer, At(now)),
                    PaceOutcome::Success,
                    FromSeconds(0.05),
                    At(now + 0.05));
    }
    CHECK_FALSE(table.Limit("a", At(start + 2.5)));
  }
  REQUIRE(notices.size() == 10);
  CHECK(notices[0].phase_ == PacePhase::Started);
  CHECK(notices[0].cause_ == PaceCause::Recovered);
  CHECK(notices[0].limit_ == 1);
  CHECK(notices[1].phase_ == PacePhase::Settled);
  CHECK(notices[1].limit_ == 4);
}

// Guards against a fleet that is limited because a host has started or taken
// servers over, and against servers that start unnoticed.
TEST_CASE("Registrations decide which servers start low")
{
  PaceTable table;
  PacedServer cold = Server("cold", 1);
  cold.coldUntil_ = At(3);
  table.SetServers({ Server("old", 1), cold, Server("other", 1, false) },
                   At(0));
  CHECK_FALSE(table.Limit("old", At(0)));
  CHECK(table.Limit("cold", At(0)) == 1);
  CHECK(table.LimitedServers() == 1);
  // The same cold time, read again with a small difference after it has ended.
  PacedServer warm = Server("old", 1);
  warm.coldUntil_ = At(1);
  table.SetServers({ warm, cold, Server("other", 1, false) }, At(0.5));
  CHECK(table.Limit("old", At(0.5)) == 1);
  table.SetServers(
    { Server("old", 2), Server("new", 1), Server("later", 1, false) }, At(5));
  CHECK(table.Limit("old", At(5)) == 1);
  CHECK(table.Limit("new", At(5)) == 1);
  CHECK_FALSE(table.Limit("cold", At(5)));
  CHECK_FALSE(table.Limit("later", At(5)));
  // Taken over soon after its start, and long after it.
  table.SetServers({ Server("new", 1, false), Server("later", 1) }, At(7));
  CHECK(table.Limit("later", At(7)) == 1);
  CHECK_FALSE(table.Limit("new", At(7)));
  table.SetServers({ Server("new", 1), Server("later", 1) }, At(30));
  CHECK_FALSE(table.Limit("new", At(30)));
}

// Compares the requests that a cold server gets from one owner with those from
// equal shares of its hosts, in the first seconds of its cold time. All hosts
// have been registered for long.
TEST_CASE("An owner uses a cold server's rate that equal shares leave unused")
{
  constexpr double kPerSecond = 5.2;
  constexpr double kSeconds = 5;
  const ColdStartOptions shareOptions;
  const double bound = kPerSecond * shareOptions.overage_ + shareOptions.slack_;
  for (const std::size_t hosts : { 7, 21, 100 }) {
    INFO("hosts " << hosts << " seed " << kSeed);
    std::vector<ColdStartLimit> shares(hosts, ColdStartLimit(shareOptions));
    for (ColdStartLimit& share : shares) {
      share.SetHosts(true, hosts, At(-10));
    }
    ColdRate owner({});
    owner.SetHosts({ "h0", "h1" }, At(-10));
    owner.SetServers({ { "i", true } }, At(0));
    ServerPace pace(12);
    pace.Begin(PaceCause::Cold, At(0));
    StartingServerOptions serverOptions = FlatServer(12);
    serverOptions.serviceSeconds_ = 0.3;
    StartingServer server(serverOptions, kSeed);
    std::map<int, PaceTicket> tickets;
    std::mt19937_64 random(kSeed);
    int byShares = 0;
    int byOwner = 0;
    for (double now = 0; now < kSeconds; now += kStep) {
      owner.OnViewAge(Duration::zero(), At(now));
      for (const CompletedRequest& request : server.Completed(now)) {
        pace.OnEnded(
          tickets.at(request.id_),
          { PaceOutcome::Success, FromSeconds(request.serviceSeconds_), {} },
          At(now));
      }
      // 50 requests per second, each at any host.
      if (std::uniform_real_distribution<double>(0, 1)(random) >= 50 * kStep) {
        continue;
      }
      byShares += shares[random() % hosts].TryTake(
                    "i", kPerSecond, Duration::zero(), At(now))
                    ? 1
                    : 0;
      if (server.AtServer() < pace.Limit(At(now)).value_or(12) &&
          owner.TryTake("i", kPerSecond, Duration::zero(), At(now))) {
        tickets[byOwner] = pace.OnSent(server.AtServer() + 1, At(now));
        server.Send(byOwner++, now);
      }
    }
    WARN(hosts << " hosts, first " << kSeconds << " s: " << byShares
               << " requests by shares, " << byOwner << " by an owner, "
               << bound << " a second allowed");
    CHECK(byOwner > byShares);
    CHECK(byOwner >= 0.6 * bound * kSeconds);
  }
}
