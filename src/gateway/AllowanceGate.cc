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
AllowanceGate::AddSpare(Customer& aCustomer,
                        double aTokens,
                        TimePoint aNow) const
{
  const double kept = aNow < aCustomer.spareUntil_ ? aCustomer.spare_ : 0;
  aCustomer.spare_ = kept + aTokens;
  aCustomer.spareUntil_ = aNow + options_.spareLife_;
}

bool
AllowanceGate::TakeSpare(Customer& aCustomer, TimePoint aNow) const
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
                     Callback aCallback)
{
  if (aCustomer.ratePerSecond_ <= 0) {
    aCallback({});
    return;
  }
  Customer& customer = customers_[aCustomer.name_];
  if (TakeSpare(customer, aNow)) {
    aCallback({});
    return;
  }
  if (aNow < customer.refusedUntil_) {
    aCallback({ AdmissionResult::UsedUp, customer.refusedUntil_ - aNow });
    return;
  }
  RoundPtr& joined = RoundFor(customer, aNow);
  if (joined) {
    joined->waiting_.push_back(std::move(aCallback));
    return;
  }
  const auto round = std::make_shared<Round>();
  round->customer_ = aCustomer.name_;
  round->waiting_.push_back(std::move(aCallback));
  round->farStart_ = static_cast<std::size_t>(random_());
  if (aNow < customer.nearEmptyUntil_) {
    round->step_ = 1;
    round->usedUp_ = true;
    round->leastWait_ = customer.nearEmptyUntil_ - aNow;
  }
  joined = round;
  Run(round, aNow);
}

AllowanceGate::RoundPtr&
AllowanceGate::RoundFor(Customer& aCustomer, TimePoint aNow)
{
  return aNow < aCustomer.nearEmptyUntil_ ? aCustomer.far_ : aCustomer.near_;
}

void
AllowanceGate::ReturnToken(const std::string& aCustomer, TimePoint aNow)
{
  AddSpare(customers_[aCustomer], 1, aNow);
}

// The nearest share first, then the others in turn from a random one on, so
// that no region's share is drained by all others first.
ShareKey
AllowanceGate::ShareAt(const Round& aRound) const
{
  const std::size_t shares = owners_.ShareCount();
  std::size_t share = owners_.LocalShare();
  if (aRound.step_ > 0) {
    const std::size_t others = shares - 1;
    const std::size_t turn =
      (aRound.farStart_ % others + aRound.step_ - 1) % others;
    share = (share + 1 + turn) % shares;
  }
  return { aRound.customer_, share };
}

void
AllowanceGate::Run(const RoundPtr& aRound, TimePoint aNow)
{
  while (!aRound->waiting_.empty() && aRound->step_ < owners_.ShareCount()) {
    if (AskOwner(aRound, aNow)) {
      return;
    }
  }
  End(*aRound, aNow);
}

bool
AllowanceGate::AskOwner(const RoundPtr& aRound, TimePoint aNow)
{
  const ShareKey share = ShareAt(*aRound);
  const AllowanceOwner* owner = owners_.OwnerOf(share);
  aRound->asked_ = static_cast<double>(aRound->waiting_.size());
  if (owner != nullptr && owner->self_) {
    OnGrant(*aRound, TakeHere(share, aRound->asked_, aNow), aNow);
    return false;
  }
  const auto silent =
    owner == nullptr ? silentUntil_.end() : silentUntil_.find(owner->name_);
  const bool passOver =
    owner == nullptr || (silent != silentUntil_.end() && aNow < silent->second);
  Customer& customer = customers_[aRound->customer_];
  if (passOver) {
    ++aRound->step_;
    return false;
  }
  if (aRound->step_ > 0 && customer.near_ == aRound) {
    customer.near_.reset();
  }
  if (aRound->step_ > 0 && !customer.far_) {
    customer.far_ = aRound;
  }
  const std::uint64_t id = random_();
  const Duration timeout =
    aRound->step_ == 0 ? options_.nearTimeout_ : options_.farTimeout_;
  asked_[id] = { aRound, owner->name_,   aRound->step_,
                 aNow,   aNow + timeout, false };
  hooks_.send_(owner->address_, { id, share, aRound->asked_ });
  return true;
}

TokenGrant
AllowanceGate::TakeHere(const ShareKey& aShare, double aTokens, TimePoint aNow)
{
  if (hooks_.viewAge_(aNow) > options_.mostViewAge_) {
    return {};
  }
  const TokenGrant grant = allowances_.Take(aShare, aTokens, aNow);
  if (grant.owned_ && hooks_.onTaken_) {
    hooks_.onTaken_(aShare);
  }
  return grant;
}

// The round asks the same owner again only for requests that joined meanwhile.
void
AllowanceGate::OnGrant(Round& aRound, const TokenGrant& aGrant, TimePoint aNow)
{
  Customer& customer = customers_[aRound.customer_];
  AddSpare(customer, aGrant.tokens_, aNow);
  if (aGrant.tokens_ < aRound.asked_) {
    if (aGrant.owned_) {
      aRound.usedUp_ = true;
      aRound.leastWait_ = std::min(aRound.leastWait_, aGrant.wait_);
    }
    if (aGrant.owned_ && aRound.step_ == 0) {
      customer.nearEmptyUntil_ =
        aNow + std::min(aGrant.wait_, options_.longestRefusal_);
    }
    ++aRound.step_;
  }
  Deliver(aRound, aNow);
}

void
AllowanceGate::Deliver(Round& aRound, TimePoint aNow)
{
  while (!aRound.waiting_.empty() &&
         TakeSpare(customers_[aRound.customer_], aNow)) {
    const Callback callback = std::move(aRound.waiting_.front());
    aRound.waiting_.pop_front();
    callback({});
  }
}

void
AllowanceGate::End(Round& aRound, TimePoint aNow)
{
  Customer& customer = customers_[aRound.customer_];
  for (RoundPtr* open : { &customer.near_, &customer.far_ }) {
    if (open->get() == &aRound) {
      open->reset();
    }
  }
  Admission refusal{ AdmissionResult::NoOwner, {} };
  if (!aRound.waiting_.empty() && aRound.usedUp_) {
    refusal = { AdmissionResult::UsedUp, aRound.leastWait_ };
    customer.refusedUntil_ =
      aNow + std::min(aRound.leastWait_, options_.longestRefusal_);
  }
  std::deque<Callback> waiting;
  waiting.swap(aRound.waiting_);
  for (const Callback& callback : waiting) {
    callback(refusal);
  }
}

TakeReply
AllowanceGate::Answer(const TakeRequest& aRequest, TimePoint aNow)
{
  const TokenGrant grant = TakeHere(aRequest.share_, aRequest.tokens_, aNow);
  return { aRequest.id_, grant.owned_, grant.tokens_, grant.wait_ };
}

void
AllowanceGate::Accept(const TakeReply& aReply, TimePoint aNow)
{
  const auto found = asked_.find(aReply.id_);
  if (found == asked_.end()) {
    return;
  }
  const Asked asked = found->second;
  asked_.erase(found);
  silentUntil_.erase(asked.owner_);
  Round& round = *asked.round_;
  TokenGrant grant{ aReply.owned_, aReply.tokens_, aReply.wait_ };
  if (aNow - asked.at_ > options_.answerLife_) {
    grant.tokens_ = 0;
  }
  if (asked.timedOut_) {
    AddSpare(customers_[round.customer_], grant.tokens_, aNow);
    Deliver(round, aNow);
    return;
  }
  OnGrant(round, grant, aNow);
  Run(asked.round_, aNow);
}

void
AllowanceGate::OnTimer(TimePoint aNow)
{
  std::vector<RoundPtr> late;
  for (auto it = asked_.begin(); it != asked_.end();) {
    Asked& asked = it->second;
    if (!asked.timedOut_ && aNow >= asked.timeout_) {
      asked.timedOut_ = true;
      asked.round_->step_ = asked.step_ + 1;
      silentUntil_[asked.owner_] = aNow + options_.silence_;
      late.push_back(asked.round_);
    }
    const bool forgotten =
      asked.timedOut_ && aNow - asked.at_ > options_.answerLife_;
    it = forgotten ? asked_.erase(it) : std::next(it);
  }
  for (const RoundPtr& round : late) {
    Run(round, aNow);
  }
}

std::optional<TimePoint>
AllowanceGate::NextTimeout() const
{
  std::optional<TimePoint> next;
  for (const auto& [id, asked] : asked_) {
    const TimePoint due =
      asked.timedOut_ ? asked.at_ + options_.answerLife_ : asked.timeout_;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

}
