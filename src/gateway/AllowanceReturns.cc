// The parts of AllowanceGate for callers that can be recognized when they
// return.

#include "gateway/AllowanceGate.h"

#include <algorithm>
#include <limits>

namespace peridotsail {

namespace {

// Tells a refusal from a grant, for which the wait is zero.
constexpr Duration kMinWait = std::chrono::milliseconds(1);

struct OwnerDecision
{
  // The tokens that may be taken: those of the granted callers, and those that
  // are not held for others.
  double mostTokens_ = 0;
  // One entry for each caller.
  std::vector<CallerWait> waits_;
};

OwnerDecision
DecideOnCallers(ReturnLines& aLines,
                const ShareKey& aShare,
                const std::vector<ReturningCaller>& aCallers,
                const TokenSupply& aSupply,
                TimePoint aNow)
{
  const std::string source =
    aShare.customer_ + '/' + std::to_string(aShare.share_);
  OwnerDecision decision;
  TokenSupply supply = aSupply;
  double granted = 0;
  if (!aCallers.empty()) {
    for (const ReturnVerdict& verdict :
         aLines.Decide(source, aCallers, aSupply, aNow)) {
      granted += verdict.IsGranted() ? 1 : 0;
      decision.waits_.push_back(
        verdict.IsGranted()
          ? CallerWait()
          : CallerWait{ std::max(verdict.wait_, kMinWait), verdict.place_ });
    }
  }
  supply.level_ -= granted;
  decision.mostTokens_ = granted + aLines.Spare(source, supply, aNow);
  return decision;
}

}

AllowanceGate::BatchPtr
AllowanceGate::MakeBatch(const GatewayCustomer& aCustomer)
{
  auto batch = std::make_shared<Batch>();
  batch->customer_ = aCustomer.name_;
  batch->remoteStart_ = static_cast<std::size_t>(random_());
  batch->interval_ = FromSeconds(1 / aCustomer.ratePerSecond_);
  return batch;
}

bool
AllowanceGate::OwnsLocalShare(const std::string& aCustomer)
{
  return owners_.OwnedHere({ aCustomer, owners_.LocalShare() });
}

bool
AllowanceGate::SkipsOtherOwners(const Batch& aBatch, TimePoint aNow) const
{
  return aBatch.returning_ && aBatch.step_ > 0 &&
         aNow < customers_.at(aBatch.customer_).refusedUntil_;
}

std::vector<ReturningCaller>
AllowanceGate::Describe(const Batch& aBatch,
                        std::vector<std::uint64_t>& aDescribed)
{
  std::vector<ReturningCaller> callers;
  for (const WaitingCaller& waiting : aBatch.waiting_) {
    const bool known = waiting.caller_.hash_ != 0;
    if (!known || callers.size() == kMaxDescribedCallers) {
      break;
    }
    callers.push_back(waiting.caller_);
    aDescribed.push_back(waiting.serial_);
  }
  return callers;
}

TakeReply
AllowanceGate::TakeOwned(const ShareKey& aShare,
                         double aTokens,
                         const std::vector<ReturningCaller>& aCallers,
                         TimePoint aNow)
{
  if (!MayGrant(aNow)) {
    return {};
  }
  TakeReply reply;
  double most = std::numeric_limits<double>::infinity();
  if (auto supply = allowances_.Supply(aShare, aNow)) {
    const OwnerDecision decision =
      DecideOnCallers(lines_, aShare, aCallers, *supply, aNow);
    most = decision.mostTokens_;
    reply.waits_ = decision.waits_;
  }
  const TokenGrant grant = allowances_.Take(aShare, aTokens, aNow, most);
  if (grant.owned_ && aTokens > 0 && hooks_.onTaken_) {
    hooks_.onTaken_(aShare);
  }
  reply.owned_ = grant.owned_;
  reply.tokens_ = grant.tokens_;
  reply.wait_ = grant.wait_;
  return reply;
}

void
AllowanceGate::ApplyWaits(Batch& aBatch,
                          const std::vector<CallerWait>& aWaits,
                          const std::vector<std::uint64_t>& aDescribed,
                          TimePoint aNow)
{
  Customer& customer = customers_[aBatch.customer_];
  std::vector<Callback> admitted;
  const std::size_t count = std::min(aWaits.size(), aDescribed.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto waiting =
      std::find_if(aBatch.waiting_.begin(),
                   aBatch.waiting_.end(),
                   [&](const WaitingCaller& aWaiting) {
                     return aWaiting.serial_ == aDescribed[i];
                   });
    if (waiting == aBatch.waiting_.end()) {
      continue;
    }
    if (aWaits[i].wait_ > Duration::zero()) {
      waiting->returnAt_ = aNow + aWaits[i].wait_;
      waiting->place_ = aWaits[i].place_;
    } else if (TakeSpareToken(customer, aNow)) {
      admitted.push_back(std::move(waiting->callback_));
      aBatch.waiting_.erase(waiting);
    }
  }
  for (const Callback& callback : admitted) {
    callback({});
  }
}

void
AllowanceGate::RequeueOthers(const BatchPtr& aBatch,
                             const std::vector<std::uint64_t>& aDescribed)
{
  if (aDescribed.empty()) {
    return;
  }
  const auto first = std::stable_partition(
    aBatch->waiting_.begin(),
    aBatch->waiting_.end(),
    [&](const WaitingCaller& aWaiting) {
      return aWaiting.caller_.hash_ == 0 ||
             std::find(aDescribed.begin(),
                       aDescribed.end(),
                       aWaiting.serial_) != aDescribed.end();
    });
  if (first == aBatch->waiting_.end()) {
    return;
  }
  Customer& customer = customers_[aBatch->customer_];
  if (!customer.localBatch_ || customer.localBatch_ == aBatch) {
    auto next = std::make_shared<Batch>();
    next->customer_ = aBatch->customer_;
    next->remoteStart_ = aBatch->remoteStart_;
    next->interval_ = aBatch->interval_;
    next->returning_ = true;
    scheduled_.emplace(customer.nextAskAt_, next);
    customer.localBatch_ = next;
  }
  std::move(first,
            aBatch->waiting_.end(),
            std::back_inserter(customer.localBatch_->waiting_));
  aBatch->waiting_.erase(first, aBatch->waiting_.end());
}

void
AllowanceGate::SendScheduled(TimePoint aNow)
{
  while (!scheduled_.empty() && aNow >= scheduled_.begin()->first) {
    const BatchPtr batch = scheduled_.begin()->second;
    scheduled_.erase(scheduled_.begin());
    Continue(batch, aNow);
  }
}

}
