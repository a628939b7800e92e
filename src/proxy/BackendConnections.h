#pragma once

// Open connections to backend servers, kept for reuse. Used on the traffic
// thread only. Included by .cc files of the proxy.

#include "backend/ConnectionHealth.h"
#include "http/BeastTypes.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace peridotsail::detail {

// A connection to a backend server. It is not reused after any error.
struct BackendConnection
{
  explicit BackendConnection(asio::io_context& aContext)
    : stream_(aContext)
  {
  }

  // Of ConnectionHealth.
  std::uint64_t id_ = 0;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::string address_;
  TimePoint openedAt_;
  TimePoint idleSince_;
  // True when it has served a request before.
  bool reused_ = false;
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

struct BackendConnectionsOptions
{
  // An idle connection that is older is closed, because the server may be
  // closing it.
  Duration idleLimit_ = std::chrono::seconds(5);
  // Idle connections kept for each backend server.
  std::size_t idleConnections_ = 64;
};

class BackendConnections
{
public:
  BackendConnections(asio::io_context& aContext,
                     BackendConnectionsOptions aOptions);

  // An idle connection, or null.
  BackendConnectionPtr TakeIdle(const std::string& aAddress);
  // A connection that is not open yet.
  BackendConnectionPtr MakeNew(const std::string& aAddress);
  void Return(BackendConnectionPtr aConnection);
  // Closes idle connections to the server that were opened at this time or
  // before, because one of that age went silent.
  void CloseIdle(const std::string& aAddress, TimePoint aOpenedUntil);
  // Ends the watch over a connection that is closed or failed.
  void Forget(const BackendConnection& aConnection);
  ConnectionHealth& Health() { return health_; }
  asio::io_context& Context() { return context_; }

private:
  asio::io_context& context_;
  BackendConnectionsOptions options_;
  ConnectionHealth health_;
  std::uint64_t lastId_ = 0;
  std::map<std::string, std::deque<BackendConnectionPtr>> idle_;
};

}
