#include "gateway/CallerConnection.h"

#include <boost/asio/write.hpp>

namespace peridotsail::detail {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
// Requests of one connection that may be in progress at the same time.
constexpr std::size_t kMaxPipelined = 16;
// Bytes of pipelined requests that are buffered while others are in progress,
// in addition to a request head.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// Retry-After of requests that were not received completely when the process
// exits, in seconds: the caller turns to another host.
constexpr char kExitRetryAfter[] = "0.300";
// How long the socket stays open after the last response, so that the caller
// can read it.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

bool
BodyAllowed(const std::string& aMethod, int aStatus)
{
  return aMethod != "HEAD" && aStatus >= 200 && aStatus != 204 &&
         aStatus != 304;
}

std::string
Serialize(const CallerResponse& aResponse, const std::string& aMethod)
{
  http::response<http::empty_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(aResponse.status_));
  SetHeaders(response, aResponse.headers_);
  if (BodyAllowed(aMethod, aResponse.status_)) {
    response.content_length(aResponse.body_.size());
  }
  if (aResponse.close_) {
    response.set(http::field::connection, "close");
  }
  std::ostringstream head;
  head << response.base();
  std::string bytes = head.str();
  if (BodyAllowed(aMethod, aResponse.status_)) {
    bytes += aResponse.body_;
  }
  return bytes;
}

}

class CallerConnection::PendingRequest : public CallerExchange
{
public:
  PendingRequest(std::weak_ptr<CallerConnection> aConnection,
                 CallerRequest aRequest)
    : connection_(std::move(aConnection))
    , request_(std::move(aRequest))
  {
  }

  const CallerRequest& Request() const override { return request_; }

  bool IsFront() const override
  {
    const auto connection = connection_.lock();
    return connection && !connection->pipeline_.empty() &&
           connection->pipeline_.front().get() == this;
  }

  void Respond(CallerResponse aResponse) override
  {
    if (response_) {
      return;
    }
    response_ = std::move(aResponse);
    callbacks_ = {};
    if (const auto connection = connection_.lock()) {
      connection->WriteNextResponse();
    }
  }

  std::weak_ptr<CallerConnection> connection_;
  CallerRequest request_;
  CallerHooks::RequestCallbacks callbacks_;
  std::optional<CallerResponse> response_;
};

CallerConnection::CallerConnection(tcp::socket aSocket,
                                   const CallerHooks& aHooks)
  : socket_(std::move(aSocket))
  , hooks_(aHooks)
  , lastActivity_(BootClock::now())
{
}

void
CallerConnection::Start()
{
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  NewParser();
  Read();
}

bool
CallerConnection::IsIdle() const
{
  return pipeline_.empty() && !writing_ && !headerSince_;
}

void
CallerConnection::CloseIfIdle()
{
  if (IsIdle()) {
    Close();
  }
}

void
CallerConnection::AnswerRemaining()
{
  readClosed_ = true;
  if (headerSince_) {
    // The rest of this request would come too late.
    RespondLast(503, { { "Retry-After", kExitRetryAfter } });
  }
  // An answer changes the pipeline.
  const std::deque<std::shared_ptr<PendingRequest>> pipeline = pipeline_;
  for (const auto& pending : pipeline) {
    const auto onHostExit = pending->callbacks_.onHostExit_;
    if (onHostExit) {
      onHostExit();
    }
  }
}

void
CallerConnection::NewParser()
{
  const GatewayLimits limits = hooks_.limits_();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
  parser_->body_limit(limits.maxBodyBytes_);
  framing_ = {};
  headerSince_.reset();
  continueSent_ = false;
}

std::size_t
CallerConnection::MaxBufferedBytes() const
{
  return kMaxPipelinedBytes + hooks_.limits_().maxHeaderBytes_;
}

void
CallerConnection::CheckTimeouts(TimePoint aNow)
{
  if (closed_) {
    return;
  }
  if (wroteLastResponse_) {
    if (aNow - lastActivity_ > kLingerTimeout) {
      Close();
    }
    return;
  }
  const GatewayLimits limits = hooks_.limits_();
  if (headerSince_ && !parser_->is_header_done() &&
      aNow - *headerSince_ > limits.headerTimeout_) {
    Reject(408, "header timeout");
    return;
  }
  const bool waitsForCaller = headerSince_ || IsIdle() || writing_;
  if (!waitsForCaller || aNow - lastActivity_ <= limits.idleTimeout_) {
    return;
  }
  if (headerSince_ && !writing_) {
    Reject(408, "body timeout");
  } else {
    CancelAll();
  }
}

void
CallerConnection::Read()
{
  if (reading_ || closed_ || buffer_.size() >= MaxBufferedBytes()) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      self->reading_ = false;
      if (self->closed_) {
        return;
      }
      self->buffer_.commit(aSize);
      self->OnRead(aError);
    });
}

void
CallerConnection::OnRead(const ErrorCode& aError)
{
  if (aError) {
    CancelAll();
    return;
  }
  lastActivity_ = BootClock::now();
  if (readClosed_) {
    buffer_.consume(buffer_.size());
  } else {
    ParseBuffered();
  }
  if (!closed_) {
    Read();
  }
}

void
CallerConnection::ParseBuffered()
{
  if (hooks_.isDraining_() && !pipeline_.empty()) {
    // The requests in progress are the last ones of this connection.
    readClosed_ = true;
  }
  while (!readClosed_ && !closed_ && buffer_.size() > 0 &&
         pipeline_.size() < kMaxPipelined) {
    if (!ParseOne()) {
      return;
    }
  }
}

// Returns whether input was consumed, so that parsing may continue.
bool
CallerConnection::ParseOne()
{
  if (!headerSince_) {
    headerSince_ = BootClock::now();
  }
  ErrorCode error;
  const std::size_t consumed = parser_->put(buffer_.data(), error);
  buffer_.consume(consumed);
  framing_.OnParsed(consumed);
  if (error == http::error::need_more) {
    RejectLongFraming();
    return false;
  }
  if (error == http::error::header_limit) {
    Reject(431, error.message());
    return false;
  }
  if (error == http::error::body_limit) {
    Reject(413, error.message());
    return false;
  }
  if (error) {
    Reject(400, error.message());
    return false;
  }
  if (parser_->is_done()) {
    OnRequest();
    return true;
  }
  if (RejectLongFraming()) {
    return false;
  }
  SendContinue();
  return consumed > 0 && buffer_.size() > 0;
}

bool
CallerConnection::RejectLongFraming()
{
  const std::size_t body = parser_->get().body().size();
  // Without a bound here, a chunk line that fills the buffer would never be
  // parsed and would wait for the idle timeout.
  const bool tooLong = buffer_.size() >= MaxBufferedBytes() ||
                       framing_.IsExceeded(buffer_.size(), body);
  if (tooLong) {
    Reject(400, "request framing exceeds the limit");
  }
  return tooLong;
}

void
CallerConnection::SendContinue()
{
  const bool expected =
    parser_->is_header_done() && !continueSent_ && pipeline_.empty() &&
    beast::iequals(parser_->get()[http::field::expect], "100-continue");
  if (!expected) {
    return;
  }
  continueSent_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(socket_,
                    asio::buffer(kContinue),
                    [self = shared_from_this()](ErrorCode, std::size_t) {});
}

void
CallerConnection::OnRequest()
{
  auto& message = parser_->get();
  CallerRequest request;
  request.method_ = std::string(ToView(message.method_string()));
  request.target_ = std::string(ToView(message.target()));
  request.host_ = std::string(ToView(message[http::field::host]));
  request.headers_ = ToHeaders(message);
  request.body_ = std::move(message.body());
  request.arrivedAt_ = BootClock::now();
  if (!message.keep_alive()) {
    readClosed_ = true;
  }
  const auto pending =
    std::make_shared<PendingRequest>(weak_from_this(), std::move(request));
  pipeline_.push_back(pending);
  NewParser();
  CallerHooks::RequestCallbacks callbacks = hooks_.onRequest_(pending);
  if (!pending->response_) {
    pending->callbacks_ = std::move(callbacks);
  }
}

void
CallerConnection::Reject(int aStatus, const std::string& aReason)
{
  hooks_.onMalformed_(aStatus, aReason);
  RespondLast(aStatus, {});
}

// Answers a request that was not received completely, and closes the connection
// after it.
void
CallerConnection::RespondLast(int aStatus, HttpHeaders aHeaders)
{
  readClosed_ = true;
  headerSince_.reset();
  const auto pending =
    std::make_shared<PendingRequest>(weak_from_this(), CallerRequest());
  pipeline_.push_back(pending);
  CallerResponse response;
  response.status_ = aStatus;
  response.headers_ = std::move(aHeaders);
  response.close_ = true;
  pending->Respond(std::move(response));
}

void
CallerConnection::WriteNextResponse()
{
  if (writing_ || closed_ || wroteLastResponse_ || pipeline_.empty() ||
      !pipeline_.front()->response_) {
    return;
  }
  const std::shared_ptr<PendingRequest> pending = pipeline_.front();
  pipeline_.pop_front();
  CallerResponse& response = *pending->response_;
  const bool last = pipeline_.empty() && (readClosed_ || hooks_.isDraining_());
  response.close_ = response.close_ || last;
  outgoing_ = Serialize(response, pending->request_.method_);
  writing_ = true;
  wroteLastResponse_ = response.close_;
  lastActivity_ = BootClock::now();
  asio::async_write(socket_,
                    asio::buffer(outgoing_),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      self->OnWritten(aError);
                    });
  if (wroteLastResponse_) {
    // Requests that were pipelined behind the last response are dropped; the
    // caller must treat them as not processed.
    readClosed_ = true;
    CancelAll();
  } else {
    NotifyFront();
  }
}

void
CallerConnection::OnWritten(const ErrorCode& aError)
{
  writing_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    wroteLastResponse_ = false;
    CancelAll();
    return;
  }
  lastActivity_ = BootClock::now();
  if (wroteLastResponse_) {
    ShutdownSend();
    return;
  }
  ParseBuffered();
  Read();
  WriteNextResponse();
}

// Sends FIN but keeps reading: unread input at close would make the kernel send
// RST, and the caller could lose the response.
void
CallerConnection::ShutdownSend()
{
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  lastActivity_ = BootClock::now();
  Read();
}

void
CallerConnection::NotifyFront()
{
  if (pipeline_.empty() || pipeline_.front()->response_) {
    return;
  }
  const auto onFront = pipeline_.front()->callbacks_.onFront_;
  if (onFront) {
    onFront();
  }
}

// Cancels all requests of the connection and closes it, unless its last
// response is still being written.
void
CallerConnection::CancelAll()
{
  std::deque<std::shared_ptr<PendingRequest>> cancelled;
  cancelled.swap(pipeline_);
  for (const auto& pending : cancelled) {
    const auto onDisconnect = pending->callbacks_.onDisconnect_;
    pending->callbacks_ = {};
    if (onDisconnect) {
      onDisconnect();
    }
  }
  if (!wroteLastResponse_ || !writing_) {
    Close();
  }
}

void
CallerConnection::Close()
{
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
}

}
