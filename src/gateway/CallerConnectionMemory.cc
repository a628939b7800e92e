// What a caller's connection does when the process holds too much: it pauses,
// refuses its unfinished request or closes.

#include "base/EventLog.h"
#include "gateway/PendingRequest.h"
#include "memory/BodyGrowth.h"

#include <algorithm>

namespace peridotsail::detail {

namespace {

// What a request needs while it is handled, beyond its head and its body.
constexpr std::size_t kRequestBytes = 4 << 10;
// The receive buffer of a connection that waits for memory.
constexpr int kPausedReceiveBytes = 64 << 10;
// Retry-After of requests for which there is no memory, in seconds.
constexpr char kMemoryRetryAfter[] = "1.000";

}

std::size_t
CallerConnection::BytesToReserve() const
{
  if (parser_->is_header_done()) {
    return InputBytes() + RequestBytes();
  }
  const std::size_t unparsed =
    std::min(buffer_.size(), hooks_.limits_().maxHeaderBytes_);
  return InputBytes() + parser_->Head().MaxBytesAfter(unparsed);
}

std::size_t
CallerConnection::InputBytes() const
{
  // The small buffer of an idle connection is not worth a hold.
  if (!headerSince_ && buffer_.size() == 0) {
    return 0;
  }
  const std::size_t needed = buffer_.size() + kReadBytes;
  if (needed <= buffer_.capacity()) {
    return buffer_.capacity();
  }
  // The buffer doubles when it grows.
  return std::max(needed, 2 * buffer_.size());
}

std::size_t
CallerConnection::RequestBytes() const
{
  std::size_t body =
    static_cast<std::size_t>(parser_->content_length().value_or(0));
  if (parser_->is_done()) {
    body = parser_->Body().CapacityAfter(0);
  } else if (parser_->chunked()) {
    body = BytesToGrow(parser_->Body().CapacityAfter(buffer_.size()),
                       hooks_.limits_().maxBodyBytes_);
  }
  // Each attempt builds the head that the server gets.
  return kRequestBytes + parser_->Head().Bytes() + 2 * headBytes_ + body;
}

void
CallerConnection::ReleaseUnused()
{
  const std::size_t bytes = BytesToReserve();
  if (hold_ && !paused_ && bytes < hold_->Bytes()) {
    hold_->Request(bytes, BootClock::now());
  }
}

bool
CallerConnection::Reserve()
{
  const std::size_t bytes = BytesToReserve();
  if (paused_ || bytes <= (hold_ ? hold_->Bytes() : 0)) {
    return !paused_;
  }
  const TimePoint now = BootClock::now();
  if (!hold_) {
    hold_ = hooks_.memory_->Open(
      HoldStage::Receiving,
      [weak = weak_from_this()](MemoryNotice aNotice) {
        if (const auto self = weak.lock()) {
          self->OnMemory(aNotice);
        }
      },
      now);
  }
  const MemoryVerdict verdict = hold_->Request(bytes, now);
  if (verdict == MemoryVerdict::Refused) {
    RefuseUnfinished(Event::MemoryRefused);
  } else if (verdict == MemoryVerdict::Waiting) {
    paused_ = true;
    // Unread bytes count as memory, too.
    ErrorCode ignored;
    socket_.set_option(
      asio::socket_base::receive_buffer_size(kPausedReceiveBytes), ignored);
  }
  return verdict == MemoryVerdict::Admitted;
}

// Requests behind a full pipeline are not parsed, but fill the buffer.
void
CallerConnection::ReserveBuffer()
{
  if (!closed_ && !readClosed_ && pipeline_.size() >= kMaxPipelined) {
    Reserve();
  }
}

void
CallerConnection::OnMemory(MemoryNotice aNotice)
{
  if (aNotice != MemoryNotice::Admitted) {
    RefuseUnfinished(aNotice == MemoryNotice::Close ? Event::MemoryClosed
                                                    : Event::MemoryRefused);
    return;
  }
  paused_ = false;
  lastActivity_ = BootClock::now();
  if (parser_->is_done()) {
    OnRequest();
  } else {
    SendContinue();
  }
  ParseBuffered();
  Read();
}

void
CallerConnection::RefuseUnfinished(Event aEvent)
{
  if (closed_ || readClosed_) {
    return;
  }
  LogEvent(aEvent,
           { { "bytes", hold_ ? hold_->Bytes() : 0 },
             { "received", parser_->Body().Size() } });
  RespondLast(503, { { "Retry-After", kMemoryRetryAfter } });
  Read();
}

void
CallerConnection::DropInput()
{
  NewParser();
  hold_.reset();
  paused_ = false;
}

}
