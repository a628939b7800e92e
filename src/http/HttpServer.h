#pragma once

// An asynchronous HTTP/1.1 server for small buffered requests, used for the
// operators' port and the simulated platform. Runs on one io_context.
//
//   HttpServer server(ioContext, {}, [](const HttpRequest& request,
//                                       std::shared_ptr<HttpReply> reply) {
//     reply->Send({ 200, {}, "hello" });
//   });
//   Error error;
//   if (!server.Listen(address, error)) { ... }

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace peridotsail {

struct HttpServerOptions
{
  std::size_t maxHeaderBytes_ = 16 << 10;
  std::size_t maxBodyBytes_ = 4 << 20;
  // The timeout for reading a request or writing a response.
  Duration timeout_ = std::chrono::seconds(30);
  // A connection beyond this number replaces the one whose peer has been waited
  // for for longest; without such a one, it is closed immediately.
  std::size_t maxConnections_ = 1000;
  // The memory for requests that are being read. If more is needed, connections
  // are closed in the same order.
  std::size_t maxInputBytes_ = std::size_t{ 16 } << 20;
};

// The response to one request. Either call Send, or Begin, Write and End.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  virtual void Send(HttpResponse aResponse) = 0;
  // Starts a chunked response.
  virtual void Begin(int aStatus, const HttpHeaders& aHeaders) = 0;
  // Returns false if the connection is closed.
  virtual bool Write(std::string aChunk) = 0;
  virtual void End() = 0;
  // Closes the connection without a response.
  virtual void Abort() = 0;
};

class HttpServer
{
public:
  using Handler =
    std::function<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

  HttpServer(boost::asio::io_context& aContext,
             HttpServerOptions aOptions,
             Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns false and sets aError if the port cannot be opened.
  bool Listen(const Address& aAddress, Error& aError);
  // Returns the port in use, which differs from the requested one if that was
  // 0.
  std::uint16_t Port() const;
  // Stops accepting; existing connections stay open.
  void Close();
  // The number of connections that were closed to make room for others.
  std::uint64_t Closed() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

}
