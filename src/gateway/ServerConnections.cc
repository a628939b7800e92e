#include "gateway/ServerConnections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotsail::detail {

namespace {

// Seconds of silence before a keep-alive probe, and between two.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // A socket without the option works, only silence is noticed later.
  static_cast<void>(
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)));
}

}

ServerConnection::ServerConnection(asio::io_context& aContext,
                                   InstancePtr aInstance)
  : socket_(aContext)
  , instance_(std::move(aInstance))
{
}

void
ServerConnection::Configure(Duration aSilenceLimit)
{
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  const int handle = socket_.native_handle();
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(handle,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(aSilenceLimit)));
}

bool
ServerConnection::IsClean()
{
  if (buffer_.size() > 0) {
    return false;
  }
  char byte = 0;
  const ssize_t got =
    recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ServerConnections::ServerConnections(asio::io_context& aContext,
                                     ServerConnectionOptions aOptions)
  : context_(aContext)
  , options_(aOptions)
{
}

ServerConnectionPtr
ServerConnections::TakeIdle(const InstancePtr& aInstance, TimePoint aNow)
{
  const auto found = idle_.find(aInstance.get());
  if (found == idle_.end()) {
    return nullptr;
  }
  std::deque<ServerConnectionPtr>& idle = found->second;
  while (!idle.empty()) {
    ServerConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (aNow < connection->usableUntil_ && connection->IsClean()) {
      return connection;
    }
  }
  return nullptr;
}

ServerConnectionPtr
ServerConnections::MakeNew(const InstancePtr& aInstance)
{
  return std::make_unique<ServerConnection>(context_, aInstance);
}

void
ServerConnections::Return(ServerConnectionPtr aConnection,
                          Duration aKeepAlive,
                          TimePoint aNow)
{
  const Duration limit = aKeepAlive > Duration::zero()
                           ? aKeepAlive - options_.idleMargin_
                           : options_.idleLimit_;
  aConnection->usableUntil_ = aNow + limit;
  std::deque<ServerConnectionPtr>& idle = idle_[aConnection->Server().get()];
  if (idle.size() >= options_.mostIdle_) {
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
ServerConnections::Connected(const Instance& aInstance, Duration aElapsed)
{
  if (onConnected_) {
    onConnected_(aInstance, aElapsed);
  }
}

bool
ServerConnections::Hold(std::size_t aBefore, std::size_t aNow)
{
  held_ = held_ - aBefore + aNow;
  return held_ <= options_.mostHeldBytes_;
}

void
ServerConnections::CloseExpired(TimePoint aNow)
{
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::deque<ServerConnectionPtr>& idle = it->second;
    while (!idle.empty() && aNow >= idle.front()->usableUntil_) {
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
