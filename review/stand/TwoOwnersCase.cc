// A machine that owns a share of a tenant's allowance is cut off from the
// store. Just then another machine is added to its region and becomes the
// owner. The first one does not hear of it and goes on granting, so that both
// grant tokens of the same share.

#include "Machines.h"
#include "Server.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace peridotsail::review {

namespace {

constexpr double kRatePerSecond = 141;
constexpr double kBurst = 141;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
constexpr long kWindowMs = 5000;
// Several tenants, since the added machine becomes the owner of the region's
// share for about half of them.
constexpr int kTenants = 8;
// For each tenant.
constexpr int kCallersPerHost = 3;
constexpr int kServersPerRegion = 3;
constexpr Milliseconds kWork{ 10 };
constexpr Milliseconds kPause{ 10 };
// After the start, until all hosts have been calm for stableWindowMs.
constexpr Milliseconds kCalm{ 6000 };
// The tenant sends many times its usual for this long, from this long before
// the cut.
constexpr Milliseconds kPressBefore{ 1600 };
constexpr Milliseconds kAddAfterCut{ 100 };
constexpr Milliseconds kCutTime{ 5000 };
constexpr Milliseconds kPressAfter{ 400 };

const std::vector<Place> kPlaces{
  { "front-dublin-a-1", "dublin-a", "eu-west" },
  { "front-santiago-a-1", "santiago-a", "sa-south" },
  { "front-osaka-a-1", "osaka-a", "ap-east" },
  // Added later.
  { "front-osaka-b-1", "osaka-b", "ap-east" },
};
constexpr std::size_t kCutHost = 2;
constexpr std::size_t kAddedHost = 3;

// A request that a server has run.
struct Arrival
{
  int tenant_;
  long sentAt_;
  long arrivedAt_;
};

class TwoOwners
{
public:
  TwoOwners(const CaseArguments& aArguments, Record& aRecord)
    : arguments_(aArguments)
    , record_(aRecord)
    , store_("127.0.0.1")
    , machines_(aArguments, aRecord, store_, kPlaces)
  {
    for (int i = 0; i < kTenants; ++i) {
      const std::string number = std::to_string(i);
      tenants_.push_back(
        { "tenant-" + number, "key-" + number, kRatePerSecond, kBurst });
    }
  }

  void StopAll()
  {
    stopped_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
    machines_.Stop();
  }

  int Execute()
  {
    if (!StartAll()) {
      return Finish(record_, Result::CouldNotRun, "a process did not start");
    }
    std::this_thread::sleep_for(kCalm);
    for (std::size_t i = 0; i < kAddedHost; ++i) {
      AddCallers(*hosts_[i]);
    }
    std::this_thread::sleep_for(kPressBefore);
    if (arguments_.trouble_) {
      machines_.Cut(kCutHost, true);
    }
    std::this_thread::sleep_for(kAddAfterCut);
    if (!AddHost(kAddedHost)) {
      return Finish(
        record_, Result::CouldNotRun, "the added host is not ready");
    }
    AddCallers(*hosts_[kAddedHost]);
    std::this_thread::sleep_for(kCutTime - kAddAfterCut);
    machines_.Cut(kCutHost, false);
    std::this_thread::sleep_for(kPressAfter);
    StopAll();
    return Judge();
  }

private:
  bool StartAll()
  {
    for (std::size_t i = 0; i < kAddedHost; ++i) {
      for (int k = 0; k < kServersPerRegion; ++k) {
        ServerOptions options;
        options.id_ = std::string("i-") + kPlaces[i].zone_ + std::to_string(k);
        options.service_ = "postbox";
        options.zone_ = kPlaces[i].zone_;
        options.slots_ = 6;
        options.work_ = kWork;
        servers_.push_back(std::make_unique<Server>(options, store_, record_));
        if (!servers_.back()->Start()) {
          return false;
        }
      }
    }
    const nlohmann::json routes{ MakeRoute(
      { "inbox", "safe", "postbox", 1200 }) };
    store_.Put("op/config", MakeConfiguration(routes, tenants_).dump());
    return AddHost(0) && AddHost(1) && AddHost(kCutHost);
  }

  bool AddHost(std::size_t aPlace)
  {
    Host* host = machines_.Start(aPlace, aPlace != kAddedHost);
    hosts_.push_back(host);
    return host != nullptr;
  }

  void AddCallers(const Host& aHost)
  {
    for (int i = 0; i < kCallersPerHost * kTenants; ++i) {
      callers_.emplace_back([this, &aHost, i] { Press(aHost, i); });
    }
  }

  // Some callers do not wait as instructed.
  void Press(const Host& aHost, int aNumber)
  {
    Caller caller(aHost, record_);
    const int tenant = aNumber % kTenants;
    for (int i = 0; !stopped_; ++i) {
      CallOptions call;
      call.key_ = tenants_[tenant].key_;
      call.path_ = "/inbox/" + std::to_string(aNumber);
      call.id_ = aHost.Options().name_ + "-" + std::to_string(aNumber) + "-" +
                 std::to_string(i);
      const long sentAt = record_.Now();
      caller.Call(call);
      NoteRun(tenant, call.id_, sentAt);
      std::this_thread::sleep_for(kPause);
    }
  }

  void NoteRun(int aTenant, const std::string& aId, long aSentAt)
  {
    for (const auto& server : servers_) {
      if (const auto at = server->RanAt(aId)) {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back({ aTenant, aSentAt, *at });
      }
    }
  }

  // The most requests of the tenant that were sent and run in one window.
  long MostInWindow(int aTenant) const
  {
    long most = 0;
    for (const Arrival& first : arrivals_) {
      const long start = first.sentAt_;
      const auto count = std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& aOther) {
          return aOther.tenant_ == aTenant && aOther.sentAt_ >= start &&
                 aOther.arrivedAt_ < start + kWindowMs;
        });
      most = std::max<long>(most, count);
    }
    return most;
  }

  int Judge()
  {
    const double bound =
      (kRatePerSecond * kWindowMs / 1000 + kBurst) * (1 + kOverage) + kSlack;
    long most = 0;
    for (int tenant = 0; tenant < kTenants; ++tenant) {
      const long count = MostInWindow(tenant);
      record_.Add("at most " + std::to_string(count) + " requests of " +
                  tenants_[tenant].name_ + " ran in 5 s, " +
                  std::to_string(bound) + " are allowed");
      most = std::max(most, count);
    }
    const bool broken = static_cast<double>(most) > bound;
    return Finish(record_,
                  broken ? Result::Broken : Result::Held,
                  "a tenant had " + std::to_string(most) + " requests run");
  }

  const CaseArguments& arguments_;
  Record& record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  Machines machines_;
  std::vector<Host*> hosts_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_{ false };
  std::vector<Tenant> tenants_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  // The servers and the store go on until the process ends.
  static TwoOwners test(aArguments, aRecord);
  const int code = test.Execute();
  test.StopAll();
  return code;
}

}

}

int
main(int aCount, char** aValues)
{
  peridotsail::review::RunCase(aCount, aValues, peridotsail::review::Run);
}
