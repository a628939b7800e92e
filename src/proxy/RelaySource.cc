#include "proxy/RelayExchange.h"

namespace peridotsail::detail {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

// Returns Unknown for a name that is not an execution state.
ExecutionState
ExecutionStateFromName(std::string_view aName)
{
  for (const ExecutionState state :
       { ExecutionState::NotRun, ExecutionState::Complete }) {
    if (NameOf(state) == aName) {
      return state;
    }
  }
  return ExecutionState::Unknown;
}

// A relay that exchanges no message for longer fails.
constexpr Duration kProgressTimeout = std::chrono::seconds(15);

// The largest chunk that a caller's connection or a buffered body delivers.
constexpr std::size_t kMaxChunkBytes = 64 << 10;

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
  , memory_(node_->hooks_.memory_)
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
  if (allowance_ && allowance_->Acquire(head.size()) < head.size()) {
    Fail({ ErrorKind::ShiftCapReached, "" });
    return;
  }
  if (!node_->Send(host_, PeerMessageType::RelayHead, head)) {
    Fail({ ErrorKind::PeerUnreachable, "there is no link to " + host_ });
    return;
  }
  // From here on the other host may execute the request.
  result_.execution_ = ExecutionState::Unknown;
  ArmTimer();
  if (head_.head_.hasBody_) {
    ForwardRequestBody();
  }
}

void
RelaySource::ForwardRequestBody()
{
  if (readingBody_ || bodyEnded_ || unsentChunk_ || !sender_.HasCredit()) {
    return;
  }
  // OnTimer tries again.
  if (!MayHold(kMaxChunkBytes)) {
    return;
  }
  readingBody_ = true;
  result_.bodyConsumed_ = true;
  incoming_->ReadBody([self = shared_from_this()](
                        std::optional<BodyChunk> aChunk, const Error& aError) {
    self->readingBody_ = false;
    if (self->finished_) {
      return;
    }
    if (!aChunk) {
      self->result_.callerDisconnected_ = true;
      self->Fail(aError);
      return;
    }
    self->SendChunk(std::move(*aChunk));
  });
}

bool
RelaySource::MayHold(std::size_t aMore)
{
  return memory_.Set(sender_.Outstanding() + receiver_.BufferedBytes() + aMore);
}

void
RelaySource::SendChunk(BodyChunk aChunk)
{
  const std::size_t total = aChunk.bytes_.size();
  const std::size_t size = allowance_ ? allowance_->Acquire(total) : total;
  if (size < total) {
    // OnTimer sends the rest.
    unsentChunk_ = BodyChunk{ aChunk.bytes_.substr(size), aChunk.last_ };
    aChunk.bytes_.resize(size);
    aChunk.last_ = false;
    if (size == 0) {
      return;
    }
  }
  lastProgress_ = BootClock::now();
  bodyEnded_ = aChunk.last_;
  result_.bytes_ += size;
  const RelayBodyChunk message{ head_.id_,
                                RelayDirection::Request,
                                sender_.AssignSequence(size),
                                std::move(aChunk) };
  if (!node_->Send(host_, PeerMessageType::RelayBody, Encode(message))) {
    Fail({ ErrorKind::PeerUnreachable, "the link to " + host_ + " is down" });
    return;
  }
  ForwardRequestBody();
}

void
RelaySource::OnCredit(std::uint64_t aBytes)
{
  lastProgress_ = BootClock::now();
  sender_.AddCredit(aBytes);
  if (head_.head_.hasBody_) {
    ForwardRequestBody();
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
  if (const std::string* state =
        FindHeader(aHead.head_.headers_, "Execution-State")) {
    result_.reportedState_ = ExecutionStateFromName(*state);
  }
  incoming_->SendHead(
    std::move(aHead.head_), [self = shared_from_this()](bool aOk) {
      if (self->finished_) {
        return;
      }
      if (!aOk) {
        self->result_.callerDisconnected_ = true;
        self->Fail({ ErrorKind::BadRequest, "the caller has disconnected" });
        return;
      }
      self->headDelivered_ = true;
      self->DeliverNextChunk();
    });
}

void
RelaySource::OnBody(RelayBodyChunk aChunk)
{
  lastProgress_ = BootClock::now();
  result_.bytes_ += aChunk.chunk_.bytes_.size();
  const bool inOrder =
    headReceived_ && receiver_.Push(aChunk.sequence_, std::move(aChunk.chunk_));
  if (!inOrder) {
    Fail({ ErrorKind::PeerUnreachable, "a chunk of the response was lost" });
    return;
  }
  if (!MayHold(0)) {
    Fail({ ErrorKind::HostOverloaded, "there is no memory for the response" });
    return;
  }
  DeliverNextChunk();
}

void
RelaySource::DeliverNextChunk()
{
  if (!headDelivered_ || writing_ || finished_) {
    return;
  }
  std::optional<BodyChunk> chunk = receiver_.Take();
  if (!chunk) {
    return;
  }
  writing_ = true;
  const bool last = chunk->last_;
  const std::uint64_t size = chunk->bytes_.size();
  incoming_->SendBody(
    std::move(*chunk), [self = shared_from_this(), last, size](bool aOk) {
      self->writing_ = false;
      if (self->finished_) {
        return;
      }
      if (!aOk && !last) {
        self->result_.callerDisconnected_ = true;
        self->Fail({ ErrorKind::BadRequest, "the caller has disconnected" });
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
      self->DeliverNextChunk();
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
  if (now - lastProgress_ > kProgressTimeout) {
    Fail({ ErrorKind::BackendStalled, "" });
    return;
  }
  if (unsentChunk_ && sender_.HasCredit()) {
    BodyChunk rest = std::move(*unsentChunk_);
    unsentChunk_.reset();
    SendChunk(std::move(rest));
    if (finished_) {
      return;
    }
  }
  if (head_.head_.hasBody_) {
    ForwardRequestBody();
  }
  ArmTimer();
}

}
