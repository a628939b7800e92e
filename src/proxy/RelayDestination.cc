#include "proxy/RelayExchange.h"

#include <boost/asio/post.hpp>

namespace peridotsail::detail {

RelayDestination::RelayDestination(std::shared_ptr<RelayNode::Impl> aNode,
                                   PeerHello aFrom,
                                   RelayRequestHead aHead)
  : node_(std::move(aNode))
  , from_(std::move(aFrom))
  , head_(std::move(aHead))
  , memory_(node_->hooks_.memory_)
  , timer_(node_->context_)
{
}

RelayKey
RelayDestination::Key() const
{
  return { from_.hostName_, from_.incarnation_, head_.id_ };
}

void
RelayDestination::Post(std::function<void()> aTask)
{
  boost::asio::post(
    node_->context_,
    [self = shared_from_this(), task = std::move(aTask)] { task(); });
}

void
RelayDestination::ReadBody(ReadCallback aCallback)
{
  readCallback_ = std::move(aCallback);
  Post([this] { DeliverBody(); });
}

void
RelayDestination::DeliverBody()
{
  if (!readCallback_) {
    return;
  }
  if (ended_) {
    const ReadCallback callback = std::exchange(readCallback_, nullptr);
    callback(std::nullopt,
             { ErrorKind::PeerUnreachable, "the relay has ended" });
    return;
  }
  std::optional<BodyChunk> chunk = bodyEnded_ || !head_.head_.hasBody_
                                     ? BodyChunk{ "", true }
                                     : receiver_.Take();
  if (!chunk) {
    return;
  }
  bodyEnded_ = bodyEnded_ || chunk->last_;
  memory_.Set(receiver_.BufferedBytes());
  if (!chunk->bytes_.empty() && !chunk->last_) {
    node_->Send(from_.hostName_,
                PeerMessageType::RelayCredit,
                Encode(RelayCredit{
                  head_.id_, RelayDirection::Request, chunk->bytes_.size() }));
  }
  const ReadCallback callback = std::exchange(readCallback_, nullptr);
  callback(std::move(chunk), {});
}

void
RelayDestination::OnBody(RelayBodyChunk aChunk)
{
  const bool accepted =
    receiver_.Push(aChunk.sequence_, std::move(aChunk.chunk_)) &&
    memory_.Set(receiver_.BufferedBytes());
  if (!accepted) {
    Abort();
    OnSourceDisconnected();
    return;
  }
  DeliverBody();
}

void
RelayDestination::SendHead(ResponseHead aHead, WriteCallback aCallback)
{
  headSent_ = true;
  pendingHead_ = Encode(RelayResponseHead{ head_.id_, std::move(aHead) });
  headCallback_ = std::move(aCallback);
  FlushPending();
}

void
RelayDestination::SendBody(BodyChunk aChunk, WriteCallback aCallback)
{
  pendingChunk_ = std::move(aChunk);
  chunkCallback_ = std::move(aCallback);
  FlushPending();
}

void
RelayDestination::FlushPending()
{
  const bool done = FlushHead() && FlushBody();
  if (!done) {
    RetryLater();
  }
}

bool
RelayDestination::FlushHead()
{
  if (!pendingHead_) {
    return true;
  }
  const std::size_t size = pendingHead_->size();
  if (!ended_ && allowance_) {
    // The head is sent as one message, but its tokens may be acquired over
    // several attempts.
    headBytesAcquired_ += allowance_->Acquire(size - headBytesAcquired_);
    if (headBytesAcquired_ < size) {
      return false;
    }
  }
  const bool sent = !ended_ && node_->Send(from_.hostName_,
                                           PeerMessageType::RelayHead,
                                           std::move(*pendingHead_));
  pendingHead_.reset();
  const WriteCallback callback = std::exchange(headCallback_, nullptr);
  Post([callback, sent] { callback(sent); });
  return true;
}

bool
RelayDestination::FlushBody()
{
  if (!pendingChunk_) {
    return true;
  }
  const bool maySend = sender_.HasCredit() || pendingChunk_->last_;
  if (!ended_ && !maySend) {
    return true;
  }
  bool sent = false;
  const bool last = pendingChunk_->last_;
  if (!ended_) {
    const std::size_t total = pendingChunk_->bytes_.size();
    const std::size_t size = allowance_ ? allowance_->Acquire(total) : total;
    BodyChunk chunk{ pendingChunk_->bytes_.substr(0, size),
                     last && size == total };
    if (size > 0 || total == 0) {
      const RelayBodyChunk message{ head_.id_,
                                    RelayDirection::Response,
                                    sender_.AssignSequence(size),
                                    std::move(chunk) };
      sent = node_->Send(
        from_.hostName_, PeerMessageType::RelayBody, Encode(message));
    }
    if (size < total && (sent || size == 0)) {
      pendingChunk_->bytes_.erase(0, size);
      return false;
    }
  }
  pendingChunk_.reset();
  if (last) {
    SetOnCancelled(nullptr);
    Remove();
  }
  const WriteCallback callback = std::exchange(chunkCallback_, nullptr);
  Post([callback, sent] { callback(sent); });
  return true;
}

void
RelayDestination::RetryLater()
{
  constexpr Duration kRetryInterval = std::chrono::milliseconds(20);
  timer_.expires_after(ToSteady(kRetryInterval));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError) {
      self->FlushPending();
    }
  });
}

void
RelayDestination::OnCredit(std::uint64_t aBytes)
{
  sender_.AddCredit(aBytes);
  FlushPending();
}

void
RelayDestination::Abort()
{
  EndRelay(std::nullopt);
}

void
RelayDestination::Refuse(ErrorKind aKind)
{
  EndRelay(aKind);
}

void
RelayDestination::EndRelay(std::optional<ErrorKind> aRefusal)
{
  node_->Send(
    from_.hostName_,
    PeerMessageType::RelayEnd,
    Encode(RelayEnd{ head_.id_, RelayDirection::Response, aRefusal }));
  ended_ = true;
  Remove();
}

void
RelayDestination::OnSourceDisconnected()
{
  ended_ = true;
  const auto self = shared_from_this();
  Remove();
  FlushPending();
  DeliverBody();
  NotifyCancelled();
}

void
RelayDestination::Remove()
{
  allowance_.reset();
  node_->destinations_.erase(Key());
}

}
