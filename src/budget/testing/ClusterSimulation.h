#pragma once

// A deterministic simulation of entry hosts with fakes of the store, the host
// list and the network, for the property tests and the measurements. Each host
// runs the real SlotLease and BudgetTable on a clock of its own.
//
//   ClusterSimulation cluster(options);
//   cluster.Start();
//   cluster.RunUntil(seconds(60));
//   cluster.Take(host, 1);   // a request at that host

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
  // Of the customer "c", whose admissions are checked.
  double rate_ = 50;
  double burst_ = 100;
  // Further customers.
  std::vector<NamedLimits> otherCustomers_;
  Duration delayWithinRegion_ = std::chrono::microseconds(500);
  Duration delayBetweenRegions_ = std::chrono::milliseconds(55);
  Duration storeDelay_ = std::chrono::milliseconds(3);
  Duration tick_ = std::chrono::milliseconds(100);
  // Of messages between hosts and of store calls.
  double lossProbability_ = 0;
  double duplicationProbability_ = 0;
  double delayProbability_ = 0;
  // Largest relative deviation of a host's clock speed.
  double maxClockDrift_ = 0;
  // Whether store leases run on during a store outage, or all start anew.
  bool leasesExpireInOutage_ = false;
  SharedBudgetOptions budget_;
  SlotLeaseOptions lease_;
};

// Keys with revisions and leases, and the transactions of SlotAction.
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
  // What the lease published last.
  SlotValidity validity_;
  bool killed_ = false;
  bool paused_ = false;
  bool isolatedFromStore_ = false;
  bool isolatedFromPeers_ = false;
  // What arrived during a pause.
  std::vector<std::function<void()>> deferred_;
  double clockSpeed_ = 1;
  Duration clockOffset_{};
  Duration peersSeenAt_{};
  // The number of versions that this process has adopted.
  std::size_t appliedVersions_ = 0;
};

class ClusterSimulation
{
public:
  // One configuration version.
  struct VersionInForce
  {
    Duration committed_{};
    BudgetLimits limits_;
  };

  explicit ClusterSimulation(const ClusterOptions& aOptions);

  // Starts one process on each host; the first version is in force.
  void Start();
  void RunUntil(Duration aTime);
  void At(Duration aTime, std::function<void()> aAction);
  Duration Now() const { return now_; }
  std::mt19937& Random() { return random_; }
  double RandomBetween(double aLow, double aHigh);

  std::size_t Hosts() const { return hosts_.size(); }
  // The process that now answers on the host; null when it was killed.
  Process* ProcessOn(std::size_t aHost);
  bool Take(std::size_t aHost, double aTokens, const std::string& aName = "c");
  // Take for a request that waited; false when it should not wait longer.
  bool RetryTake(std::size_t aHost, double aTokens);
  std::optional<Duration> WaitBeforeRetry(std::size_t aHost,
                                          double aTokens,
                                          double aWaiting);
  double TakeUpTo(std::size_t aHost, double aTokens);

  void Kill(std::size_t aHost);
  // Starts a new process at the host's address.
  void Replace(std::size_t aHost);
  void Pause(std::size_t aHost);
  void Resume(std::size_t aHost);
  // Gives the host's slot up as a planned stop does.
  void Release(std::size_t aHost);
  void SetStoreDown(bool aDown);
  // Cuts the links between this region and the others.
  void DisconnectRegion(const std::string& aRegion, bool aDisconnected);
  // Commits a version; each host adopts it within aMaxDelay.
  void Commit(double aRate,
              double aBurst,
              SlotLayoutPtr aLayout,
              Duration aMaxDelay);

  // Checks that the caps and the refill rates of "c" on all hosts add up to no
  // more than its burst and rate. That implies the bound on admissions, and
  // fails also where the demand happens not to use what is too much.
  void CheckSums();
  // The first violated assertion, or empty.
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
  // Calls aArrive at the other host, perhaps late, twice or never.
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
  // The largest limits of the versions that may be in force now.
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
  // A single bucket with the limits of all hosts together. It admits exactly
  // what keeps every window at or below rate * t + burst.
  TokenBucket centralBucket_;
  std::string violation_;
  std::size_t takeovers_ = 0;
  std::size_t continuations_ = 0;
  std::size_t messages_ = 0;
  double admitted_ = 0;
  std::uint64_t ids_ = 0;
};

}
