// Callers whose unfinished uploads have heads of many short fields, within the
// limits of the configuration. Without the disruption the heads are as long,
// but have few fields.

#include "ReviewCase.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <sys/resource.h>
#include <vector>

using namespace peridotsail;
using namespace peridotsail::review;

namespace {

// The smallest machine of the site and the limits of its configuration.
constexpr int kMemoryMb = 260;
constexpr int kMaxFds = 4100;
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 67108864;
constexpr int kHeaderTimeoutMs = 3000;
constexpr int kIdleTimeoutMs = 15000;
constexpr int kCallers = 2000;
// The rule speaks of processes that end three times on a tenth of the machines,
// on two at least.
constexpr int kHosts = 2;
constexpr int kRounds = 3;

std::string
UnfinishedUpload()
{
  const std::string line =
    HasTrouble() ? "a:b\r\n" : "Note: " + std::string(1000, 'n') + "\r\n";
  std::string head = "POST /upload/scan HTTP/1.1\r\nHost: post.example\r\n"
                     "Authorization: Token key-1\r\nRequest-Id: u1\r\n"
                     "Deadline-Ms: 3000\r\nContent-Length: 2\r\n";
  while (head.size() + line.size() + 2 < kMaxHeaderBytes) {
    head += line;
  }
  return head + "\r\nx";
}

// Allows as many descriptors as the callers need, within the hard limit.
bool
RaiseDescriptorLimit()
{
  constexpr rlim_t kNeeded = kCallers + kMaxFds + 500;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < kNeeded) {
    limit.rlim_cur = std::min(kNeeded, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return limit.rlim_cur >= kNeeded;
}

void
Connect(const PlatformFixture& aFixture,
        int aHost,
        std::vector<std::unique_ptr<Caller>>& aCallers)
{
  const std::string upload = UnfinishedUpload();
  for (int i = 0; i < kCallers; ++i) {
    aCallers.push_back(std::make_unique<Caller>(aFixture.CallerAddress(aHost)));
    if (aCallers.back()->IsOpen()) {
      aCallers.back()->Send(upload);
    }
  }
}

// Returns whether the process came to use more than the machine's memory. The
// platform then kills it.
bool
ExceedsMemory(Record& aRecord, Process& aProcess, const std::string& aName)
{
  constexpr int kPolls = 150;
  double most = 0;
  for (int i = 0; i < kPolls && most <= kMemoryMb; ++i) {
    most = std::max(most, MemoryMb(aProcess, "VmRSS:"));
    Sleep(std::chrono::milliseconds(20));
  }
  aRecord.Write(aName + " uses " + std::to_string(most) + " MB of " +
                std::to_string(kMemoryMb) + " MB");
  if (most <= kMemoryMb) {
    return false;
  }
  aProcess.Signal(SIGKILL);
  aProcess.Wait();
  aRecord.Write(aName + " is killed by the platform: memory over the limit");
  return true;
}

Verdict
Run(Record& aRecord)
{
  if (!RaiseDescriptorLimit()) {
    aRecord.Write("too few descriptors for the callers");
    return Verdict::NotRun;
  }
  PlatformFixture fixture;
  FixtureLimits limits;
  limits.memoryMb_ = kMemoryMb;
  limits.maxFds_ = kMaxFds;
  limits.maxBodyBytes_ = kMaxBodyBytes;
  limits.headerTimeoutMs_ = kHeaderTimeoutMs;
  limits.idleTimeoutMs_ = kIdleTimeoutMs;
  fixture.SetLimits(limits);
  fixture.Configure("00000001");
  ChangeConfiguration(fixture, [](nlohmann::json& aDocument) {
    aDocument["limits"]["maxHeaderBytes"] = kMaxHeaderBytes;
  });
  fixture.AddInstance("i-1",
                      [](const ReceivedRequest& aRequest) -> ScriptedResponse {
                        return { SignedResponse(aRequest, "ok") };
                      });
  std::map<int, int> ends;
  for (int host = 1; host <= kHosts; ++host) {
    fixture.StartHost(host);
    ends[host] = 0;
  }
  aRecord.Write(std::to_string(kCallers) + " callers at a time send " +
                std::to_string(UnfinishedUpload().size()) +
                " bytes each: " + Visible(UnfinishedUpload(), 220));
  for (int round = 1; round <= kRounds; ++round) {
    for (int host = 1; host <= kHosts; ++host) {
      const std::string name = "host " + std::to_string(host);
      {
        std::vector<std::unique_ptr<Caller>> callers;
        Connect(fixture, host, callers);
        if (ExceedsMemory(aRecord, fixture.Host(host), name)) {
          ++ends[host];
        }
      }
      if (!fixture.Host(host).Running()) {
        fixture.StartHost(host);
        aRecord.Write(name + " was started again");
      }
    }
  }
  for (const auto& [host, count] : ends) {
    aRecord.Write("host " + std::to_string(host) + " ended " +
                  std::to_string(count) + " times");
    if (count < kRounds) {
      return Verdict::Held;
    }
  }
  return Verdict::Broken;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
