#pragma once

// The HTTP/1.1 server for callers. It passes each request to a handler as an
// IncomingRequest. Bodies are streamed in both directions with back pressure:
// the body is read from the caller only when the handler requests it.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpTypes.h"
#include "memory/MemoryPool.h"
#include "proxy/IncomingRequest.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace peridotsail {

struct CallerServerOptions
{
  Address listen_;
  // Larger request heads are refused with header-too-large.
  std::size_t maxHeaderBytes_ = 16 << 10;
  // Connections without a request for longer are closed.
  Duration idleTimeout_ = std::chrono::seconds(60);
  // Transfers without progress for longer are aborted.
  Duration progressTimeout_ = std::chrono::seconds(20);
  // A connection beyond this number replaces the one that has been silent for
  // longest without a request; without such a one, it is closed immediately.
  std::size_t maxConnections_ = 20'000;
  // Accounts for what is held for callers. Null if nothing does.
  MemoryPool* memory_ = nullptr;
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
  // Closes idle connections now and the others after their current response.
  // New connections are still accepted until Close.
  void CloseConnectionsAfterResponses();
  // Stops accepting connections.
  void Close();
  // The number of open connections.
  std::size_t Connections() const;
  // The number of connections that were closed to make room for others.
  std::uint64_t Closed() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

}
