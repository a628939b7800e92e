#pragma once

// Deterministic simulation of entry hosts with a fake store, host list and
// network, for property tests and measurements. Each host runs the real
// SlotLease and BudgetTable with its own clock.
//
//   ClusterSimulation cluster(options);
//   cluster.Start();
//   cluster.RunUntil(seconds(60));
//   cluster.Take(host, 1);   // a request to that host

#include "budget/BudgetTable.h"
#include "budget/SlotLease.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct ClusterOptions
{
  unsigned seed_ = 1;
  std::vector<std::pair<std::string, int>> regions_{ { "a", 3 },
                                                     { "b", 2 },
                                                     { "c", 2 } };
  // Limits of the customer "c", whose admissions are checked.
  double rate_ = 50;
  double burst_ = 100;
  // Limits of other customers.
  std::vector<NamedLimits> otherCustomers_;
  Duration delayWithinRegion_ = std::chrono::microseconds(500);
  Duration delayBetweenRegions_ = std::chrono::milliseconds(55);
  Duration storeDelay_ = std::chrono::milliseconds(3);
  Duration tick_ = std::chrono::milliseconds(100);
  // Probabilities that a message is lost, duplicated or delayed. Losses and
  // delays also apply to store calls.
  double lossProbability_ = 0;
  double duplicationProbability_ = 0;
  double delayProbability_ = 0;
  // Maximum relative deviation of a host's clock speed.
  double maxClockDrift_ = 0;
  // Whether store leases expire during a store outage. If false, all leases are
  // renewed when the outage ends.
  bool leasesExpireInOutage_ = false;
  SharedBudgetOptions budget_;
  SlotLeaseOptions lease_;
};

// In-memory store with revisions and leases that executes SlotActions.
class FakeSlotStore
{
public:
  explicit FakeSlotStore(Duration aLeaseTime);
  SlotStoreResult Apply(const SlotAction& aAction, Duration aNow);
  void ExtendLeases(Duration aNow);

private:
  struct Value
  {
    std::string text_;
    std::int64_t revision_ = 0;
    std::int64_t lease_ = 0;
  };
  void Expire(Duration aNow);
  std::int64_t RevisionOf(const std::string& aKey) const;
  void Put(const std::string& aKey, std::string aText, std::int64_t aLease);

  Duration leaseTime_;
  std::map<std::string, Value> values_;
  std::map<std::int64_t, Duration> leases_;
  std::int64_t revision_ = 0;
  std::int64_t lastLease_ = 0;
};

struct Process
{
  SlotHolder self_;
  std::string region_;
  std::unique_ptr<SlotLease> lease_;
  std::unique_ptr<BudgetTable> budgets_;
  // The latest published validity.
  SlotValidity validity_;
  bool killed_ = false;
  bool paused_ = false;
  bool isolatedFromStore_ = false;
  bool isolatedFromPeers_ = false;
  // Messages and results that arrived during a pause.
  std::vector<std::function<void()>> deferred_;
  double clockSpeed_ = 1;
  Duration clockOffset_{};
  Duration peersSeenAt_{};
  // Number of versions that this process has applied.
  std::size_t appliedVersions_ = 0;
};

class ClusterSimulation
{
public:
  // A configuration version.
  struct VersionInForce
  {
    Duration committed_{};
    BudgetLimits limits_;
  };

  explicit ClusterSimulation(const ClusterOptions& aOptions);

  // Starts a process on each host with the first configuration version.
  void Start();
  void RunUntil(Duration aTime);
  void At(Duration aTime, std::function<void()> aAction);
  Duration Now() const { return now_; }
  std::mt19937& Random() { return random_; }
  double RandomBetween(double aLow, double aHigh);

  std::size_t Hosts() const { return hosts_.size(); }
  // Returns the current process of the host, or null if it was killed.
  Process* ProcessOn(std::size_t aHost);
  bool Take(std::size_t aHost, double aTokens, const std::string& aName = "c");
  // Like Take, for a request that has waited. Returns whether it was admitted.
  bool RetryTake(std::size_t aHost, double aTokens);
  std::optional<Duration> WaitBeforeRetry(std::size_t aHost,
                                          double aTokens,
                                          double aWaiting);
  double TakeUpTo(std::size_t aHost, double aTokens);

  void Kill(std::size_t aHost);
  // Starts a new process with the host's address.
  void Replace(std::size_t aHost);
  void Pause(std::size_t aHost);
  void Resume(std::size_t aHost);
  // Releases the host's slot, as in a planned shutdown.
  void Release(std::size_t aHost);
  void SetStoreDown(bool aDown);
  // Disconnects the region from the other regions, or reconnects it.
  void DisconnectRegion(const std::string& aRegion, bool aDisconnected);
  // Commits a version, which each host applies within aMaxDelay.
  void Commit(double aRate,
              double aBurst,
              SlotLayoutPtr aLayout,
              Duration aMaxDelay);

  // Checks that the capacities and refill rates of customer "c" on all hosts
  // sum to at most its burst and rate. This implies the bound on admissions,
  // and also detects an excess that the simulated demand does not use.
  void CheckSums();
  // Returns a description of the first violated invariant, or an empty string.
  const std::string& Violation() const { return violation_; }
  std::size_t Takeovers() const { return takeovers_; }
  std::size_t Continuations() const { return continuations_; }
  std::size_t Messages() const { return messages_; }
  double Admitted() const { return admitted_; }

private:
  struct Event
  {
    Duration time_;
    std::size_t sequence_;
    std::function<void()> action_;
    bool operator>(const Event& aOther) const
    {
      return time_ != aOther.time_ ? time_ > aOther.time_
                                   : sequence_ > aOther.sequence_;
    }
  };

  TimePoint Local(const Process& aProcess) const;
  void Tick(Process* aProcess);
  void RunLease(Process& aProcess);
  void Execute(Process* aProcess, const SlotAction& aAction);
  void QueryPeers(Process* aProcess, const SlotAction& aAction);
  void SendRequests(Process* aProcess);
  void Deliver(Process* aProcess, std::function<void()> aAction);
  // Calls aArrive on the destination host, possibly late, twice or never.
  void Send(Process* aFrom,
            const std::string& aAddress,
            const std::function<void(Process*)>& aArrive);
  bool IsDisconnected(const Process& aLeft, const Process& aRight) const;
  Duration Delay(Duration aBaseDelay);
  void UpdateHostList();
  void ApplyDueVersions(Process& aProcess);
  void ApplyVersion(Process& aProcess, std::size_t aNumber);
  void CheckHolders(const Process& aProcess);
  void RecordAdmitted(double aTokens);
  // Returns the maximum limits of all versions that may be in force now.
  BudgetLimits MaxLimits() const;

  ClusterOptions options_;
  std::mt19937 random_;
  Duration now_{};
  std::size_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  FakeSlotStore store_;
  bool storeDown_ = false;
  std::set<std::string> disconnectedRegions_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Process*> hosts_;
  std::vector<VersionInForce> versions_;
  std::map<std::size_t, Duration> applyBy_;
  // A central bucket with the limits of all hosts together. It admits requests
  // if and only if every window stays within rate * t + burst.
  TokenBucket centralBucket_;
  std::string violation_;
  std::size_t takeovers_ = 0;
  std::size_t continuations_ = 0;
  std::size_t messages_ = 0;
  double admitted_ = 0;
  std::uint64_t ids_ = 0;
};

}
