// A host that follows another one, which follows the host of its region that
// reads the store. The two others freeze, one soon after the other, while a key
// is taken away.

#include "ReviewCase.h"

#include "base/Hash.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <stdexcept>
#include <unistd.h>
#include <vector>

using namespace peridotsail;
using namespace peridotsail::review;
using nlohmann::json;

namespace {

constexpr char kRegion[] = "eu-west";
constexpr char kKept[] = "key-1";
constexpr char kTaken[] = "key-2";
// The site's bounds.
constexpr int kConfigMs = 2500;
constexpr int kStableWindowMs = 4000;
constexpr auto kFreeze = std::chrono::milliseconds(3500);
constexpr auto kBetweenFreezes = std::chrono::milliseconds(1070);

// Returns the settings of the process, which names the file on its command
// line.
json
SettingsOf(const Process& aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess.Id()) + "/cmdline");
  std::string argument;
  const std::string option = "--settings=";
  while (std::getline(file, argument, '\0')) {
    if (argument.rfind(option, 0) == 0) {
      std::ifstream settings(argument.substr(option.size()));
      return json::parse(settings);
    }
  }
  throw std::runtime_error("a host without settings");
}

// Returns the names in the order in which hosts are preferred as readers of the
// store.
std::vector<std::string>
InOrder(std::vector<std::string> aNames)
{
  const auto score = [](const std::string& aName) {
    return MixHash(StableHash(kRegion) ^ StableHash(aName));
  };
  std::sort(aNames.begin(),
            aNames.end(),
            [&](const std::string& aLeft, const std::string& aRight) {
              return score(aLeft) > score(aRight);
            });
  return aNames;
}

// A host of its own failure domain, beside those of the fixture.
class Host
{
public:
  Host(const json& aTemplate,
       const std::string& aFolder,
       const std::string& aName,
       const std::string& aDomain,
       int aNumber)
    : name_(aName)
  {
    json settings = aTemplate;
    const std::string former = settings.at("ip");
    const std::string ip =
      former.substr(0, former.rfind('.') + 1) + std::to_string(aNumber);
    settings["nodeName"] = aName;
    settings["ip"] = ip;
    settings["zone"] = aDomain;
    settings["region"] = kRegion;
    settings["zones"] = { { "dublin-a", kRegion }, { "dublin-b", kRegion } };
    settings["bounds"] = { { "configMs", kConfigMs },
                           { "drainMs", 2500 },
                           { "evacuateMs", 5000 },
                           { "revokeMs", 5000 },
                           { "graceS", 6 } };
    for (auto& address : settings["listen"]) {
      const std::string text = address;
      address = ip + text.substr(text.rfind(':'));
    }
    callers_ = settings["listen"]["front"];
    readiness_ = settings["listen"]["readiness"];
    const std::string path = aFolder + "/" + aName + ".json";
    std::ofstream(path) << settings.dump();
    process_ = std::make_unique<Process>(std::vector<std::string>{
      "/bin/sh",
      "-c",
      "exec " PERIDOTSAIL_BIN_DIR "/peridotsail serve-platform --settings=" +
        path + " >" + aFolder + "/" + aName + ".log" });
  }

  bool IsReady() const
  {
    const auto answer =
      CallOnce(readiness_, { "GET", "/peridotsail/ready", {}, "" });
    return answer && answer->status_ == 200;
  }

  // Sends a request with the key and returns its status.
  int Call(const std::string& aKey, const std::string& aId) const
  {
    const Caller caller(callers_);
    caller.Send(Request(
      "GET", "/safe/1", aId, "", "Authorization: Token " + aKey + "\r\n"));
    return StatusOf(caller.ReadAnswer(std::chrono::seconds(3)));
  }

  const std::string& Name() const { return name_; }
  void Signal(int aSignal) const { process_->Signal(aSignal); }

private:
  std::string name_;
  std::string callers_;
  std::string readiness_;
  std::unique_ptr<Process> process_;
};

void
SetKeys(PlatformFixture& aFixture,
        const std::string& aVersion,
        const std::vector<std::string>& aKeys)
{
  ChangeConfiguration(aFixture, [&](json& aDocument) {
    aDocument["version"] = aVersion;
    aDocument["tenants"][0]["apiKeys"] = aKeys;
    // No limit, so that no other host is needed for a request.
    aDocument["tenants"][0]["ratePerS"] = 0;
  });
}

void
Heartbeat(PlatformFixture& aFixture, int aSequence)
{
  aFixture.Do([&](FakePlatformStore& aStore) {
    json entry = json::parse(aStore.Values().at("servers/i-1"));
    entry["sequence"] = aSequence;
    aStore.Put("servers/i-1", entry.dump());
  });
}

Verdict
Run(Record& aRecord)
{
  char folder[] = "/tmp/peridotsail-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  PlatformFixture fixture;
  fixture.Configure("00000001");
  SetKeys(fixture, "00000002", { kKept, kTaken });
  fixture.AddInstance("i-1",
                      [](const ReceivedRequest& aRequest) -> ScriptedResponse {
                        return { SignedResponse(aRequest, "ok") };
                      });
  // Only its settings are used: they have the address of the store.
  fixture.StartHost(1);
  const json settings = SettingsOf(fixture.Host(1));
  fixture.Host(1).Signal(SIGKILL);

  const std::vector<std::string> names =
    InOrder({ "front-1", "front-2", "front-3" });
  constexpr int kFirstNumber = 11;
  std::vector<std::unique_ptr<Host>> hosts;
  for (const std::string& name : names) {
    const bool first = hosts.empty();
    hosts.push_back(
      std::make_unique<Host>(settings,
                             folder,
                             name,
                             first ? "dublin-b" : "dublin-a",
                             kFirstNumber + static_cast<int>(hosts.size())));
  }
  const Host& reader = *hosts[0];
  const Host& middle = *hosts[1];
  const Host& last = *hosts[2];
  const bool ready = WaitUntil([&] {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& aHost) {
      return aHost->IsReady();
    });
  });
  // All hosts know each other, and nothing was disturbed for long enough.
  Sleep(std::chrono::milliseconds(2 * kStableWindowMs));
  if (!ready || last.Call(kTaken, "before") != 200) {
    aRecord.Write("the hosts did not become ready");
    return Verdict::NotRun;
  }
  aRecord.Write(last.Name() + " of dublin-a follows " + middle.Name() +
                " of dublin-a, which follows " + reader.Name() +
                " of dublin-b");
  // Two heartbeats of the instance: each one ends the waits of all hosts, so
  // that these begin anew at the second.
  Heartbeat(fixture, 2);
  Sleep(std::chrono::milliseconds(600));
  Heartbeat(fixture, 3);
  Sleep(std::chrono::milliseconds(100));

  if (HasTrouble()) {
    reader.Signal(SIGSTOP);
    aRecord.Write(reader.Name() + " freezes");
  }
  SetKeys(fixture, "00000003", { kKept });
  const TimePoint confirmedAt = BootClock::now();
  aRecord.Write("the store has confirmed a configuration without " +
                std::string(kTaken));
  bool middleRuns = true;
  bool readerRuns = true;
  std::vector<std::string> lateIds;
  std::int64_t lastRunMs = 0;
  constexpr int kWatchMs = 5500;
  for (int i = 0;; ++i) {
    const Duration elapsed = BootClock::now() - confirmedAt;
    const std::int64_t sentMs = ToMilliseconds(elapsed);
    if (sentMs > kWatchMs) {
      break;
    }
    if (HasTrouble() && middleRuns && elapsed >= kBetweenFreezes) {
      middle.Signal(SIGSTOP);
      middleRuns = false;
      aRecord.Write(middle.Name() + " freezes");
    }
    if (HasTrouble() && readerRuns && elapsed >= kFreeze) {
      reader.Signal(SIGCONT);
      readerRuns = false;
      aRecord.Write(reader.Name() + " wakes");
    }
    const std::string id = "with-taken-key-" + std::to_string(i);
    const int status = last.Call(kTaken, id);
    if (status == 200) {
      lastRunMs = sentMs;
      if (sentMs > kConfigMs) {
        lateIds.push_back(id);
      }
    }
    Sleep(std::chrono::milliseconds(15));
  }
  middle.Signal(SIGCONT);
  int lateRuns = 0;
  for (const ReceivedRequest& request : fixture.Instance("i-1").Received()) {
    const std::string id = HeaderOf(request.head_, "Request-Id");
    lateRuns +=
      std::find(lateIds.begin(), lateIds.end(), id) == lateIds.end() ? 0 : 1;
  }
  aRecord.Write("the last request with the key that was taken away ran at " +
                last.Name() + " when it was sent " + std::to_string(lastRunMs) +
                " ms after the confirmation");
  aRecord.Write(std::to_string(lateRuns) +
                " of those that were sent later than " +
                std::to_string(kConfigMs) + " ms after it ran");
  return lateRuns > 0 ? Verdict::Broken : Verdict::Held;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount, aArguments, Run);
}
