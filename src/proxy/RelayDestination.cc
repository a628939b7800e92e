#include "proxy/RelayExchange.h"

#include <boost/asio/post.hpp>

namespace peridotsail::detail {

RelayDestination::RelayDestination(std::shared_ptr<RelayNode::Impl> aNode,
                                   PeerHello aFrom,
                                   RelayRequestHead aHead)
  : node_(std::move(aNode))
  , from_(std::move(aFrom))
  , head_(std::move(aHead))
  , timer_(node_->context_)
{
}

RelayKey
RelayDestination::Key() const
{
  return { from_.hostName_, from_.incarnation_, head_.id_ };
}

void
RelayDestination::Later(std::function<void()> aTask)
{
  boost::asio::post(
    node_->context_,
    [self = shared_from_this(), task = std::move(aTask)] { task(); });
}

void
RelayDestination::ReadBody(ReadCallback aCallback)
{
  reading_ = std::move(aCallback);
  Later([this] { DeliverBody(); });
}

void
RelayDestination::DeliverBody()
{
  if (!reading_) {
    return;
  }
  if (gone_) {
    const ReadCallback callback = std::exchange(reading_, nullptr);
    callback(std::nullopt,
             { ErrorKind::PeerUnreachable, "the relaying host is gone" });
    return;
  }
  std::optional<BodyPiece> piece = bodyEnded_ || !head_.head_.hasBody_
                                     ? BodyPiece{ "", true }
                                     : receiver_.Take();
  if (!piece) {
    return;
  }
  bodyEnded_ = bodyEnded_ || piece->last_;
  if (!piece->bytes_.empty() && !piece->last_) {
    node_->Send(from_.hostName_,
                PeerMessageType::RelayCredit,
                Encode(RelayCredit{
                  head_.id_, RelayDirection::Request, piece->bytes_.size() }));
  }
  const ReadCallback callback = std::exchange(reading_, nullptr);
  callback(std::move(piece), {});
}

void
RelayDestination::OnBody(RelayBodyPiece aPiece)
{
  if (!receiver_.Put(aPiece.sequence_, std::move(aPiece.piece_))) {
    Abort();
    OnSourceGone();
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
RelayDestination::SendBody(BodyPiece aPiece, WriteCallback aCallback)
{
  pending_ = std::move(aPiece);
  pendingCallback_ = std::move(aCallback);
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
  if (!gone_ && allowance_) {
    // A head is small; its bytes may come to their tokens one after another.
    headCovered_ += allowance_->Cover(size - headCovered_);
    if (headCovered_ < size) {
      return false;
    }
  }
  const bool sent = !gone_ && node_->Send(from_.hostName_,
                                          PeerMessageType::RelayHead,
                                          std::move(*pendingHead_));
  pendingHead_.reset();
  const WriteCallback callback = std::exchange(headCallback_, nullptr);
  Later([callback, sent] { callback(sent); });
  return true;
}

bool
RelayDestination::FlushBody()
{
  if (!pending_) {
    return true;
  }
  const bool maySend = sender_.MaySend() || pending_->last_;
  if (!gone_ && !maySend) {
    return true;
  }
  bool sent = false;
  const bool last = pending_->last_;
  if (!gone_) {
    const std::size_t whole = pending_->bytes_.size();
    const std::size_t size = allowance_ ? allowance_->Cover(whole) : whole;
    BodyPiece piece{ pending_->bytes_.substr(0, size), last && size == whole };
    if (size > 0 || whole == 0) {
      const RelayBodyPiece message{ head_.id_,
                                    RelayDirection::Response,
                                    sender_.Take(size),
                                    std::move(piece) };
      sent = node_->Send(
        from_.hostName_, PeerMessageType::RelayBody, Encode(message));
    }
    if (size < whole && (sent || size == 0)) {
      pending_->bytes_.erase(0, size);
      return false;
    }
  }
  pending_.reset();
  if (last) {
    SetOnCancelled(nullptr);
    Remove();
  }
  const WriteCallback callback = std::exchange(pendingCallback_, nullptr);
  Later([callback, sent] { callback(sent); });
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
  End(std::nullopt);
}

void
RelayDestination::Refuse(ErrorKind aKind)
{
  End(aKind);
}

void
RelayDestination::End(std::optional<ErrorKind> aRefusal)
{
  node_->Send(
    from_.hostName_,
    PeerMessageType::RelayEnd,
    Encode(RelayEnd{ head_.id_, RelayDirection::Response, aRefusal }));
  gone_ = true;
  Remove();
}

void
RelayDestination::OnSourceGone()
{
  gone_ = true;
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
