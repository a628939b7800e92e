#include "Fleet.h"

#include <algorithm>
#include <csignal>

namespace peridotsail::review {

namespace {

constexpr int kCallers = 8;
constexpr int kSoundServers = 4;
constexpr char kSoundService[] = "catalogue";
constexpr Milliseconds kSoundWork{ 300 };
constexpr Milliseconds kStart{ 5000 };
// Longer than stableWindowMs.
constexpr Milliseconds kCalm{ 5000 };
constexpr Milliseconds kMemoryPoll{ 5 };
// More lost requests than this break the rule.
constexpr int kAllowedLosses = 3;
constexpr std::size_t kPieceBytes = 256 << 10;

}

Fleet::Fleet(const CaseArguments& aArguments, Record& aRecord)
  : record_(aRecord)
  , store_("127.0.0.1")
  , machines_(aArguments,
              aRecord,
              store_,
              { { "front-dublin-a-1", "dublin-a", "eu-west" } })
{
}

void
Fleet::AddServer(const ServerOptions& aOptions, Server::Hook aHook)
{
  servers_.push_back(std::make_unique<Server>(aOptions, store_, record_));
  servers_.back()->Start(std::move(aHook));
}

void
Fleet::AddUploadServer(Milliseconds aWork, Server::Hook aHook)
{
  ServerOptions options;
  options.id_ = "i-upload";
  options.service_ = "proofroom";
  options.zone_ = "dublin-a";
  options.work_ = aWork;
  AddServer(options, std::move(aHook));
}

bool
Fleet::Start()
{
  for (int i = 0; i < kSoundServers; ++i) {
    ServerOptions options;
    options.id_ = "i-sound-" + std::to_string(i);
    options.service_ = kSoundService;
    options.zone_ = "dublin-a";
    options.work_ = kSoundWork;
    AddServer(options, nullptr);
  }
  const nlohmann::json routes{ MakeRoute(
                                 { "read", "safe", kSoundService, 1200 }),
                               MakeRoute({ "scan", "upload", "proofroom" }) };
  store_.Put("op/config", MakeConfiguration(routes, { Tenant() }).dump());
  host_ = machines_.Start(0, true);
  return host_ != nullptr;
}

void
Fleet::StartCallers()
{
  callers_.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers_.emplace_back([this, i] { CallSoundServers(i); });
  }
  std::this_thread::sleep_for(kCalm);
}

void
Fleet::CallSoundServers(int aNumber)
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

bool
Fleet::SoundServerRan(const std::string& aId)
{
  return std::any_of(
    servers_.begin(), servers_.end(), [&](const auto& aServer) {
      return aServer->Options().service_ == kSoundService &&
             aServer->HasRun(aId);
    });
}

void
Fleet::Upload(const std::string& aId,
              const std::string& aBody,
              std::size_t aBytesPerSecond)
{
  CallOptions call;
  call.method_ = "POST";
  call.path_ = "/scan/1";
  call.id_ = aId;
  call.body_ = aBody;
  const std::string request = MakeRequest(call);
  const Socket socket = Connect(host_->Options().ip_, host_->CallersPort());
  record_.Add("request " + aId + " with a body of " +
              std::to_string(aBody.size()) + " bytes is sent");
  const std::chrono::duration<double> interval(
    static_cast<double>(kPieceBytes) / static_cast<double>(aBytesPerSecond));
  for (std::size_t at = 0; at < request.size(); at += kPieceBytes) {
    if (!socket.Send(request.substr(at, kPieceBytes))) {
      break;
    }
    std::this_thread::sleep_for(interval);
  }
  Message answer;
  const bool answered = MessageReader(socket).Read(answer, kStart);
  record_.Add("request " + aId +
              (answered ? " answered " + std::to_string(answer.Status())
                        : ": connection ended without an answer"));
}

void
Fleet::WatchMemory(Milliseconds aTime)
{
  const Clock::time_point end = Clock::now() + aTime;
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

void
Fleet::Stop()
{
  stopped_ = true;
  for (std::thread& caller : callers_) {
    caller.join();
  }
  callers_.clear();
  machines_.Stop();
}

int
Fleet::Judge() const
{
  return Finish(record_,
                lost_ > kAllowedLosses ? Result::Broken : Result::Held,
                std::to_string(lost_) +
                  " requests of kept connections that sound servers had got "
                  "ended without an answer, " +
                  std::to_string(kAllowedLosses) + " are allowed");
}

}
