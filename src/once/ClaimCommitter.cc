#include "once/ClaimCommitter.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

ClaimCommitter::ClaimCommitter(const Options& aOptions)
  : options_(aOptions)
{
}

void
ClaimCommitter::Start(ClaimRecord aRecord, TimePoint aNow)
{
  record_ = std::move(aRecord);
  state_ = State::WriteDue;
  nextOperation_ = aNow;
  retryDelay_ = options_.initialRetryDelay_;
  mayBeCommitted_ = false;
  lastWriteRefused_ = false;
}

std::optional<StoreOperation>
ClaimCommitter::Next(TimePoint aNow)
{
  const bool awaitingAnswer =
    state_ == State::Writing || state_ == State::Reading;
  if (awaitingAnswer && aNow >= answerDeadline_) {
    OnAnswerLost(aNow);
  }
  if ((state_ != State::WriteDue && state_ != State::ReadDue) ||
      aNow < nextOperation_) {
    return std::nullopt;
  }
  StoreOperation operation;
  operation.id_ = ++operationId_;
  answerDeadline_ = aNow + options_.answerTimeout_;
  if (state_ == State::WriteDue) {
    state_ = State::Writing;
    nextStart_ = aNow + options_.minimumInterval_;
    ++writes_;
    operation.kind_ = StoreOperationKind::Write;
    operation.record_ = record_;
  } else {
    state_ = State::Reading;
    operation.kind_ = StoreOperationKind::ReadBack;
    operation.record_.key_ = record_.key_;
  }
  return operation;
}

CommitEvent
ClaimCommitter::OnAnswer(const StoreAnswer& aAnswer, TimePoint aNow)
{
  const bool awaitingAnswer =
    state_ == State::Writing || state_ == State::Reading;
  if (!awaitingAnswer || aAnswer.id_ != operationId_) {
    return CommitEvent::None;
  }
  if (aAnswer.kind_ == StoreAnswerKind::Lost) {
    OnAnswerLost(aNow);
    return CommitEvent::None;
  }
  if (state_ == State::Reading) {
    return OnReadBack(aAnswer, aNow);
  }
  if (aAnswer.kind_ == StoreAnswerKind::Written) {
    return Finish(CommitEvent::Committed);
  }
  if (!mayBeCommitted_) {
    return Finish(CommitEvent::Fenced);
  }
  lastWriteRefused_ = true;
  state_ = State::ReadDue;
  nextOperation_ = aNow;
  return CommitEvent::None;
}

void
ClaimCommitter::OnAnswerLost(TimePoint aNow)
{
  if (state_ == State::Writing) {
    mayBeCommitted_ = true;
  }
  state_ = State::ReadDue;
  nextOperation_ = aNow + retryDelay_;
  retryDelay_ = std::min(retryDelay_ * 2, options_.maxRetryDelay_);
}

CommitEvent
ClaimCommitter::OnReadBack(const StoreAnswer& aAnswer, TimePoint aNow)
{
  if (aAnswer.kind_ == StoreAnswerKind::Found) {
    return Finish(aAnswer.attempt_ == record_.attempt_ ? CommitEvent::Committed
                                                       : CommitEvent::Fenced);
  }
  if (lastWriteRefused_) {
    return Finish(CommitEvent::Fenced);
  }
  state_ = State::WriteDue;
  nextOperation_ = std::max(aNow, nextStart_);
  return CommitEvent::None;
}

CommitEvent
ClaimCommitter::Finish(CommitEvent aEvent)
{
  state_ = State::Idle;
  record_ = ClaimRecord();
  return aEvent;
}

std::optional<TimePoint>
ClaimCommitter::WakeAt() const
{
  if (state_ == State::WriteDue || state_ == State::ReadDue) {
    return nextOperation_;
  }
  if (state_ == State::Writing || state_ == State::Reading) {
    return answerDeadline_;
  }
  return std::nullopt;
}

}
