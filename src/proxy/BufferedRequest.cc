#include "proxy/BufferedRequest.h"

#include "once/ClaimSegment.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace peridotsail::detail {

BufferedRequest::BufferedRequest(boost::asio::io_context& aContext,
                                 IncomingRequestPtr aInner)
  : context_(aContext)
  , inner_(std::move(aInner))
  , head_(inner_->Head())
{
}

void
BufferedRequest::BufferBody(std::uint64_t aMaxBytes, const Done& aDone)
{
  inner_->SetOnCancelled([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->callerDisconnected_ = true;
    }
  });
  if (!head_.hasBody_) {
    aDone(std::nullopt);
    return;
  }
  BufferNextChunk(aMaxBytes, aDone);
}

void
BufferedRequest::BufferNextChunk(std::uint64_t aMaxBytes, const Done& aDone)
{
  inner_->ReadBody([self = shared_from_this(), aMaxBytes, aDone](
                     std::optional<BodyChunk> aChunk, const Error& aError) {
    if (!aChunk) {
      aDone(aError);
      return;
    }
    if (self->body_.size() + aChunk->bytes_.size() > aMaxBytes) {
      aDone(Error{ ErrorKind::BodyTooLarge, "" });
      return;
    }
    self->body_ += aChunk->bytes_;
    if (aChunk->last_) {
      self->head_.contentLength_ = self->body_.size();
      aDone(std::nullopt);
      return;
    }
    self->BufferNextChunk(aMaxBytes, aDone);
  });
}

void
BufferedRequest::ReadBody(ReadCallback aCallback)
{
  boost::asio::post(
    context_, [self = shared_from_this(), callback = std::move(aCallback)] {
      callback(BodyChunk{ self->body_, true }, Error());
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
