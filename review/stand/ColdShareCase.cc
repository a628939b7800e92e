// A machine that may use a cold server is cut off from the store. Just then
// another machine is added to its region. Both use a share of what the server
// bears in a second: the first one all of it, since it does not hear of the
// other, which waits for less time than a view may be old.

#include "Machines.h"
#include "Server.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace peridotsail::review {

namespace {

constexpr double kColdPerSecond = 5.2;
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;
constexpr long kWindowMs = 1000;
constexpr int kCallersPerHost = 12;
constexpr Milliseconds kWork{ 20 };
constexpr Milliseconds kPause{ 10 };
constexpr Milliseconds kCold{ 3000 };
// After the start, until all hosts have been calm for stableWindowMs.
constexpr Milliseconds kCalm{ 6000 };
// Counted from the start of the cold server.
constexpr Milliseconds kCutAt{ 450 };
constexpr Milliseconds kAddAt{ 550 };
constexpr Milliseconds kFirstCallsAt{ 1900 };
constexpr Milliseconds kLaterCallsAt{ 2500 };
constexpr Milliseconds kEndAt{ 4000 };

const std::vector<Place> kPlaces{
  { "front-dublin-a-1", "dublin-a", "eu-west" },
  { "front-santiago-a-1", "santiago-a", "sa-south" },
  { "front-osaka-a-1", "osaka-a", "ap-east" },
  // Added later.
  { "front-osaka-b-1", "osaka-b", "ap-east" },
};
constexpr std::size_t kCutHost = 2;
constexpr std::size_t kAddedHost = 3;

// A request that the cold server has run.
struct Arrival
{
  long sentAt_;
  long arrivedAt_;
};

class ColdShare
{
public:
  ColdShare(const CaseArguments& aArguments, Record& aRecord)
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
    std::this_thread::sleep_for(kCalm);
    start_ = Clock::now();
    coldFrom_ = record_.Now();
    StartServer("i-cold", "osaka-a", kCold);
    WaitUntil(kCutAt);
    if (arguments_.trouble_) {
      machines_.Cut(kCutHost, true);
    }
    WaitUntil(kAddAt);
    const Host* added = machines_.Start(kAddedHost, false);
    if (added == nullptr) {
      return Finish(
        record_, Result::CouldNotRun, "the added host is not ready");
    }
    WaitUntil(kFirstCallsAt);
    AddCallers(*cutHost_);
    WaitUntil(kLaterCallsAt);
    AddCallers(*added);
    WaitUntil(kEndAt);
    machines_.Cut(kCutHost, false);
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
    for (std::size_t i = 0; i < 2; ++i) {
      StartServer(std::string("i-") + kPlaces[i].zone_,
                  kPlaces[i].zone_,
                  Milliseconds(0));
    }
    const nlohmann::json routes{ MakeRoute(
      { "inbox", "safe", "postbox", 1200 }) };
    store_.Put("op/config", MakeConfiguration(routes, { Tenant() }).dump());
    const bool others = machines_.Start(0, true) && machines_.Start(1, true);
    cutHost_ = machines_.Start(kCutHost, true);
    return others && cutHost_ != nullptr;
  }

  void StartServer(const std::string& aId,
                   const std::string& aZone,
                   Milliseconds aCold)
  {
    ServerOptions options;
    options.id_ = aId;
    options.service_ = "postbox";
    options.zone_ = aZone;
    options.work_ = kWork;
    options.cold_ = aCold;
    servers_.push_back(std::make_unique<Server>(options, store_, record_));
    servers_.back()->Start();
  }

  void WaitUntil(Milliseconds aAfterStart) const
  {
    std::this_thread::sleep_until(start_ + aAfterStart);
  }

  void AddCallers(const Host& aHost)
  {
    for (int i = 0; i < kCallersPerHost; ++i) {
      callers_.emplace_back([this, &aHost, i] { Call(aHost, i); });
    }
  }

  void Call(const Host& aHost, int aNumber)
  {
    Caller caller(aHost, record_);
    for (int i = 0; !stopped_; ++i) {
      CallOptions call;
      call.path_ = "/inbox/" + std::to_string(aNumber);
      call.id_ = aHost.Options().name_ + "-" + std::to_string(aNumber) + "-" +
                 std::to_string(i);
      const long sentAt = record_.Now();
      caller.Call(call);
      if (const auto at = servers_.back()->RanAt(call.id_)) {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back({ sentAt, *at });
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  int Judge()
  {
    const double bound = kColdPerSecond * kOverage + kSlack;
    const long coldUntil = coldFrom_ + kCold.count();
    long most = 0;
    for (const Arrival& first : arrivals_) {
      const long end = std::min(first.sentAt_ + kWindowMs, coldUntil);
      const auto count = std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& aOther) {
          return aOther.sentAt_ >= first.sentAt_ && aOther.arrivedAt_ < end;
        });
      most = std::max<long>(most, count);
    }
    return Finish(
      record_,
      static_cast<double>(most) > bound ? Result::Broken : Result::Held,
      "the cold server got " + std::to_string(most) +
        " requests in one second, " + std::to_string(bound) + " are allowed");
  }

  const CaseArguments& arguments_;
  Record& record_;
  Store store_;
  Machines machines_;
  // The cold one is the last.
  std::vector<std::unique_ptr<Server>> servers_;
  const Host* cutHost_ = nullptr;
  Clock::time_point start_;
  long coldFrom_ = 0;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  // The servers and the store go on until the process ends.
  static ColdShare test(aArguments, aRecord);
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
