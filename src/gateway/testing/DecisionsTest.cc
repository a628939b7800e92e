#include "gateway/FleetRetryBudget.h"
#include "gateway/HostOrder.h"
#include "gateway/InstanceChooser.h"
#include "pace/ColdStartLimit.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

InstanceRecord
MakeRecord(const std::string& aId, const std::string& aDomain)
{
  InstanceRecord record;
  record.id_ = aId;
  record.service_ = "s";
  record.failureDomain_ = aDomain;
  record.slots_ = 3;
  return record;
}

const std::map<std::string, std::string> kRegions{ { "a", "here" },
                                                   { "b", "here" },
                                                   { "c", "there" } };

FleetSnapshot
MakeFleet()
{
  FleetSnapshot snapshot;
  for (int i = 0; i < 4; ++i) {
    const std::string number = std::to_string(i);
    snapshot.instances_["a" + number] = MakeRecord("a" + number, "a");
    snapshot.instances_["c" + number] = MakeRecord("c" + number, "c");
  }
  return snapshot;
}

ChoiceQuery
MakeQuery(std::uint64_t aObject)
{
  ChoiceQuery query;
  query.hasObject_ = true;
  query.objectHash_ = aObject;
  query.region_ = "here";
  query.timeLeft_ = std::chrono::seconds(1);
  query.takeColdToken_ = [](const Instance&) { return true; };
  return query;
}

}

// Guards against objects that move to another server because an unrelated
// server was added or removed: each move makes them run cold.
TEST_CASE("Removing a server moves only that server's objects")
{
  InstanceTable table(kRegions, "here");
  FleetSnapshot snapshot = MakeFleet();
  table.Apply(snapshot);
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t object = 0; object < 500; ++object) {
    before[object] =
      ChooseInstance(table.OfService("s"), MakeQuery(object), At(0), {})
        .instance_->Record()
        .id_;
  }
  snapshot.instances_.erase("a1");
  table.Apply(snapshot);
  int moved = 0;
  for (const auto& [object, id] : before) {
    const std::string now =
      ChooseInstance(table.OfService("s"), MakeQuery(object), At(0), {})
        .instance_->Record()
        .id_;
    CHECK((now == id || id == "a1"));
    moved += now == id ? 0 : 1;
  }
  CHECK(moved > 0);
}

// Guards against responses after the target latency while the object's server
// in another region is warm and idle, and against load that jumps between
// regions.
TEST_CASE(
  "Requests to an overloaded server may go to the object's server in another "
  "region")
{
  using std::chrono::milliseconds;
  const auto always = [] { return true; };
  struct Row
  {
    const char* name_;
    ReportedLoad home_;
    ReportedLoad other_;
    milliseconds roundTrip_;
    std::function<bool()> admit_;
    bool movesAway_;
  };
  const Row rows[] = {
    { "late locally, idle remotely",
      { 3, 4, At(0) },
      { 1, 0, At(0) },
      milliseconds(40),
      always,
      true },
    { "no recent remote load report",
      { 3, 4, At(0) },
      { 9, 9, At(-5) },
      milliseconds(40),
      always,
      true },
    { "in time locally",
      { 3, 0, At(0) },
      { 0, 0, At(0) },
      milliseconds(40),
      always,
      false },
    { "busy remotely",
      { 3, 4, At(0) },
      { 3, 0, At(0) },
      milliseconds(40),
      always,
      false },
    { "round trip too long",
      { 3, 4, At(0) },
      { 0, 0, At(0) },
      milliseconds(250),
      always,
      false },
    { "no tokens left",
      { 3, 4, At(0) },
      { 0, 0, At(0) },
      milliseconds(40),
      [] { return false; },
      false },
    { "remote requests disabled",
      { 3, 4, At(0) },
      { 0, 0, At(0) },
      milliseconds(40),
      nullptr,
      false },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    InstanceTable table(kRegions, "here");
    table.Apply(MakeFleet());
    ChoiceQuery query = MakeQuery(5);
    // The object's server is local, and few requests go to the other region.
    query.remoteWeight_ = 0.001;
    query.targetLatency_ = milliseconds(500);
    query.roundTrip_ = row.roundTrip_;
    query.takeRemoteToken_ = row.admit_;
    const auto& all = table.OfService("s");
    const InstancePtr home = ChooseInstance(all, query, At(0), {}).instance_;
    REQUIRE(home->Region() == "here");
    for (const InstancePtr& instance : all) {
      instance->queue_.Report(instance == home ? row.home_ : row.other_);
    }
    const Choice choice = ChooseInstance(all, query, At(0.1), {});
    REQUIRE(choice.instance_);
    CHECK((choice.instance_ != home) == row.movesAway_);
    if (row.movesAway_) {
      // The server to which hosts of the other region send this object.
      ChoiceQuery there = MakeQuery(5);
      there.region_ = "there";
      there.remoteWeight_ = 0.001;
      CHECK(choice.instance_ ==
            ChooseInstance(all, there, At(0), {}).instance_);
    }
  }
}

// Guards against refusals while another server is nearly idle, and against
// moves that overload a busy fleet.
TEST_CASE(
  "Requests to an overloaded server go to a half idle one or are refused")
{
  struct Row
  {
    const char* name_;
    ReportedLoad other_;
    bool served_;
  };
  const Row rows[] = {
    { "other idle", { 0, 0, At(0) }, true },
    { "other busy", { 3, 0, At(0) }, false },
    { "other has a queue", { 3, 4, At(0) }, false },
    { "no recent load report of the other", { 0, 0, At(-5) }, false },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    FleetSnapshot snapshot;
    snapshot.instances_["a0"] = MakeRecord("a0", "a");
    snapshot.instances_["a1"] = MakeRecord("a1", "a");
    InstanceTable table(kRegions, "here");
    table.Apply(snapshot);
    const ChoiceQuery query = MakeQuery(5);
    const InstancePtr first =
      ChooseInstance(table.OfService("s"), query, At(0), {}).instance_;
    first->queue_.Report({ 3, 20, At(0) });
    for (const InstancePtr& instance : table.OfService("s")) {
      if (instance != first) {
        instance->queue_.Report(row.other_);
      }
    }
    const Choice choice =
      ChooseInstance(table.OfService("s"), query, At(0.1), {});
    CHECK((choice.instance_ != nullptr) == row.served_);
    CHECK(choice.overloaded_ == first);
    CHECK(choice.wait_ > Duration::zero());
  }
}

// Guards against objects that stay with a server that has become slow, and
// against moving them off a server that is only cold.
TEST_CASE("Objects move off a slow server, and try it again later")
{
  struct Row
  {
    const char* name_;
    Duration serviceTime_;
    double askedAt_;
    bool stays_;
  };
  const Row rows[] = {
    { "as fast as the others", std::chrono::milliseconds(200), 1, true },
    { "cold", std::chrono::milliseconds(600), 1, true },
    { "slow", std::chrono::milliseconds(900), 1, false },
    { "slow a few seconds ago", std::chrono::milliseconds(900), 4, true },
  };
  constexpr int kRuns = 60;
  for (const Row& row : rows) {
    INFO(row.name_);
    InstanceTable table(kRegions, "here");
    table.Apply(MakeFleet());
    const ChoiceQuery query = MakeQuery(5);
    const InstancePtr first =
      ChooseInstance(table.OfService("s"), query, At(0), {}).instance_;
    for (const InstancePtr& instance : table.OfService("s")) {
      for (int i = 0; i < kRuns; ++i) {
        instance->queue_.RecordServiceTime(
          instance == first ? row.serviceTime_
                            : Duration(std::chrono::milliseconds(200)),
          0,
          At(0.5));
      }
    }
    const Choice choice =
      ChooseInstance(table.OfService("s"), query, At(row.askedAt_), {});
    CHECK((choice.instance_ == first) == row.stays_);
  }
}

// Guards against requests to servers that must not receive any.
TEST_CASE(
  "Draining, evacuated, already tried and rate-limited cold servers and "
  "those outside the home regions are not selected")
{
  struct Row
  {
    const char* name_;
    std::function<void(FleetSnapshot&, ChoiceQuery&)> change_;
    bool chosen_;
  };
  const Row rows[] = {
    { "ready", [](FleetSnapshot&, ChoiceQuery&) {}, true },
    { "draining",
      [](FleetSnapshot& aFleet, ChoiceQuery&) {
        aFleet.instances_["a0"].draining_ = true;
      },
      false },
    { "evacuated",
      [](FleetSnapshot& aFleet, ChoiceQuery&) {
        aFleet.evacuated_.insert("a");
      },
      false },
    { "tried",
      [](FleetSnapshot&, ChoiceQuery& aQuery) { aQuery.tried_.insert("a0"); },
      false },
    { "home elsewhere",
      [](FleetSnapshot&, ChoiceQuery& aQuery) {
        aQuery.homeRegions_ = { "there" };
      },
      false },
    { "at home",
      [](FleetSnapshot&, ChoiceQuery& aQuery) {
        aQuery.homeRegions_ = { "here" };
      },
      true },
    { "unknown failure domain",
      [](FleetSnapshot& aFleet, ChoiceQuery&) {
        aFleet.instances_["a0"].failureDomain_ = "x";
      },
      false },
    { "cold, and its limit is reached",
      [](FleetSnapshot& aFleet, ChoiceQuery& aQuery) {
        aFleet.instances_["a0"].coldLeft_ = std::chrono::seconds(5);
        aFleet.readAt_["a0"] = At(0);
        aQuery.takeColdToken_ = [](const Instance&) { return false; };
      },
      false },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    FleetSnapshot snapshot;
    snapshot.instances_["a0"] = MakeRecord("a0", "a");
    ChoiceQuery query = MakeQuery(1);
    row.change_(snapshot, query);
    InstanceTable table(kRegions, "here");
    table.Apply(snapshot);
    const Choice choice =
      ChooseInstance(table.OfService("s"), query, At(1), {});
    CHECK((choice.instance_ != nullptr) == row.chosen_);
  }
}

// Guards against a restarted server that inherits the health state of the
// process that had its id before.
TEST_CASE("A server that restarts under the same id has fresh health state")
{
  InstanceTable table(kRegions, "here");
  FleetSnapshot snapshot;
  snapshot.instances_["a0"] = MakeRecord("a0", "a");
  table.Apply(snapshot);
  const InstancePtr old = table.OfService("s").front();
  table.RecordOutcome(*old, InstanceOutcome::Unreachable, At(0), {});
  CHECK(old->IsEjected(At(0.1)));
  snapshot.instances_["a0"].born_ = 5;
  table.Apply(snapshot);
  CHECK(table.OfService("s").front()->IsUsable(At(0.1)));
  CHECK_FALSE(old->IsUsable(At(100)));
}

// Guards against exceeding a cold server's rate limit in any one-second window,
// over all hosts together, also while hosts join and the existing hosts still
// use their larger shares.
TEST_CASE("All hosts together stay below a cold server's rate limit")
{
  constexpr double kPerSecond = 5.2;
  // When the hosts other than the first are registered, and how much later the
  // first host reads of it.
  constexpr double kJoinedAt = 5;
  constexpr double kReadDelay = 0.5;
  const ColdStartOptions options;
  for (const std::size_t hosts : { 1, 2, 3, 6 }) {
    INFO("hosts " << hosts << " seed " << kSeed);
    std::vector<ColdStartLimit> limits(hosts, ColdStartLimit(options));
    limits[0].SetHosts(true, 1, At(0));
    std::mt19937_64 random(kSeed);
    std::uniform_int_distribution<std::size_t> anyHost(0, hosts - 1);
    std::vector<double> sent;
    for (double now = 0; now < 15; now += 0.003) {
      for (std::size_t i = 0; i < hosts; ++i) {
        const double reads = i == 0 ? kJoinedAt + kReadDelay : kJoinedAt;
        if (now >= reads) {
          limits[i].SetHosts(true, hosts, At(now));
        }
      }
      if (limits[anyHost(random)].TryTake(
            "i", kPerSecond, Duration::zero(), At(now))) {
        sent.push_back(now);
      }
    }
    CHECK(sent.back() > kJoinedAt + 5);
    const double bound = kPerSecond * options.overage_ + options.slack_;
    for (const double begin : sent) {
      int count = 0;
      for (const double other : sent) {
        count += other >= begin && other < begin + 1 ? 1 : 0;
      }
      REQUIRE(count <= bound);
    }
  }
}

// Guards against a host that keeps using its share after its registration has
// expired and the other hosts have taken it over.
TEST_CASE(
  "A host that is unregistered or has a stale view uses no cold servers")
{
  ColdStartLimit limit({});
  CHECK_FALSE(limit.TryTake("i", 5, Duration::zero(), At(10)));
  limit.SetHosts(true, 1, At(10));
  CHECK(limit.TryTake("i", 5, Duration::zero(), At(13)));
  CHECK_FALSE(limit.TryTake("i", 5, std::chrono::seconds(3), At(13)));
  limit.SetHosts(false, 0, At(14));
  CHECK_FALSE(limit.TryTake("i", 5, Duration::zero(), At(14)));
  limit.SetHosts(true, 1, At(15));
  CHECK_FALSE(limit.TryTake("i", 5, Duration::zero(), At(15)));
}

// Guards against retries that amplify a failure, over all hosts together.
TEST_CASE("All hosts together stay below the retry budget in any window")
{
  constexpr int kHosts = 7;
  constexpr double kWindow = 10;
  const FleetRetryBudgetOptions options;
  std::vector<FleetRetryBudget> budgets(kHosts, FleetRetryBudget(options));
  CHECK_FALSE(budgets[0].TryTake("s", At(0)));
  std::vector<double> requests;
  std::vector<double> retries;
  std::mt19937_64 random(kSeed);
  std::uniform_int_distribution<int> anyHost(0, kHosts - 1);
  for (FleetRetryBudget& budget : budgets) {
    budget.SetHosts(kHosts);
  }
  // Every request fails and asks for a retry.
  for (double now = 0; now < 40; now += 0.005) {
    FleetRetryBudget& budget = budgets[anyHost(random)];
    const bool quiet = now > 15 && now < 25;
    if (!quiet) {
      budget.RecordRequest("s", At(now));
      requests.push_back(now);
    }
    if (budget.TryTake("s", At(now))) {
      retries.push_back(now);
    }
  }
  const auto count = [](const std::vector<double>& aTimes, double aBegin) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](double aTime) {
      return aTime >= aBegin && aTime < aBegin + kWindow;
    });
  };
  for (double begin = 0; begin < 30; begin += 0.25) {
    // The bound refers to the busiest of three neighbouring windows.
    const auto asked = std::max({ count(requests, begin),
                                  count(requests, begin - kWindow),
                                  count(requests, begin - kWindow / 2) });
    INFO("window from " << begin << " seed " << kSeed);
    REQUIRE(static_cast<double>(count(retries, begin)) <=
            options.ratio_ * static_cast<double>(asked) + options.slack_);
  }
}

// Guards against a request that leaves the home regions of its route or its
// customer.
TEST_CASE("Home regions of a route and a customer are intersected")
{
  using Names = std::vector<std::string>;
  CHECK(IntersectHomeRegions({}, {}) == Names{});
  CHECK(IntersectHomeRegions({ "a" }, {}) == Names{ "a" });
  CHECK(IntersectHomeRegions({}, { "b" }) == Names{ "b" });
  CHECK(IntersectHomeRegions({ "a", "b" }, { "b", "c" }) == Names{ "b" });
  CHECK_FALSE(IntersectHomeRegions({ "a" }, { "c" }));
}

// Guards against callers that are directed to draining hosts, or to another
// region although a host of their region is available.
TEST_CASE("Callers are directed to hosts of their region first")
{
  std::map<std::string, HostRecord> hosts;
  const auto add = [&](const char* aName, const char* aRegion, bool aDraining) {
    HostRecord host;
    host.callers_ = aName;
    host.region_ = aRegion;
    host.draining_ = aDraining;
    hosts[aName] = host;
  };
  add("h1", "here", false);
  add("h2", "here", true);
  add("h3", "there", false);
  using Names = std::vector<std::string>;
  CHECK(HostsForRegion(hosts, "here", 64) == Names{ "h1" });
  CHECK(HostsForRegion(hosts, "there", 64) == Names{ "h3" });
  CHECK(HostsForRegion(hosts, "elsewhere", 64) == Names{ "h1", "h3" });
  hosts["h1"].draining_ = true;
  CHECK(HostsForRegion(hosts, "here", 64) == Names{ "h3" });
  CHECK(HostsForRegion(hosts, "elsewhere", 0).empty());
}
