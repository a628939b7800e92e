#pragma once

// The callers' port: an HTTP/1.1 server that hands each request to a handler as
// an IncomingRequest. Bodies are streamed in both directions with back
// pressure: nothing is read from the caller before the handler asks for it.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpTypes.h"
#include "proxy/IncomingRequest.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace peridotsail {

struct CallerServerOptions
{
  Address listen_;
  // A larger request head is refused with header-too-large.
  std::size_t maxHeaderBytes_ = 16 << 10;
  // A connection without a request for longer is closed.
  Duration idleLimit_ = std::chrono::seconds(60);
  // A transfer without progress for longer is ended.
  Duration progressLimit_ = std::chrono::seconds(20);
  // Further connections are closed at once.
  std::size_t maxConnections_ = 20'000;
};

class CallerServer
{
public:
  using Handler = std::function<void(IncomingRequestPtr)>;

  CallerServer(boost::asio::io_context& aContext,
               CallerServerOptions aOptions,
               Handler aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  bool Listen(Error& aError);
  std::uint16_t Port() const;
  // Answers from now on tell the caller to close the connection, and idle
  // connections are closed. New connections are still accepted until Close.
  void CloseConnectionsAfterResponses();
  // Stops accepting connections.
  void Close();
  // Open connections.
  std::size_t Connections() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

}
