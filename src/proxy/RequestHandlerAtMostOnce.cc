// The part of RequestHandler that implements at-most-once execution.

#include "base/EventLog.h"
#include "proxy/RequestHandler.h"

#include <utility>

namespace peridotsail::detail {

bool
RequestHandler::NeedsAtMostOnce() const
{
  const auto& source = pipeline_->hooks_.atMostOnce_;
  return !query_.route_->idempotent_ && source && source() != nullptr;
}

void
RequestHandler::StartAtMostOnce()
{
  buffered_ = std::make_shared<BufferedRequest>(
    pipeline_->connections_.Context(), incoming_, pipeline_->options_.memory_);
  incoming_ = buffered_;
  buffered_->BufferBody(
    query_.route_->maxBodyBytes_,
    [self = shared_from_this()](const std::optional<Error>& aError) {
      self->OnBodyRead(aError);
    });
}

void
RequestHandler::OnBodyRead(const std::optional<Error>& aError)
{
  if (aError) {
    Refusal refusal = MakeRefusal(aError->kind_, aError->detail_);
    refusal.execution_ = ExecutionState::NotRun;
    Refuse(refusal);
    return;
  }
  const RequestHead& head = incoming_->Head();
  claimKey_ = HashIdempotencyKey(query_.customer_,
                                 *FindHeader(head.headers_, "Idempotency-Key"));
  AtMostOnceService& once = *pipeline_->hooks_.atMostOnce_();
  const TimePoint now = BootClock::now();
  if (!once.Holds(claimKey_, now)) {
    RelayToSlotHolder();
    return;
  }
  once.Begin(
    claimKey_,
    FingerprintRequest(head.method_, head.target_, buffered_->Body().Blocks()),
    query_.deadline_,
    now,
    [self = shared_from_this()](const ClaimDecision& aDecision,
                                AtMostOnceExecution aExecution) {
      self->OnClaimDecision(aDecision, std::move(aExecution));
    });
}

// A relayed request is never relayed again. It arrives at a host that does not
// hold the slot only while hosts briefly disagree about the holder; the caller
// then retries.
void
RequestHandler::RelayToSlotHolder()
{
  const SlotRoute route =
    pipeline_->hooks_.atMostOnce_()->RouteOf(claimKey_, BootClock::now());
  const std::string& holder = route.holder_.host_;
  if (query_.relayed_ || holder.empty() ||
      holder == pipeline_->hooks_.hostName_) {
    Refusal refusal = MakeRefusal(ErrorKind::PeerUnreachable,
                                  "no reachable host holds the request's slot");
    refusal.execution_ = ExecutionState::Unknown;
    Refuse(refusal);
    return;
  }
  RelayAllowancePtr allowance;
  if (pipeline_->hooks_.reserveRelay_ &&
      !pipeline_->hooks_.reserveRelay_(
        holder, query_.requestBytes_, allowance)) {
    Refusal refusal = MakeRefusal(ErrorKind::ShiftCapReached);
    refusal.execution_ = ExecutionState::Unknown;
    Refuse(refusal);
    return;
  }
  LogEvent(
    Event::OnceRelayed,
    { { "key", claimKey_ }, { "slot", route.slot_ }, { "to_host", holder } });
  RelayRequestHead head;
  head.head_ = ForwardedHead();
  head.customer_ = query_.customer_;
  head.route_ = query_.route_->name_;
  head.atMostOnce_ = true;
  buffered_->Rewind();
  pipeline_->relays_.Start(
    incoming_,
    holder,
    std::move(head),
    query_.deadline_,
    [self = shared_from_this()](const RelayResult& aResult) {
      self->OnHolderRelayDone(aResult);
    },
    allowance);
}

void
RequestHandler::OnHolderRelayDone(const RelayResult& aResult)
{
  if (!aResult.error_) {
    Finish(aResult.status_);
    return;
  }
  if (aResult.callerDisconnected_) {
    incoming_->Abort();
    return;
  }
  // An earlier transmission with the same key may have been executed, so this
  // host must not report not-run for a request that did not reach the holder.
  Refusal refusal = MakeRefusal(aResult.error_->kind_, aResult.error_->detail_);
  refusal.execution_ = ExecutionState::Unknown;
  Refuse(refusal);
}

void
RequestHandler::OnClaimDecision(const ClaimDecision& aDecision,
                                AtMostOnceExecution aExecution)
{
  switch (aDecision.verdict_) {
    case ClaimVerdict::Execute:
      hasClaim_ = true;
      execution_ = std::move(aExecution);
      // May relay to another region, because the holder's own region may have
      // no backend server of the pool.
      Dispatch();
      break;
    case ClaimVerdict::Replay:
      SendRecordedOutcome(aDecision.outcome_);
      break;
    default: {
      Refusal refusal = MakeRefusal(ErrorKindOf(aDecision.verdict_));
      refusal.execution_ = aDecision.execution_;
      Refuse(refusal);
    }
  }
}

void
RequestHandler::SendRecordedOutcome(const RecordedOutcome& aOutcome)
{
  ResponseHead head;
  head.status_ = aOutcome.status_;
  if (aOutcome.bodyKept_ && !aOutcome.contentType_.empty()) {
    head.headers_.push_back({ "Content-Type", aOutcome.contentType_ });
  }
  head.headers_.push_back(
    { "Execution-State", std::string(NameOf(ExecutionState::Complete)) });
  SendSmallResponse(incoming_,
                    std::move(head),
                    aOutcome.body_,
                    [self = shared_from_this(), status = aOutcome.status_] {
                      self->Finish(status);
                    });
}

void
RequestHandler::FinishClaim(const ExchangeResult& aResult)
{
  if (!hasClaim_) {
    return;
  }
  const RunResult result = !aResult.error_ ? RunResult::Complete
                           : aResult.execution_ == ExecutionState::NotRun
                             ? RunResult::NotRun
                             : RunResult::Unknown;
  const TimePoint now = BootClock::now();
  execution_.Finish(result, buffered_->Outcome(), now);
  if (AtMostOnceService* service = pipeline_->hooks_.atMostOnce_()) {
    service->Pump(now);
  }
}

void
RequestHandler::FinishClaim(const RelayResult& aResult)
{
  ExchangeResult result;
  result.error_ = aResult.error_;
  result.execution_ = aResult.execution_;
  // A refusal by the other host is a complete response but not an outcome to
  // record.
  if (aResult.reportedState_ &&
      *aResult.reportedState_ != ExecutionState::Complete) {
    result.error_ = Error{ ErrorKind::BackendFailed, "" };
    result.execution_ = *aResult.reportedState_;
  }
  FinishClaim(result);
}

void
RequestHandler::ReleaseClaim()
{
  ExchangeResult result;
  result.error_ = Error{ ErrorKind::NoBackendServer, "" };
  FinishClaim(result);
}

}
