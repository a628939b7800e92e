#include "budget/SharedBudget.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// Smaller amounts are not requested or lent. Far above rounding errors.
constexpr double kMinAmount = 1e-6;
// The requested refill rate exceeds the demand by this factor, so that small
// variations of the demand do not require another loan.
constexpr double kRateHeadroom = 1.05;
// A lender lends at most this fraction of its spare tokens and capacity, so
// that some remain for a sudden increase of its own demand.
constexpr double kMaxLentFraction = 0.5;
// Rate loans are renewed, and other loans are returned, at this fraction of
// their lifetime.
constexpr double kRenewFraction = 0.5;
constexpr std::size_t kMaxRememberedRequests = 64;

void
AddScaled(BudgetShare& aSum, const BudgetShare& aShare, double aFactor)
{
  aSum.tokens_ += aFactor * aShare.tokens_;
  aSum.rate_ += aFactor * aShare.rate_;
  aSum.capacity_ += aFactor * aShare.capacity_;
}

template<typename Loans>
BudgetShare
SumOf(const Loans& aLoans)
{
  // Computed from scratch, because running sums accumulate rounding errors.
  BudgetShare sum;
  for (const auto& [key, loan] : aLoans) {
    AddScaled(sum, loan.share_, 1);
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
  , demandUpdatedAt_(aNow)
  , now_(aNow)
{
}

void
SharedBudget::SetLimits(const BudgetLimits& aLimits, TimePoint aNow)
{
  Advance(aNow);
  if (!versions_.empty() && IsSame(versions_.back().limits_, aLimits)) {
    return;
  }
  if (versions_.empty() && !aLimits.isFirst_) {
    // Other hosts may still use a version that is unknown to this process.
    versions_.push_back({ BudgetLimits{}, TimePoint::max() });
  }
  if (!versions_.empty()) {
    versions_.back().replacedAt_ = now_;
  }
  versions_.push_back({ aLimits, TimePoint::max() });
  ApplyLimits(now_);
}

void
SharedBudget::SetSlot(const SlotValidity& aSlot, TimePoint aNow)
{
  Advance(aNow);
  if (aSlot.slot_ != slot_.slot_ || aSlot.epoch_ != slot_.epoch_) {
    // The tokens of the previous slot must not be used any more.
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
    const bool isKnown =
      std::any_of(peers_.begin(), peers_.end(), [&](const BudgetPeer& aPeer) {
        return aPeer.name_ == state->first;
      });
    state = isKnown ? std::next(state) : peerStates_.erase(state);
  }
}

void
SharedBudget::Advance(TimePoint aNow)
{
  now_ = std::max(now_, aNow);
  while (nextChangeAt_ <= now_) {
    const TimePoint change = nextChangeAt_;
    bucket_.Advance(change);
    RemoveExpired(change);
    ApplyLimits(change);
  }
  bucket_.Advance(now_);
}

void
SharedBudget::RemoveExpired(TimePoint aNow)
{
  for (auto* loans : { &lentLoans_, &borrowedLoans_ }) {
    for (auto loan = loans->begin(); loan != loans->end();) {
      loan =
        loan->second.expiresAt_ <= aNow ? loans->erase(loan) : std::next(loan);
    }
  }
  while (versions_.size() > 1 &&
         versions_.front().replacedAt_ + options_.raiseDelay_ <= aNow) {
    versions_.pop_front();
  }
  for (auto pending = pendingRequests_.begin();
       pending != pendingRequests_.end();) {
    const bool isExpired =
      pending->second.sentAt_ + options_.loanLifetime_ <= aNow;
    pending = isExpired ? pendingRequests_.erase(pending) : std::next(pending);
  }
}

void
SharedBudget::ApplyLimits(TimePoint aNow)
{
  lent_ = SumOf(lentLoans_);
  borrowed_ = SumOf(borrowedLoans_);
  const BudgetShare own = UnlentShare(aNow);
  bucket_.SetLimits(
    own.rate_ + borrowed_.rate_, own.capacity_ + borrowed_.capacity_, aNow);
  nextChangeAt_ = TimePoint::max();
  for (const auto* loans : { &lentLoans_, &borrowedLoans_ }) {
    for (const auto& [key, loan] : *loans) {
      nextChangeAt_ = std::min(nextChangeAt_, loan.expiresAt_);
    }
  }
  if (slot_.IsValidAt(aNow)) {
    nextChangeAt_ = std::min(nextChangeAt_, slot_.validUntil_);
  }
  if (versions_.size() > 1) {
    nextChangeAt_ = std::min(
      nextChangeAt_, versions_.front().replacedAt_ + options_.raiseDelay_);
  }
  for (const auto& [id, pending] : pendingRequests_) {
    nextChangeAt_ =
      std::min(nextChangeAt_, pending.sentAt_ + options_.loanLifetime_);
  }
}

BudgetShare
SharedBudget::OwnShare(TimePoint aNow) const
{
  BudgetShare share;
  if (!slot_.IsValidAt(aNow) || versions_.empty()) {
    return share;
  }
  bool isFirst = true;
  for (const Version& version : versions_) {
    const BudgetLimits& limits = version.limits_;
    if (!limits.layout_ || !limits.layout_->Contains(slot_.slot_)) {
      return BudgetShare{};
    }
    const int slots = limits.layout_->Total();
    const double rate = limits.rate_ / slots;
    const double capacity = limits.burst_ / slots;
    share.rate_ = isFirst ? rate : std::min(share.rate_, rate);
    share.capacity_ = isFirst ? capacity : std::min(share.capacity_, capacity);
    isFirst = false;
  }
  return share;
}

BudgetShare
SharedBudget::UnlentShare(TimePoint aNow) const
{
  BudgetShare own = OwnShare(aNow);
  own.rate_ = std::max(0.0, own.rate_ - lent_.rate_);
  own.capacity_ = std::max(0.0, own.capacity_ - lent_.capacity_);
  return own;
}

bool
SharedBudget::TryTake(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  RecordDemand(aTokens, now_);
  return bucket_.TryTake(aTokens, now_);
}

bool
SharedBudget::RetryTake(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  return bucket_.TryTake(aTokens, now_);
}

std::optional<Duration>
SharedBudget::WaitBeforeRetry(double aTokens, double aWaiting, TimePoint aNow)
{
  Advance(aNow);
  const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
  if (aWaiting > rate * options_.maxWaitingSeconds_) {
    return std::nullopt;
  }
  return std::clamp(
    bucket_.WaitFor(aTokens), options_.minWait_, options_.maxWait_);
}

bool
SharedBudget::LendsRate() const
{
  if (options_.loans_ != LoanKind::ByBurst || versions_.empty()) {
    return options_.loans_ == LoanKind::Rate;
  }
  const BudgetLimits& limits = versions_.back().limits_;
  return limits.burst_ < limits.rate_ * ToSeconds(options_.smallBurstTime_);
}

double
SharedBudget::TakeUpTo(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  RecordDemand(aTokens, now_);
  return bucket_.TakeUpTo(aTokens, now_);
}

void
SharedBudget::ReturnTokens(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  bucket_.AddTokens(aTokens, now_);
}

Duration
SharedBudget::RetryAfter(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  Duration wait = bucket_.WaitFor(aTokens);
  if (wait == Duration::max()) {
    // Without a share, or with a capacity below the request, refill alone can
    // never provide the tokens; a loan is needed.
    const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
    wait =
      rate > 0 ? FromSeconds(std::min(30.0, aTokens / rate)) : kMaxRetryAfter;
    wait = std::max<Duration>(wait, options_.requestInterval_);
  }
  return std::clamp<Duration>(
    wait, std::chrono::milliseconds(1), kMaxRetryAfter);
}

void
SharedBudget::RecordDemand(double aTokens, TimePoint aNow)
{
  const double window = ToSeconds(options_.slowDemandWindow_);
  const double decay = std::exp(-ToSeconds(aNow - demandUpdatedAt_) / window);
  slowDemand_ = slowDemand_ * decay + aTokens / window;
  const double rise = ToSeconds(options_.fastDemandWindow_);
  fastDemand_ =
    fastDemand_ * std::exp(-ToSeconds(aNow - demandUpdatedAt_) / rise) +
    aTokens / rise;
  recentMaxTake_ = std::max(recentMaxTake_ * decay, aTokens);
  demandUpdatedAt_ = aNow;
}

double
SharedBudget::Demand(TimePoint aNow) const
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - demandUpdatedAt_));
  const double slow =
    slowDemand_ * std::exp(-elapsed / ToSeconds(options_.slowDemandWindow_));
  const double fast =
    fastDemand_ * std::exp(-elapsed / ToSeconds(options_.fastDemandWindow_));
  return std::max(slow, fast);
}

double
SharedBudget::LimitedDemand(TimePoint aNow) const
{
  const double rate = versions_.empty() ? 0 : versions_.back().limits_.rate_;
  return std::min(Demand(aNow), rate);
}

double
SharedBudget::TargetLevel(TimePoint aNow) const
{
  const double demand = LimitedDemand(aNow);
  if (demand < kMinAmount) {
    return 0;
  }
  Duration roundTrip{};
  for (const BudgetPeer& peer : peers_) {
    roundTrip = std::max(roundTrip, peer.roundTrip_);
  }
  const double horizon = ToSeconds(roundTrip + 2 * options_.requestInterval_);
  const double elapsed = std::max(0.0, ToSeconds(aNow - demandUpdatedAt_));
  const double recentMaxTake =
    recentMaxTake_ * std::exp(-elapsed / ToSeconds(options_.slowDemandWindow_));
  return demand * horizon + recentMaxTake;
}

BudgetShare
SharedBudget::ComputeWanted(TimePoint aNow) const
{
  BudgetShare wanted;
  wanted.tokens_ = TargetLevel(aNow) - bucket_.Level();
  if (LendsRate()) {
    wanted.rate_ = LimitedDemand(aNow) * kRateHeadroom - bucket_.Rate();
  }
  for (const auto& [id, pending] : pendingRequests_) {
    AddScaled(wanted, pending.expected_, -1);
  }
  wanted.tokens_ = std::max(0.0, wanted.tokens_);
  wanted.rate_ = std::max(0.0, wanted.rate_);
  return wanted;
}

std::vector<std::pair<std::string, TokenRequestEntry>>
SharedBudget::Borrow(TimePoint aNow)
{
  Advance(aNow);
  std::vector<std::pair<std::string, TokenRequestEntry>> requests;
  BudgetShare wanted = ComputeWanted(now_);
  for (const BudgetPeer& peer : peers_) {
    PeerState& state = peerStates_[peer.name_];
    if (state.lastRequestAt_ != TimePoint{} &&
        now_ - state.lastRequestAt_ < state.interval_) {
      continue;
    }
    TokenRequestEntry entry;
    entry.budget_ = name_;
    AddReturnsAndRenewals(peer.name_, entry, now_);
    entry.wanted_.tokens_ = wanted.tokens_ > kMinAmount ? wanted.tokens_ : 0;
    entry.wanted_.rate_ = wanted.rate_ > kMinAmount ? wanted.rate_ : 0;
    const bool isRequesting =
      entry.wanted_.tokens_ > 0 || entry.wanted_.rate_ > 0;
    if (!isRequesting && entry.renew_.empty() && entry.returns_.empty()) {
      continue;
    }
    entry.request_ = nextId_++;
    if (state.lastRequestAt_ == TimePoint{}) {
      // No information about this peer yet; expect an equal share from each.
      const double peers = static_cast<double>(peers_.size());
      state.interval_ = options_.requestInterval_;
      state.grantEstimate_ = { wanted.tokens_ / peers,
                               wanted.rate_ / peers,
                               0 };
    }
    BudgetShare expected;
    expected.tokens_ =
      std::min(entry.wanted_.tokens_, state.grantEstimate_.tokens_);
    expected.rate_ = std::min(entry.wanted_.rate_, state.grantEstimate_.rate_);
    AddScaled(wanted, expected, -1);
    pendingRequests_[entry.request_] = {
      peer.name_, now_, expected, entry.wanted_
    };
    state.lastRequestAt_ = now_;
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
  const Duration renewAge = std::chrono::duration_cast<Duration>(
    options_.loanLifetime_ * kRenewFraction);
  const double needed = LimitedDemand(aNow);
  auto loan = borrowedLoans_.lower_bound({ aPeer, 0 });
  while (loan != borrowedLoans_.end() && loan->first.first == aPeer) {
    const BudgetShare& share = loan->second.share_;
    const bool isOld = aNow - loan->second.requestedAt_ >= renewAge;
    const bool isSpent =
      bucket_.Level() <= bucket_.Capacity() - share.capacity_;
    const bool isNeeded = share.rate_ > 0
                            ? bucket_.Rate() - share.rate_ < needed
                            : !isSpent && !isOld;
    if (isNeeded) {
      if (share.rate_ > 0 && isOld) {
        aEntry.renew_.push_back(loan->first.second);
      }
      ++loan;
      continue;
    }
    const double level = bucket_.Level();
    LoanReturn loanReturn;
    loanReturn.loan_ = loan->first.second;
    loan = borrowedLoans_.erase(loan);
    ApplyLimits(aNow);
    loanReturn.tokens_ = level - bucket_.Level();
    aEntry.returns_.push_back(loanReturn);
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
  AcceptReturns(aPeer, aRequest.returns_, now_);
  const TimePoint end = now_ + options_.loanLifetime_ + options_.lenderMargin_;
  const bool mayRenew = MayRenew(now_);
  for (const std::uint64_t id : aRequest.renew_) {
    const auto loan = lentLoans_.find({ aPeer, id });
    if (loan != lentLoans_.end() && mayRenew) {
      loan->second.expiresAt_ = end;
      grant.renewed_.push_back(id);
    }
  }
  std::deque<std::uint64_t>& answeredIds = peerStates_[aPeer].answeredIds_;
  const bool isDuplicate =
    std::find(answeredIds.begin(), answeredIds.end(), aRequest.request_) !=
    answeredIds.end();
  if (!isDuplicate) {
    answeredIds.push_back(aRequest.request_);
    if (answeredIds.size() > kMaxRememberedRequests) {
      answeredIds.pop_front();
    }
    grant.share_ = ComputeLoan(aRequest.wanted_, now_);
  }
  if (grant.share_.capacity_ > 0 || grant.share_.rate_ > 0) {
    grant.loan_ = nextId_++;
    lentLoans_[{ aPeer, grant.loan_ }] = { grant.share_, end, now_ };
    bucket_.TakeUpTo(grant.share_.tokens_, now_);
  }
  ApplyLimits(now_);
  return grant;
}

bool
SharedBudget::MayRenew(TimePoint aNow) const
{
  // When more is lent than the share permits, because the slot was lost or the
  // limits were lowered, the loans must expire.
  const BudgetShare share = OwnShare(aNow);
  const bool isCovered =
    share.rate_ >= lent_.rate_ && share.capacity_ >= lent_.capacity_;
  const bool isNeeded = UnlentShare(aNow).rate_ < LimitedDemand(aNow) &&
                        bucket_.Level() < TargetLevel(aNow);
  return slot_.IsValidAt(aNow) && isCovered && !isNeeded;
}

void
SharedBudget::AcceptReturns(const std::string& aPeer,
                            const std::vector<LoanReturn>& aReturns,
                            TimePoint aNow)
{
  for (const LoanReturn& loanReturn : aReturns) {
    const auto loan = lentLoans_.find({ aPeer, loanReturn.loan_ });
    if (loan == lentLoans_.end()) {
      continue;
    }
    const double maxTokens = loan->second.share_.capacity_;
    lentLoans_.erase(loan);
    ApplyLimits(aNow);
    bucket_.AddTokens(std::min(loanReturn.tokens_, maxTokens), aNow);
  }
}

BudgetShare
SharedBudget::ComputeLoan(const BudgetShare& aWanted, TimePoint aNow)
{
  BudgetShare loan;
  const BudgetShare own = UnlentShare(aNow);
  if (own.capacity_ <= 0) {
    return loan;
  }
  const double level = bucket_.Level();
  // Demand within the own rate needs no more than the target level. With a
  // small burst, no host can reach its target level, so the reserve is limited
  // when tokens are lent; otherwise no host would lend. When rate is lent,
  // lending tokens below the target level would only move them back and forth.
  const double target = TargetLevel(aNow);
  const double reserve =
    LendsRate() ? target : std::min(target, own.capacity_ * kMaxLentFraction);
  const double freeTokens =
    std::max(0.0, std::min(level, own.capacity_) - reserve);
  loan.tokens_ = std::min(aWanted.tokens_, freeTokens * kMaxLentFraction);
  loan.capacity_ = loan.tokens_;
  const double freeRate = std::max(0.0, own.rate_ - LimitedDemand(aNow));
  loan.rate_ = LendsRate() ? std::min(aWanted.rate_, freeRate) : 0;
  if (loan.rate_ > 0) {
    // Lend capacity in proportion to the rate, and with it the tokens that
    // exceed the remaining capacity.
    loan.capacity_ += (own.capacity_ - loan.capacity_) * kMaxLentFraction *
                      std::min(1.0, loan.rate_ / own.rate_);
    const double remainingCapacity =
      own.capacity_ + borrowed_.capacity_ - loan.capacity_;
    loan.tokens_ = std::max(loan.tokens_, level - remainingCapacity);
  }
  if (loan.tokens_ < kMinAmount && loan.rate_ < kMinAmount) {
    return BudgetShare{};
  }
  return loan;
}

void
SharedBudget::Accept(const std::string& aPeer,
                     const TokenGrantEntry& aGrant,
                     TimePoint aNow)
{
  Advance(aNow);
  const auto found = pendingRequests_.find(aGrant.request_);
  if (found == pendingRequests_.end() || found->second.peer_ != aPeer) {
    return;
  }
  const PendingRequest pending = found->second;
  pendingRequests_.erase(found);
  const TimePoint end = pending.sentAt_ + options_.loanLifetime_;
  for (const std::uint64_t id : aGrant.renewed_) {
    const auto loan = borrowedLoans_.find({ aPeer, id });
    if (loan != borrowedLoans_.end()) {
      loan->second.expiresAt_ = std::max(loan->second.expiresAt_, end);
      loan->second.requestedAt_ =
        std::max(loan->second.requestedAt_, pending.sentAt_);
    }
  }
  const BudgetShare& share = aGrant.share_;
  PeerState& state = peerStates_[aPeer];
  const bool isEmpty = aGrant.loan_ == 0 && aGrant.renewed_.empty();
  state.interval_ =
    isEmpty ? std::min(2 * state.interval_, options_.maxRequestInterval_)
            : options_.requestInterval_;
  BudgetShare& grantEstimate = state.grantEstimate_;
  grantEstimate.tokens_ =
    share.tokens_ < pending.wanted_.tokens_
      ? share.tokens_
      : std::max(grantEstimate.tokens_, 2 * share.tokens_);
  grantEstimate.rate_ = share.rate_ < pending.wanted_.rate_
                          ? share.rate_
                          : std::max(grantEstimate.rate_, 2 * share.rate_);
  if (aGrant.loan_ != 0) {
    borrowedLoans_[{ aPeer, aGrant.loan_ }] = { share, end, pending.sentAt_ };
  }
  ApplyLimits(now_);
  if (aGrant.loan_ != 0) {
    bucket_.AddTokens(std::min(share.tokens_, share.capacity_), now_);
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
SharedBudget::Capacity(TimePoint aNow)
{
  Advance(aNow);
  return bucket_.Capacity();
}

BudgetShare
SharedBudget::Lent(TimePoint aNow)
{
  Advance(aNow);
  return lent_;
}

BudgetShare
SharedBudget::Borrowed(TimePoint aNow)
{
  Advance(aNow);
  return borrowed_;
}

}
