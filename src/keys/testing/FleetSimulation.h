#pragma once

// Simulates seven hosts in three regions with a fake store and network and a
// virtual clock. All faults and delays come from one seeded generator.
//
//   FleetSimulation fleet(seed);
//   fleet.Run(60s, [&] { CheckProperties(fleet); });

#include "base/BootClock.h"
#include "config/ConfigurationChange.h"
#include "keys/ConfigurationNode.h"
#include "keys/KeyTable.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotsail::testing {

using namespace std::chrono_literals;

constexpr std::size_t kHosts = 7;

struct FakeStore
{
  StoredConfiguration current_;
  std::optional<std::string> previous_;
  std::map<std::int64_t, std::string> history_;
  std::int64_t version_ = 0;
  bool down_ = false;
  bool slow_ = false;
  // Reads and watches sometimes return the value before the current one.
  bool servesStale_ = false;
  TimePoint upSince_{};
};

struct FakeHost
{
  std::string name_;
  std::unique_ptr<ConfigurationNode> node_;
  KeyTable table_;
  int incarnation_ = 0;
  bool paused_ = false;
  // If not 0, the host reaches neither the store nor hosts with another number.
  int partition_ = 0;
  bool storeUnreachable_ = false;
  bool watching_ = false;
  bool watchSilent_ = false;
  // Messages that arrived while the host was paused.
  std::vector<std::function<void()>> buffer_;
  // Since when the host has been neither paused nor partitioned.
  TimePoint connectedSince_{};
  // The version in force after each step of the simulation.
  std::map<TimePoint, std::int64_t> versions_;
};

class FleetSimulation
{
public:
  explicit FleetSimulation(unsigned aSeed);

  // Calls aStep after every 100 ms of simulated time.
  void Run(Duration aTime, const std::function<void()>& aStep);

  TimePoint Now() const { return now_; }
  std::mt19937& Random() { return random_; }
  FakeStore& Store() { return store_; }
  FakeHost& Host(std::size_t aIndex) { return hosts_[aIndex]; }
  bool IsConnected(const FakeHost& aHost) const;
  // Whether the host accepts a request with the key k<aKey>.
  bool Accepts(const FakeHost& aHost, int aKey) const;
  bool IsFresh(const FakeHost& aHost) const;

  void Pause(std::size_t aHost);
  // Delivers the messages that arrived during the pause.
  void Resume(std::size_t aHost);
  void Restart(std::size_t aHost);
  void SetPartition(std::size_t aHost, int aPartition);
  void SetStoreDown(bool aOut);
  void SilenceWatches();
  // Injects a random fault that ends after a random time.
  void InjectRandomFault();

  // Commits a document through a host; one of eight store answers is lost.
  // Calls aDone with the outcome unless the host restarts.
  using ChangeDone = std::function<void(const ChangeOutcome&)>;
  void Commit(std::size_t aHost, ChangeRequest aRequest, ChangeDone aDone);
  std::string StoredDocument() const;

  std::size_t sentDeltas_ = 0;
  std::size_t sentFullDocuments_ = 0;

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t number_;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return std::make_pair(at_, number_) >
             std::make_pair(aOther.at_, aOther.number_);
    }
  };
  struct RunningChange;

  void Schedule(Duration aDelay, std::function<void()> aRun);
  // Runs aRun on the host after the delay. It is buffered while the host is
  // paused and dropped if the host is restarted.
  void Deliver(Duration aDelay, std::size_t aHost, std::function<void()> aRun);
  Duration RandomDuration(Duration aLow, Duration aHigh);
  bool OneIn(unsigned aCount) { return random_() % aCount == 0; }
  Duration StoreDelay();
  bool ReachesStore(std::size_t aHost) const;
  void Publish(std::size_t aHost);
  void ExecuteActions(std::size_t aHost);
  void ExecuteTrackerAction(std::size_t aHost, const TrackerAction& aAction);
  void Send(std::size_t aFrom,
            const std::string& aTo,
            std::function<void(ConfigurationNode&)> aReceive);
  void ReadStore(std::size_t aHost, std::uint64_t aReadId);
  void CommitWithdrawals(std::size_t aHost,
                         const std::vector<WithdrawnKey>& aKeys);
  bool ApplyWrite(const ConfigurationWrite& aWrite);
  void StepChange(const std::shared_ptr<RunningChange>& aChange);
  void UpdateConnectedSince(FakeHost& aHost, bool aWasConnected);

  std::mt19937 random_;
  TimePoint now_{ 1000s };
  std::uint64_t lastEvent_ = 0;
  std::priority_queue<Event> events_;
  FakeStore store_;
  std::vector<FakeHost> hosts_;
};

}
