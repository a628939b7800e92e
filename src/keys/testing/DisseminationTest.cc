#include "config/DocumentEdit.h"
#include "config/testing/TestDocument.h"
#include "keys/testing/FleetSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace peridotsail::testing;

namespace {

constexpr int kKeys = 40;
// The documented bound on the dissemination of versions and withdrawals.
constexpr Duration kBound = 10s;

struct Withdrawal
{
  int key_ = 0;
  // Set once a majority of the hosts knows of the withdrawal.
  std::optional<TimePoint> knownSince_;
  std::int64_t version_ = 0;
};

// Simulates operators that change the configuration while faults are injected,
// and checks the invariants after each step.
class Scenario
{
public:
  explicit Scenario(unsigned aSeed)
    : fleet_(aSeed)
  {
    fleet_.Commit(0,
                  { "first", "first", MakeDocument(kKeys, 2).dump(), 0, 0 },
                  [](const ChangeOutcome&) {});
  }

  void Run(Duration aTime, bool aFaults)
  {
    faults_ = aFaults;
    fleet_.Run(aTime, [this] { Step(); });
  }

  FleetSimulation fleet_;
  int commits_ = 0;
  int conflicts_ = 0;
  int outageWithdrawals_ = 0;
  std::vector<Withdrawal> withdrawals_;

private:
  void Step()
  {
    if (faults_ && fleet_.Random()() % 40 == 0) {
      fleet_.InjectRandomFault();
    }
    if (fleet_.Random()() % 30 == 0) {
      CommitConcurrently();
    }
    if (fleet_.Store().down_ && fleet_.Random()() % 30 == 0) {
      WithdrawThroughPeers();
    }
    CheckVersions();
    CheckWithdrawals();
  }

  // Two operators concurrently change the same version; one withdraws a key.
  void CommitConcurrently()
  {
    const std::string document = fleet_.StoredDocument();
    if (document.empty() || nextKey_ >= kKeys) {
      return;
    }
    const int key = nextKey_++;
    auto winners = std::make_shared<int>(0);
    const auto withdrawn =
      WithdrawKeys(document, { "k" + std::to_string(key) });
    auto other = nlohmann::json::parse(document);
    other["customers"][0]["burst"] = fleet_.Random()();
    Commit(*withdrawn, winners, key);
    Commit(other.dump(), winners, std::nullopt);
  }

  void Commit(const std::string& aDocument,
              const std::shared_ptr<int>& aWinners,
              std::optional<int> aKey)
  {
    const std::size_t host = fleet_.Random()() % kHosts;
    const SnapshotPtr& inForce = fleet_.Host(host).node_->InForce();
    if (!inForce || !fleet_.IsConnected(fleet_.Host(host))) {
      return;
    }
    const ChangeRequest request{ "operator",
                                 std::to_string(fleet_.Random()()),
                                 aDocument,
                                 fleet_.Store().version_,
                                 0 };
    fleet_.Commit(host, request, [this, aWinners, aKey](const auto& aOutcome) {
      conflicts_ += aOutcome.result_ == ChangeResult::Conflict ? 1 : 0;
      if (aOutcome.result_ != ChangeResult::Committed) {
        return;
      }
      ++commits_;
      CHECK(++*aWinners == 1);
      if (aKey) {
        withdrawals_.push_back({ *aKey, {}, aOutcome.record_.version_ });
      }
    });
  }

  void WithdrawThroughPeers()
  {
    const std::size_t host = fleet_.Random()() % kHosts;
    const int key = nextKey_;
    if (key < kKeys && !fleet_.Host(host).paused_ &&
        fleet_.Host(host).node_->WithdrawDuringOutage(
          fleet_.Now(), "k" + std::to_string(key))) {
      ++nextKey_;
      pending_.push_back({ host, fleet_.Host(host).incarnation_, key });
    }
  }

  void CheckVersions()
  {
    const TimePoint then = fleet_.Now() - kBound;
    std::int64_t expected = 0;
    const auto connected = [&](const FakeHost& aHost) {
      return fleet_.IsConnected(aHost) && aHost.connectedSince_ <= then;
    };
    bool storeSeen = false;
    for (std::size_t i = 0; i < kHosts; ++i) {
      FakeHost& host = fleet_.Host(i);
      const std::int64_t version = host.versions_.rbegin()->second;
      if (host.versions_.size() > 1) {
        CHECK(version >= std::next(host.versions_.rbegin())->second);
      }
      if (connected(host)) {
        storeSeen = storeSeen || !host.storeUnreachable_;
        const auto before = host.versions_.upper_bound(then);
        if (before != host.versions_.begin()) {
          expected = std::max(expected, std::prev(before)->second);
        }
      }
    }
    storeVersions_[fleet_.Now()] = fleet_.Store().version_;
    const bool storeUp = !fleet_.Store().down_ && !fleet_.Store().slow_ &&
                         !fleet_.Store().servesStale_ &&
                         fleet_.Store().upSince_ <= then;
    const auto before = storeVersions_.upper_bound(then);
    if (storeUp && storeSeen && before != storeVersions_.begin()) {
      expected = std::max(expected, std::prev(before)->second);
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      FakeHost& host = fleet_.Host(i);
      if (connected(host)) {
        INFO(host.name_ << " at "
                        << ToSeconds(fleet_.Now().time_since_epoch()));
        CHECK(host.versions_.rbegin()->second >= expected);
      }
    }
  }

  void CheckWithdrawals()
  {
    for (auto pending = pending_.begin(); pending != pending_.end();) {
      FakeHost& host = fleet_.Host(pending->host_);
      const std::string id = "k" + std::to_string(pending->key_);
      const bool lost = host.incarnation_ != pending->incarnation_;
      const bool done = !lost && host.node_->IsDisseminated(id);
      if (done) {
        ++outageWithdrawals_;
        withdrawals_.push_back({ pending->key_, fleet_.Now(), 0 });
      }
      pending = lost || done ? pending_.erase(pending) : std::next(pending);
    }
    for (Withdrawal& withdrawal : withdrawals_) {
      std::size_t informed = 0;
      for (std::size_t i = 0; i < kHosts; ++i) {
        FakeHost& host = fleet_.Host(i);
        informed +=
          host.versions_.rbegin()->second >= withdrawal.version_ ? 1 : 0;
        const bool due = withdrawal.knownSince_ &&
                         fleet_.Now() > *withdrawal.knownSince_ + kBound;
        if (due && fleet_.Accepts(host, withdrawal.key_)) {
          INFO(host.name_ << " key " << withdrawal.key_ << " at "
                          << ToSeconds(fleet_.Now().time_since_epoch()));
          CHECK_FALSE(due);
        }
      }
      if (!withdrawal.knownSince_ && informed > kHosts / 2) {
        withdrawal.knownSince_ = fleet_.Now();
      }
    }
  }

  struct PendingWithdrawal
  {
    std::size_t host_;
    int incarnation_;
    int key_;
  };

  bool faults_ = false;
  int nextKey_ = 1;
  std::vector<PendingWithdrawal> pending_;
  std::map<TimePoint, std::int64_t> storeVersions_;
};

}

// Checks invariants 3 and 10 under combined faults: no host returns to an older
// version, a version is in force on every connected host within 10 s, no
// serving host accepts a key 10 s after its withdrawal, and of two concurrent
// changes at most one is committed.
TEST_CASE("versions and withdrawals reach all hosts under faults")
{
  int commits = 0;
  int conflicts = 0;
  int outageWithdrawals = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Scenario scenario(seed);
    scenario.Run(60s, true);
    commits += scenario.commits_;
    conflicts += scenario.conflicts_;
    outageWithdrawals += scenario.outageWithdrawals_;
  }
  // The simulation must have covered each of these cases.
  CHECK(commits > 60);
  CHECK(conflicts > 20);
  CHECK(outageWithdrawals > 5);
}

// No host may refuse keyed routes while all hosts are healthy, nor during a
// store outage that all hosts know of.
TEST_CASE("a known store outage does not interrupt keyed routes")
{
  int refused = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Scenario scenario(seed);
    scenario.Run(10s, false);
    FleetSimulation& fleet = scenario.fleet_;
    const auto count = [&] {
      for (std::size_t i = 0; i < kHosts; ++i) {
        refused += fleet.IsFresh(fleet.Host(i)) ? 0 : 1;
      }
    };
    fleet.Run(10s, count);
    fleet.SetStoreDown(true);
    fleet.Run(30s, count);
    fleet.SetStoreDown(false);
    fleet.Run(10s, count);
  }
  CHECK(refused == 0);
}

// A host that may have missed withdrawals must not serve keyed routes.
TEST_CASE("isolated and resumed hosts refuse keyed routes until confirmed")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    Scenario scenario(seed);
    scenario.Run(10s, false);
    FleetSimulation& fleet = scenario.fleet_;
    const auto doNothing = [] {};

    // Two hosts that reach only each other.
    fleet.SetPartition(1, 1);
    fleet.SetPartition(4, 1);
    fleet.Run(5s, doNothing);
    CHECK_FALSE(fleet.IsFresh(fleet.Host(1)));
    CHECK_FALSE(fleet.IsFresh(fleet.Host(4)));
    // The same during a store outage.
    fleet.SetStoreDown(true);
    fleet.Run(15s, [&] { CHECK_FALSE(fleet.IsFresh(fleet.Host(1))); });
    fleet.SetStoreDown(false);
    fleet.SetPartition(1, 0);
    fleet.SetPartition(4, 0);
    fleet.Run(5s, doNothing);
    CHECK(fleet.IsFresh(fleet.Host(1)));

    // A paused host refuses as soon as it resumes. Messages buffered since
    // before it was isolated do not make it fresh.
    fleet.Pause(2);
    fleet.Run(10s, doNothing);
    CHECK_FALSE(fleet.IsFresh(fleet.Host(2)));
    fleet.SetPartition(2, 1);
    fleet.Run(10s, doNothing);
    fleet.Resume(2);
    CHECK_FALSE(fleet.IsFresh(fleet.Host(2)));
    fleet.SetPartition(2, 0);
    fleet.Run(5s, doNothing);
    CHECK(fleet.IsFresh(fleet.Host(2)));

    // A host that starts during an outage gets its state from its peers.
    fleet.SetStoreDown(true);
    fleet.Run(5s, doNothing);
    fleet.Restart(6);
    CHECK(fleet.Host(6).table_.Check(fleet.Now(), "").refusal_ ==
          ErrorKind::ConfigurationMissing);
    fleet.Run(10s, doNothing);
    CHECK(fleet.IsFresh(fleet.Host(6)));
  }
}
