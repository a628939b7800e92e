#pragma once

// A seeded simulation, with a virtual clock, of hosts, the store, the lease of
// one slot, callers that repeat their requests and a backend server that counts
// executions. Exercises ClaimRegistry under random faults.

#include "once/ClaimRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotsail::testing {

struct ClaimSimulationOptions
{
  std::uint64_t seed_ = 1;
  int hosts_ = 3;
  int keys_ = 6;
  // Transmissions per key, spread over the simulated time.
  int transmissions_ = 5;
  Duration duration_ = std::chrono::seconds(90);
  // Always makes claims in memory only, with new holders that are never in
  // doubt. This is the alternative that the design rejects.
  bool memoryOnly_ = false;
};

struct ClaimSimulationResult
{
  int keysRun_ = 0;
  int keysRunTwice_ = 0;
  // Answers that reported not-run although the backend server had executed the
  // request.
  int falseNotRun_ = 0;
  // Replays of an outcome that the backend server did not produce.
  int falseOutcome_ = 0;
  int replays_ = 0;
  int unknown_ = 0;
  int notRun_ = 0;
  int takeovers_ = 0;
  int memoryRuns_ = 0;
  int lostAnswers_ = 0;
  int fenced_ = 0;
};

class ClaimSimulation
{
public:
  explicit ClaimSimulation(const ClaimSimulationOptions& aOptions);
  ClaimSimulationResult Run();

private:
  using Task = std::function<void()>;
  struct Host
  {
    // Incremented when the host is killed and restarted.
    int incarnation_ = 0;
    TimePoint pausedUntil_{};
    // Identifies the latest scheduled wake-up; earlier ones are ignored.
    int wakeUpId_ = 0;
    std::shared_ptr<ClaimRegistry> registry_;
    std::map<std::uint64_t, std::string> keyOfTicket_;
  };
  struct Lease
  {
    int host_ = -1;
    int incarnation_ = 0;
    std::uint64_t epoch_ = 0;
    TimePoint validUntil_{};
    bool continuing_ = false;
    bool mayHaveContinued_ = false;
  };

  Duration RandomDuration(double aFrom, double aTo);
  bool RandomBool(double aProbability);
  int RandomIndex(int aCount);
  void Schedule(TimePoint aTime, Task aTask);
  // Runs aTask on the host after aDelay. The task is dropped when the host is
  // killed, and postponed while it is paused.
  void ScheduleOnHost(int aHost, Duration aDelay, Task aTask);
  void Tick();
  void InjectFaults();
  void RenewLease();
  void TakeOver();
  SlotLeaseTerm LeaseTermOf(const Lease& aLease) const;
  void Load(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry);
  void SendRequest(const std::string& aKey);
  void Pump(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry);
  void SendToStore(int aHost,
                   const std::shared_ptr<ClaimRegistry>& aRegistry,
                   const StoreOperation& aOperation);
  StoreAnswer ApplyToStore(std::uint64_t aEpoch,
                           const StoreOperation& aOperation);
  void HandleDecision(int aHost,
                      const std::shared_ptr<ClaimRegistry>& aRegistry,
                      const std::string& aKey,
                      const ClaimDecision& aDecision);
  void Execute(int aHost,
               const std::shared_ptr<ClaimRegistry>& aRegistry,
               const std::string& aKey,
               std::uint64_t aTicket);
  void CheckReportedState(const std::string& aKey, ExecutionState aState);

  ClaimSimulationOptions options_;
  ClaimSimulationResult result_;
  std::mt19937_64 random_;
  TimePoint now_{ std::chrono::hours(1) };
  TimePoint end_;
  std::multimap<TimePoint, Task> tasks_;
  std::vector<Host> hosts_;
  Lease lease_;
  bool storeDown_ = false;
  int latencyFactor_ = 1;
  double lossProbability_ = 0;
  std::map<std::string, ClaimRecord> store_;
  std::map<std::string, int> runs_;
  std::uint64_t lastTicket_ = 0;
};

}
