#include "proxy/BackendExchange.h"

#include "http/HeaderNameList.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridotsail::detail {

namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// The largest part of a response's body that is forwarded at once.
constexpr std::size_t kResponseReadBytes = 16 << 10;
// Interim responses that may precede a response.
constexpr int kMaxInterimResponses = 32;
constexpr int kSwitchingProtocols = 101;

// Interval for checking the deadline and progress.
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

// The kernel drops a connection when sent data stays unacknowledged, or
// keep-alive probes stay unanswered, for this long.
constexpr int kUserTimeoutMs = 5000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void
SetLivenessOptions(tcp::socket& aSocket)
{
  const auto set = [&aSocket](int aLevel, int aOption, int aValue) {
    ::setsockopt(
      aSocket.native_handle(), aLevel, aOption, &aValue, sizeof(aValue));
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

bool
ReportsNotRun(const HttpHeaders& aHeaders)
{
  const std::string* state = FindHeader(aHeaders, "Execution-State");
  return state != nullptr && *state == NameOf(ExecutionState::NotRun);
}

bool
IsNeverForwarded(const std::string& aName)
{
  constexpr std::array<const char*, 12> kNames{ "Authorization",
                                                "Connection",
                                                "Content-Length",
                                                "Expect",
                                                "Keep-Alive",
                                                "Proxy-Authenticate",
                                                "Proxy-Authorization",
                                                "TE",
                                                "Trailer",
                                                "Transfer-Encoding",
                                                "Upgrade",
                                                "Request-Timeout" };
  return std::any_of(kNames.begin(), kNames.end(), [&](const char* aOther) {
    return EqualIgnoreCase(aName, aOther);
  });
}

HeaderNameList
ListedByConnection(const HttpHeaders& aHeaders)
{
  std::vector<std::string_view> values;
  for (const HttpHeader& header : aHeaders) {
    if (EqualIgnoreCase(header.name_, "Connection")) {
      values.push_back(header.value_);
    }
  }
  return HeaderNameList(values);
}

}

HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders)
{
  const HeaderNameList listed = ListedByConnection(aHeaders);
  HttpHeaders kept;
  for (const HttpHeader& header : aHeaders) {
    if (!listed.Has(header.name_) && !IsNeverForwarded(header.name_)) {
      kept.push_back(header);
    }
  }
  return kept;
}

BackendExchange::BackendExchange(BackendConnections& aConnections,
                                 IncomingRequestPtr aRequest,
                                 RequestHead aHead,
                                 ExchangeOptions aOptions,
                                 Done aDone)
  : connections_(aConnections)
  , incoming_(std::move(aRequest))
  , head_(std::move(aHead))
  , options_(std::move(aOptions))
  , done_(std::move(aDone))
  , timer_(aConnections.Context())
{
}

void
BackendExchange::Start()
{
  lastProgress_ = BootClock::now();
  incoming_->SetOnCancelled([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->result_.callerDisconnected_ = true;
      self->Cancel(
        { ErrorKind::BadRequest, "the caller closed the connection" });
    }
  });
  ArmTimer();
  if (options_.reuseConnection_) {
    connection_ = connections_.TakeIdle(options_.serverAddress_);
  }
  if (connection_ != nullptr) {
    result_.reusedConnection_ = true;
    SendHead();
    return;
  }
  Connect();
}

void
BackendExchange::Cancel(const Error& aError)
{
  Fail(aError);
}

void
BackendExchange::Connect()
{
  connection_ = connections_.Create(options_.serverAddress_);
  const auto address = ParseAddress(options_.serverAddress_);
  if (!address) {
    Fail({ ErrorKind::Internal, "the backend server's address is malformed" });
    return;
  }
  connection_->stream_.expires_after(ToSteady(options_.connectTimeout_));
  connection_->stream_.async_connect(
    ToEndpoint(*address), [self = shared_from_this()](ErrorCode aError) {
      if (self->finished_) {
        return;
      }
      if (aError) {
        self->result_.connectFailed_ = true;
        self->Fail({ ErrorKind::NoBackendServer,
                     "cannot connect to the backend server" });
        return;
      }
      ErrorCode ignored;
      self->connection_->stream_.expires_never();
      self->connection_->stream_.socket().set_option(tcp::no_delay(true),
                                                     ignored);
      SetLivenessOptions(self->connection_->stream_.socket());
      self->SendHead();
    });
}

std::string
BackendExchange::HeadText() const
{
  std::string head = head_.method_ + ' ' + head_.target_ + " HTTP/1.1\r\n";
  for (const HttpHeader& header : head_.headers_) {
    AppendField(head, header.name_, header.value_);
  }
  const Duration remaining = options_.deadline_ - BootClock::now();
  AppendField(
    head,
    "Request-Timeout",
    std::to_string(std::max<std::int64_t>(0, ToMilliseconds(remaining))));
  if (head_.contentLength_) {
    AppendField(head, "Content-Length", std::to_string(*head_.contentLength_));
  } else if (head_.hasBody_) {
    AppendField(head, "Transfer-Encoding", "chunked");
  }
  return head + "\r\n";
}

void
BackendExchange::SendHead()
{
  if (options_.mayStart_ && !options_.mayStart_()) {
    Fail({ ErrorKind::PeerUnreachable, "the lease of the slot has expired" });
    return;
  }
  headText_ = HeadText();
  // From here on the server may have received part of the request.
  result_.execution_ = ExecutionState::Unknown;
  Progress(ConnectionPhase::Sending);
  asio::async_write(
    connection_->stream_,
    asio::buffer(headText_),
    [self = shared_from_this()](ErrorCode aError, std::size_t aBytes) {
      if (self->finished_) {
        return;
      }
      if (aError) {
        if (aBytes == 0) {
          self->result_.execution_ = ExecutionState::NotRun;
        }
        self->FailConnection(aError);
        return;
      }
      self->ReadHead();
      if (self->head_.hasBody_) {
        self->ForwardRequestBody();
      } else {
        self->requestSent_ = true;
        self->Progress(ConnectionPhase::AwaitingResponse);
      }
    });
}

void
BackendExchange::ForwardRequestBody()
{
  result_.bodyConsumed_ = true;
  Progress(ConnectionPhase::AwaitingCaller);
  incoming_->ReadBody([self = shared_from_this()](
                        std::optional<BodyChunk> aChunk, const Error& aError) {
    if (self->finished_) {
      return;
    }
    if (!aChunk) {
      self->result_.callerDisconnected_ = true;
      self->Fail(aError);
      return;
    }
    self->bodyBytes_ += aChunk->bytes_.size();
    if (self->bodyBytes_ > self->options_.maxBodyBytes_) {
      self->Fail({ ErrorKind::BodyTooLarge, "" });
      return;
    }
    self->Progress(ConnectionPhase::Sending);
    self->WriteRequestChunk(std::move(*aChunk));
  });
}

void
BackendExchange::WriteRequestChunk(BodyChunk aChunk)
{
  writeBuffer_ = std::move(aChunk.bytes_);
  const bool chunked = !head_.contentLength_;
  frame_ =
    chunked ? FrameChunk(writeBuffer_.size(), aChunk.last_) : ChunkFrame();
  const std::array<asio::const_buffer, 3> bytes{ asio::buffer(frame_.before_),
                                                 asio::buffer(writeBuffer_),
                                                 asio::buffer(frame_.after_) };
  asio::async_write(connection_->stream_,
                    bytes,
                    [self = shared_from_this(),
                     last = aChunk.last_](ErrorCode aError, std::size_t) {
                      if (self->finished_) {
                        return;
                      }
                      if (aError) {
                        // The server may already be sending its response, so
                        // the read operation reports the error.
                        return;
                      }
                      if (last) {
                        self->requestSent_ = true;
                        self->Progress(ConnectionPhase::AwaitingResponse);
                      } else {
                        self->ForwardRequestBody();
                      }
                    });
}

void
BackendExchange::ReadHead()
{
  parser_.emplace();
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(boost::none);
  if (head_.method_ == "HEAD") {
    parser_->skip(true);
  }
  http::async_read_header(
    connection_->stream_,
    connection_->buffer_,
    *parser_,
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (!self->finished_) {
        self->OnResponseHead(aError);
      }
    });
}

void
BackendExchange::OnResponseHead(const ErrorCode& aError)
{
  if (aError) {
    FailConnection(aError);
    return;
  }
  const int status = static_cast<int>(parser_->get().result_int());
  // No request asks for another protocol.
  if (!IsValidStatus(status) || status == kSwitchingProtocols) {
    FailConnection(make_error_code(http::error::bad_status));
    return;
  }
  if (status / 100 == 1) {
    ++interimResponses_;
    if (interimResponses_ > kMaxInterimResponses) {
      FailConnection(make_error_code(http::error::bad_status));
      return;
    }
    ReadHead();
    return;
  }
  headReceived_ = true;
  result_.status_ = status;
  if (ReportsNotRun(ToHeaders(parser_->get()))) {
    result_.shed_ = true;
    result_.execution_ = ExecutionState::NotRun;
    Fail({ ErrorKind::QueueFull, "the backend server shed the request" });
    return;
  }
  ForwardHead();
}

void
BackendExchange::ForwardHead()
{
  ResponseHead head;
  head.status_ = result_.status_;
  head.headers_ = ForwardableHeaders(ToHeaders(parser_->get()));
  if (const auto length = parser_->content_length()) {
    head.contentLength_ = *length;
  }
  Progress(ConnectionPhase::AwaitingCaller);
  incoming_->SendHead(std::move(head), [self = shared_from_this()](bool aOk) {
    if (self->finished_) {
      return;
    }
    if (!aOk) {
      self->result_.callerDisconnected_ = true;
      self->Fail({ ErrorKind::BadRequest, "the caller has disconnected" });
      return;
    }
    self->ForwardResponseBody();
  });
}

void
BackendExchange::ForwardResponseBody()
{
  if (parser_->is_done() && IsTruncated()) {
    FailConnection(make_error_code(http::error::partial_message));
    return;
  }
  if (parser_->is_done()) {
    incoming_->SendBody({ "", true }, [self = shared_from_this()](bool aOk) {
      if (self->finished_) {
        return;
      }
      self->result_.callerDisconnected_ = !aOk;
      self->Complete();
    });
    return;
  }
  Progress(ConnectionPhase::Receiving);
  readBuffer_.resize(kResponseReadBytes);
  parser_->get().body().data = readBuffer_.data();
  parser_->get().body().size = readBuffer_.size();
  http::async_read_some(
    connection_->stream_,
    connection_->buffer_,
    *parser_,
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (!self->finished_) {
        self->ForwardResponseChunk(aError);
      }
    });
}

// A response without a length ends with the connection. The error of a reset
// may have been reported to the write, so the end counts only after the whole
// request was written.
bool
BackendExchange::IsTruncated()
{
  return parser_->need_eof() &&
         (!requestSent_ || HasPendingError(connection_->stream_.socket()));
}

void
BackendExchange::ForwardResponseChunk(const ErrorCode& aError)
{
  if (aError && aError != http::error::need_buffer) {
    FailConnection(aError);
    return;
  }
  const std::size_t size = readBuffer_.size() - parser_->get().body().size;
  if (size == 0) {
    ForwardResponseBody();
    return;
  }
  Progress(ConnectionPhase::AwaitingCaller);
  incoming_->SendBody(
    { { readBuffer_.data(), size }, false },
    [self = shared_from_this()](bool aOk) {
      if (self->finished_) {
        return;
      }
      if (!aOk) {
        self->result_.callerDisconnected_ = true;
        self->Fail({ ErrorKind::BadRequest, "the caller has disconnected" });
        return;
      }
      self->ForwardResponseBody();
    });
}

void
BackendExchange::Complete()
{
  finished_ = true;
  timer_.cancel();
  incoming_->SetOnCancelled(nullptr);
  result_.execution_ = ExecutionState::Complete;
  // A connection on which the request body was not sent completely cannot be
  // reused.
  if (requestSent_ && parser_->get().keep_alive()) {
    connections_.Return(std::move(connection_));
  } else {
    connections_.ReportClosed(*connection_);
  }
  done_(result_);
}

void
BackendExchange::FailConnection(const ErrorCode& aError)
{
  result_.connectionLost_ = true;
  Fail(
    { ErrorKind::BackendFailed,
      "the connection to the backend server was lost: " + aError.message() });
}

void
BackendExchange::Fail(const Error& aError)
{
  if (finished_) {
    return;
  }
  finished_ = true;
  timer_.cancel();
  incoming_->SetOnCancelled(nullptr);
  result_.error_ = aError;
  if (connection_ != nullptr) {
    connections_.ReportClosed(*connection_);
    connection_->stream_.close();
  }
  done_(result_);
}

void
BackendExchange::Progress(ConnectionPhase aPhase)
{
  lastProgress_ = BootClock::now();
  connections_.Health().Progress(
    connection_->id_, aPhase, lastProgress_, options_.responseTimeout_);
}

void
BackendExchange::ArmTimer()
{
  timer_.expires_after(ToSteady(kCheckInterval));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && !self->finished_) {
      self->OnTimer();
    }
  });
}

void
BackendExchange::OnTimer()
{
  const TimePoint now = BootClock::now();
  if (!headReceived_ && now >= options_.deadline_) {
    Fail({ ErrorKind::DeadlineExceeded, "" });
    return;
  }
  if (connection_ != nullptr &&
      connections_.Health().RemoveIfStalled(connection_->id_, now)) {
    result_.stalledConnectionOpenedAt_ = connection_->openedAt_;
    Fail({ ErrorKind::BackendStalled, "" });
    return;
  }
  if (now - lastProgress_ > options_.progressTimeout_ &&
      (headReceived_ || !requestSent_)) {
    Fail({ ErrorKind::BackendStalled, "the caller made no progress" });
    return;
  }
  ArmTimer();
}

}
