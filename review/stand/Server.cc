#include "Server.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace peridotsail::review {

namespace {

constexpr Milliseconds kBeatInterval{ 1500 };
// Idle connections are closed after this time, which the answers state.
constexpr Milliseconds kIdleTimeout{ 10000 };

}

Server::Server(ServerOptions aOptions, Store& aStore, Record& aRecord)
  : options_(std::move(aOptions))
  , store_(aStore)
  , record_(aRecord)
{
}

bool
Server::Start(Hook aHook)
{
  hook_ = std::move(aHook);
  born_ = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  port_ =
    Listen(options_.ip_, [this](const Socket& aSocket) { Serve(aSocket); });
  if (port_ == 0) {
    return false;
  }
  std::thread([this] { Register(); }).detach();
  return true;
}

void
Server::Register()
{
  const Clock::time_point warmAt = Clock::now() + options_.cold_;
  std::int64_t coldLeft = 1;
  for (std::uint64_t sequence = 1; coldLeft > 0; ++sequence) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(warmAt - Clock::now()).count();
    coldLeft = std::max<std::int64_t>(0, left);
    const nlohmann::json entry{ { "service", options_.service_ },
                                { "address",
                                  options_.ip_ + ":" + std::to_string(port_) },
                                { "zone", options_.zone_ },
                                { "version", "v1" },
                                { "slots", options_.slots_ },
                                { "state", "ready" },
                                { "coldLeftMs", coldLeft },
                                { "sequence", sequence },
                                { "born", born_ } };
    store_.Put("servers/" + options_.id_, entry.dump());
    if (coldLeft > 0) {
      std::this_thread::sleep_for(kBeatInterval);
    }
  }
}

void
Server::Leave()
{
  record_.Add("server " + options_.id_ + " leaves, its entry is removed");
  store_.Remove("servers/" + options_.id_);
}

std::string
Server::SignedAnswer(const Message& aRequest, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Header("Request-Id") +
         "\r\nResponse-Signature: made-here\r\nKeep-Alive: timeout=" +
         std::to_string(kIdleTimeout.count() / 1000) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

void
Server::Serve(const Socket& aSocket)
{
  MessageReader reader(aSocket);
  Message request;
  while (reader.Read(request, kIdleTimeout) && Handle(aSocket, request)) {
  }
}

bool
Server::TakeSlot()
{
  std::unique_lock<std::mutex> lock(mutex_);
  if (running_ >= options_.slots_ && waiting_ >= options_.queue_) {
    return false;
  }
  ++waiting_;
  freed_.wait(lock, [this] { return running_ < options_.slots_; });
  --waiting_;
  ++running_;
  return true;
}

bool
Server::HasRun(const std::string& aRequestId)
{
  return RanAt(aRequestId).has_value();
}

std::optional<long>
Server::RanAt(const std::string& aRequestId)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = ran_.find(aRequestId);
  return found == ran_.end() ? std::nullopt : std::optional(found->second);
}

bool
Server::Handle(const Socket& aSocket, const Message& aRequest)
{
  const std::string id = aRequest.Header("Request-Id");
  const std::string echo = "Request-Id: " + id + "\r\nContent-Length: 0\r\n";
  if (aRequest.Header("Expect-Instance") != options_.id_) {
    return aSocket.Send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                        options_.id_ + "\r\n" + echo + "\r\n");
  }
  if (!TakeSlot()) {
    return aSocket.Send(
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + echo +
      "\r\n");
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ran_.emplace(id, record_.Now());
  }
  record_.Add("server " + options_.id_ + " runs " + id + " of tenant " +
              aRequest.Header("Tenant"));
  bool open = true;
  if (hook_) {
    open = hook_(aSocket, aRequest);
  } else {
    std::this_thread::sleep_for(options_.work_);
    open = aSocket.Send(SignedAnswer(aRequest, "answer to " + id));
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  freed_.notify_one();
  return open;
}

}
