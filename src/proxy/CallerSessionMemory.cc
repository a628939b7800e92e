// What a caller's connection does when the process holds too much: it waits, or
// refuses a request that was not passed on.

#include "proxy/CallerSession.h"

#include <algorithm>

namespace peridotsail::detail {

namespace {

// A request in progress: its state, a buffer for its response and one of the
// connection to the server.
constexpr std::size_t kStateBytes = 40 << 10;
// The buffers through which a body is forwarded.
constexpr std::size_t kBodyBufferBytes = 32 << 10;
// A field of a request in progress is kept by the handler, by the exchange and
// by the message to the server, each as an object of its own.
constexpr std::size_t kFieldBytes = 400;
constexpr std::size_t kHeadCopies = 4;

}

std::size_t
CallerSession::InputBytes() const
{
  const std::size_t needed = buffer_.size() + kReadBytes;
  if (needed <= buffer_.capacity()) {
    return buffer_.capacity();
  }
  // The buffer doubles when it grows.
  return std::max(needed, 2 * buffer_.size());
}

std::size_t
CallerSession::RequestBytes() const
{
  const MessageHead& head = parser_->Head();
  return InputBytes() + kStateBytes + kHeadCopies * head.Bytes() +
         kFieldBytes * head.fields_.Size() +
         (parser_->is_done() ? 0 : kBodyBufferBytes);
}

bool
CallerSession::Reserve(std::size_t aBytes)
{
  if (server_->options_.memory_ == nullptr ||
      (hold_ && aBytes == hold_->Bytes())) {
    return true;
  }
  const TimePoint now = BootClock::now();
  if (!hold_) {
    hold_ = server_->options_.memory_->Open(
      HoldStage::Receiving,
      [weak = weak_from_this()](MemoryNotice aNotice) {
        if (const auto self = weak.lock()) {
          self->OnMemory(aNotice);
        }
      },
      now);
  }
  const MemoryVerdict verdict = hold_->Request(aBytes, now);
  if (verdict == MemoryVerdict::Refused) {
    RefuseForMemory(Event::MemoryRefused);
  }
  paused_ = verdict == MemoryVerdict::Waiting;
  if (paused_) {
    server_->waiting_.insert(shared_from_this());
  }
  return verdict == MemoryVerdict::Admitted;
}

void
CallerSession::OnMemory(MemoryNotice aNotice)
{
  const auto self = shared_from_this();
  server_->waiting_.erase(self);
  if (closed_ || refused_) {
    return;
  }
  if (aNotice != MemoryNotice::Admitted) {
    RefuseForMemory(aNotice == MemoryNotice::Close ? Event::MemoryClosed
                                                   : Event::MemoryRefused);
    return;
  }
  paused_ = false;
  lastActivity_ = BootClock::now();
  stream_.expires_after(ToSteady(server_->options_.idleTimeout_));
  if (parser_->is_header_done()) {
    StartRequest();
  } else {
    ParseHead();
  }
}

void
CallerSession::RefuseForMemory(Event aEvent)
{
  LogEvent(aEvent, { { "bytes", hold_ ? hold_->Bytes() : 0 } });
  RefuseUnfinished(ErrorKind::HostOverloaded);
}

}
