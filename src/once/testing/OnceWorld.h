#pragma once

// A seeded simulation of hosts, the store, the lease of one slot, callers that
// repeat their requests and a backend server that counts runs. Drives
// ClaimRegistry through random faults with a virtual clock.

#include "once/ClaimRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotsail::testing {

struct OnceWorldOptions
{
  std::uint64_t seed_ = 1;
  int hosts_ = 3;
  int keys_ = 6;
  // Transmissions of each key, spread over the simulated time.
  int transmissions_ = 5;
  Duration length_ = std::chrono::seconds(90);
  // Claims are made in memory always and a successor has no doubt: the
  // alternative that the design rejects.
  bool memoryOnly_ = false;
};

struct OnceWorldResult
{
  int keysRun_ = 0;
  int keysRunTwice_ = 0;
  // Refusals that stated not-run although the backend server got the request.
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

class OnceWorld
{
public:
  explicit OnceWorld(const OnceWorldOptions& aOptions);
  OnceWorldResult Run();

private:
  using Task = std::function<void()>;
  struct Host
  {
    // Increases when the host is killed and replaced.
    int incarnation_ = 0;
    TimePoint pausedUntil_{};
    // The last scheduled wake-up; earlier ones are void.
    int wake_ = 0;
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

  Duration Between(double aFrom, double aTo);
  bool Chance(double aProbability);
  int Pick(int aCount);
  void At(TimePoint aTime, Task aTask);
  // Runs on the host unless it was killed meanwhile; waits while it is paused.
  void OnHost(int aHost, Duration aDelay, Task aTask);
  void Tick();
  void Faults();
  void RenewLease();
  void TakeOver();
  SlotLeaseTerm TenureOf(const Lease& aLease) const;
  void Load(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry);
  void Transmit(const std::string& aKey);
  void Pump(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry);
  void Send(int aHost,
            const std::shared_ptr<ClaimRegistry>& aRegistry,
            const StoreOperation& aOperation);
  StoreAnswer Apply(std::uint64_t aEpoch, const StoreOperation& aOperation);
  void Handle(int aHost,
              const std::shared_ptr<ClaimRegistry>& aRegistry,
              const std::string& aKey,
              const ClaimDecision& aDecision);
  void Execute(int aHost,
               const std::shared_ptr<ClaimRegistry>& aRegistry,
               const std::string& aKey,
               std::uint64_t aTicket);
  void State(const std::string& aKey, ExecutionState aState);

  OnceWorldOptions options_;
  OnceWorldResult result_;
  std::mt19937_64 random_;
  TimePoint now_{ std::chrono::hours(1) };
  TimePoint end_;
  std::multimap<TimePoint, Task> tasks_;
  std::vector<Host> hosts_;
  Lease lease_;
  bool storeOut_ = false;
  int slowness_ = 1;
  double loss_ = 0;
  std::map<std::string, ClaimRecord> store_;
  std::map<std::string, int> runs_;
  std::uint64_t lastTicket_ = 0;
};

}
