#include "proxy/CallerSession.h"

#include "proxy/Refusal.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace peridotsail::detail {

namespace {

// How long input is discarded after the last response of a connection.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

}

CallerSession::CallerSession(tcp::socket aSocket,
                             std::shared_ptr<CallerServer::Impl> aServer)
  : stream_(std::move(aSocket))
  , server_(std::move(aServer))
  , lastActivity_(BootClock::now())
{
  server_->Add(*this);
  ErrorCode ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
}

CallerSession::~CallerSession()
{
  server_->Remove(*this);
}

void
CallerSession::Start()
{
  ReadHead();
}

void
CallerSession::CloseIfIdle()
{
  if (idle_ && buffer_.size() == 0) {
    Close();
  }
}

void
CallerSession::Close()
{
  closed_ = true;
  hold_.reset();
  stream_.close();
  server_->waiting_.erase(shared_from_this());
}

void
CallerSession::ReadHead()
{
  idle_ = true;
  headSent_ = false;
  continueSent_ = false;
  hold_.reset();
  parser_.emplace();
  parser_->header_limit(
    static_cast<std::uint32_t>(server_->options_.maxHeaderBytes_));
  // The consumer of the body enforces the limit of the route.
  parser_->body_limit(boost::none);
  stream_.expires_after(ToSteady(server_->options_.idleTimeout_));
  if (buffer_.size() == 0) {
    // Connections without a request are many, and keep only a small buffer.
    buffer_ = beast::flat_buffer();
    ReadMoreOfHead(kIdleReadBytes);
  } else {
    ParseHead();
  }
}

void
CallerSession::ReadMoreOfHead(std::size_t aBytes)
{
  ReadMore(aBytes, [this](ErrorCode aError) {
    if (aError) {
      OnHead(aError);
    } else {
      ParseHead();
    }
  });
}

void
CallerSession::ReadMore(std::size_t aBytes,
                        std::function<void(ErrorCode)> aNext)
{
  reading_ = true;
  stream_.async_read_some(
    buffer_.prepare(aBytes),
    [self = shared_from_this(), next = std::move(aNext)](ErrorCode aError,
                                                         std::size_t aSize) {
      self->reading_ = false;
      if (self->responded_) {
        self->DiscardInput();
        return;
      }
      if (self->refused_) {
        return;
      }
      self->buffer_.commit(aSize);
      self->lastActivity_ = BootClock::now();
      if (self->hold_) {
        self->hold_->Progress(aSize, self->lastActivity_);
      }
      next(self->closed_ ? asio::error::operation_aborted : aError);
    });
}

void
CallerSession::ParseHead()
{
  // Stops behind the head.
  parser_->eager(false);
  const std::size_t unparsed =
    std::min(buffer_.size(), server_->options_.maxHeaderBytes_);
  if (!Reserve(InputBytes() + parser_->Head().MaxBytesAfter(unparsed))) {
    return;
  }
  ErrorCode error;
  while (buffer_.size() > 0 && !parser_->is_header_done() && !error) {
    buffer_.consume(parser_->put(buffer_.data(), error));
  }
  if (parser_->is_header_done()) {
    OnHead({});
    return;
  }
  if (error == http::error::need_more && buffer_.size() >= kMaxUnparsedBytes) {
    error = http::error::buffer_overflow;
  }
  if (error && error != http::error::need_more) {
    OnHead(error);
    return;
  }
  Reserve(InputBytes() + parser_->Head().MaxBytesAfter(buffer_.size()));
  if (!paused_ && !refused_) {
    ReadMoreOfHead(kReadBytes);
  }
}

void
CallerSession::OnHead(const ErrorCode& aError)
{
  if (aError) {
    idle_ = false;
    RefuseMalformed(aError);
  } else if (Reserve(RequestBytes())) {
    StartRequest();
  }
}

void
CallerSession::StartRequest()
{
  idle_ = false;
  stream_.expires_never();
  MessageHead& message = parser_->Head();
  head_ = {};
  head_.method_ = std::move(message.method_);
  head_.target_ = std::move(message.target_);
  head_.headers_ = ToHeaders(message.fields_);
  message.fields_ = {};
  head_.hasBody_ = !parser_->is_done();
  if (const auto length = parser_->content_length()) {
    head_.contentLength_ = *length;
  }
  keepAlive_ = parser_->keep_alive();
  if (!head_.hasBody_) {
    WatchForDisconnect();
  }
  if (hold_) {
    hold_->SetStage(HoldStage::Executing, {}, BootClock::now());
  }
  server_->handler_(shared_from_this());
}

void
CallerSession::RefuseMalformed(const ErrorCode& aError)
{
  const bool parseError =
    aError.category() ==
    http::make_error_code(http::error::bad_method).category();
  if (!parseError) {
    // The caller has left, or was too slow.
    Close();
    return;
  }
  RefuseUnfinished(aError == http::error::header_limit
                     ? ErrorKind::HeaderTooLarge
                     : ErrorKind::BadRequest);
}

void
CallerSession::RefuseUnfinished(ErrorKind aKind)
{
  if (refused_ || closed_) {
    return;
  }
  refused_ = true;
  idle_ = false;
  keepAlive_ = false;
  paused_ = false;
  hold_.reset();
  head_ = {};
  head_.hasBody_ = true;
  SendRefusal(shared_from_this(), MakeRefusal(aKind), [] {});
}

void
CallerSession::ReadBody(ReadCallback aCallback)
{
  if (parser_->is_done()) {
    boost::asio::post(server_->context_, [callback = std::move(aCallback)] {
      callback(BodyChunk{ "", true }, {});
    });
    return;
  }
  const std::string* expect = FindHeader(head_.headers_, "Expect");
  const bool wantsContinue =
    expect != nullptr && EqualIgnoreCase(*expect, "100-continue");
  if (wantsContinue && !continueSent_) {
    SendContinue(std::move(aCallback));
    return;
  }
  ReadChunk(std::move(aCallback));
}

void
CallerSession::SendContinue(ReadCallback aCallback)
{
  continueSent_ = true;
  writeBuffer_ = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(stream_,
                    asio::buffer(writeBuffer_),
                    [self = shared_from_this(),
                     callback = std::move(aCallback)](ErrorCode, std::size_t) {
                      self->ReadChunk(callback);
                    });
}

void
CallerSession::ReadChunk(ReadCallback aCallback)
{
  ErrorCode parseError;
  if (ParseChunk(parseError)) {
    boost::asio::post(
      server_->context_,
      [self = shared_from_this(), callback = std::move(aCallback), parseError] {
        self->DeliverChunk(callback, parseError);
      });
    return;
  }
  stream_.expires_after(ToSteady(server_->options_.progressTimeout_));
  ReadMore(kReadBytes,
           [this, callback = std::move(aCallback)](ErrorCode aError) {
             ErrorCode error = aError;
             if (error || ParseChunk(error)) {
               DeliverChunk(callback, error);
             } else {
               ReadChunk(callback);
             }
           });
}

bool
CallerSession::ParseChunk(ErrorCode& aError)
{
  parser_->eager(true);
  while (buffer_.size() > 0 && !parser_->is_done() && !aError) {
    buffer_.consume(parser_->put(buffer_.data(), aError));
  }
  if (aError == http::error::need_more && buffer_.size() < kMaxUnparsedBytes) {
    aError = {};
  }
  return aError || parser_->is_done() || !parser_->Body().Text().empty();
}

void
CallerSession::DeliverChunk(const ReadCallback& aCallback,
                            const ErrorCode& aError)
{
  if (responded_) {
    return;
  }
  stream_.expires_never();
  if (aError) {
    aCallback(std::nullopt, { ErrorKind::BadRequest, aError.message() });
    return;
  }
  const bool last = parser_->is_done();
  if (last) {
    WatchForDisconnect();
  }
  aCallback(BodyChunk{ std::exchange(parser_->Body().Text(), {}), last }, {});
}

// Waits for the socket to become readable while the request is being handled.
// If it then has no data, the caller has closed the connection.
void
CallerSession::WatchForDisconnect()
{
  if (watching_ || buffer_.size() > 0) {
    return;
  }
  watching_ = true;
  stream_.socket().async_wait(
    tcp::socket::wait_read, [self = shared_from_this()](ErrorCode aError) {
      self->watching_ = false;
      ErrorCode ignored;
      const bool ended =
        !aError && self->stream_.socket().available(ignored) == 0;
      if (ended && !self->idle_) {
        self->keepAlive_ = false;
        self->NotifyCancelled();
      }
    });
}

bool
CallerSession::BodyAllowed() const
{
  return head_.method_ != "HEAD" && responseStatus_ >= 200 &&
         responseStatus_ != 204 && responseStatus_ != 304;
}

std::string
CallerSession::HeadText(const ResponseHead& aHead) const
{
  const auto status = static_cast<http::status>(aHead.status_);
  std::string head = "HTTP/1.1 " + std::to_string(aHead.status_) + ' ';
  head.append(ToView(http::obsolete_reason(status))).append("\r\n");
  for (const HttpHeader& header : aHead.headers_) {
    AppendField(head, header.name_, header.value_);
  }
  if (!keepAlive_) {
    AppendField(head, "Connection", "close");
  }
  if (aHead.contentLength_) {
    AppendField(head, "Content-Length", std::to_string(*aHead.contentLength_));
  } else if (chunked_) {
    AppendField(head, "Transfer-Encoding", "chunked");
  }
  return head + "\r\n";
}

void
CallerSession::SendHead(ResponseHead aHead, WriteCallback aCallback)
{
  headSent_ = true;
  responseStatus_ = aHead.status_;
  const bool bodyUnread = head_.hasBody_ && (!parser_ || !parser_->is_done());
  keepAlive_ = keepAlive_ && !bodyUnread && !server_->closing_;
  chunked_ = !aHead.contentLength_ && BodyAllowed();
  writeBuffer_ = HeadText(aHead);
  stream_.expires_after(ToSteady(server_->options_.progressTimeout_));
  asio::async_write(
    stream_,
    asio::buffer(writeBuffer_),
    [self = shared_from_this(),
     callback = std::move(aCallback)](ErrorCode aError, std::size_t) {
      self->stream_.expires_never();
      if (aError) {
        self->Abort();
      }
      callback(!aError);
    });
}

void
CallerSession::SendBody(BodyChunk aChunk, WriteCallback aCallback)
{
  if (closed_) {
    boost::asio::post(server_->context_,
                      [callback = std::move(aCallback)] { callback(false); });
    return;
  }
  const bool last = aChunk.last_;
  if (!BodyAllowed()) {
    boost::asio::post(
      server_->context_,
      [self = shared_from_this(), last, callback = std::move(aCallback)] {
        callback(true);
        if (last) {
          self->FinishResponse();
        }
      });
    return;
  }
  writeBuffer_ = std::move(aChunk.bytes_);
  frame_ = chunked_ ? FrameChunk(writeBuffer_.size(), last) : ChunkFrame();
  const std::array<asio::const_buffer, 3> bytes{ asio::buffer(frame_.before_),
                                                 asio::buffer(writeBuffer_),
                                                 asio::buffer(frame_.after_) };
  stream_.expires_after(ToSteady(server_->options_.progressTimeout_));
  asio::async_write(
    stream_,
    bytes,
    [self = shared_from_this(), last, callback = std::move(aCallback)](
      ErrorCode aError, std::size_t) {
      self->stream_.expires_never();
      if (aError) {
        self->Abort();
        callback(false);
        return;
      }
      callback(true);
      if (last) {
        self->FinishResponse();
      }
    });
}

void
CallerSession::FinishResponse()
{
  SetOnCancelled(nullptr);
  if (keepAlive_ && !server_->closing_) {
    ErrorCode ignored;
    if (watching_) {
      stream_.socket().cancel(ignored);
    }
    ReadHead();
    return;
  }
  closed_ = true;
  responded_ = true;
  ErrorCode ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.expires_after(ToSteady(kLingerTimeout));
  hold_.reset();
  // A backend server may respond before the caller has sent its whole body.
  if (!reading_) {
    DiscardInput();
  }
}

// Closing a socket with unread input resets the connection and may destroy the
// response before the caller has read it, so the remaining input is read for a
// short time.
void
CallerSession::DiscardInput()
{
  // Shared by all connections of the thread, since nobody reads its content.
  thread_local std::array<char, kReadBytes> discarded;
  buffer_ = beast::flat_buffer();
  stream_.async_read_some(
    asio::buffer(discarded),
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (!aError) {
        self->DiscardInput();
      }
    });
}

void
CallerSession::Abort()
{
  Close();
}

}
