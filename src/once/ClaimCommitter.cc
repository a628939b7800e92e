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
  retry_ = options_.firstRetry_;
  uncertain_ = false;
  refused_ = false;
}

std::optional<StoreOperation>
ClaimCommitter::Next(TimePoint aNow)
{
  const bool awaited = state_ == State::Writing || state_ == State::Reading;
  if (awaited && aNow >= answerUntil_) {
    OnLost(aNow);
  }
  if ((state_ != State::WriteDue && state_ != State::ReadDue) ||
      aNow < nextOperation_) {
    return std::nullopt;
  }
  StoreOperation operation;
  operation.id_ = ++operationId_;
  answerUntil_ = aNow + options_.answerLimit_;
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
  const bool awaited = state_ == State::Writing || state_ == State::Reading;
  if (!awaited || aAnswer.id_ != operationId_) {
    return CommitEvent::None;
  }
  if (aAnswer.kind_ == StoreAnswerKind::Lost) {
    OnLost(aNow);
    return CommitEvent::None;
  }
  if (state_ == State::Reading) {
    return OnReadBack(aAnswer, aNow);
  }
  if (aAnswer.kind_ == StoreAnswerKind::Written) {
    return End(CommitEvent::Committed);
  }
  if (!uncertain_) {
    return End(CommitEvent::Fenced);
  }
  refused_ = true;
  state_ = State::ReadDue;
  nextOperation_ = aNow;
  return CommitEvent::None;
}

void
ClaimCommitter::OnLost(TimePoint aNow)
{
  if (state_ == State::Writing) {
    uncertain_ = true;
  }
  state_ = State::ReadDue;
  nextOperation_ = aNow + retry_;
  retry_ = std::min(retry_ * 2, options_.lastRetry_);
}

CommitEvent
ClaimCommitter::OnReadBack(const StoreAnswer& aAnswer, TimePoint aNow)
{
  if (aAnswer.kind_ == StoreAnswerKind::Found) {
    return End(aAnswer.attempt_ == record_.attempt_ ? CommitEvent::Committed
                                                    : CommitEvent::Fenced);
  }
  if (refused_) {
    return End(CommitEvent::Fenced);
  }
  state_ = State::WriteDue;
  nextOperation_ = std::max(aNow, nextStart_);
  return CommitEvent::None;
}

CommitEvent
ClaimCommitter::End(CommitEvent aEvent)
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
    return answerUntil_;
  }
  return std::nullopt;
}

}
