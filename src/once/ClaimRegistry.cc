#include "once/ClaimRegistry.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

constexpr Duration kIdleWakeInterval = std::chrono::seconds(1);

}

ClaimDecision
MakeDecision(std::uint64_t aTicket,
             ClaimVerdict aVerdict,
             ExecutionState aExecution)
{
  ClaimDecision decision;
  decision.ticket_ = aTicket;
  decision.verdict_ = aVerdict;
  decision.execution_ = aExecution;
  return decision;
}

ErrorKind
ErrorKindOf(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::InProgress:
      return ErrorKind::RequestInProgress;
    case ClaimVerdict::OutcomeUnknown:
      return ErrorKind::OutcomeUnknown;
    case ClaimVerdict::KeyReused:
      return ErrorKind::IdempotencyKeyReused;
    case ClaimVerdict::NotHolder:
      return ErrorKind::PeerUnreachable;
    case ClaimVerdict::TimedOut:
      return ErrorKind::DeadlineExceeded;
    case ClaimVerdict::Full:
      return ErrorKind::QueueFull;
    default:
      return ErrorKind::Internal;
  }
}

ClaimRegistry::ClaimRegistry(ClaimRegistryOptions aOptions,
                             SlotLeaseTerm aLeaseTerm)
  : options_(std::move(aOptions))
  , leaseTerm_(std::move(aLeaseTerm))
  , committer_(options_.commit_)
{
}

void
ClaimRegistry::Renew(const SlotLeaseTerm& aLeaseTerm)
{
  if (aLeaseTerm.slot_ == leaseTerm_.slot_ &&
      aLeaseTerm.epoch_ == leaseTerm_.epoch_) {
    leaseTerm_.validUntil_ = aLeaseTerm.validUntil_;
    leaseTerm_.outageUntil_ = aLeaseTerm.outageUntil_;
  }
}

void
ClaimRegistry::SetMapping(std::uint64_t aSignature, TimePoint aNow)
{
  if (aSignature != options_.mappingSignature_) {
    options_.mappingSignature_ = aSignature;
    remapInDoubtUntil_ = aNow + options_.retryHorizon_;
    headerDue_ = true;
  }
}

bool
ClaimRegistry::IsValid(TimePoint aNow) const
{
  return loaded_ && !fenced_ && aNow < leaseTerm_.validUntil_;
}

bool
ClaimRegistry::MayClaimInMemory(TimePoint aNow) const
{
  return hasOwnRecord_ && aNow < leaseTerm_.outageUntil_ && IsValid(aNow);
}

ClaimDecision
ClaimRegistry::Begin(const ClaimRequest& aRequest, TimePoint aNow)
{
  if (!IsValid(aNow)) {
    return MakeDecision(aRequest.ticket_, ClaimVerdict::NotHolder);
  }
  ExpireClaims(aNow);
  const auto known = claims_.find(aRequest.key_);
  if (known != claims_.end()) {
    return BeginExisting(known->second, aRequest, aNow);
  }
  if (aRequest.moved_ || InDoubt(aNow)) {
    return MakeDecision(aRequest.ticket_, ClaimVerdict::OutcomeUnknown);
  }
  if (claims_.size() >= options_.maxClaims_ || bytes_ >= options_.maxBytes_) {
    return MakeDecision(
      aRequest.ticket_, ClaimVerdict::Full, ExecutionState::NotRun);
  }
  Claim& claim = claims_[aRequest.key_];
  bytes_ += SizeOf(claim);
  return StartClaim(claim, aRequest, aNow);
}

ClaimDecision
ClaimRegistry::BeginExisting(Claim& aClaim,
                             const ClaimRequest& aRequest,
                             TimePoint aNow)
{
  const std::uint64_t ticket = aRequest.ticket_;
  if (aClaim.fingerprint_ != aRequest.fingerprint_ &&
      aClaim.phase_ != Phase::Released) {
    return MakeDecision(
      ticket, ClaimVerdict::KeyReused, ExecutionState::NotRun);
  }
  const bool mayRun =
    aClaim.phase_ == Phase::Ready || aClaim.phase_ == Phase::Released ||
    (aClaim.phase_ == Phase::Preparing && aClaim.ticket_ == 0);
  // A previous holder may have claimed a released key again in memory.
  if (mayRun && (aRequest.moved_ || InDoubt(aNow))) {
    return MakeDecision(ticket, ClaimVerdict::OutcomeUnknown);
  }
  switch (aClaim.phase_) {
    case Phase::Preparing:
      if (aClaim.ticket_ != 0) {
        return MakeDecision(ticket, ClaimVerdict::InProgress);
      }
      aClaim.ticket_ = ticket;
      waiting_.insert(aRequest.key_);
      return MakeDecision(ticket, ClaimVerdict::Wait);
    case Phase::Ready:
      if (!aClaim.durable_) {
        return StartClaim(aClaim, aRequest, aNow);
      }
      aClaim.phase_ = Phase::Running;
      aClaim.ticket_ = ticket;
      ++running_;
      return MakeDecision(ticket, ClaimVerdict::Execute);
    case Phase::Released:
      return StartClaim(aClaim, aRequest, aNow);
    case Phase::Done: {
      ClaimDecision decision =
        MakeDecision(ticket, ClaimVerdict::Replay, ExecutionState::Complete);
      decision.outcome_ = aClaim.outcome_;
      return decision;
    }
    case Phase::Running:
      return MakeDecision(ticket, ClaimVerdict::InProgress);
    case Phase::Unknown:
      break;
  }
  return MakeDecision(ticket, ClaimVerdict::OutcomeUnknown);
}

ClaimDecision
ClaimRegistry::StartClaim(Claim& aClaim,
                          const ClaimRequest& aRequest,
                          TimePoint aNow)
{
  aClaim.fingerprint_ = aRequest.fingerprint_;
  aClaim.claimNumber_ = (leaseTerm_.epoch_ << 32) | ++claimCounter_;
  aClaim.phase_ = Phase::Preparing;
  aClaim.ticket_ = aRequest.ticket_;
  aClaim.claimedAt_ = aNow;
  aClaim.durable_ = false;
  aClaim.outcomeDurable_ = false;
  expiry_.emplace(aNow + options_.retryHorizon_, aRequest.key_);
  Queue(aRequest.key_, aClaim, true);
  if (MayClaimInMemory(aNow)) {
    aClaim.phase_ = Phase::Running;
    ++running_;
    return MakeDecision(aRequest.ticket_, ClaimVerdict::Execute);
  }
  waiting_.insert(aRequest.key_);
  return MakeDecision(aRequest.ticket_, ClaimVerdict::Wait);
}

ExecutionState
ClaimRegistry::Cancel(const std::string& aKey,
                      std::uint64_t aTicket,
                      TimePoint aNow)
{
  const auto known = claims_.find(aKey);
  if (known == claims_.end() || known->second.ticket_ != aTicket ||
      known->second.phase_ != Phase::Preparing) {
    return ExecutionState::Unknown;
  }
  known->second.ticket_ = 0;
  waiting_.erase(aKey);
  // No other host can have executed the key while the lease is valid.
  return IsValid(aNow) ? ExecutionState::NotRun : ExecutionState::Unknown;
}

bool
ClaimRegistry::MayStart(const std::string& aKey,
                        std::uint64_t aTicket,
                        TimePoint aNow) const
{
  const auto known = claims_.find(aKey);
  return known != claims_.end() && known->second.phase_ == Phase::Running &&
         known->second.ticket_ == aTicket && IsValid(aNow) &&
         (known->second.durable_ || MayClaimInMemory(aNow));
}

void
ClaimRegistry::Finish(const std::string& aKey,
                      std::uint64_t aTicket,
                      RunResult aResult,
                      RecordedOutcome aOutcome,
                      TimePoint aNow)
{
  const auto known = claims_.find(aKey);
  if (known == claims_.end() || known->second.ticket_ != aTicket ||
      known->second.phase_ != Phase::Running) {
    return;
  }
  Claim& claim = known->second;
  claim.ticket_ = 0;
  --running_;
  if (aResult == RunResult::Complete) {
    claim.phase_ = Phase::Done;
    bytes_ -= SizeOf(claim);
    claim.outcome_ = std::move(aOutcome);
    if (claim.outcome_.body_.size() > kMaxOutcomeBody) {
      claim.outcome_.body_.clear();
      claim.outcome_.bodyKept_ = false;
    }
    claim.outcome_.contentType_.resize(
      std::min(claim.outcome_.contentType_.size(), kMaxContentType));
    bytes_ += SizeOf(claim);
  } else {
    claim.phase_ = aResult == RunResult::NotRun ? Phase::Ready : Phase::Unknown;
  }
  if (NeedsWrite(claim)) {
    Queue(aKey, claim, false);
    if (!deferredSince_) {
      deferredSince_ = aNow;
    }
  }
}

std::vector<ClaimDecision>
ClaimRegistry::TakeDecisions()
{
  return std::exchange(decisions_, {});
}

std::vector<StoreOperation>
ClaimRegistry::Poll(TimePoint aNow)
{
  std::vector<StoreOperation> operations;
  if (!loaded_ || fenced_) {
    return operations;
  }
  ExpireClaims(aNow);
  if (!IsValid(aNow)) {
    RefuseWaiting();
  } else if (MayClaimInMemory(aNow)) {
    ExecuteWaitingInMemory();
  }
  if (writtenInDoubtFor_ > Duration::zero() &&
      InDoubtTimeLeft(aNow) == Duration::zero()) {
    headerDue_ = true;
  }
  if (committer_.IsIdle() && GroupIsDue(aNow)) {
    StartGroup(aNow);
  }
  if (auto operation = committer_.Next(aNow)) {
    operations.push_back(std::move(*operation));
  }
  return operations;
}

void
ClaimRegistry::OnStoreAnswer(const StoreAnswer& aAnswer, TimePoint aNow)
{
  switch (committer_.OnAnswer(aAnswer, aNow)) {
    case CommitEvent::Committed:
      OnCommitted(aNow);
      break;
    case CommitEvent::Fenced:
      fenced_ = true;
      inFlight_.reset();
      RefuseWaiting();
      break;
    case CommitEvent::None:
      break;
  }
}

void
ClaimRegistry::RefuseWaiting()
{
  for (const std::string& key : waiting_) {
    Claim& claim = claims_.at(key);
    decisions_.push_back(MakeDecision(claim.ticket_, ClaimVerdict::NotHolder));
    claim.ticket_ = 0;
  }
  waiting_.clear();
}

void
ClaimRegistry::ExecuteWaitingInMemory()
{
  for (const std::string& key : waiting_) {
    Claim& claim = claims_.at(key);
    claim.phase_ = Phase::Running;
    ++running_;
    decisions_.push_back(MakeDecision(claim.ticket_, ClaimVerdict::Execute));
  }
  waiting_.clear();
}

void
ClaimRegistry::ExpireClaims(TimePoint aNow)
{
  while (!expiry_.empty() && expiry_.begin()->first <= aNow) {
    const std::string key = std::move(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
    const auto known = claims_.find(key);
    if (known == claims_.end() ||
        known->second.claimedAt_ + options_.retryHorizon_ > aNow) {
      continue;
    }
    if (known->second.phase_ == Phase::Running ||
        known->second.phase_ == Phase::Preparing) {
      expiry_.emplace(aNow + kIdleWakeInterval, key);
      continue;
    }
    bytes_ -= SizeOf(known->second);
    claims_.erase(known);
  }
}

TimePoint
ClaimRegistry::WakeAt(TimePoint aNow) const
{
  TimePoint wake = std::min(aNow + kIdleWakeInterval, leaseTerm_.validUntil_);
  if (!loaded_ || fenced_ || wake <= aNow) {
    return aNow + kIdleWakeInterval;
  }
  if (const auto operation = committer_.WakeAt()) {
    return std::min(wake, *operation);
  }
  if (committer_.IsIdle() && (urgent_ || headerDue_)) {
    return std::min(wake, committer_.NextStart());
  }
  if (committer_.IsIdle() && deferredSince_) {
    return std::min(wake,
                    std::max(committer_.NextStart(),
                             *deferredSince_ + options_.outcomeDelay_));
  }
  return wake;
}

void
ClaimRegistry::Flush()
{
  flushing_ = true;
}

bool
ClaimRegistry::IsIdle() const
{
  return running_ == 0 && waiting_.empty() && pending_.empty() &&
         committer_.IsIdle();
}

std::vector<ClaimEntry>
ClaimRegistry::Unwritten(TimePoint aNow) const
{
  std::vector<ClaimEntry> entries;
  for (const auto& [key, claim] : claims_) {
    if (NeedsWrite(claim) || claim.phase_ == Phase::Running) {
      entries.push_back(MakeEntry(key, claim, aNow));
    }
  }
  return entries;
}

}
