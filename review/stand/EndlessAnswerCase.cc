// A server in trouble answers one request with a chunked body whose chunk line
// never ends. The stand-in of the platform kills the entry host once it holds
// more memory than its limit, as DEPLOY.md says. Requests of other callers,
// which sound servers are working on, then end without an answer.

#include "Rig.h"
#include "Server.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace peridotsail::review {

namespace {

constexpr int kCallers = 8;
constexpr int kSoundServers = 4;
constexpr Milliseconds kSoundWork{ 300 };
// After the start, until all hosts have been calm for stableWindowMs.
constexpr Milliseconds kCalm{ 5000 };
constexpr Milliseconds kWatchTime{ 8000 };
constexpr Milliseconds kMemoryPoll{ 5 };
// The rate of the server in trouble, below the 1,000 Mbit/s of a link.
constexpr std::size_t kPieceBytes = 1 << 20;
constexpr Milliseconds kPieceInterval{ 10 };
// More requests than this may not be lost.
constexpr int kAllowedLosses = 3;

// Sends a chunk line without end until the caller closes.
bool
SendWithoutEnd(const Socket& aSocket, const Message& aRequest, Record& aRecord)
{
  const std::string id = aRequest.Header("Request-Id");
  std::size_t sent = 0;
  bool open = aSocket.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                           "\r\nResponse-Signature: made-here\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n400;x=");
  const std::string piece(kPieceBytes, 'x');
  Clock::time_point next = Clock::now();
  while (open) {
    open = aSocket.Send(piece);
    sent += open ? piece.size() : 0;
    next += kPieceInterval;
    std::this_thread::sleep_until(next);
  }
  aRecord.Add("server in trouble sent " + std::to_string(sent >> 20) +
              " MB for " + id + " before its caller closed");
  return false;
}

class EndlessAnswer
{
public:
  explicit EndlessAnswer(const CaseArguments& aArguments)
    : arguments_(aArguments)
    , record_(aArguments.folder_ + "/record.txt")
    , store_("127.0.0.1")
  {
  }

  int Run()
  {
    if (!StartAll()) {
      return Finish(record_, Result::CouldNotRun, "a process did not start");
    }
    std::vector<std::thread> threads;
    threads.reserve(kCallers + 1);
    for (int i = 0; i < kCallers; ++i) {
      threads.emplace_back([this, i] { CallSoundServers(i); });
    }
    std::this_thread::sleep_for(kCalm);
    threads.emplace_back([this] { Upload(); });
    WatchMemory();
    stopped_ = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    const std::string lost = std::to_string(lost_.load());
    return Finish(record_,
                  lost_ > kAllowedLosses ? Result::Broken : Result::Held,
                  lost +
                    " requests of kept connections that sound servers "
                    "had got ended without an answer, " +
                    std::to_string(kAllowedLosses) + " are allowed");
  }

  void StopAll() { host_.reset(); }

private:
  bool StartAll()
  {
    for (int i = 0; i < kSoundServers; ++i) {
      AddServer("i-sound-" + std::to_string(i), "catalogue", nullptr);
    }
    AddServer("i-trouble",
              "proofroom",
              [this](const Socket& aSocket, const Message& aRequest) {
                return arguments_.trouble_
                         ? SendWithoutEnd(aSocket, aRequest, record_)
                         : aSocket.Send(Server::SignedAnswer(aRequest, "kept"));
              });
    const nlohmann::json routes{ MakeRoute(
                                   { "read", "safe", "catalogue", 1200 }),
                                 MakeRoute({ "scan", "upload", "proofroom" }) };
    store_.Put("op/config", MakeConfiguration(routes, { Tenant() }).dump());
    HostOptions options;
    options.name_ = "front-hobart-a-1";
    options.ip_ = FreeHostIp(1);
    options.zone_ = "hobart-a";
    options.region_ = "hobart";
    options.zones_ = { { "hobart-a", "hobart" } };
    options.storeIp_ = "127.0.0.1";
    options.storePort_ = store_.OpenDoor(options.name_);
    options.folder_ = arguments_.temporary_;
    options.program_ = arguments_.program_;
    host_ = std::make_unique<Host>(options, record_);
    return host_->Start() && host_->WaitUntilReady(Milliseconds(5000));
  }

  void AddServer(const std::string& aId,
                 const std::string& aService,
                 Server::Hook aHook)
  {
    ServerOptions options;
    options.id_ = aId;
    options.service_ = aService;
    options.zone_ = "hobart-a";
    options.work_ = kSoundWork;
    servers_.push_back(std::make_unique<Server>(options, store_, record_));
    servers_.back()->Start(std::move(aHook));
  }

  void CallSoundServers(int aNumber)
  {
    Caller caller(*host_, record_);
    for (int i = 0; !stopped_; ++i) {
      const bool kept = caller.IsConnected();
      CallOptions call;
      call.path_ = "/read/" + std::to_string(aNumber);
      call.id_ = "read-" + std::to_string(aNumber) + "-" + std::to_string(i);
      if (!caller.Call(call)) {
        lost_ += kept && SoundServerRan(call.id_) ? 1 : 0;
        return;
      }
    }
  }

  bool SoundServerRan(const std::string& aId)
  {
    return std::any_of(
      servers_.begin(), servers_.end(), [&](const auto& aServer) {
        return aServer->Options().service_ == "catalogue" &&
               aServer->HasRun(aId);
      });
  }

  void Upload()
  {
    Caller caller(*host_, record_);
    CallOptions call;
    call.method_ = "POST";
    call.path_ = "/scan/1";
    call.id_ = "scan-1";
    call.body_ = std::string(60000, 's');
    caller.Call(call);
  }

  // Kills the host when it exceeds its memory, as the platform does.
  void WatchMemory()
  {
    const Clock::time_point end = Clock::now() + kWatchTime;
    double most = 0;
    while (Clock::now() < end && host_->IsRunning()) {
      const double memory = host_->MemoryMb();
      most = std::max(most, memory);
      if (memory > host_->Options().memoryMb_) {
        host_->Signal(SIGKILL,
                      "it holds " + std::to_string(memory) + " of " +
                        std::to_string(host_->Options().memoryMb_) + " MB");
        break;
      }
      std::this_thread::sleep_for(kMemoryPoll);
    }
    record_.Add("the host held " + std::to_string(most) + " MB at most");
    std::this_thread::sleep_for(kSoundWork);
  }

  CaseArguments arguments_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<Host> host_;
  std::atomic<bool> stopped_{ false };
  std::atomic<int> lost_{ 0 };
};

}

}

int
main(int aCount, char** aValues)
{
  const auto arguments = peridotsail::review::ReadArguments(aCount, aValues);
  if (!arguments) {
    return static_cast<int>(peridotsail::review::Result::CouldNotRun);
  }
  peridotsail::review::EndlessAnswer test(*arguments);
  const int code = test.Run();
  test.StopAll();
  // The threads of the stand-ins end with the process.
  std::_Exit(code);
}
