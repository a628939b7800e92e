#include "gateway/CallerConnection.h"

#include <boost/asio/write.hpp>

namespace peridotsail::detail {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
// Requests of one connection that may be in progress together.
constexpr std::size_t kMostPipelined = 16;
// Bytes of further requests that are read while these are in progress.
constexpr std::size_t kMostBuffered = 64 << 10;
// How long a connection stays open for the caller to read the last answer.
constexpr Duration kLingerLimit = std::chrono::seconds(2);

bool
BodyAllowed(const std::string& aMethod, int aStatus)
{
  return aMethod != "HEAD" && aStatus >= 200 && aStatus != 204 &&
         aStatus != 304;
}

std::string
Serialize(const CallerAnswer& aAnswer, const std::string& aMethod)
{
  http::response<http::empty_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(aAnswer.status_));
  SetHeaders(response, aAnswer.headers_);
  if (BodyAllowed(aMethod, aAnswer.status_)) {
    response.content_length(aAnswer.body_.size());
  }
  if (aAnswer.close_) {
    response.set(http::field::connection, "close");
  }
  std::ostringstream head;
  head << response.base();
  std::string bytes = head.str();
  if (BodyAllowed(aMethod, aAnswer.status_)) {
    bytes += aAnswer.body_;
  }
  return bytes;
}

}

class CallerConnection::Slot : public CallerExchange
{
public:
  Slot(std::weak_ptr<CallerConnection> aConnection, CallerRequest aRequest)
    : connection_(std::move(aConnection))
    , request_(std::move(aRequest))
  {
  }

  const CallerRequest& Request() const override { return request_; }

  bool IsFirst() const override
  {
    const auto connection = connection_.lock();
    return connection && !connection->slots_.empty() &&
           connection->slots_.front().get() == this;
  }

  void Answer(CallerAnswer aAnswer) override
  {
    if (answer_) {
      return;
    }
    answer_ = std::move(aAnswer);
    handling_ = {};
    if (const auto connection = connection_.lock()) {
      connection->WriteReady();
    }
  }

  std::weak_ptr<CallerConnection> connection_;
  CallerRequest request_;
  CallerHooks::Handling handling_;
  std::optional<CallerAnswer> answer_;
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
  return slots_.empty() && !writing_ && !headerSince_;
}

void
CallerConnection::CloseIfIdle()
{
  if (IsIdle()) {
    Close();
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
  headerSince_.reset();
  continueSent_ = false;
}

void
CallerConnection::CheckTimeouts(TimePoint aNow)
{
  if (closed_) {
    return;
  }
  if (lastWritten_) {
    if (aNow - lastActivity_ > kLingerLimit) {
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
    Abandon();
  }
}

void
CallerConnection::Read()
{
  if (reading_ || closed_ || buffer_.size() >= kMostBuffered) {
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
    Abandon();
    return;
  }
  lastActivity_ = BootClock::now();
  if (readClosed_) {
    buffer_.consume(buffer_.size());
  } else {
    ParseAll();
  }
  if (!closed_) {
    Read();
  }
}

void
CallerConnection::ParseAll()
{
  if (hooks_.closing_() && !slots_.empty()) {
    // The requests in progress are the last ones of this connection.
    readClosed_ = true;
  }
  while (!readClosed_ && !closed_ && buffer_.size() > 0 &&
         slots_.size() < kMostPipelined) {
    if (!ParseOne()) {
      return;
    }
  }
}

// Returns whether bytes were used, so that parsing may go on.
bool
CallerConnection::ParseOne()
{
  if (!headerSince_) {
    headerSince_ = BootClock::now();
  }
  ErrorCode error;
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) {
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
  SendContinue();
  return used > 0 && buffer_.size() > 0;
}

void
CallerConnection::SendContinue()
{
  const bool asked =
    parser_->is_header_done() && !continueSent_ && slots_.empty() &&
    beast::iequals(parser_->get()[http::field::expect], "100-continue");
  if (!asked) {
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
  const auto slot =
    std::make_shared<Slot>(weak_from_this(), std::move(request));
  slots_.push_back(slot);
  NewParser();
  CallerHooks::Handling handling = hooks_.onRequest_(slot);
  if (!slot->answer_) {
    slot->handling_ = std::move(handling);
  }
}

void
CallerConnection::Reject(int aStatus, const std::string& aReason)
{
  hooks_.onMalformed_(aStatus, aReason);
  readClosed_ = true;
  headerSince_.reset();
  const auto slot = std::make_shared<Slot>(weak_from_this(), CallerRequest());
  slots_.push_back(slot);
  CallerAnswer answer;
  answer.status_ = aStatus;
  answer.close_ = true;
  slot->Answer(std::move(answer));
}

void
CallerConnection::WriteReady()
{
  if (writing_ || closed_ || lastWritten_ || slots_.empty() ||
      !slots_.front()->answer_) {
    return;
  }
  const std::shared_ptr<Slot> slot = slots_.front();
  slots_.pop_front();
  CallerAnswer& answer = *slot->answer_;
  const bool last = slots_.empty() && (readClosed_ || hooks_.closing_());
  answer.close_ = answer.close_ || last;
  outgoing_ = Serialize(answer, slot->request_.method_);
  writing_ = true;
  lastWritten_ = answer.close_;
  lastActivity_ = BootClock::now();
  asio::async_write(socket_,
                    asio::buffer(outgoing_),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      self->OnWritten(aError);
                    });
  if (lastWritten_) {
    // What came behind the last answer counts as not read.
    readClosed_ = true;
    Abandon();
  } else {
    AdvanceFirst();
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
    lastWritten_ = false;
    Abandon();
    return;
  }
  lastActivity_ = BootClock::now();
  if (lastWritten_) {
    FinishWriting();
    return;
  }
  ParseAll();
  Read();
  WriteReady();
}

// The caller reads the end of the stream; bytes that still arrive are read, so
// that they do not reset the connection before the answer is read.
void
CallerConnection::FinishWriting()
{
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  lastActivity_ = BootClock::now();
  Read();
}

void
CallerConnection::AdvanceFirst()
{
  if (slots_.empty() || slots_.front()->answer_) {
    return;
  }
  const auto onFirst = slots_.front()->handling_.onFirst_;
  if (onFirst) {
    onFirst();
  }
}

// Ends the work on all requests of the connection. The connection closes,
// unless its last answer is being written.
void
CallerConnection::Abandon()
{
  std::deque<std::shared_ptr<Slot>> slots;
  slots.swap(slots_);
  for (const auto& slot : slots) {
    const auto onGone = slot->handling_.onGone_;
    slot->handling_ = {};
    if (onGone) {
      onGone();
    }
  }
  if (!lastWritten_ || !writing_) {
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
