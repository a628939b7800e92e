#pragma once

// The pool of connections to backend servers. Used on the traffic thread only;
// included by .cc files.

#include "gateway/InstanceTable.h"
#include "http/BeastTypes.h"
#include "memory/MemoryPool.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridotsail::detail {

struct ServerConnectionOptions
{
  // How long an idle connection may be reused if the server states no
  // keep-alive timeout.
  Duration idleTimeout_ = std::chrono::seconds(4);
  // Subtracted from the server's keep-alive timeout, to cover the network
  // latency and delays.
  Duration idleMargin_ = std::chrono::milliseconds(800);
  // The maximum number of idle connections per server.
  std::size_t maxIdle_ = 8;
  // A connection on which sent data stays unacknowledged for this long is
  // closed (TCP_USER_TIMEOUT), so that a dead connection is detected: three
  // times the longest round trip, with one lost packet.
  Duration tcpUserTimeout_ = std::chrono::milliseconds(1200);
  // Returns the number of connections that may be open, idle ones included. If
  // empty, there is no limit.
  std::function<std::size_t()> maxOpen_;
};

// A connection to a backend server.
class ServerConnection
{
public:
  // aOpen counts the connections that exist.
  ServerConnection(asio::io_context& aContext,
                   InstancePtr aInstance,
                   std::shared_ptr<std::size_t> aOpen);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  const InstancePtr& Server() const { return instance_; }
  // Sets the options of an opened socket.
  void Configure(Duration aTcpUserTimeout);
  // Returns false if the server closed the connection or sent data while it was
  // idle; such data belongs to no request.
  bool IsReusable();
  // Records a request that is sent on this connection.
  void OnRequestSent(const std::string& aRequestId);
  // Returns true if one of the last requests of this connection had the id. An
  // answer to that request which the server writes again would be taken for the
  // answer to another one with this id.
  bool HasCarried(const std::string& aRequestId) const;

  tcp::socket socket_;
  beast::flat_buffer buffer_;
  TimePoint reusableUntil_ = TimePoint::max();
  // The number of requests sent on this connection.
  int requestCount_ = 0;

private:
  InstancePtr instance_;
  std::shared_ptr<std::size_t> open_;
  // Hashes of the ids of the last requests.
  std::deque<std::size_t> carriedIds_;
};

using ServerConnectionPtr = std::unique_ptr<ServerConnection>;

class ServerConnections
{
public:
  ServerConnections(asio::io_context& aContext,
                    ServerConnectionOptions aOptions,
                    MemoryPool& aMemory);

  // Returns an idle connection that can be reused for the request, or null.
  ServerConnectionPtr TakeIdle(const InstancePtr& aInstance,
                               const std::string& aRequestId,
                               TimePoint aNow);
  // Returns whether a connection may be created within the limit. Closes an
  // idle one if that is needed.
  bool MakeRoom();
  // The number of connections, idle ones included.
  std::size_t Open() const { return *open_; }
  // Returns a connection that is not open yet.
  ServerConnectionPtr Create(const InstancePtr& aInstance);
  // Returns a connection to the pool. aKeepAlive is the server's keep-alive
  // timeout, or zero if it stated none.
  void Return(ServerConnectionPtr aConnection,
              Duration aKeepAlive,
              TimePoint aNow);
  // Sets a callback that receives the time it took to open each new connection.
  void SetOnConnected(std::function<void(const Instance&, Duration)> aHook);
  void OnConnected(const Instance& aInstance, Duration aElapsed);
  // Closes connections that are too old to be reused. Call about once per
  // second.
  void CloseExpired(TimePoint aNow);
  // Closes the idle connections to a server, after one of its connections was
  // lost.
  void CloseIdle(const InstancePtr& aInstance);
  // Accounts for the responses that are read.
  MemoryPool& Memory() { return memory_; }
  asio::io_context& Context() { return context_; }
  const ServerConnectionOptions& Options() const { return options_; }

private:
  asio::io_context& context_;
  ServerConnectionOptions options_;
  MemoryPool& memory_;
  std::function<void(const Instance&, Duration)> onConnected_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
  std::map<Instance*, std::deque<ServerConnectionPtr>> idle_;
};

}
