#include "proxy/BufferedRequest.h"

#include "base/EventLog.h"
#include "memory/BodyGrowth.h"
#include "once/ClaimSegment.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace peridotsail::detail {

BufferedRequest::BufferedRequest(boost::asio::io_context& aContext,
                                 IncomingRequestPtr aInner,
                                 MemoryPool* aMemory)
  : context_(aContext)
  , inner_(std::move(aInner))
  , memory_(aMemory)
  , head_(inner_->Head())
{
}

void
BufferedRequest::BufferBody(std::uint64_t aMaxBytes, Done aDone)
{
  inner_->SetOnCancelled([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->callerDisconnected_ = true;
    }
  });
  maxBytes_ = aMaxBytes;
  done_ = std::move(aDone);
  if (!head_.hasBody_) {
    Finish(std::nullopt);
    return;
  }
  // The announced length was checked against the limit.
  body_.Expect(static_cast<std::size_t>(head_.contentLength_.value_or(0)));
  Reserve(
    static_cast<std::size_t>(head_.contentLength_.value_or(kMinBodyBytes)));
}

// The hold keeps this object alive while it waits; it is given back when the
// body has been read or has failed.
void
BufferedRequest::Reserve(std::size_t aBytes)
{
  if (memory_ == nullptr) {
    OnMemory(MemoryNotice::Admitted);
    return;
  }
  const TimePoint now = BootClock::now();
  if (!hold_) {
    hold_ = memory_->Open(
      HoldStage::Receiving,
      [self = shared_from_this()](MemoryNotice aNotice) {
        self->OnMemory(aNotice);
      },
      now);
  }
  const MemoryVerdict verdict = hold_->Request(aBytes, now);
  if (verdict == MemoryVerdict::Admitted) {
    OnMemory(MemoryNotice::Admitted);
  } else if (verdict == MemoryVerdict::Refused) {
    OnMemory(MemoryNotice::Refused);
  }
}

void
BufferedRequest::OnMemory(MemoryNotice aNotice)
{
  if (!done_) {
    return;
  }
  if (aNotice != MemoryNotice::Admitted) {
    LogEvent(aNotice == MemoryNotice::Close ? Event::MemoryClosed
                                            : Event::MemoryRefused,
             { { "bytes", hold_->Bytes() }, { "received", body_.Size() } });
    Finish(Error{ ErrorKind::HostOverloaded, "" });
    return;
  }
  if (chunk_) {
    AppendChunk();
  } else {
    ReadNextChunk();
  }
}

void
BufferedRequest::ReadNextChunk()
{
  inner_->ReadBody([self = shared_from_this()](std::optional<BodyChunk> aChunk,
                                               const Error& aError) {
    self->OnChunk(std::move(aChunk), aError);
  });
}

void
BufferedRequest::OnChunk(std::optional<BodyChunk> aChunk, const Error& aError)
{
  if (!done_) {
    return;
  }
  if (!aChunk) {
    Finish(aError);
    return;
  }
  const std::size_t size = body_.Size() + aChunk->bytes_.size();
  if (size > maxBytes_) {
    Finish(Error{ ErrorKind::BodyTooLarge, "" });
    return;
  }
  if (hold_) {
    hold_->Progress(aChunk->bytes_.size(), BootClock::now());
  }
  const std::size_t needed = body_.CapacityAfter(aChunk->bytes_.size());
  chunk_ = std::move(aChunk);
  if (hold_ && needed > hold_->Bytes()) {
    Reserve(BytesToGrow(needed, static_cast<std::size_t>(maxBytes_)));
  } else {
    AppendChunk();
  }
}

void
BufferedRequest::AppendChunk()
{
  const BodyChunk chunk = *std::exchange(chunk_, std::nullopt);
  body_.Append(chunk.bytes_.data(), chunk.bytes_.size());
  if (chunk.last_) {
    head_.contentLength_ = body_.Size();
    Finish(std::nullopt);
  } else {
    ReadNextChunk();
  }
}

void
BufferedRequest::Finish(const std::optional<Error>& aError)
{
  chunk_.reset();
  if (aError) {
    body_ = {};
    hold_.reset();
  } else if (hold_) {
    hold_->SetStage(HoldStage::Executing, {}, BootClock::now());
  }
  const Done done = std::exchange(done_, nullptr);
  done(aError);
}

void
BufferedRequest::ReadBody(ReadCallback aCallback)
{
  BodyChunk chunk{ "", true };
  if (nextBlock_ < body_.BlockCount()) {
    chunk.bytes_ = body_.Block(nextBlock_);
    ++nextBlock_;
    chunk.last_ = nextBlock_ == body_.BlockCount();
  }
  boost::asio::post(
    context_, [chunk = std::move(chunk), callback = std::move(aCallback)] {
      callback(chunk, Error());
    });
}

IncomingRequest::WriteCallback
BufferedRequest::IgnoreDisconnect(WriteCallback aCallback)
{
  return [self = shared_from_this(),
          callback = std::move(aCallback)](bool aSuccess) {
    self->callerDisconnected_ = self->callerDisconnected_ || !aSuccess;
    callback(true);
  };
}

void
BufferedRequest::SendHead(ResponseHead aHead, WriteCallback aCallback)
{
  headSent_ = true;
  outcome_.status_ = aHead.status_;
  const std::string* type = FindHeader(aHead.headers_, "Content-Type");
  outcome_.contentType_ = type == nullptr ? "" : *type;
  if (callerDisconnected_) {
    boost::asio::post(
      context_,
      [callback = IgnoreDisconnect(std::move(aCallback))] { callback(false); });
    return;
  }
  inner_->SendHead(std::move(aHead), IgnoreDisconnect(std::move(aCallback)));
}

void
BufferedRequest::SendBody(BodyChunk aChunk, WriteCallback aCallback)
{
  if (outcome_.body_.size() <= kMaxOutcomeBody) {
    outcome_.body_ += aChunk.bytes_;
  }
  if (callerDisconnected_) {
    boost::asio::post(
      context_,
      [callback = IgnoreDisconnect(std::move(aCallback))] { callback(false); });
    return;
  }
  inner_->SendBody(std::move(aChunk), IgnoreDisconnect(std::move(aCallback)));
}

void
BufferedRequest::Abort()
{
  inner_->Abort();
}

}
