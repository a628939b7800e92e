#pragma once

// A pool of connections to backend servers. Used on the traffic thread only.
// Internal to the proxy library.

#include "backend/ConnectionHealth.h"
#include "http/BeastTypes.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace peridotsail::detail {

// A connection to a backend server. It is never reused after an error.
struct BackendConnection
{
  explicit BackendConnection(asio::io_context& aContext)
    : stream_(aContext)
  {
  }

  // Identifies the connection in ConnectionHealth.
  std::uint64_t id_ = 0;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{ kMaxUnparsedBytes };
  std::string address_;
  TimePoint openedAt_;
  TimePoint idleSince_;
  // True if it has served a request before.
  bool reused_ = false;
};

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

struct BackendConnectionsOptions
{
  // A connection that has been idle for longer is closed instead of reused,
  // because the server may be closing it.
  Duration idleTimeout_ = std::chrono::seconds(5);
  // Maximum number of idle connections per backend server.
  std::size_t maxIdleConnections_ = 64;
};

class BackendConnections
{
public:
  BackendConnections(asio::io_context& aContext,
                     BackendConnectionsOptions aOptions);

  // Returns an idle connection, or null. A connection on which the server has
  // sent bytes since its last response is closed: they belong to no request.
  BackendConnectionPtr TakeIdle(const std::string& aAddress);
  // Creates a connection that has not been opened yet.
  BackendConnectionPtr Create(const std::string& aAddress);
  // Keeps the connection as idle, or drops it if it must not be reused.
  void Return(BackendConnectionPtr aConnection);
  // Closes the idle connections to the server that were opened at or before
  // this time. Called when a connection of that age has stalled, since the
  // others have probably failed with it.
  void CloseIdle(const std::string& aAddress, TimePoint aOpenedUntil);
  // Stops health tracking for a connection that was closed or has failed.
  void ReportClosed(const BackendConnection& aConnection);
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
