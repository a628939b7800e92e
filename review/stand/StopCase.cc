// A planned stop: the platform sends SIGTERM to a machine while it waits for
// servers of another region. The host exits five sixths of the grace time
// later. Servers that finished before that lose their answers if these are
// still on their way.

#include "Machines.h"
#include "Server.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

namespace peridotsail::review {

namespace {

constexpr Milliseconds kGrace{ 6000 };
// One way between two regions of the site.
constexpr Milliseconds kOneWay{ 55 };
// Each upload waits in its server's queue, and is worked on for a little less
// than the longest upload of the site.
constexpr Milliseconds kQueued{ 400 };
constexpr Milliseconds kWork{ 1600 };
constexpr int kServers = 20;
constexpr int kCallers = 40;
// After the start, until the host has been calm for stableWindowMs.
constexpr Milliseconds kCalm{ 5000 };
// The callers send one request each, within this span after the signal.
constexpr Milliseconds kFirstSent{ 2780 };
constexpr Milliseconds kLastSent{ 2980 };
// A caller waits as long as its time limit.
constexpr Milliseconds kEnd{ 6500 };

struct Outcome
{
  long sentAt_ = 0;
  bool answered_ = false;
};

class Stop
{
public:
  Stop(const CaseArguments& aArguments, Record& aRecord)
    : arguments_(aArguments)
    , record_(aRecord)
    , store_("127.0.0.1")
    , machines_(aArguments,
                aRecord,
                store_,
                { { "front-dublin-a-1", "dublin-a", "eu-west" },
                  { "front-osaka-a-1", "osaka-a", "ap-east" } })
  {
  }

  int Execute()
  {
    if (!StartAll()) {
      return Finish(record_, Result::CouldNotRun, "a process did not start");
    }
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    signalAt_ = Clock::now() + kCalm;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { Call(i); });
    }
    std::this_thread::sleep_until(signalAt_);
    signalMs_ = record_.Now();
    if (arguments_.trouble_) {
      host_->Signal(SIGTERM, "planned stop");
    }
    std::this_thread::sleep_until(signalAt_ + kGrace);
    if (arguments_.trouble_) {
      host_->Signal(SIGKILL, "the grace time is over");
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_until(signalAt_ + kEnd);
    machines_.Stop();
    return Judge();
  }

private:
  bool StartAll()
  {
    for (int i = 0; i < kServers; ++i) {
      ServerOptions options;
      options.id_ = "i-osaka-" + std::to_string(i);
      options.service_ = "sortroom";
      options.zone_ = "osaka-a";
      servers_.push_back(std::make_unique<Server>(options, store_, record_));
      const bool started = servers_.back()->Start(
        [this](const Socket& aSocket, const Message& aRequest) {
          return Work(aSocket, aRequest);
        });
      if (!started) {
        return false;
      }
    }
    const nlohmann::json routes{ MakeRoute({ "scan", "upload", "sortroom" }) };
    store_.Put("op/config", MakeConfiguration(routes, { Tenant() }).dump());
    host_ = machines_.Start(0, true);
    return host_ != nullptr && machines_.Start(1, true) != nullptr;
  }

  // The server is in another region: request and answer take a while.
  bool Work(const Socket& aSocket, const Message& aRequest)
  {
    const std::string id = aRequest.Header("Request-Id");
    std::this_thread::sleep_for(kOneWay);
    if (id.rfind("warm", 0) != 0) {
      std::this_thread::sleep_for(kQueued + kWork);
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      endedAt_[id] = record_.Now();
    }
    record_.Add("server has finished " + id);
    std::this_thread::sleep_for(kOneWay);
    return aSocket.Send(Server::SignedAnswer(aRequest, "kept"));
  }

  // Sends a first request, and another one on the same connection after the
  // signal.
  void Call(int aNumber)
  {
    Caller caller(*host_, record_);
    CallOptions call;
    call.method_ = "POST";
    call.path_ = "/scan/1";
    call.body_ = std::string(1000, 's');
    call.id_ = "warm-" + std::to_string(aNumber);
    caller.Call(call);
    call.id_ = "scan-" + std::to_string(aNumber);
    std::this_thread::sleep_until(
      signalAt_ + kFirstSent + (kLastSent - kFirstSent) * aNumber / kCallers);
    Outcome outcome;
    outcome.sentAt_ = record_.Now();
    outcome.answered_ = caller.Call(call).has_value();
    const std::lock_guard<std::mutex> lock(mutex_);
    outcomes_[call.id_] = outcome;
  }

  // Counted is what the rule does not excuse: the request was sent no later
  // than 3 s after the signal, and its server had finished before the last
  // sixth of the grace time.
  int Judge()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const long lastSixth = signalMs_ + kGrace.count() * 5 / 6;
    int lost = 0;
    for (const auto& [id, outcome] : outcomes_) {
      const auto ended = endedAt_.find(id);
      const bool excused =
        ended == endedAt_.end() || ended->second >= lastSixth;
      if (!outcome.answered_ && !excused) {
        ++lost;
        record_.Add("request " + id + ", sent " +
                    std::to_string(outcome.sentAt_ - signalMs_) +
                    " ms after the signal, was lost; its server had finished " +
                    std::to_string(lastSixth - ended->second) +
                    " ms before the last sixth of the grace time");
      }
    }
    return Finish(record_,
                  lost > 0 ? Result::Broken : Result::Held,
                  std::to_string(lost) + " of " + std::to_string(kCallers) +
                    " requests were lost without excuse");
  }

  const CaseArguments& arguments_;
  Record& record_;
  Store store_;
  Machines machines_;
  std::vector<std::unique_ptr<Server>> servers_;
  Host* host_ = nullptr;
  Clock::time_point signalAt_;
  long signalMs_ = 0;
  std::mutex mutex_;
  // When the servers finished, by request.
  std::map<std::string, long> endedAt_;
  std::map<std::string, Outcome> outcomes_;
};

int
Run(const CaseArguments& aArguments, Record& aRecord)
{
  // The servers and the store go on until the process ends.
  static Stop test(aArguments, aRecord);
  return test.Execute();
}

}

}

int
main(int aCount, char** aValues)
{
  peridotsail::review::RunCase(aCount, aValues, peridotsail::review::Run);
}
