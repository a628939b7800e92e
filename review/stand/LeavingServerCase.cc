// A server leaves without reporting it before: its entry is removed. Just
// before, the machine freezes from which another machine of the region learns
// of changes in the store. That machine asks the store itself then, and takes
// the time without news for an outage of the store: it goes on using the server
// for two more seconds.

#include "Machines.h"
#include "Server.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace peridotsail::review {

namespace {

constexpr long kDrainMs = 2500;
constexpr int kRounds = 4;
constexpr int kServers = 8;
constexpr int kCallers = 8;
constexpr Milliseconds kWork{ 20 };
constexpr Milliseconds kPause{ 20 };
// After the start, until all hosts have been calm for stableWindowMs.
constexpr Milliseconds kCalm{ 6000 };
constexpr Milliseconds kLeaveAfterFreeze{ 50 };
constexpr Milliseconds kFreeze{ 3500 };
// After each freeze, until the machines are calm again.
constexpr Milliseconds kPauseAfterFreeze{ 5000 };

const std::vector<Place> kPlaces{
  { "front-dublin-a-1", "dublin-a", "eu-west" },
  { "front-dublin-b-1", "dublin-b", "eu-west" },
};
// The machine that reads the store for the region, and the one that learns of
// changes from it.
constexpr std::size_t kReader = 0;
constexpr std::size_t kFollower = 1;

// A request that a server has run.
struct Arrival
{
  std::string id_;
  long sentAt_;
};

class LeavingServer
{
public:
  LeavingServer(const CaseArguments& aArguments, Record& aRecord)
    : arguments_(aArguments)
    , record_(aRecord)
    , store_("127.0.0.1")
    , machines_(aArguments, aRecord, store_, kPlaces)
  {
  }

  int Execute()
  {
    if (!StartAll()) {
      return Finish(record_, Result::CouldNotRun, "a process did not start");
    }
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, i] { Call(i); });
    }
    std::this_thread::sleep_for(kCalm);
    for (std::size_t round = 0; round < kRounds; ++round) {
      if (arguments_.trouble_) {
        hosts_[kReader]->Signal(SIGSTOP, "the machine freezes");
      }
      std::this_thread::sleep_for(kLeaveAfterFreeze);
      leftAt_.push_back(record_.Now());
      servers_[round]->Leave();
      std::this_thread::sleep_for(kFreeze);
      if (arguments_.trouble_) {
        hosts_[kReader]->Signal(SIGCONT, "the machine wakes");
      }
      std::this_thread::sleep_for(kPauseAfterFreeze);
    }
    Stop();
    return Judge();
  }

  void Stop()
  {
    stopped_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
    machines_.Stop();
  }

private:
  bool StartAll()
  {
    for (int i = 0; i < kServers; ++i) {
      ServerOptions options;
      options.id_ = "i-" + std::to_string(i);
      options.service_ = "postbox";
      options.zone_ = kPlaces[static_cast<std::size_t>(i) % 2].zone_;
      options.work_ = kWork;
      servers_.push_back(std::make_unique<Server>(options, store_, record_));
      if (!servers_.back()->Start()) {
        return false;
      }
    }
    const nlohmann::json routes{ MakeRoute(
      { "inbox", "safe", "postbox", 1200 }) };
    Tenant tenant;
    // No limit.
    tenant.ratePerSecond_ = 0;
    tenant.burst_ = 0;
    store_.Put("op/config", MakeConfiguration(routes, { tenant }).dump());
    for (std::size_t i = 0; i < kPlaces.size(); ++i) {
      hosts_.push_back(machines_.Start(i, true));
    }
    return std::all_of(hosts_.begin(), hosts_.end(), [](const Host* aHost) {
      return aHost != nullptr;
    });
  }

  // Calls the machine that stays undisturbed.
  void Call(int aNumber)
  {
    Caller caller(*hosts_[kFollower], record_);
    for (int i = 0; !stopped_; ++i) {
      CallOptions call;
      call.path_ = "/inbox/" + std::to_string(aNumber);
      call.id_ = "read-" + std::to_string(aNumber) + "-" + std::to_string(i);
      const long sentAt = record_.Now();
      caller.Call(call);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back({ call.id_, sentAt });
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  // The requests that reached the server later than drainMs after its entry was
  // removed, and the latest of them.
  int LateRequests(std::size_t aServer, long& aLatest) const
  {
    int late = 0;
    for (const Arrival& arrival : arrivals_) {
      const auto at = servers_[aServer]->RanAt(arrival.id_);
      if (at && *at > leftAt_[aServer] + kDrainMs) {
        ++late;
        aLatest = std::max(aLatest, *at - leftAt_[aServer]);
      }
    }
    return late;
  }

  int Judge()
  {
    int late = 0;
    for (std::size_t i = 0; i < leftAt_.size(); ++i) {
      long latest = 0;
      const int requests = LateRequests(i, latest);
      late += requests;
      record_.Add(std::to_string(requests) + " requests reached server " +
                  servers_[i]->Options().id_ + " too late, the last one " +
                  std::to_string(latest) + " ms after its entry was removed");
    }
    return Finish(record_,
                  late > 0 ? Result::Broken : Result::Held,
                  std::to_string(late) +
                    " requests reached servers that had left for more than " +
                    std::to_string(kDrainMs) + " ms, none may");
  }

  const CaseArguments& arguments_;
  Record& record_;
  Store store_;
  Machines machines_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Host*> hosts_;
  std::vector<long> leftAt_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  // The servers and the store go on until the process ends.
  static LeavingServer test(aArguments, aRecord);
  const int code = test.Execute();
  test.Stop();
  return code;
}

}

}

int
main(int aCount, char** aValues)
{
  peridotsail::review::RunCase(aCount, aValues, peridotsail::review::Run);
}
