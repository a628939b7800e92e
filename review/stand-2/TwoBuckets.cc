// A customer far over its limit while the host that owns its allowance is
// stopped in a planned way. The host that owned it before owns it again.

#include "EntryHost.h"

#include "base/Hash.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace peridotsail;
using namespace peridotsail::review;
using nlohmann::json;

namespace {

constexpr char kCustomer[] = "school";
constexpr char kKey[] = "key-1";
constexpr double kRate = 100;
constexpr double kBurst = 500;
// The site's bounds.
constexpr double kWindowS = 5;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
constexpr int kInstances = 12;
constexpr int kCallersPerHost = 12;

double
Allowed()
{
  return (kRate * kWindowS + kBurst) * (1 + kOverage) + kSlack;
}

// Counts what the instances run.
class Runs
{
public:
  void Add(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({ BootClock::now(), aId });
  }

  // Returns the most runs within a window of requests that were sent in it,
  // too.
  std::size_t MostInWindow(const std::map<std::string, TimePoint>& aSent)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Duration window = FromSeconds(kWindowS);
    std::size_t most = 0;
    for (std::size_t first = 0; first < runs_.size(); ++first) {
      const auto start = aSent.find(runs_[first].id_);
      if (start == aSent.end()) {
        continue;
      }
      std::size_t count = 0;
      for (const Ran& ran : runs_) {
        const auto sent = aSent.find(ran.id_);
        const bool inWindow = sent != aSent.end() &&
                              sent->second >= start->second &&
                              ran.at_ < start->second + window;
        count += inWindow ? 1 : 0;
      }
      most = std::max(most, count);
    }
    return most;
  }

  // Returns the number of runs in each quarter of a second after aStart.
  std::string Histogram(TimePoint aStart)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    constexpr std::int64_t kStepMs = 250;
    std::map<std::int64_t, int> counts;
    for (const Ran& ran : runs_) {
      ++counts[ToMilliseconds(ran.at_ - aStart) / kStepMs];
    }
    std::string text;
    for (const auto& [step, count] : counts) {
      text += " " + std::to_string(count);
    }
    return text;
  }

private:
  struct Ran
  {
    TimePoint at_;
    std::string id_;
  };
  std::mutex mutex_;
  std::vector<Ran> runs_;
};

// Callers of the customer that send one request after the other.
class Crowd
{
public:
  void Start(const EntryHost& aHost)
  {
    for (int i = 0; i < kCallersPerHost; ++i) {
      threads_.emplace_back([this, &aHost, i] { Run(aHost, i); });
    }
  }

  std::map<std::string, TimePoint> Stop()
  {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    return sent_;
  }

  int Count(int aStatus)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return statuses_[aStatus];
  }

private:
  void Run(const EntryHost& aHost, int aNumber)
  {
    for (int i = 0; !stopped_; ++i) {
      const std::string id =
        aHost.Name() + "-" + std::to_string(aNumber) + "-" + std::to_string(i);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent_[id] = BootClock::now();
      }
      const int status = aHost.Call(kKey, id);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++statuses_[status];
      }
      if (status != 200) {
        Sleep(std::chrono::milliseconds(20));
      }
    }
  }

  std::mutex mutex_;
  std::map<std::string, TimePoint> sent_;
  std::map<int, int> statuses_;
  std::atomic<bool> stopped_{ false };
  std::vector<std::thread> threads_;
};

// Returns the names, the one that owns the customer's allowance last.
std::vector<std::string>
OwnerLast(std::vector<std::string> aNames)
{
  const auto score = [](const std::string& aName) {
    return MixHash(StableHash(kCustomer, 0) ^ StableHash(aName));
  };
  std::sort(aNames.begin(),
            aNames.end(),
            [&](const std::string& aLeft, const std::string& aRight) {
              return score(aLeft) < score(aRight);
            });
  return aNames;
}

// The customer's usual requests, far within its limit: two a second.
void
UseLittle(const EntryHost& aHost, int aSeconds)
{
  static int number = 0;
  for (int i = 0; i < 2 * aSeconds; ++i) {
    aHost.Call(kKey, "usual-" + std::to_string(++number));
    Sleep(std::chrono::milliseconds(500));
  }
}

Verdict
Run(Record& aRecord)
{
  const std::string folder = MakeFolder();
  const json bounds{ { "configMs", 2500 },
                     { "drainMs", 2500 },
                     { "evacuateMs", 5000 },
                     { "revokeMs", 5000 },
                     { "graceS", 6 },
                     { "quotaWindowS", kWindowS },
                     { "quotaOverage", kOverage },
                     { "quotaSlack", kSlack } };
  Runs runs;
  PlatformFixture fixture;
  fixture.Configure("00000001");
  ChangeConfiguration(fixture, [](json& aDocument) {
    aDocument["version"] = "00000002";
    aDocument["tenants"][0]["ratePerS"] = kRate;
    aDocument["tenants"][0]["burst"] = kBurst;
  });
  for (int i = 1; i <= kInstances; ++i) {
    fixture.AddInstance(
      "i-" + std::to_string(i),
      [&runs](const ReceivedRequest& aRequest) -> ScriptedResponse {
        runs.Add(HeaderOf(aRequest.head_, "Request-Id"));
        return { SignedResponse(aRequest, "ok") };
      });
  }
  // Only its settings are used: they have the address of the store.
  fixture.StartHost(1);
  const HostTemplate model = TemplateOf(fixture.Host(1));
  fixture.Host(1).Signal(SIGKILL);
  Sleep(std::chrono::seconds(6));

  const auto names = OwnerLast({ "front-1", "front-2" });
  constexpr int kFirstNumber = 11;
  const EntryHost first(
    model, bounds, folder, { names[0], "dublin-a", kFirstNumber });
  bool ready = WaitUntil([&] { return first.IsReady(); });
  UseLittle(first, 8);
  const EntryHost owner(
    model, bounds, folder, { names[1], "dublin-a", kFirstNumber + 1 });
  ready = ready && WaitUntil([&] { return owner.IsReady(); });
  UseLittle(first, 10);
  if (!ready) {
    aRecord.Write("the hosts did not become ready");
    return Verdict::NotRun;
  }
  aRecord.Write(names[0] + " started first and owned the allowance; " +
                names[1] + " was added 8 s later and owns it since");
  const TimePoint startedAt = BootClock::now();
  Crowd crowd;
  crowd.Start(first);
  crowd.Start(owner);
  aRecord.Write("the customer begins to send far more than its limit");
  Sleep(std::chrono::milliseconds(1500));
  if (HasTrouble()) {
    owner.Signal(SIGTERM);
    aRecord.Write(names[1] + " gets SIGTERM");
  }
  Sleep(std::chrono::milliseconds(5000));
  const auto sent = crowd.Stop();
  aRecord.Write("sent " + std::to_string(sent.size()) +
                "; answered 200: " + std::to_string(crowd.Count(200)) +
                ", 429: " + std::to_string(crowd.Count(429)) +
                ", 503: " + std::to_string(crowd.Count(503)));
  aRecord.Write("runs in each quarter of a second:" +
                runs.Histogram(startedAt));
  const std::size_t most = runs.MostInWindow(sent);
  aRecord.Write("most runs in " + std::to_string(kWindowS) +
                " s: " + std::to_string(most) + "; allowed " +
                std::to_string(Allowed()));
  return static_cast<double>(most) > Allowed() ? Verdict::Broken
                                               : Verdict::Held;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
