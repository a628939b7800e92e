#include "gateway/ServerConnections.h"

#include <algorithm>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotsail::detail {

namespace {

// The idle time before the first keep-alive probe and the interval between
// probes, in seconds.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Requests of a connection whose ids are remembered.
constexpr std::size_t kMaxCarriedIds = 64;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // Failure is harmless: without the option, a dead connection is only detected
  // later.
  static_cast<void>(
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)));
}

}

ServerConnection::ServerConnection(asio::io_context& aContext,
                                   InstancePtr aInstance,
                                   std::shared_ptr<std::size_t> aOpen)
  : socket_(aContext)
  , instance_(std::move(aInstance))
  , open_(std::move(aOpen))
{
  ++*open_;
}

ServerConnection::~ServerConnection()
{
  --*open_;
}

void
ServerConnection::Configure(Duration aTcpUserTimeout)
{
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const int handle = socket_.native_handle();
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(handle,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(aTcpUserTimeout)));
}

bool
ServerConnection::IsReusable()
{
  return buffer_.size() == 0 && HasNothingToRead(socket_);
}

void
ServerConnection::OnRequestSent(const std::string& aRequestId)
{
  ++requestCount_;
  carriedIds_.push_back(std::hash<std::string>()(aRequestId));
  if (carriedIds_.size() > kMaxCarriedIds) {
    carriedIds_.pop_front();
  }
}

bool
ServerConnection::HasCarried(const std::string& aRequestId) const
{
  const std::size_t id = std::hash<std::string>()(aRequestId);
  return std::find(carriedIds_.begin(), carriedIds_.end(), id) !=
         carriedIds_.end();
}

ServerConnections::ServerConnections(asio::io_context& aContext,
                                     ServerConnectionOptions aOptions,
                                     MemoryPool& aMemory)
  : context_(aContext)
  , options_(std::move(aOptions))
  , memory_(aMemory)
{
}

ServerConnectionPtr
ServerConnections::TakeIdle(const InstancePtr& aInstance,
                            const std::string& aRequestId,
                            TimePoint aNow)
{
  const auto found = idle_.find(aInstance.get());
  if (found == idle_.end()) {
    return nullptr;
  }
  std::deque<ServerConnectionPtr>& idle = found->second;
  for (std::size_t i = idle.size(); i > 0; --i) {
    if (idle[i - 1]->HasCarried(aRequestId)) {
      continue;
    }
    ServerConnectionPtr connection = std::move(idle[i - 1]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (aNow < connection->reusableUntil_ && connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

bool
ServerConnections::MakeRoom()
{
  if (!options_.maxOpen_ || Open() < options_.maxOpen_()) {
    return true;
  }
  const auto found =
    std::find_if(idle_.begin(), idle_.end(), [](const auto& aEntry) {
      return !aEntry.second.empty();
    });
  if (found == idle_.end()) {
    return false;
  }
  found->second.pop_front();
  return Open() < options_.maxOpen_();
}

ServerConnectionPtr
ServerConnections::Create(const InstancePtr& aInstance)
{
  return std::make_unique<ServerConnection>(context_, aInstance, open_);
}

void
ServerConnections::Return(ServerConnectionPtr aConnection,
                          Duration aKeepAlive,
                          TimePoint aNow)
{
  const Duration timeout = aKeepAlive > Duration::zero()
                             ? aKeepAlive - options_.idleMargin_
                             : options_.idleTimeout_;
  aConnection->reusableUntil_ = aNow + timeout;
  std::deque<ServerConnectionPtr>& idle = idle_[aConnection->Server().get()];
  if (idle.size() >= options_.maxIdle_) {
    idle.pop_front();
  }
  idle.push_back(std::move(aConnection));
}

void
ServerConnections::SetOnConnected(
  std::function<void(const Instance&, Duration)> aHook)
{
  onConnected_ = std::move(aHook);
}

void
ServerConnections::OnConnected(const Instance& aInstance, Duration aElapsed)
{
  if (onConnected_) {
    onConnected_(aInstance, aElapsed);
  }
}

void
ServerConnections::CloseExpired(TimePoint aNow)
{
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::deque<ServerConnectionPtr>& idle = it->second;
    while (!idle.empty() && aNow >= idle.front()->reusableUntil_) {
      idle.pop_front();
    }
    it = idle.empty() ? idle_.erase(it) : std::next(it);
  }
}

void
ServerConnections::CloseIdle(const InstancePtr& aInstance)
{
  idle_.erase(aInstance.get());
}

}
