#include "proxy/RelayExchange.h"

#include <boost/asio/post.hpp>

namespace peridotsail::detail {

RelayDestination::RelayDestination(std::shared_ptr<RelayNode::Impl> aNode,
                                   PeerHello aFrom,
                                   RelayRequestHead aHead)
  : node_(std::move(aNode))
  , from_(std::move(aFrom))
  , head_(std::move(aHead))
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
  const bool sent =
    !gone_ &&
    node_->Send(from_.hostName_,
                PeerMessageType::RelayHead,
                Encode(RelayResponseHead{ head_.id_, std::move(aHead) }));
  Later([callback = std::move(aCallback), sent] { callback(sent); });
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
  if (!pending_) {
    return;
  }
  const bool maySend = sender_.MaySend() || pending_->last_;
  if (!gone_ && !maySend) {
    return;
  }
  bool sent = false;
  const bool last = pending_->last_;
  if (!gone_) {
    const std::size_t size = pending_->bytes_.size();
    const RelayBodyPiece message{ head_.id_,
                                  RelayDirection::Response,
                                  sender_.Take(size),
                                  std::move(*pending_) };
    sent =
      node_->Send(from_.hostName_, PeerMessageType::RelayBody, Encode(message));
  }
  pending_.reset();
  if (last) {
    SetOnCancelled(nullptr);
    Remove();
  }
  const WriteCallback callback = std::exchange(pendingCallback_, nullptr);
  Later([callback, sent] { callback(sent); });
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
  node_->Send(from_.hostName_,
              PeerMessageType::RelayEnd,
              Encode(RelayEnd{ head_.id_, RelayDirection::Response }));
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
  node_->destinations_.erase(Key());
}

}
