#include "gateway/PendingRequest.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace peridotsail::detail {

namespace {

// Bytes of pipelined requests that are buffered while others are in progress,
// in addition to a request head.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// Retry-After of requests that were not received completely when the process
// exits, in seconds: the caller turns to another host.
constexpr char kExitRetryAfter[] = "0.300";
// How long the socket stays open after the last response, so that the caller
// can read it.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);
// Bytes that are read after the last response, so that closing the socket does
// not reset the connection and the caller can read the response.
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;

// A body together with its memory.
struct HeldBody
{
  BlockBuffer bytes_;
  std::shared_ptr<MemoryHold> hold_;
};

}

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
  parser_->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
  parser_->body_limit(limits.maxBodyBytes_);
  framing_ = {};
  headerSince_.reset();
  headBytes_ = 0;
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
  if (wroteLastResponse_ && !writing_) {
    if (aNow - lingerSince_ > kLingerTimeout) {
      Close();
    }
    return;
  }
  if (paused_) {
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
    Close();
  }
}

void
CallerConnection::Read()
{
  if (reading_ || closed_ || paused_ || parseLater_) {
    return;
  }
  if (readClosed_) {
    Discard();
    return;
  }
  if (buffer_.size() >= MaxBufferedBytes()) {
    return;
  }
  reading_ = true;
  const bool isIdle = !headerSince_ && buffer_.size() == 0;
  if (isIdle && buffer_.capacity() > kIdleReadBytes) {
    // Idle connections are many, and keep only a small buffer.
    buffer_.shrink_to_fit();
  }
  socket_.async_read_some(
    buffer_.prepare(isIdle ? kIdleReadBytes : kReadBytes),
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      self->reading_ = false;
      if (self->closed_) {
        self->buffer_ = beast::flat_buffer();
        return;
      }
      self->buffer_.commit(aSize);
      self->OnRead(aError, aSize);
    });
}

void
CallerConnection::OnRead(const ErrorCode& aError, std::size_t aSize)
{
  if (aError) {
    CancelAll();
    return;
  }
  lastActivity_ = BootClock::now();
  if (hold_) {
    hold_->Progress(aSize, lastActivity_);
  }
  ParseBuffered();
  ReserveBuffer();
  Read();
}

void
CallerConnection::Discard()
{
  // Shared by all connections of the thread, since nobody reads its content.
  thread_local std::array<char, kReadBytes> discarded;
  reading_ = true;
  discardedBytes_ += buffer_.size();
  buffer_ = beast::flat_buffer();
  socket_.async_read_some(
    asio::buffer(discarded),
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      self->reading_ = false;
      if (!self->closed_) {
        self->OnDiscarded(aError, aSize);
      }
    });
}

void
CallerConnection::OnDiscarded(const ErrorCode& aError, std::size_t aSize)
{
  if (aError) {
    CancelAll();
    return;
  }
  lastActivity_ = BootClock::now();
  discardedBytes_ += aSize;
  if (discardedBytes_ > kMaxDiscardedBytes && wroteLastResponse_ && !writing_) {
    Close();
    return;
  }
  Read();
}

void
CallerConnection::ParseBuffered()
{
  if (hooks_.isDraining_() && !pipeline_.empty()) {
    // The requests in progress are the last ones of this connection.
    readClosed_ = true;
  }
  while (!readClosed_ && !closed_ && !parseLater_ && buffer_.size() > 0 &&
         pipeline_.size() < kMaxPipelined) {
    if (!Reserve() || !ParseOne()) {
      return;
    }
    if (!headerSince_) {
      ParseLater();
    }
  }
}

// A caller that sends many requests at once must not keep the others from
// having theirs handled.
void
CallerConnection::ParseLater()
{
  if (closed_ || readClosed_ || buffer_.size() == 0 ||
      pipeline_.size() >= kMaxPipelined) {
    return;
  }
  parseLater_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->parseLater_ = false;
    self->ParseBuffered();
    self->ReserveBuffer();
    self->Read();
  });
}

// Returns whether input was consumed, so that parsing may continue.
bool
CallerConnection::ParseOne()
{
  if (!headerSince_) {
    headerSince_ = BootClock::now();
  }
  ErrorCode error;
  // Stops behind the head, so that memory for the body can be reserved.
  const bool hadHead = parser_->is_header_done();
  parser_->eager(hadHead);
  const std::size_t consumed = parser_->put(buffer_.data(), error);
  buffer_.consume(consumed);
  framing_.OnParsed(consumed);
  headBytes_ += hadHead ? 0 : consumed;
  if (error == http::error::need_more) {
    if (!RejectLongFraming()) {
      ReleaseUnused();
    }
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
  if (!hadHead) {
    ReleaseUnused();
    if (!Reserve()) {
      return false;
    }
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
  const std::size_t body = parser_->Body().Size();
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
    EqualIgnoreCase(parser_->Head().fields_.Value("Expect"), "100-continue");
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
  const std::size_t bytes = RequestBytes();
  MessageHead& head = parser_->Head();
  CallerRequest request;
  request.method_ = std::move(head.method_);
  request.target_ = std::move(head.target_);
  request.host_ = std::string(head.fields_.Value("Host"));
  request.headers_ = std::move(head.fields_);
  const auto body = std::make_shared<HeldBody>();
  body->bytes_ = std::move(parser_->Body());
  body->hold_ = std::move(hold_);
  request.body_ = { body, &body->bytes_ };
  request.arrivedAt_ = BootClock::now();
  if (body->hold_) {
    body->hold_->SetStage(HoldStage::Executing, {}, request.arrivedAt_);
    body->hold_->Request(bytes, request.arrivedAt_);
  }
  if (!parser_->keep_alive()) {
    readClosed_ = true;
  }
  const auto pending =
    std::make_shared<PendingRequest>(weak_from_this(), std::move(request));
  pipeline_.push_back(pending);
  NewParser();
  RequestCallbacks callbacks = hooks_.onRequest_(pending);
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
  DropInput();
  if (!reading_) {
    buffer_ = beast::flat_buffer();
  }
  ErrorCode ignored;
  socket_.close(ignored);
}

}
