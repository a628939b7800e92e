#include "gateway/ServerExchange.h"

#include "base/EventLog.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>

namespace peridotsail {

namespace {

struct OutcomeName
{
  ExchangeOutcome outcome_;
  std::string_view name_;
};

constexpr std::array<OutcomeName, 4> kOutcomeNames{ {
  { ExchangeOutcome::Answered, "answered" },
  { ExchangeOutcome::NotExecuted, "not-run" },
  { ExchangeOutcome::ConnectionLost, "connection-lost" },
  { ExchangeOutcome::InvalidResponse, "broken-answer" },
} };

}

std::string_view
NameOf(ExchangeOutcome aOutcome)
{
  for (const OutcomeName& row : kOutcomeNames) {
    if (row.outcome_ == aOutcome) {
      return row.name_;
    }
  }
  return "";
}

}

namespace peridotsail::detail {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
// The longest pause that a server may request with Retry-After; a larger value
// is malformed or effectively infinite.
constexpr double kMaxRetryAfterSeconds = 3600;
// The largest header and body of a response.
constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;
constexpr std::uint64_t kMaxBodyBytes = 16 << 20;
// Interim and late responses that may precede the response to a request.
constexpr int kMaxSkippedMessages = 32;
constexpr int kSwitchingProtocols = 101;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

// Returns the timeout of a Keep-Alive header such as "timeout=5, max=100", or
// zero if there is none.
Duration
KeepAliveTimeout(const HeaderFields& aFields)
{
  constexpr std::string_view kName = "timeout=";
  const std::string_view text = aFields.Value("Keep-Alive");
  const std::size_t position = text.find(kName);
  if (position == std::string_view::npos) {
    return Duration::zero();
  }
  int seconds = 0;
  const char* begin = text.data() + position + kName.size();
  const auto parsed =
    std::from_chars(begin, text.data() + text.size(), seconds);
  return parsed.ec == std::errc() ? Duration(std::chrono::seconds(seconds))
                                  : Duration::zero();
}

}

ServerExchange::ServerExchange(ServerConnections& aConnections,
                               const GatewayHeaders& aHeaders,
                               ServerRequest aRequest,
                               Callback aCallback)
  : connections_(aConnections)
  , headers_(aHeaders)
  , request_(std::move(aRequest))
  , callback_(std::move(aCallback))
  , connectTimer_(aConnections.Context())
{
}

void
ServerExchange::Start()
{
  startedAt_ = BootClock::now();
  queueLengthAtStart_ =
    request_.granted_ ? 0 : request_.instance_->queue_.QueueLength(startedAt_);
  request_.instance_->queue_.OnRequestSent();
  connection_ =
    connections_.TakeIdle(request_.instance_, request_.requestId_, startedAt_);
  if (connection_) {
    Send();
  } else if (connections_.MakeRoom()) {
    Connect();
  } else {
    FailWithoutConnection();
  }
}

void
ServerExchange::FailWithoutConnection()
{
  asio::post(connections_.Context(), [self = shared_from_this()] {
    self->result_.noConnection_ = true;
    self->Finish(ExchangeOutcome::NotExecuted, "too many connections");
  });
}

void
ServerExchange::Connect()
{
  connection_ = connections_.Create(request_.instance_);
  connectTimer_.expires_after(ToSteady(request_.connectTimeout_));
  connectTimer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    // If the process was suspended, the connection may have been opened in the
    // same iteration of the event loop, and the request may already be sent.
    if (!aError && !self->finished_ && !self->sent_) {
      self->result_.unreachable_ = true;
      self->Finish(ExchangeOutcome::NotExecuted, "connect timeout");
    }
  });
  connection_->socket_.async_connect(
    ToEndpoint(request_.instance_->Record().address_),
    [self = shared_from_this()](ErrorCode aError) {
      if (self->finished_) {
        return;
      }
      self->connectTimer_.cancel();
      if (aError) {
        const bool noConnection = aError == asio::error::no_descriptors;
        self->result_.noConnection_ = noConnection;
        self->result_.unreachable_ = !noConnection;
        self->Finish(ExchangeOutcome::NotExecuted, aError.message());
        return;
      }
      self->connections_.OnConnected(*self->request_.instance_,
                                     BootClock::now() - self->startedAt_);
      self->connection_->Configure(
        self->connections_.Options().tcpUserTimeout_);
      self->Send();
    });
}

void
ServerExchange::Send()
{
  sent_ = true;
  connection_->OnRequestSent(request_.requestId_);
  std::vector<asio::const_buffer> bytes{ asio::buffer(request_.head_) };
  for (const std::string_view block : request_.body_->Blocks()) {
    bytes.emplace_back(block.data(), block.size());
  }
  asio::async_write(connection_->socket_,
                    bytes,
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      // A broken connection is also reported by the read, after
                      // the data that the server sent before.
                      self->written_ = !aError;
                    });
  NewParser();
  Read();
}

void
ServerExchange::NewParser()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->skip(request_.isHeadMethod_);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
}

void
ServerExchange::Read()
{
  if (paused_) {
    return;
  }
  // Without a buffer, because many requests may wait for their servers.
  connection_->socket_.async_wait(
    tcp::socket::wait_read, [self = shared_from_this()](ErrorCode aError) {
      if (self->finished_) {
        return;
      }
      if (aError) {
        self->OnRead(aError);
      } else {
        self->ReadAvailable();
      }
    });
}

void
ServerExchange::ReadAvailable()
{
  beast::flat_buffer& buffer = connection_->buffer_;
  ErrorCode error;
  const std::size_t size =
    connection_->socket_.read_some(buffer.prepare(kReadBytes), error);
  if (error == asio::error::would_block) {
    Read();
    return;
  }
  buffer.commit(size);
  OnRead(error);
}

void
ServerExchange::OnRead(const ErrorCode& aError)
{
  if (!aError) {
    if (Parse()) {
      Read();
    }
    return;
  }
  OnEnd(aError);
}

void
ServerExchange::OnEnd(const ErrorCode& aError)
{
  if (aError != asio::error::eof || !parser_->is_header_done() ||
      parser_->is_done()) {
    Finish(ExchangeOutcome::ConnectionLost, aError.message());
    return;
  }
  if (!EndsResponse()) {
    Finish(ExchangeOutcome::ConnectionLost, "truncated response");
    return;
  }
  // Returns true if the response was to another request; no more will follow.
  if (OnCompleteResponse()) {
    Finish(ExchangeOutcome::ConnectionLost, aError.message());
  }
}

// The error of a connection is reported once, to the first operation that meets
// it. If that is the write, the read sees an ordinary end.
bool
ServerExchange::EndsResponse()
{
  if (!written_ || HasPendingError(connection_->socket_)) {
    return false;
  }
  ErrorCode error;
  parser_->put_eof(error);
  return !error && parser_->is_done();
}

// Returns whether more input is needed.
bool
ServerExchange::Parse()
{
  beast::flat_buffer& buffer = connection_->buffer_;
  while (buffer.size() > 0) {
    ErrorCode error;
    const std::size_t consumed = parser_->put(buffer.data(), error);
    buffer.consume(consumed);
    framing_.OnParsed(consumed);
    if (error && error != http::error::need_more) {
      Finish(ExchangeOutcome::InvalidResponse, error.message());
      return false;
    }
    std::string reason;
    if (!UpdateBufferedBytes(reason)) {
      Finish(ExchangeOutcome::InvalidResponse, std::move(reason));
      return false;
    }
    if (parser_->is_header_done() && HasUnusableStatus()) {
      Finish(ExchangeOutcome::InvalidResponse,
             "status " + std::to_string(parser_->Head().status_));
      return false;
    }
    if (parser_->is_done() && !OnCompleteResponse()) {
      return false;
    }
    if (error || consumed == 0) {
      return true;
    }
  }
  return true;
}

// Returns whether the response to this request has not arrived yet.
bool
ServerExchange::OnCompleteResponse()
{
  const MessageHead& message = parser_->Head();
  const bool interim = message.status_ / 100 == 1;
  if (interim) {
    return SkipMessage();
  }
  if (!IsResponseToRequest(message)) {
    unrelatedResponse_ = true;
    return SkipMessage();
  }
  UpdateLoad(message);
  UpdateState(message);
  ClassifyResponse(message);
  return false;
}

bool
ServerExchange::HasUnusableStatus()
{
  const MessageHead& message = parser_->Head();
  const int status = message.status_;
  // No request asks for another protocol.
  if (status == kSwitchingProtocols) {
    return true;
  }
  return !IsValidStatus(status) && IsResponseToRequest(message);
}

bool
ServerExchange::SkipMessage()
{
  ++skippedMessages_;
  if (skippedMessages_ > kMaxSkippedMessages) {
    Finish(ExchangeOutcome::InvalidResponse, "too many other responses");
    return false;
  }
  framing_.OnMessage(parser_->Body().Size());
  NewParser();
  return true;
}

// A late response to an earlier request carries that request's id.
bool
ServerExchange::IsResponseToRequest(const MessageHead& aMessage)
{
  const std::string_view id = aMessage.fields_.Value(headers_.requestId_);
  if (!id.empty()) {
    return id == request_.requestId_;
  }
  // A refusal may lack an id. On a connection that carried other requests it
  // may belong to one of those.
  return connection_->requestCount_ == 1 && !unrelatedResponse_;
}

void
ServerExchange::ClassifyResponse(const MessageHead& aMessage)
{
  const int status = aMessage.status_;
  const bool isSigned = !aMessage.fields_.Value(headers_.signature_).empty();
  // 421: the address now belongs to another server.
  if (status == kMisdirected ||
      !aMessage.fields_.Value(headers_.notExecuted_).empty()) {
    ReturnConnection(aMessage);
    Finish(ExchangeOutcome::NotExecuted,
           "status " + std::to_string(status) + ", not executed");
    return;
  }
  const bool success = status / 100 == 2;
  if (success && !isSigned) {
    Finish(ExchangeOutcome::InvalidResponse,
           "2xx response without a signature");
    return;
  }
  if (aMessage.fields_.Has("Content-Encoding")) {
    Finish(ExchangeOutcome::InvalidResponse,
           "response with a Content-Encoding");
    return;
  }
  if (hold_) {
    hold_->Request(ResponseBytes(), BootClock::now());
  }
  result_.response_.status_ = status;
  result_.response_.headers_ = aMessage.fields_;
  result_.response_.body_ =
    std::make_shared<const BlockBuffer>(std::move(parser_->Body()));
  ReturnConnection(aMessage);
  Finish(ExchangeOutcome::Answered, "");
}

void
ServerExchange::UpdateLoad(const MessageHead& aMessage)
{
  const auto load =
    ParseReportedLoad(aMessage.fields_.Value(headers_.load_), BootClock::now());
  if (load) {
    request_.instance_->queue_.Report(*load);
  }
}

void
ServerExchange::UpdateState(const MessageHead& aMessage)
{
  const int status = aMessage.status_;
  // The response describes the state of another server than the intended one.
  if (status == kMisdirected) {
    return;
  }
  if (!aMessage.fields_.Value(headers_.leaving_).empty()) {
    request_.instance_->SetShuttingDown();
  }
  if (status == kUnavailable) {
    const std::string_view text = aMessage.fields_.Value("Retry-After");
    double seconds = 0;
    const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec == std::errc() && seconds > 0) {
      request_.instance_->SetBackoff(
        BootClock::now() +
        FromSeconds(std::min(seconds, kMaxRetryAfterSeconds)));
    }
  }
}

// Returns the memory that the body needs: an announced one as a whole.
std::size_t
ServerExchange::BodyBytes() const
{
  const std::size_t read = parser_->Body().CapacityAfter(0);
  const std::size_t announced =
    parser_->is_header_done() && !request_.isHeadMethod_
      ? static_cast<std::size_t>(parser_->content_length().value_or(0))
      : 0;
  return std::max(read, announced);
}

std::size_t
ServerExchange::ResponseBytes() const
{
  // The head is kept as it was read, as it is forwarded and as it is written.
  constexpr std::size_t kHeadCopies = 3;
  return BodyBytes() + kHeadCopies * parser_->Head().Bytes();
}

bool
ServerExchange::UpdateBufferedBytes(std::string& aReason)
{
  const std::size_t unparsed = connection_->buffer_.size();
  const std::size_t body = parser_->Body().Size();
  const std::size_t held = connection_->buffer_.capacity() + ResponseBytes();
  const TimePoint now = BootClock::now();
  if (!hold_) {
    hold_ = connections_.Memory().Open(
      HoldStage::Executing,
      [weak = weak_from_this()](MemoryNotice aNotice) {
        if (const auto self = weak.lock()) {
          self->OnMemory(aNotice);
        }
      },
      now);
  }
  if (parser_->is_done()) {
    // The bytes are here, and the response is complete.
    hold_->Force(held);
  } else if (held != hold_->Bytes()) {
    const MemoryVerdict verdict = hold_->Request(held, now);
    paused_ = verdict == MemoryVerdict::Waiting;
    if (verdict == MemoryVerdict::Refused) {
      result_.noMemory_ = true;
      aReason = "no memory for the response";
      return false;
    }
  }
  if (framing_.IsExceeded(unparsed, body)) {
    aReason = "response framing exceeds the limit";
    return false;
  }
  return true;
}

void
ServerExchange::OnMemory(MemoryNotice aNotice)
{
  if (finished_ || !paused_) {
    return;
  }
  paused_ = false;
  if (aNotice == MemoryNotice::Admitted) {
    Read();
    return;
  }
  LogEvent(Event::MemoryRefused,
           { { "request", request_.requestId_ },
             { "bytes", hold_ ? hold_->Bytes() : 0 } });
  result_.noMemory_ = true;
  Finish(ExchangeOutcome::InvalidResponse, "no memory for the response");
}

void
ServerExchange::ReturnConnection(const MessageHead& aMessage)
{
  const bool reusable = written_ && parser_->keep_alive() &&
                        !parser_->need_eof() && !unrelatedResponse_ &&
                        connection_->buffer_.size() == 0;
  if (reusable) {
    connection_->buffer_ = beast::flat_buffer();
    connections_.Return(std::move(connection_),
                        KeepAliveTimeout(aMessage.fields_),
                        BootClock::now());
  }
}

// Removes the request from the server's queue estimate. aExecuted tells whether
// its duration is a sample of the server's service time.
void
ServerExchange::ReleaseServer(bool aExecuted)
{
  hold_.reset();
  QueueEstimate& queue = request_.instance_->queue_;
  queue.OnRequestEnded();
  if (aExecuted) {
    const TimePoint now = BootClock::now();
    queue.RecordServiceTime(now - startedAt_, queueLengthAtStart_, now);
  }
}

void
ServerExchange::Finish(ExchangeOutcome aOutcome, std::string aReason)
{
  if (finished_) {
    return;
  }
  finished_ = true;
  if (aOutcome == ExchangeOutcome::Answered) {
    result_.response_.hold_ = std::move(hold_);
  }
  ReleaseServer(aOutcome == ExchangeOutcome::Answered);
  connectTimer_.cancel();
  if (connection_) {
    ErrorCode ignored;
    connection_->socket_.close(ignored);
  }
  result_.outcome_ = aOutcome;
  result_.reason_ = std::move(aReason);
  const Callback callback = std::move(callback_);
  callback(std::move(result_));
}

void
ServerExchange::Cancel()
{
  if (finished_) {
    return;
  }
  finished_ = true;
  ReleaseServer(sent_);
  connectTimer_.cancel();
  ErrorCode ignored;
  connection_->socket_.close(ignored);
  callback_ = nullptr;
}

}
