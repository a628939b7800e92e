#pragma once

// An asynchronous HTTP/1.1 client for small buffered messages, with connection
// reuse. Runs on one io_context and must be used from its thread only.
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
  // The maximum size of a response body, in bytes.
  std::size_t maxBodyBytes_ = 8 << 20;
  // A connection that was idle for longer is not reused, because the server may
  // be closing it.
  Duration idleTimeout_ = std::chrono::seconds(2);
  // The maximum number of idle connections per address.
  std::size_t maxIdleConnections_ = 4;
};

// Time limits of a call whose response may be large. A transfer that makes
// progress is not limited, since its duration depends on the link.
struct HttpTimeouts
{
  // Until the first bytes of the response arrive.
  Duration response_{};
  // After that, until the next kMinProgressBytes or the end of the response.
  Duration progress_{};
};

// A transfer that receives fewer bytes than this within HttpTimeouts::progress_
// has stalled.
constexpr std::size_t kMinProgressBytes = 4096;

// Measurements of a call.
struct HttpTransfer
{
  // Of the response, including its head.
  std::size_t receivedBytes_ = 0;
  // From the start of the call to the first bytes of the response; zero if none
  // arrived.
  Duration firstByteAfter_{};
  // From the start to the end of the call.
  Duration duration_{};
};

// A response that is delivered in chunks, such as a watch.
class HttpStream
{
public:
  virtual ~HttpStream() = default;
  // Closes the stream; no hook is called afterwards.
  virtual void Cancel() = 0;
};

struct HttpStreamHooks
{
  std::function<void(int aStatus)> onHead_;
  std::function<void(std::string_view aChunk)> onChunk_;
  // Called once, when the stream ends or fails.
  std::function<void(const Error& aError)> onEnd_;
};

class HttpClient
{
public:
  using Callback =
    std::function<void(std::optional<HttpResponse>, const Error&)>;
  using MeasuredCallback = std::function<
    void(std::optional<HttpResponse>, const Error&, const HttpTransfer&)>;

  HttpClient(boost::asio::io_context& aContext, HttpClientOptions aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The callback is called once, on the io_context. After an error the request
  // may or may not have been executed. A GET request is sent again once if a
  // reused connection turns out to be closed. aTimeout limits the whole call.
  void Call(const Address& aAddress,
            const HttpRequest& aRequest,
            Duration aTimeout,
            Callback aCallback);
  void Call(const Address& aAddress,
            const HttpRequest& aRequest,
            HttpTimeouts aTimeouts,
            MeasuredCallback aCallback);

  // aTimeout limits the time until the response head, aIdleTimeout the time
  // without a chunk afterwards.
  std::shared_ptr<HttpStream> Stream(const Address& aAddress,
                                     const HttpRequest& aRequest,
                                     Duration aTimeout,
                                     Duration aIdleTimeout,
                                     HttpStreamHooks aHooks);

private:
  class Pool;
  class PendingCall;
  class PendingStream;
  std::shared_ptr<Pool> pool_;
};

}
