#include "proxy/RelayExchange.h"

namespace peridotsail::detail {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

// A name that is no state counts as unknown.
ExecutionState
StateFromName(std::string_view aName)
{
  for (const ExecutionState state :
       { ExecutionState::NotRun, ExecutionState::Complete }) {
    if (NameOf(state) == aName) {
      return state;
    }
  }
  return ExecutionState::Unknown;
}

// A relay without a piece or credit for longer is ended.
constexpr Duration kProgressLimit = std::chrono::seconds(15);

}

RelaySource::RelaySource(std::shared_ptr<RelayNode::Impl> aNode,
                         IncomingRequestPtr aRequest,
                         std::string aHost,
                         RelayRequestHead aHead,
                         TimePoint aDeadline,
                         RelayNode::Done aDone)
  : node_(std::move(aNode))
  , incoming_(std::move(aRequest))
  , host_(std::move(aHost))
  , head_(std::move(aHead))
  , deadline_(aDeadline)
  , done_(std::move(aDone))
  , timer_(node_->context_)
{
}

void
RelaySource::Start()
{
  lastProgress_ = BootClock::now();
  incoming_->SetOnCancelled([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->result_.callerDisconnected_ = true;
      self->Fail({ ErrorKind::BadRequest, "the caller closed the connection" });
    }
  });
  const std::string head = Encode(head_);
  if (allowance_ && allowance_->Cover(head.size()) < head.size()) {
    Fail({ ErrorKind::ShiftCapReached, "" });
    return;
  }
  if (!node_->Send(host_, PeerMessageType::RelayHead, head)) {
    Fail({ ErrorKind::PeerUnreachable, "there is no link to " + host_ });
    return;
  }
  // From here on the other host may run the request.
  result_.execution_ = ExecutionState::Unknown;
  ArmTimer();
  if (head_.head_.hasBody_) {
    PumpRequestBody();
  }
}

void
RelaySource::PumpRequestBody()
{
  if (bodyPumping_ || bodyEnded_ || unsent_ || !sender_.MaySend()) {
    return;
  }
  bodyPumping_ = true;
  result_.bodyTaken_ = true;
  incoming_->ReadBody([self = shared_from_this()](
                        std::optional<BodyPiece> aPiece, const Error& aError) {
    self->bodyPumping_ = false;
    if (self->finished_) {
      return;
    }
    if (!aPiece) {
      self->result_.callerDisconnected_ = true;
      self->Fail(aError);
      return;
    }
    self->SendPiece(std::move(*aPiece));
  });
}

void
RelaySource::SendPiece(BodyPiece aPiece)
{
  const std::size_t whole = aPiece.bytes_.size();
  const std::size_t size = allowance_ ? allowance_->Cover(whole) : whole;
  if (size < whole) {
    // OnTimer sends the rest.
    unsent_ = BodyPiece{ aPiece.bytes_.substr(size), aPiece.last_ };
    aPiece.bytes_.resize(size);
    aPiece.last_ = false;
    if (size == 0) {
      return;
    }
  }
  lastProgress_ = BootClock::now();
  bodyEnded_ = aPiece.last_;
  result_.bytes_ += size;
  const RelayBodyPiece message{
    head_.id_, RelayDirection::Request, sender_.Take(size), std::move(aPiece)
  };
  if (!node_->Send(host_, PeerMessageType::RelayBody, Encode(message))) {
    Fail({ ErrorKind::PeerUnreachable, "the link to " + host_ + " is down" });
    return;
  }
  PumpRequestBody();
}

void
RelaySource::OnCredit(std::uint64_t aBytes)
{
  lastProgress_ = BootClock::now();
  sender_.AddCredit(aBytes);
  if (head_.head_.hasBody_) {
    PumpRequestBody();
  }
}

void
RelaySource::OnHead(RelayResponseHead aHead)
{
  if (headReceived_) {
    Fail({ ErrorKind::PeerUnreachable, "the relayed response is malformed" });
    return;
  }
  headReceived_ = true;
  lastProgress_ = BootClock::now();
  result_.status_ = aHead.head_.status_;
  if (const std::string* stated =
        FindHeader(aHead.head_.headers_, "Execution-State")) {
    result_.stated_ = StateFromName(*stated);
  }
  incoming_->SendHead(
    std::move(aHead.head_), [self = shared_from_this()](bool aOk) {
      if (self->finished_) {
        return;
      }
      if (!aOk) {
        self->result_.callerDisconnected_ = true;
        self->Fail({ ErrorKind::BadRequest, "the caller is gone" });
        return;
      }
      self->headDelivered_ = true;
      self->DeliverNext();
    });
}

void
RelaySource::OnBody(RelayBodyPiece aPiece)
{
  lastProgress_ = BootClock::now();
  result_.bytes_ += aPiece.piece_.bytes_.size();
  const bool inOrder =
    headReceived_ && receiver_.Put(aPiece.sequence_, std::move(aPiece.piece_));
  if (!inOrder) {
    Fail({ ErrorKind::PeerUnreachable, "a piece of the response was lost" });
    return;
  }
  DeliverNext();
}

void
RelaySource::DeliverNext()
{
  if (!headDelivered_ || delivering_ || finished_) {
    return;
  }
  std::optional<BodyPiece> piece = receiver_.Take();
  if (!piece) {
    return;
  }
  delivering_ = true;
  const bool last = piece->last_;
  const std::uint64_t size = piece->bytes_.size();
  incoming_->SendBody(
    std::move(*piece), [self = shared_from_this(), last, size](bool aOk) {
      self->delivering_ = false;
      if (self->finished_) {
        return;
      }
      if (!aOk && !last) {
        self->result_.callerDisconnected_ = true;
        self->Fail({ ErrorKind::BadRequest, "the caller is gone" });
        return;
      }
      if (last) {
        self->result_.callerDisconnected_ = !aOk;
        self->Complete();
        return;
      }
      self->node_->Send(
        self->host_,
        PeerMessageType::RelayCredit,
        Encode(RelayCredit{ self->head_.id_, RelayDirection::Response, size }));
      self->DeliverNext();
    });
}

void
RelaySource::Complete()
{
  result_.execution_ = ExecutionState::Complete;
  Finish();
}

void
RelaySource::OnRefused(ErrorKind aKind)
{
  if (finished_ || headReceived_) {
    return;
  }
  result_.execution_ = ExecutionState::NotRun;
  result_.refused_ = true;
  result_.error_ = Error{ aKind, "" };
  Finish();
}

void
RelaySource::Fail(const Error& aError)
{
  if (finished_) {
    return;
  }
  result_.error_ = aError;
  node_->Send(host_,
              PeerMessageType::RelayEnd,
              Encode(RelayEnd{ head_.id_, RelayDirection::Request, {} }));
  Finish();
}

void
RelaySource::Finish()
{
  finished_ = true;
  timer_.cancel();
  allowance_.reset();
  incoming_->SetOnCancelled(nullptr);
  node_->sources_.erase(head_.id_);
  done_(result_);
}

void
RelaySource::ArmTimer()
{
  timer_.expires_after(ToSteady(kCheckInterval));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && !self->finished_) {
      self->OnTimer();
    }
  });
}

void
RelaySource::OnTimer()
{
  const TimePoint now = BootClock::now();
  if (!headReceived_ && now >= deadline_) {
    Fail({ ErrorKind::DeadlineExceeded, "" });
    return;
  }
  if (now - lastProgress_ > kProgressLimit) {
    Fail({ ErrorKind::BackendStalled, "" });
    return;
  }
  if (unsent_ && sender_.MaySend()) {
    BodyPiece rest = std::move(*unsent_);
    unsent_.reset();
    SendPiece(std::move(rest));
    if (finished_) {
      return;
    }
  }
  ArmTimer();
}

}
