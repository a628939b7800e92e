#pragma once

// Connections to backend servers, kept for reuse. Used on the traffic thread
// only; included by .cc files.

#include "gateway/InstanceTable.h"
#include "http/BeastTypes.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace peridotsail::detail {

struct ServerConnectionOptions
{
  // Without a time from the server, an idle connection is used for this long.
  Duration idleLimit_ = std::chrono::seconds(4);
  // Taken off the time that a server states: the way there and delays.
  Duration idleMargin_ = std::chrono::milliseconds(800);
  // Idle connections kept for each server.
  std::size_t mostIdle_ = 8;
  // Unacknowledged bytes end a connection after this long, so that one that
  // went silent is noticed; three times the longest round trip with one loss.
  Duration silenceLimit_ = std::chrono::milliseconds(1200);
  // Bytes of answers that are read at one time: a quarter of the memory of the
  // smallest host.
  std::size_t mostHeldBytes_ = 64 << 20;
};

// One connection.
class ServerConnection
{
public:
  ServerConnection(asio::io_context& aContext, InstancePtr aInstance);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  const InstancePtr& Server() const { return instance_; }
  // Sets the options of an opened socket.
  void Configure(Duration aSilenceLimit);
  // False when the server closed the connection or sent bytes while it was
  // idle: these belong to no request.
  bool IsClean();

  tcp::socket socket_;
  beast::flat_buffer buffer_;
  TimePoint usableUntil_ = TimePoint::max();
  // Requests that it carried.
  int served_ = 0;

private:
  InstancePtr instance_;
};

using ServerConnectionPtr = std::unique_ptr<ServerConnection>;

class ServerConnections
{
public:
  ServerConnections(asio::io_context& aContext,
                    ServerConnectionOptions aOptions);

  // A clean idle connection, or null.
  ServerConnectionPtr TakeIdle(const InstancePtr& aInstance, TimePoint aNow);
  // A connection that is not open yet.
  ServerConnectionPtr MakeNew(const InstancePtr& aInstance);
  // aKeepAlive is the time that the server stated, or zero.
  void Return(ServerConnectionPtr aConnection,
              Duration aKeepAlive,
              TimePoint aNow);
  // Tells how long it took to open each new connection.
  void SetOnConnected(std::function<void(const Instance&, Duration)> aHook);
  void Connected(const Instance& aInstance, Duration aElapsed);
  // Closes connections that are too old to be used. Call about once a second.
  void CloseExpired(TimePoint aNow);
  // Closes the idle connections to a server whose connection went silent.
  void CloseIdle(const InstancePtr& aInstance);
  // Bytes of answers that are read at this moment; aBefore of them are replaced
  // by aNow. Returns false when all answers together hold too many: servers in
  // trouble may send without end at many requests at a time.
  bool Hold(std::size_t aBefore, std::size_t aNow);
  asio::io_context& Context() { return context_; }
  const ServerConnectionOptions& Options() const { return options_; }

private:
  asio::io_context& context_;
  ServerConnectionOptions options_;
  std::function<void(const Instance&, Duration)> onConnected_;
  std::map<Instance*, std::deque<ServerConnectionPtr>> idle_;
  std::size_t held_ = 0;
};

}
