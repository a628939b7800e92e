#include "http/HttpClient.h"

#include "http/BeastTypes.h"

#include <deque>
#include <map>

namespace peridotsail {

using namespace detail;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

http::request<http::string_body>
ToBeast(const Address& aAddress, const HttpRequest& aRequest)
{
  http::request<http::string_body> request;
  request.version(11);
  SetMethod(request, aRequest.method_);
  request.target(aRequest.target_);
  request.set(http::field::host, AddressText(aAddress));
  SetHeaders(request, aRequest.headers_);
  request.body() = aRequest.body_;
  request.prepare_payload();
  return request;
}

Error
ToError(const ErrorCode& aError)
{
  return { ErrorKind::PeerUnreachable, aError.message() };
}

}

// A pool of idle connections, by address.
class HttpClient::Pool
{
public:
  struct Idle
  {
    std::unique_ptr<beast::tcp_stream> stream_;
    TimePoint idleSince_;
  };

  Pool(asio::io_context& aContext, HttpClientOptions aOptions)
    : context_(aContext)
    , options_(aOptions)
  {
  }

  // Returns null if there is no usable idle connection.
  std::unique_ptr<beast::tcp_stream> Take(const Address& aAddress)
  {
    std::deque<Idle>& idle = idle_[AddressText(aAddress)];
    const TimePoint now = BootClock::now();
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (now - last.idleSince_ < options_.idleTimeout_) {
        return std::move(last.stream_);
      }
    }
    return nullptr;
  }

  void Return(const Address& aAddress,
              std::unique_ptr<beast::tcp_stream> aStream)
  {
    std::deque<Idle>& idle = idle_[AddressText(aAddress)];
    idle.push_back({ std::move(aStream), BootClock::now() });
    if (idle.size() > options_.maxIdleConnections_) {
      idle.pop_front();
    }
  }

  asio::io_context& context_;
  HttpClientOptions options_;

private:
  std::map<std::string, std::deque<Idle>> idle_;
};

class HttpClient::PendingCall : public std::enable_shared_from_this<PendingCall>
{
public:
  PendingCall(std::shared_ptr<Pool> aPool,
              Address aAddress,
              const HttpRequest& aRequest,
              HttpTimeouts aTimeouts,
              MeasuredCallback aCallback)
    : pool_(std::move(aPool))
    , address_(std::move(aAddress))
    , request_(ToBeast(address_, aRequest))
    , timeouts_(aTimeouts)
    , callback_(std::move(aCallback))
  {
  }

  void Start()
  {
    startedAt_ = BootClock::now();
    stream_ = pool_->Take(address_);
    reused_ = stream_ != nullptr;
    if (reused_) {
      AwaitResponse();
      Write();
    } else {
      Connect();
    }
  }

private:
  // Sets the timeout until the first bytes of the response. A second connection
  // does not extend it.
  void AwaitResponse()
  {
    const Duration left = startedAt_ + timeouts_.response_ - BootClock::now();
    stream_->expires_after(ToSteady(std::max(Duration::zero(), left)));
  }

  // Extends the timeout if the transfer makes progress.
  void ExtendTimeout(std::size_t aBytes)
  {
    const bool first = transfer_.receivedBytes_ == 0;
    bytesSinceExtension_ += aBytes;
    const bool progress =
      aBytes > 0 && (first || bytesSinceExtension_ >= kMinProgressBytes);
    if (progress && timeouts_.progress_ > Duration::zero()) {
      bytesSinceExtension_ = 0;
      stream_->expires_after(ToSteady(timeouts_.progress_));
    }
  }

  void Connect()
  {
    reused_ = false;
    buffer_.clear();
    parser_.emplace();
    stream_ = std::make_unique<beast::tcp_stream>(pool_->context_);
    AwaitResponse();
    stream_->async_connect(ToEndpoint(address_),
                           [self = shared_from_this()](ErrorCode aError) {
                             if (aError) {
                               self->Finish(std::nullopt, ToError(aError));
                               return;
                             }
                             self->Write();
                           });
  }

  void Write()
  {
    parser_.emplace();
    parser_->body_limit(pool_->options_.maxBodyBytes_);
    parser_->header_limit(kMaxHeaderBytes);
    http::async_write(
      *stream_,
      request_,
      [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          self->Fail(aError);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    http::async_read_some(
      *stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](ErrorCode aError, std::size_t aBytes) {
        self->OnRead(aError, aBytes);
      });
  }

  void OnRead(const ErrorCode& aError, std::size_t aBytes)
  {
    if (aBytes > 0 && transfer_.receivedBytes_ == 0) {
      transfer_.firstByteAfter_ = BootClock::now() - startedAt_;
    }
    if (aError) {
      transfer_.receivedBytes_ += aBytes;
      Fail(aError);
      return;
    }
    ExtendTimeout(aBytes);
    transfer_.receivedBytes_ += aBytes;
    if (!parser_->is_done()) {
      Read();
    } else if (parser_->need_eof() && HasPendingError(stream_->socket())) {
      // The end of the connection ends a response without a length only if it
      // was an orderly one.
      Fail(http::error::partial_message);
    } else {
      Complete();
    }
  }

  void Fail(const ErrorCode& aError)
  {
    const bool closedWhileIdle = reused_ && aError != beast::error::timeout;
    if (closedWhileIdle && request_.method() == http::verb::get) {
      Connect();
      return;
    }
    Finish(std::nullopt, ToError(aError));
  }

  void Complete()
  {
    auto message = parser_->release();
    HttpResponse response;
    response.status_ = static_cast<int>(message.result_int());
    response.headers_ = ToHeaders(message);
    response.body_ = std::move(message.body());
    if (message.keep_alive()) {
      pool_->Return(address_, std::move(stream_));
    }
    Finish(std::move(response), {});
  }

  void Finish(std::optional<HttpResponse> aResponse, const Error& aError)
  {
    stream_.reset();
    transfer_.duration_ = BootClock::now() - startedAt_;
    const MeasuredCallback callback = std::move(callback_);
    callback(std::move(aResponse), aError, transfer_);
  }

  std::shared_ptr<Pool> pool_;
  Address address_;
  http::request<http::string_body> request_;
  HttpTimeouts timeouts_;
  MeasuredCallback callback_;
  TimePoint startedAt_;
  HttpTransfer transfer_;
  std::size_t bytesSinceExtension_ = 0;
  std::unique_ptr<beast::tcp_stream> stream_;
  bool reused_ = false;
  beast::flat_buffer buffer_{ kMaxUnparsedBytes };
  std::optional<http::response_parser<http::string_body>> parser_;
};

class HttpClient::PendingStream
  : public HttpStream
  , public std::enable_shared_from_this<PendingStream>
{
public:
  PendingStream(asio::io_context& aContext,
                const Address& aAddress,
                const HttpRequest& aRequest,
                Duration aTimeout,
                Duration aIdleTimeout,
                HttpStreamHooks aHooks)
    : address_(aAddress)
    , request_(ToBeast(aAddress, aRequest))
    , idleTimeout_(aIdleTimeout)
    , hooks_(std::move(aHooks))
    , stream_(aContext)
  {
    stream_.expires_after(ToSteady(aTimeout));
    parser_.body_limit(boost::none);
    parser_.header_limit(kMaxHeaderBytes);
  }

  void Start()
  {
    stream_.async_connect(ToEndpoint(address_),
                          [self = shared_from_this()](ErrorCode aError) {
                            if (self->StopOnError(aError)) {
                              return;
                            }
                            self->Write();
                          });
  }

  void Cancel() override
  {
    closed_ = true;
    stream_.close();
  }

private:
  bool StopOnError(const ErrorCode& aError)
  {
    if (closed_) {
      return true;
    }
    if (aError) {
      End(ToError(aError));
      return true;
    }
    return false;
  }

  void End(const Error& aError)
  {
    closed_ = true;
    stream_.close();
    hooks_.onEnd_(aError);
  }

  void Write()
  {
    http::async_write(
      stream_,
      request_,
      [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (!self->StopOnError(aError)) {
          self->ReadHead();
        }
      });
  }

  void ReadHead()
  {
    http::async_read_header(
      stream_,
      buffer_,
      parser_,
      [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (self->StopOnError(aError)) {
          return;
        }
        if (self->hooks_.onHead_) {
          self->hooks_.onHead_(
            static_cast<int>(self->parser_.get().result_int()));
        }
        self->ReadChunk();
      });
  }

  void ReadChunk()
  {
    if (closed_) {
      return;
    }
    if (parser_.is_done()) {
      End({ ErrorKind::PeerUnreachable, "the server closed the stream" });
      return;
    }
    stream_.expires_after(ToSteady(idleTimeout_));
    parser_.get().body().data = chunk_.data();
    parser_.get().body().size = chunk_.size();
    http::async_read_some(
      stream_,
      buffer_,
      parser_,
      [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError == http::error::need_buffer) {
          aError = {};
        }
        if (!self->StopOnError(aError)) {
          self->DeliverChunk();
        }
      });
  }

  void DeliverChunk()
  {
    const std::size_t size = chunk_.size() - parser_.get().body().size;
    if (size > 0) {
      hooks_.onChunk_({ chunk_.data(), size });
    }
    ReadChunk();
  }

  Address address_;
  http::request<http::string_body> request_;
  Duration idleTimeout_;
  HttpStreamHooks hooks_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{ kMaxUnparsedBytes };
  http::response_parser<http::buffer_body> parser_;
  std::array<char, 16 << 10> chunk_{};
  bool closed_ = false;
};

HttpClient::HttpClient(asio::io_context& aContext, HttpClientOptions aOptions)
  : pool_(std::make_shared<Pool>(aContext, aOptions))
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Call(const Address& aAddress,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 Callback aCallback)
{
  // Without an extension the first timeout limits the whole call.
  const HttpTimeouts timeouts{ aTimeout, Duration::zero() };
  Call(aAddress,
       aRequest,
       timeouts,
       [callback = std::move(aCallback)](std::optional<HttpResponse> aResponse,
                                         const Error& aError,
                                         const HttpTransfer&) {
         callback(std::move(aResponse), aError);
       });
}

void
HttpClient::Call(const Address& aAddress,
                 const HttpRequest& aRequest,
                 HttpTimeouts aTimeouts,
                 MeasuredCallback aCallback)
{
  std::make_shared<PendingCall>(
    pool_, aAddress, aRequest, aTimeouts, std::move(aCallback))
    ->Start();
}

std::shared_ptr<HttpStream>
HttpClient::Stream(const Address& aAddress,
                   const HttpRequest& aRequest,
                   Duration aTimeout,
                   Duration aIdleTimeout,
                   HttpStreamHooks aHooks)
{
  auto stream = std::make_shared<PendingStream>(pool_->context_,
                                                aAddress,
                                                aRequest,
                                                aTimeout,
                                                aIdleTimeout,
                                                std::move(aHooks));
  stream->Start();
  return stream;
}

}
