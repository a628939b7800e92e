// A short burst of requests whose Connection header lists thousands of names,
// within the limits of the configuration, while ordinary callers send theirs.

#include "ReviewCase.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace peridotsail;
using namespace peridotsail::review;

namespace {

// The limits of the site's configuration and its smallest machine.
constexpr int kMemoryMb = 260;
constexpr int kMaxFds = 4100;
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr int kRouteTimeoutMs = 1200;
// How long after the route's timeout the rule still allows an answer.
constexpr int kAllowedMs = 500;
constexpr int kCrowd = 40;
// As many requests as a connection may have in progress.
constexpr int kRequestsBehindOneAnother = 16;
constexpr int kOrdinaryCallers = 8;
constexpr int kInstances = 4;
constexpr auto kDeadline = std::chrono::milliseconds(3000);
constexpr auto kLength = std::chrono::seconds(15);

std::string
CrowdRequest()
{
  std::string head = "GET /safe/1 HTTP/1.1\r\nHost: post.example\r\n"
                     "Request-Id: crowd\r\nAuthorization: Token key-1\r\n"
                     "Deadline-Ms: 3000\r\n";
  if (HasTrouble()) {
    head += "Connection: x";
    while (head.size() < kMaxHeaderBytes / 2) {
      head += ",x";
    }
    head += "\r\n";
  }
  const std::string line =
    HasTrouble() ? "a:b\r\n" : "Note: " + std::string(1000, 'n') + "\r\n";
  while (head.size() + line.size() + 2 < kMaxHeaderBytes) {
    head += line;
  }
  return head + "\r\n";
}

struct Counts
{
  int sent_ = 0;
  // Without an answer at the route's timeout, and at the end of what the rule
  // allows.
  int late_ = 0;
  int silent_ = 0;
};

class OrdinaryCallers
{
public:
  OrdinaryCallers(const PlatformFixture& aFixture, Record& aRecord)
    : fixture_(aFixture)
    , record_(aRecord)
  {
    for (int i = 0; i < kOrdinaryCallers; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }

  Counts Stop()
  {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    return counts_;
  }

private:
  void Run(int aNumber)
  {
    for (int i = 0; !stopped_; ++i) {
      const std::string id =
        "ordinary-" + std::to_string(aNumber) + "-" + std::to_string(i);
      const TimePoint sentAt = BootClock::now();
      const Caller caller(fixture_.CallerAddress(1));
      caller.Send(Request("GET", "/safe/2", id));
      const std::string answer = caller.ReadAnswer(kDeadline);
      const std::int64_t elapsedMs = ToMilliseconds(BootClock::now() - sentAt);
      Count(id, StatusOf(answer), elapsedMs);
      Sleep(std::chrono::milliseconds(100));
    }
  }

  void Count(const std::string& aId, int aStatus, std::int64_t aElapsedMs)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.sent_;
    if (aElapsedMs <= kRouteTimeoutMs) {
      return;
    }
    ++counts_.late_;
    counts_.silent_ += aElapsedMs > kRouteTimeoutMs + kAllowedMs ? 1 : 0;
    record_.Write(aId +
                  (aStatus == 0 ? " gave up at its deadline, after "
                                : " got an answer after ") +
                  std::to_string(aElapsedMs) + " ms");
  }

  const PlatformFixture& fixture_;
  Record& record_;
  std::mutex mutex_;
  Counts counts_;
  std::atomic<bool> stopped_{ false };
  std::vector<std::thread> threads_;
};

Verdict
Run(Record& aRecord)
{
  PlatformFixture fixture;
  FixtureLimits limits;
  limits.memoryMb_ = kMemoryMb;
  limits.maxFds_ = kMaxFds;
  limits.routeTimeoutMs_ = kRouteTimeoutMs;
  fixture.SetLimits(limits);
  fixture.Configure("00000001");
  ChangeConfiguration(fixture, [](nlohmann::json& aDocument) {
    aDocument["limits"]["maxHeaderBytes"] = kMaxHeaderBytes;
  });
  for (int i = 1; i <= kInstances; ++i) {
    fixture.AddInstance(
      "i-" + std::to_string(i),
      [](const ReceivedRequest& aRequest) -> ScriptedResponse {
        return { SignedResponse(aRequest, "ok") };
      });
  }
  fixture.StartHost(1);
  Sleep(std::chrono::milliseconds(500));

  OrdinaryCallers ordinary(fixture, aRecord);
  Sleep(std::chrono::milliseconds(1000));
  const std::string request = CrowdRequest();
  aRecord.Write(std::to_string(kCrowd) + " callers send " +
                std::to_string(kRequestsBehindOneAnother) + " requests of " +
                std::to_string(request.size()) +
                " bytes each: " + Visible(request, 200));
  std::vector<std::unique_ptr<Caller>> crowd;
  for (int i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<Caller>(fixture.CallerAddress(1)));
    crowd.back()->Send(Repeat(request, kRequestsBehindOneAnother));
  }
  Sleep(kLength);
  const Counts counts = ordinary.Stop();
  aRecord.Write("ordinary requests: " + std::to_string(counts.sent_) +
                "; without an answer at the route's timeout: " +
                std::to_string(counts.late_) +
                "; half a second later: " + std::to_string(counts.silent_));
  aRecord.Write("the host says that it is ready: status " +
                std::to_string(fixture.Ready(1)));
  return 2 * counts.silent_ > counts.late_ ? Verdict::Broken : Verdict::Held;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
