#include "gateway/AllowanceGate.h"

#include <algorithm>
#include <array>
#include <vector>

namespace peridotsail {

namespace {

struct ResultName
{
  AdmissionResult result_;
  std::string_view name_;
};

// The shortest wait that a refused caller is told.
constexpr Duration kMinWait = std::chrono::milliseconds(1);

// Unanswered handover requests are dropped when there are more.
constexpr std::size_t kMaxHandoverRequests = 4096;

constexpr std::array<ResultName, 3> kResultNames{ {
  { AdmissionResult::Admitted, "admitted" },
  { AdmissionResult::UsedUp, "used-up" },
  { AdmissionResult::NoOwner, "no-owner" },
} };

}

std::string_view
NameOf(AdmissionResult aResult)
{
  for (const ResultName& row : kResultNames) {
    if (row.result_ == aResult) {
      return row.name_;
    }
  }
  return "unknown";
}

AllowanceGate::AllowanceGate(CustomerAllowances& aAllowances,
                             AllowanceOwners& aOwners,
                             GateOptions aOptions,
                             GateHooks aHooks,
                             std::uint64_t aSeed)
  : allowances_(aAllowances)
  , owners_(aOwners)
  , options_(aOptions)
  , hooks_(std::move(aHooks))
  , random_(aSeed)
{
}

void
AllowanceGate::AddSpareTokens(Customer& aCustomer,
                              double aTokens,
                              TimePoint aNow) const
{
  const double unexpired = aNow < aCustomer.spareUntil_ ? aCustomer.spare_ : 0;
  aCustomer.spare_ = unexpired + aTokens;
  aCustomer.spareUntil_ = aNow + options_.maxSpareAge_;
}

bool
AllowanceGate::TakeSpareToken(Customer& aCustomer, TimePoint aNow) const
{
  if (aCustomer.spare_ < 1 || aNow >= aCustomer.spareUntil_) {
    return false;
  }
  aCustomer.spare_ -= 1;
  return true;
}

void
AllowanceGate::Admit(const GatewayCustomer& aCustomer,
                     TimePoint aNow,
                     Callback aCallback,
                     const ReturningCaller& aCaller)
{
  if (aCustomer.ratePerSecond_ <= 0) {
    aCallback({});
    return;
  }
  Customer& customer = customers_[aCustomer.name_];
  if (TakeSpareToken(customer, aNow)) {
    aCallback({});
    return;
  }
  const bool returning = aCaller.hash_ != 0;
  if (!returning && aNow < customer.refusedUntil_) {
    aCallback({ AdmissionResult::UsedUp, customer.refusedUntil_ - aNow });
    return;
  }
  WaitingCaller waiting{ std::move(aCallback), aCaller, ++nextSerial_ };
  BatchPtr& joined =
    returning ? customer.localBatch_ : JoinableBatch(customer, aNow);
  if (joined) {
    joined->waiting_.push_back(std::move(waiting));
    return;
  }
  const BatchPtr batch = MakeBatch(aCustomer);
  batch->waiting_.push_back(std::move(waiting));
  batch->returning_ = returning;
  if (!returning && aNow < customer.localEmptyUntil_) {
    batch->step_ = 1;
    batch->usedUp_ = true;
    batch->minWait_ = customer.localEmptyUntil_ - aNow;
  }
  joined = batch;
  if (returning && aNow < customer.nextAskAt_ &&
      !OwnsLocalShare(aCustomer.name_)) {
    scheduled_.emplace(customer.nextAskAt_, batch);
    return;
  }
  Continue(batch, aNow);
}
AllowanceGate::BatchPtr&
AllowanceGate::JoinableBatch(Customer& aCustomer, TimePoint aNow)
{
  return aNow < aCustomer.localEmptyUntil_ ? aCustomer.remoteBatch_
                                           : aCustomer.localBatch_;
}

void
AllowanceGate::ReturnToken(const std::string& aCustomer, TimePoint aNow)
{
  AddSpareTokens(customers_[aCustomer], 1, aNow);
}

// The local share comes first, then the others in order from a random start, so
// that the hosts do not all drain the same region's share first.
ShareKey
AllowanceGate::CurrentShare(const Batch& aBatch) const
{
  const std::size_t shares = owners_.ShareCount();
  std::size_t share = owners_.LocalShare();
  if (aBatch.step_ > 0) {
    const std::size_t otherShares = shares - 1;
    const std::size_t offset =
      (aBatch.remoteStart_ % otherShares + aBatch.step_ - 1) % otherShares;
    share = (share + 1 + offset) % shares;
  }
  return { aBatch.customer_, share };
}

void
AllowanceGate::Continue(const BatchPtr& aBatch, TimePoint aNow)
{
  while (!aBatch->waiting_.empty() && aBatch->step_ < owners_.ShareCount() &&
         !SkipsOtherOwners(*aBatch, aNow)) {
    if (RequestFromOwner(aBatch, aNow)) {
      return;
    }
  }
  Finish(*aBatch, aNow);
}

bool
AllowanceGate::RequestFromOwner(const BatchPtr& aBatch, TimePoint aNow)
{
  const ShareKey share = CurrentShare(*aBatch);
  const AllowanceOwner* owner = owners_.OwnerOf(share);
  aBatch->requested_ = static_cast<double>(aBatch->waiting_.size());
  std::vector<std::uint64_t> described;
  std::vector<ReturningCaller> callers;
  if (aBatch->step_ == 0) {
    callers = Describe(*aBatch, described);
  }
  if (owner != nullptr && owner->self_) {
    OnGrant(aBatch,
            TakeOwned(share, aBatch->requested_, callers, aNow),
            described,
            aNow);
    return false;
  }
  const auto unresponsive = owner == nullptr
                              ? unresponsiveUntil_.end()
                              : unresponsiveUntil_.find(owner->name_);
  const bool skip =
    owner == nullptr ||
    (unresponsive != unresponsiveUntil_.end() && aNow < unresponsive->second);
  Customer& customer = customers_[aBatch->customer_];
  if (skip) {
    ++aBatch->step_;
    return false;
  }
  if (aBatch->step_ > 0 && customer.localBatch_ == aBatch) {
    customer.localBatch_.reset();
  }
  if (aBatch->step_ > 0 && !customer.remoteBatch_) {
    customer.remoteBatch_ = aBatch;
  }
  const std::uint64_t id = random_();
  const Duration timeout =
    aBatch->step_ == 0 ? options_.localTimeout_ : options_.remoteTimeout_;
  pending_[id] = { aBatch, owner->name_,   aBatch->step_, std::move(described),
                   aNow,   aNow + timeout, false };
  hooks_.send_(owner->address_,
               { id, share, aBatch->requested_, std::move(callers) });
  return true;
}

bool
AllowanceGate::MayGrant(TimePoint aNow) const
{
  return hooks_.viewAge_(aNow) <= options_.maxViewAge_;
}
// A batch whose request was granted in full asks the same owner again only for
// requests that joined in the meantime.
void
AllowanceGate::OnGrant(const BatchPtr& aBatch,
                       const TakeReply& aReply,
                       const std::vector<std::uint64_t>& aDescribed,
                       TimePoint aNow)
{
  Batch& batch = *aBatch;
  Customer& customer = customers_[batch.customer_];
  AddSpareTokens(customer, aReply.tokens_, aNow);
  ApplyWaits(batch, aReply.waits_, aDescribed, aNow);
  if (aReply.tokens_ < batch.requested_) {
    if (aReply.owned_) {
      batch.usedUp_ = true;
      batch.minWait_ = std::min(batch.minWait_, aReply.wait_);
    }
    if (aReply.owned_ && batch.step_ == 0) {
      customer.localEmptyUntil_ =
        aNow + std::min(aReply.wait_, options_.maxRefusal_);
      customer.nextAskAt_ = aNow + options_.askInterval_;
      RequeueOthers(aBatch, aDescribed);
    }
    ++batch.step_;
  }
  AdmitWaiting(batch, aNow);
}
void
AllowanceGate::AdmitWaiting(Batch& aBatch, TimePoint aNow)
{
  while (!aBatch.waiting_.empty() &&
         TakeSpareToken(customers_[aBatch.customer_], aNow)) {
    const Callback callback = std::move(aBatch.waiting_.front().callback_);
    aBatch.waiting_.pop_front();
    callback({});
  }
}

void
AllowanceGate::Finish(Batch& aBatch, TimePoint aNow)
{
  Customer& customer = customers_[aBatch.customer_];
  for (BatchPtr* joinable : { &customer.localBatch_, &customer.remoteBatch_ }) {
    if (joinable->get() == &aBatch) {
      joinable->reset();
    }
  }
  if (SkipsOtherOwners(aBatch, aNow)) {
    aBatch.usedUp_ = true;
    aBatch.minWait_ = std::min(aBatch.minWait_, customer.refusedUntil_ - aNow);
  } else if (!aBatch.waiting_.empty() && aBatch.usedUp_) {
    customer.refusedUntil_ =
      aNow + std::min(aBatch.minWait_, options_.maxRefusal_);
  }
  std::deque<WaitingCaller> waiting;
  waiting.swap(aBatch.waiting_);
  // Callers without a place are told different waits, so that they do not
  // return together.
  Duration wait = aBatch.minWait_;
  for (const WaitingCaller& caller : waiting) {
    Admission refusal{ AdmissionResult::NoOwner, {} };
    if (aBatch.usedUp_ && caller.returnAt_) {
      // The other owners were asked meanwhile.
      refusal = { AdmissionResult::UsedUp,
                  std::max(kMinWait, *caller.returnAt_ - aNow),
                  caller.place_ };
    } else if (aBatch.usedUp_) {
      refusal = { AdmissionResult::UsedUp, wait };
      wait += aBatch.returning_ ? aBatch.interval_ : Duration::zero();
    }
    caller.callback_(refusal);
  }
}

TakeReply
AllowanceGate::Answer(const TakeRequest& aRequest, TimePoint aNow)
{
  TakeReply reply =
    TakeOwned(aRequest.share_, aRequest.tokens_, aRequest.callers_, aNow);
  reply.id_ = aRequest.id_;
  return reply;
}

void
AllowanceGate::Accept(const TakeReply& aReply, TimePoint aNow)
{
  const auto handover = handovers_.find(aReply.id_);
  if (handover != handovers_.end()) {
    // Views do not go back, so a host that does not own the share in its
    // present view does not own it again by an older one.
    if (!aReply.owned_) {
      allowances_.ConfirmHandover(
        handover->second.share_, handover->second.former_, aNow);
    }
    handovers_.erase(handover);
    return;
  }
  const auto found = pending_.find(aReply.id_);
  if (found == pending_.end()) {
    return;
  }
  const PendingRequest request = found->second;
  pending_.erase(found);
  unresponsiveUntil_.erase(request.owner_);
  Batch& batch = *request.batch_;
  TakeReply grant = aReply;
  if (aNow - request.at_ > options_.maxReplyAge_) {
    grant.tokens_ = 0;
  }
  if (request.timedOut_) {
    AddSpareTokens(customers_[batch.customer_], grant.tokens_, aNow);
    AdmitWaiting(batch, aNow);
    return;
  }
  OnGrant(request.batch_, grant, request.described_, aNow);
  Continue(request.batch_, aNow);
}

void
AllowanceGate::RequestHandovers(TimePoint aNow)
{
  if (!allowances_.HasPendingHandovers()) {
    handovers_.clear();
    return;
  }
  if (aNow < nextHandoverAt_) {
    return;
  }
  nextHandoverAt_ = aNow + allowances_.Options().handoverInterval_;
  if (handovers_.size() > kMaxHandoverRequests) {
    handovers_.clear();
  }
  for (const PendingHandover& pending : allowances_.PendingHandovers(aNow)) {
    const std::uint64_t id = random_();
    handovers_[id] = { pending.share_, pending.former_.name_ };
    hooks_.send_(pending.former_.address_, { id, pending.share_, 0 });
  }
}

void
AllowanceGate::OnTimer(TimePoint aNow)
{
  RequestHandovers(aNow);
  SendScheduled(aNow);
  std::vector<BatchPtr> timedOut;
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingRequest& request = it->second;
    if (!request.timedOut_ && aNow >= request.timeout_) {
      request.timedOut_ = true;
      request.batch_->step_ = request.step_ + 1;
      unresponsiveUntil_[request.owner_] = aNow + options_.unresponsiveBackoff_;
      timedOut.push_back(request.batch_);
    }
    const bool expired =
      request.timedOut_ && aNow - request.at_ > options_.maxReplyAge_;
    it = expired ? pending_.erase(it) : std::next(it);
  }
  for (const BatchPtr& batch : timedOut) {
    Continue(batch, aNow);
  }
}

std::optional<TimePoint>
AllowanceGate::NextTimeout() const
{
  std::optional<TimePoint> next;
  if (allowances_.HasPendingHandovers()) {
    next = nextHandoverAt_;
  }
  if (!scheduled_.empty()) {
    const TimePoint due = scheduled_.begin()->first;
    next = next ? std::min(*next, due) : due;
  }
  for (const auto& [id, request] : pending_) {
    const TimePoint due = request.timedOut_
                            ? request.at_ + options_.maxReplyAge_
                            : request.timeout_;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

}
