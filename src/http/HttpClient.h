#pragma once

// An asynchronous HTTP/1.1 client for small buffered messages, with reuse of
// connections. Runs on one io_context and is used from its thread only.
//
//   HttpClient client(ioContext, {});
//   client.Call(address, request, std::chrono::seconds(2),
//               [](std::optional<HttpResponse> response, const Error& error) {
//                 ...
//               });

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace peridotsail {

struct HttpClientOptions
{
  // The largest response body, in bytes.
  std::size_t maxBodyBytes_ = 8 << 20;
  // A connection that was idle for longer is not used again, because the
  // server may be closing it.
  Duration idleLimit_ = std::chrono::seconds(2);
  // Idle connections kept for each address.
  std::size_t idleConnections_ = 4;
};

// A response that arrives piece by piece, such as a watch.
class HttpStream
{
public:
  virtual ~HttpStream() = default;
  // Ends the stream; no hook runs afterwards.
  virtual void Cancel() = 0;
};

struct HttpStreamHooks
{
  std::function<void(int aStatus)> onHead_;
  std::function<void(std::string_view aPiece)> onChunk_;
  // Runs once, at the regular or irregular end.
  std::function<void(const Error& aError)> onEnd_;
};

class HttpClient
{
public:
  using Callback =
    std::function<void(std::optional<HttpResponse>, const Error&)>;

  HttpClient(boost::asio::io_context& aContext, HttpClientOptions aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The callback runs once, on the io_context. On an error the request may or
  // may not have taken effect. A GET request is sent again once when a reused
  // connection turns out to be closed.
  void Call(const Address& aAddress,
            const HttpRequest& aRequest,
            Duration aTimeout,
            Callback aCallback);

  // aTimeout bounds the time to the response head, aSilence the time without a
  // piece afterwards.
  std::shared_ptr<HttpStream> Stream(const Address& aAddress,
                                     const HttpRequest& aRequest,
                                     Duration aTimeout,
                                     Duration aSilence,
                                     HttpStreamHooks aHooks);

private:
  class Pool;
  class OneCall;
  class OneStream;
  std::shared_ptr<Pool> pool_;
};

}
