#include "budget/SharedBudget.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// Less than this is not worth a message; far above rounding errors.
constexpr double kLeast = 1e-6;
// The refill rate asked for exceeds the demand by this factor, so that small
// variations of the demand need no new loan.
constexpr double kRateHeadroom = 1.05;
// A lender gives at most this part of what it could do without, so that a
// sudden demand on its own callers finds tokens and cap.
constexpr double kLentPart = 0.5;
// Loans of rate are renewed, and other loans given back, at this part of their
// lifetime.
constexpr double kRenewAt = 0.5;
constexpr std::size_t kRememberedRequests = 64;

void
Add(BudgetPart& aSum, const BudgetPart& aPart, double aSign)
{
  aSum.tokens_ += aSign * aPart.tokens_;
  aSum.rate_ += aSign * aPart.rate_;
  aSum.cap_ += aSign * aPart.cap_;
}

template<typename Loans>
BudgetPart
SumOf(const Loans& aLoans)
{
  // Summed anew each time: running sums would collect rounding errors.
  BudgetPart sum;
  for (const auto& [key, loan] : aLoans) {
    Add(sum, loan.part_, 1);
  }
  return sum;
}

bool
IsSame(const BudgetLimits& aLeft, const BudgetLimits& aRight)
{
  return aLeft.rate_ == aRight.rate_ && aLeft.burst_ == aRight.burst_ &&
         aLeft.layout_ && aRight.layout_ &&
         aLeft.layout_->regions_ == aRight.layout_->regions_;
}

}

SharedBudget::SharedBudget(std::string aName,
                           const SharedBudgetOptions& aOptions,
                           TimePoint aNow)
  : name_(std::move(aName))
  , options_(aOptions)
  , bucket_(aNow)
  , nextId_(std::max<std::uint64_t>(1, aOptions.firstId_))
  , demandAt_(aNow)
  , now_(aNow)
{
}

void
SharedBudget::AdoptLimits(const BudgetLimits& aLimits, TimePoint aNow)
{
  Advance(aNow);
  if (!versions_.empty() && IsSame(versions_.back().limits_, aLimits)) {
    return;
  }
  if (versions_.empty() && !aLimits.first_) {
    // Other hosts may still apply a version that this process never saw.
    versions_.push_back({ BudgetLimits{}, TimePoint::max() });
  }
  if (!versions_.empty()) {
    versions_.back().replaced_ = now_;
  }
  versions_.push_back({ aLimits, TimePoint::max() });
  ApplyLimits(now_);
}

void
SharedBudget::SetSlot(const SlotValidity& aSlot, TimePoint aNow)
{
  Advance(aNow);
  if (aSlot.slot_ != slot_.slot_ || aSlot.epoch_ != slot_.epoch_) {
    // The tokens of the old slot end with it.
    slot_ = SlotValidity{};
    ApplyLimits(now_);
  }
  slot_ = aSlot;
  ApplyLimits(now_);
}

void
SharedBudget::SetPeers(std::vector<BudgetPeer> aPeers)
{
  peers_ = std::move(aPeers);
  for (auto state = peerStates_.begin(); state != peerStates_.end();) {
    const bool known =
      std::any_of(peers_.begin(), peers_.end(), [&](const BudgetPeer& aPeer) {
        return aPeer.name_ == state->first;
      });
    state = known ? std::next(state) : peerStates_.erase(state);
  }
}

void
SharedBudget::Advance(TimePoint aNow)
{
  now_ = std::max(now_, aNow);
  while (nextChange_ <= now_) {
    const TimePoint change = nextChange_;
    bucket_.Advance(change);
    DropEnded(change);
    ApplyLimits(change);
  }
  bucket_.Advance(now_);
}

void
SharedBudget::DropEnded(TimePoint aNow)
{
  for (auto* loans : { &given_, &taken_ }) {
    for (auto loan = loans->begin(); loan != loans->end();) {
      loan = loan->second.end_ <= aNow ? loans->erase(loan) : std::next(loan);
    }
  }
  while (versions_.size() > 1 &&
         versions_.front().replaced_ + options_.raiseDelay_ <= aNow) {
    versions_.pop_front();
  }
  for (auto open = open_.begin(); open != open_.end();) {
    const bool late = open->second.sent_ + options_.loanLifetime_ <= aNow;
    open = late ? open_.erase(open) : std::next(open);
  }
}

void
SharedBudget::ApplyLimits(TimePoint aNow)
{
  lent_ = SumOf(given_);
  borrowed_ = SumOf(taken_);
  const BudgetPart own = OwnFree(aNow);
  bucket_.SetLimits(
    own.rate_ + borrowed_.rate_, own.cap_ + borrowed_.cap_, aNow);
  nextChange_ = TimePoint::max();
  for (const auto* loans : { &given_, &taken_ }) {
    for (const auto& [key, loan] : *loans) {
      nextChange_ = std::min(nextChange_, loan.end_);
    }
  }
  if (slot_.ValidAt(aNow)) {
    nextChange_ = std::min(nextChange_, slot_.validUntil_);
  }
  if (versions_.size() > 1) {
    nextChange_ =
      std::min(nextChange_, versions_.front().replaced_ + options_.raiseDelay_);
  }
  for (const auto& [id, open] : open_) {
    nextChange_ = std::min(nextChange_, open.sent_ + options_.loanLifetime_);
  }
}

BudgetPart
SharedBudget::OwnShare(TimePoint aNow) const
{
  BudgetPart share;
  if (!slot_.ValidAt(aNow) || versions_.empty()) {
    return share;
  }
  bool isFirst = true;
  for (const Version& version : versions_) {
    const BudgetLimits& limits = version.limits_;
    if (!limits.layout_ || !limits.layout_->Contains(slot_.slot_)) {
      return BudgetPart{};
    }
    const int slots = limits.layout_->Total();
    const double rate = limits.rate_ / slots;
    const double cap = limits.burst_ / slots;
    share.rate_ = isFirst ? rate : std::min(share.rate_, rate);
    share.cap_ = isFirst ? cap : std::min(share.cap_, cap);
    isFirst = false;
  }
  return share;
}

BudgetPart
SharedBudget::OwnFree(TimePoint aNow) const
{
  BudgetPart own = OwnShare(aNow);
  own.rate_ = std::max(0.0, own.rate_ - lent_.rate_);
  own.cap_ = std::max(0.0, own.cap_ - lent_.cap_);
  return own;
}

bool
SharedBudget::TryTake(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  NoteDemand(aTokens, now_);
  return bucket_.TryTake(aTokens, now_);
}

bool
SharedBudget::TryAgain(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  return bucket_.TryTake(aTokens, now_);
}

std::optional<Duration>
SharedBudget::WaitBeforeRetry(double aTokens, double aWaiting, TimePoint aNow)
{
  Advance(aNow);
  const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
  if (aWaiting > rate * options_.waitingSeconds_) {
    return std::nullopt;
  }
  return std::clamp(
    bucket_.WaitFor(aTokens), options_.shortestWait_, options_.longestWait_);
}

bool
SharedBudget::LendsRate() const
{
  if (options_.loans_ != LoanKind::ByBurst || versions_.empty()) {
    return options_.loans_ == LoanKind::Rate;
  }
  const BudgetLimits& limits = versions_.back().limits_;
  return limits.burst_ < limits.rate_ * ToSeconds(options_.smallBurst_);
}

double
SharedBudget::TakeUpTo(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  NoteDemand(aTokens, now_);
  return bucket_.TakeUpTo(aTokens, now_);
}

void
SharedBudget::PutBack(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  bucket_.Put(aTokens, now_);
}

Duration
SharedBudget::RetryAfter(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  Duration wait = bucket_.WaitFor(aTokens);
  if (wait == Duration::max()) {
    // Without a share, or with a cap below one request, a loan has to come.
    const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
    wait =
      rate > 0 ? FromSeconds(std::min(30.0, aTokens / rate)) : kMaxRetryAfter;
    wait = std::max<Duration>(wait, options_.askInterval_);
  }
  return std::clamp<Duration>(
    wait, std::chrono::milliseconds(1), kMaxRetryAfter);
}

void
SharedBudget::NoteDemand(double aTokens, TimePoint aNow)
{
  const double window = ToSeconds(options_.demandWindow_);
  const double decay = std::exp(-ToSeconds(aNow - demandAt_) / window);
  demand_ = demand_ * decay + aTokens / window;
  const double rise = ToSeconds(options_.riseWindow_);
  rise_ =
    rise_ * std::exp(-ToSeconds(aNow - demandAt_) / rise) + aTokens / rise;
  unit_ = std::max(unit_ * decay, aTokens);
  demandAt_ = aNow;
}

double
SharedBudget::Demand(TimePoint aNow) const
{
  const double passed = std::max(0.0, ToSeconds(aNow - demandAt_));
  const double slow =
    demand_ * std::exp(-passed / ToSeconds(options_.demandWindow_));
  const double fast =
    rise_ * std::exp(-passed / ToSeconds(options_.riseWindow_));
  return std::max(slow, fast);
}

double
SharedBudget::UsefulDemand(TimePoint aNow) const
{
  const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
  return std::min(Demand(aNow), rate);
}

double
SharedBudget::TargetLevel(TimePoint aNow) const
{
  const double demand = UsefulDemand(aNow);
  if (demand < kLeast) {
    return 0;
  }
  Duration roundTrip{};
  for (const BudgetPeer& peer : peers_) {
    roundTrip = std::max(roundTrip, peer.roundTrip_);
  }
  const double horizon = ToSeconds(roundTrip + 2 * options_.askInterval_);
  const double passed = std::max(0.0, ToSeconds(aNow - demandAt_));
  const double unit =
    unit_ * std::exp(-passed / ToSeconds(options_.demandWindow_));
  return demand * horizon + unit;
}

BudgetPart
SharedBudget::Want(TimePoint aNow) const
{
  BudgetPart want;
  want.tokens_ = TargetLevel(aNow) - bucket_.Level();
  if (LendsRate()) {
    want.rate_ = UsefulDemand(aNow) * kRateHeadroom - bucket_.Rate();
  }
  for (const auto& [id, open] : open_) {
    Add(want, open.expected_, -1);
  }
  want.tokens_ = std::max(0.0, want.tokens_);
  want.rate_ = std::max(0.0, want.rate_);
  return want;
}

std::vector<std::pair<std::string, TokenRequestEntry>>
SharedBudget::Borrow(TimePoint aNow)
{
  Advance(aNow);
  std::vector<std::pair<std::string, TokenRequestEntry>> requests;
  BudgetPart want = Want(now_);
  for (const BudgetPeer& peer : peers_) {
    PeerState& state = peerStates_[peer.name_];
    if (state.lastAsked_ != TimePoint{} &&
        now_ - state.lastAsked_ < state.interval_) {
      continue;
    }
    TokenRequestEntry entry;
    entry.budget_ = name_;
    AddReturnsAndRenewals(peer.name_, entry, now_);
    entry.wanted_.tokens_ = want.tokens_ > kLeast ? want.tokens_ : 0;
    entry.wanted_.rate_ = want.rate_ > kLeast ? want.rate_ : 0;
    const bool wants = entry.wanted_.tokens_ > 0 || entry.wanted_.rate_ > 0;
    if (!wants && entry.renew_.empty() && entry.returns_.empty()) {
      continue;
    }
    entry.request_ = nextId_++;
    if (state.lastAsked_ == TimePoint{}) {
      // Nothing known yet: an equal part of what is wanted.
      const double peers = static_cast<double>(peers_.size());
      state.interval_ = options_.askInterval_;
      state.offer_ = { want.tokens_ / peers, want.rate_ / peers, 0 };
    }
    BudgetPart expected;
    expected.tokens_ = std::min(entry.wanted_.tokens_, state.offer_.tokens_);
    expected.rate_ = std::min(entry.wanted_.rate_, state.offer_.rate_);
    Add(want, expected, -1);
    open_[entry.request_] = { peer.name_, now_, expected, entry.wanted_ };
    state.lastAsked_ = now_;
    requests.emplace_back(peer.name_, std::move(entry));
  }
  if (!requests.empty()) {
    ApplyLimits(now_);
  }
  return requests;
}

void
SharedBudget::AddReturnsAndRenewals(const std::string& aPeer,
                                    TokenRequestEntry& aEntry,
                                    TimePoint aNow)
{
  const Duration renewAge =
    std::chrono::duration_cast<Duration>(options_.loanLifetime_ * kRenewAt);
  const double needed = UsefulDemand(aNow);
  auto loan = taken_.lower_bound({ aPeer, 0 });
  while (loan != taken_.end() && loan->first.first == aPeer) {
    const BudgetPart& part = loan->second.part_;
    const bool isOld = aNow - loan->second.since_ >= renewAge;
    const bool isSpent = bucket_.Level() <= bucket_.Cap() - part.cap_;
    const bool isNeeded = part.rate_ > 0 ? bucket_.Rate() - part.rate_ < needed
                                         : !isSpent && !isOld;
    if (isNeeded) {
      if (part.rate_ > 0 && isOld) {
        aEntry.renew_.push_back(loan->first.second);
      }
      ++loan;
      continue;
    }
    const double level = bucket_.Level();
    LoanReturn back;
    back.loan_ = loan->first.second;
    loan = taken_.erase(loan);
    ApplyLimits(aNow);
    back.tokens_ = level - bucket_.Level();
    aEntry.returns_.push_back(back);
  }
}

TokenGrantEntry
SharedBudget::Lend(const std::string& aPeer,
                   const TokenRequestEntry& aRequest,
                   TimePoint aNow)
{
  Advance(aNow);
  TokenGrantEntry grant;
  grant.budget_ = name_;
  grant.request_ = aRequest.request_;
  TakeReturns(aPeer, aRequest.returns_, now_);
  const TimePoint end = now_ + options_.loanLifetime_ + options_.lenderMargin_;
  const bool mayRenew = MayRenew(now_);
  for (const std::uint64_t id : aRequest.renew_) {
    const auto loan = given_.find({ aPeer, id });
    if (loan != given_.end() && mayRenew) {
      loan->second.end_ = end;
      grant.renewed_.push_back(id);
    }
  }
  std::deque<std::uint64_t>& answered = peerStates_[aPeer].answered_;
  const bool isDuplicate =
    std::find(answered.begin(), answered.end(), aRequest.request_) !=
    answered.end();
  if (!isDuplicate) {
    answered.push_back(aRequest.request_);
    if (answered.size() > kRememberedRequests) {
      answered.pop_front();
    }
    grant.part_ = LoanFor(aRequest.wanted_, now_);
  }
  if (grant.part_.cap_ > 0 || grant.part_.rate_ > 0) {
    grant.loan_ = nextId_++;
    given_[{ aPeer, grant.loan_ }] = { grant.part_, end, now_ };
    bucket_.TakeUpTo(grant.part_.tokens_, now_);
  }
  ApplyLimits(now_);
  return grant;
}

bool
SharedBudget::MayRenew(TimePoint aNow) const
{
  // What is lent beyond the share, after the slot was lost or the limits were
  // lowered, has to end with its loans.
  const BudgetPart share = OwnShare(aNow);
  const bool isCovered = share.rate_ >= lent_.rate_ && share.cap_ >= lent_.cap_;
  const bool isNeeded = OwnFree(aNow).rate_ < UsefulDemand(aNow) &&
                        bucket_.Level() < TargetLevel(aNow);
  return slot_.ValidAt(aNow) && isCovered && !isNeeded;
}

void
SharedBudget::TakeReturns(const std::string& aPeer,
                          const std::vector<LoanReturn>& aReturns,
                          TimePoint aNow)
{
  for (const LoanReturn& back : aReturns) {
    const auto loan = given_.find({ aPeer, back.loan_ });
    if (loan == given_.end()) {
      continue;
    }
    const double most = loan->second.part_.cap_;
    given_.erase(loan);
    ApplyLimits(aNow);
    bucket_.Put(std::min(back.tokens_, most), aNow);
  }
}

BudgetPart
SharedBudget::LoanFor(const BudgetPart& aWanted, TimePoint aNow)
{
  BudgetPart loan;
  const BudgetPart own = OwnFree(aNow);
  if (own.cap_ <= 0) {
    return loan;
  }
  const double level = bucket_.Level();
  // A demand within the own rate needs no more than its target level. With a
  // small burst the target is out of reach for all hosts and nobody would lend;
  // where rate is lent, tokens would only go to and fro.
  const double target = TargetLevel(aNow);
  const double reserve =
    LendsRate() ? target : std::min(target, own.cap_ * kLentPart);
  const double freeTokens = std::max(0.0, std::min(level, own.cap_) - reserve);
  loan.tokens_ = std::min(aWanted.tokens_, freeTokens * kLentPart);
  loan.cap_ = loan.tokens_;
  const double freeRate = std::max(0.0, own.rate_ - UsefulDemand(aNow));
  loan.rate_ = LendsRate() ? std::min(aWanted.rate_, freeRate) : 0;
  if (loan.rate_ > 0) {
    // The cap follows the rate, and tokens above the remaining cap follow it.
    loan.cap_ += (own.cap_ - loan.cap_) * kLentPart *
                 std::min(1.0, loan.rate_ / own.rate_);
    const double left = own.cap_ + borrowed_.cap_ - loan.cap_;
    loan.tokens_ = std::max(loan.tokens_, level - left);
  }
  if (loan.tokens_ < kLeast && loan.rate_ < kLeast) {
    return BudgetPart{};
  }
  return loan;
}

void
SharedBudget::Accept(const std::string& aPeer,
                     const TokenGrantEntry& aGrant,
                     TimePoint aNow)
{
  Advance(aNow);
  const auto found = open_.find(aGrant.request_);
  if (found == open_.end() || found->second.peer_ != aPeer) {
    return;
  }
  const OpenRequest open = found->second;
  open_.erase(found);
  const TimePoint end = open.sent_ + options_.loanLifetime_;
  for (const std::uint64_t id : aGrant.renewed_) {
    const auto loan = taken_.find({ aPeer, id });
    if (loan != taken_.end()) {
      loan->second.end_ = std::max(loan->second.end_, end);
      loan->second.since_ = std::max(loan->second.since_, open.sent_);
    }
  }
  const BudgetPart& part = aGrant.part_;
  PeerState& state = peerStates_[aPeer];
  const bool isEmpty = aGrant.loan_ == 0 && aGrant.renewed_.empty();
  state.interval_ =
    isEmpty ? std::min(2 * state.interval_, options_.longestAskInterval_)
            : options_.askInterval_;
  BudgetPart& offer = state.offer_;
  offer.tokens_ = part.tokens_ < open.wanted_.tokens_
                    ? part.tokens_
                    : std::max(offer.tokens_, 2 * part.tokens_);
  offer.rate_ = part.rate_ < open.wanted_.rate_
                  ? part.rate_
                  : std::max(offer.rate_, 2 * part.rate_);
  if (aGrant.loan_ != 0) {
    taken_[{ aPeer, aGrant.loan_ }] = { part, end, open.sent_ };
  }
  ApplyLimits(now_);
  if (aGrant.loan_ != 0) {
    bucket_.Put(std::min(part.tokens_, part.cap_), now_);
  }
}

double
SharedBudget::Level(TimePoint aNow)
{
  Advance(aNow);
  return bucket_.Level();
}

double
SharedBudget::Rate(TimePoint aNow)
{
  Advance(aNow);
  return bucket_.Rate();
}

double
SharedBudget::Cap(TimePoint aNow)
{
  Advance(aNow);
  return bucket_.Cap();
}

BudgetPart
SharedBudget::Lent(TimePoint aNow)
{
  Advance(aNow);
  return lent_;
}

BudgetPart
SharedBudget::Borrowed(TimePoint aNow)
{
  Advance(aNow);
  return borrowed_;
}

}
