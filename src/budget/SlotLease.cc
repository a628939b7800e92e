#include "budget/SlotLease.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr int kMaxReleaseAttempts = 3;

void
AddMissing(std::vector<SlotHolder>& aList, const std::vector<SlotHolder>& aMore)
{
  for (const SlotHolder& holder : aMore) {
    if (std::find(aList.begin(), aList.end(), holder) == aList.end()) {
      aList.push_back(holder);
    }
  }
}

bool
SameHolders(const std::vector<SlotHolder>& aLeft,
            const std::vector<SlotHolder>& aRight)
{
  return std::is_permutation(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end());
}

}

std::string_view
NameOf(SlotDecision::Kind aKind)
{
  switch (aKind) {
    case SlotDecision::Kind::Claimed:
      return "claimed";
    case SlotDecision::Kind::Lost:
      return "lost";
    case SlotDecision::Kind::Released:
      return "released";
    case SlotDecision::Kind::ContinuingWithoutStore:
      return "continuing-without-store";
    case SlotDecision::Kind::TakeoverWaits:
      return "takeover-waits";
  }
  return "unknown";
}

SlotLease::SlotLease(const SlotLeaseOptions& aOptions,
                     std::string aRegion,
                     SlotHolder aSelf,
                     TimePoint aNow)
  : options_(aOptions)
  , region_(std::move(aRegion))
  , self_(std::move(aSelf))
  , startedAt_(aNow)
  , nextOperationAt_(aNow)
  , lastUnreachableAnswerAt_(aNow)
{
}

void
SlotLease::SetLayout(SlotLayoutPtr aLayout, TimePoint aNow)
{
  layout_ = std::move(aLayout);
  if (phase_ == Phase::Holding && !layout_->Contains(held_->row_.slot_)) {
    BeginRelease(aNow);
  }
}

std::vector<SlotAction>
SlotLease::Tick(TimePoint aNow)
{
  std::vector<SlotAction> actions;
  if (pendingOperation_ &&
      aNow - pendingOperation_->sentAt_ >= options_.storeTimeout_) {
    const PendingOperation timedOut = *pendingOperation_;
    pendingOperation_.reset();
    OnUnknown(timedOut, aNow);
  }
  if (phase_ == Phase::Holding) {
    TickHolding(actions, aNow);
    QueryConsent(actions, aNow);
  } else if (phase_ == Phase::Releasing) {
    TickReleasing(actions, aNow);
  } else if (phase_ != Phase::Released) {
    TickSearching(actions, aNow);
    QueryWitnesses(actions, aNow);
  }
  if (leaseToRevoke_ != 0 && !pendingOperation_) {
    actions.push_back(Start(SlotActionKind::RevokeLease, aNow));
    actions.back().lease_ = leaseToRevoke_;
    leaseToRevoke_ = 0;
  }
  return actions;
}

SlotAction
SlotLease::Start(SlotActionKind aKind, TimePoint aNow)
{
  SlotAction action;
  action.kind_ = aKind;
  action.operationId_ = nextId_++;
  pendingOperation_ = PendingOperation{ aKind, action.operationId_, aNow };
  if (held_) {
    action.slot_ = held_->row_.slot_;
    action.lease_ = held_->lease_;
  } else {
    action.slot_.region_ = region_;
  }
  return action;
}

void
SlotLease::TickSearching(std::vector<SlotAction>& aActions, TimePoint aNow)
{
  if (pendingOperation_ || leaseToRevoke_ != 0 || !layout_ ||
      aNow < nextOperationAt_) {
    return;
  }
  if (phase_ == Phase::Granting) {
    aActions.push_back(Start(SlotActionKind::GrantLease, aNow));
    aActions.back().ttl_ = options_.leaseTime_;
  } else if (phase_ == Phase::Claiming) {
    aActions.push_back(StartClaim(aNow));
  } else if (phase_ == Phase::Searching && releaseRequested_) {
    phase_ = Phase::Released;
  } else {
    aActions.push_back(Start(SlotActionKind::ReadTable, aNow));
  }
}

void
SlotLease::TickHolding(std::vector<SlotAction>& aActions, TimePoint aNow)
{
  if (aNow >= ValidUntil() && !held_->lapseLogged_) {
    held_->lapseLogged_ = true;
    RecordDecision(SlotDecision::Kind::Lost, held_->row_, "validity ended");
  }
  if (pendingOperation_ || aNow < nextOperationAt_) {
    return;
  }
  const bool isTableRecent =
    held_->tableReadAt_ &&
    aNow - *held_->tableReadAt_ <= options_.retryInterval_;
  if (!isTableRecent) {
    aActions.push_back(Start(SlotActionKind::ReadTable, aNow));
  } else if (abandonedClaim_) {
    SlotAction action = Start(SlotActionKind::Release, aNow);
    action.slot_ = abandonedClaim_->slot_;
    action.compareRevision_ = abandonedClaim_->revision_;
    action.record_ = ReleasedRecord(*abandonedClaim_->record_);
    abandonedClaim_.reset();
    aActions.push_back(std::move(action));
  } else if (!SameHolders(held_->row_.record_->consent_, ConsentFromTable())) {
    aActions.push_back(StartUpdateRecord(aNow));
  } else {
    aActions.push_back(Start(SlotActionKind::KeepAlive, aNow));
  }
}

void
SlotLease::TickReleasing(std::vector<SlotAction>& aActions, TimePoint aNow)
{
  if (pendingOperation_ || aNow < releaseAt_) {
    return;
  }
  SlotAction action = Start(SlotActionKind::Release, aNow);
  action.compareRevision_ = held_->row_.revision_;
  action.record_ = ReleasedRecord(*held_->row_.record_);
  aActions.push_back(std::move(action));
}

SlotRecord
SlotLease::ReleasedRecord(const SlotRecord& aRecord) const
{
  SlotRecord record;
  record.epoch_ = aRecord.epoch_;
  record.attempt_ = options_.makeId_();
  return record;
}

SlotAction
SlotLease::StartClaim(TimePoint aNow)
{
  SlotAction action = Start(SlotActionKind::Claim, aNow);
  action.compareRevision_ = held_->row_.revision_;
  SlotRecord& record = *held_->row_.record_;
  record.attempt_ = options_.makeId_();
  record.lease_ = held_->lease_;
  record.consent_ = ConsentFromTable();
  action.record_ = record;
  return action;
}

SlotAction
SlotLease::StartUpdateRecord(TimePoint aNow)
{
  SlotAction action = Start(SlotActionKind::UpdateRecord, aNow);
  action.compareRevision_ = held_->row_.revision_;
  action.compareAliveRevision_ = held_->row_.aliveRevision_;
  action.record_ = *held_->row_.record_;
  action.record_.attempt_ = options_.makeId_();
  action.record_.consent_ = ConsentFromTable();
  AddMissing(held_->pendingConsent_, action.record_.consent_);
  return action;
}

void
SlotLease::OnStoreResult(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (!pendingOperation_ || pendingOperation_->id_ != aResult.operationId_) {
    return;
  }
  const PendingOperation operation = *pendingOperation_;
  pendingOperation_.reset();
  if (aResult.outcome_ == StoreOutcome::Unknown) {
    OnUnknown(operation, aNow);
    return;
  }
  lastSuccessAt_ = operation.sentAt_;
  lastOperationFailed_ = false;
  switch (operation.kind_) {
    case SlotActionKind::ReadTable:
      OnTable(aResult.rows_, operation, aNow);
      break;
    case SlotActionKind::GrantLease:
      OnGrant(aResult, operation);
      break;
    case SlotActionKind::Claim:
      OnClaim(aResult, aNow);
      break;
    case SlotActionKind::KeepAlive:
      OnKeepAlive(aResult, operation, aNow);
      break;
    case SlotActionKind::UpdateRecord:
      OnUpdateRecord(aResult);
      break;
    case SlotActionKind::Release:
      OnRelease(aResult, aNow);
      break;
    case SlotActionKind::RevokeLease:
    case SlotActionKind::QueryPeers:
      break;
  }
}

void
SlotLease::OnUnknown(const PendingOperation& aOperation, TimePoint aNow)
{
  lastOperationFailed_ = true;
  if (phase_ == Phase::Holding) {
    held_->renewalFailed_ = true;
    held_->tableReadAt_.reset();
  } else if (phase_ == Phase::Claiming) {
    phase_ = Phase::CheckingClaim;
  } else if (phase_ == Phase::Granting ||
             (aOperation.kind_ == SlotActionKind::Release &&
              ++releaseAttempts_ >= kMaxReleaseAttempts)) {
    // If a lease was granted, it expires on its own.
    BeginSearching(aNow, options_.retryInterval_);
  }
  nextOperationAt_ = aNow + options_.retryInterval_;
}

void
SlotLease::OnGrant(const SlotStoreResult& aResult,
                   const PendingOperation& aOperation)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    BeginSearching(aOperation.sentAt_, options_.retryInterval_);
    return;
  }
  held_->lease_ = aResult.lease_;
  held_->leaseValidUntil_ =
    aOperation.sentAt_ + options_.leaseTime_ - options_.leaseMargin_;
  phase_ = Phase::Claiming;
}

void
SlotLease::OnClaim(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (aResult.outcome_ == StoreOutcome::Refused) {
    leaseToRevoke_ = held_->lease_;
    BeginSearching(aNow, Duration::zero());
    return;
  }
  held_->row_.revision_ = aResult.revision_;
  held_->row_.aliveRevision_ = aResult.revision_;
  BeginHolding(aNow);
}

void
SlotLease::FinishClaimCheck(TimePoint aNow)
{
  const auto found = table_.find(held_->row_.slot_.number_);
  const bool isClaimed =
    found != table_.end() && IsOwnRow(found->second.row_) &&
    found->second.row_.alive_ &&
    found->second.row_.record_->attempt_ == held_->row_.record_->attempt_;
  if (isClaimed) {
    held_->row_ = found->second.row_;
    BeginHolding(aNow);
    return;
  }
  // The claim may still reach the store. It will fail once its lease is
  // revoked.
  leaseToRevoke_ = held_->lease_;
  BeginSearching(aNow, options_.retryInterval_);
}

void
SlotLease::OnKeepAlive(const SlotStoreResult& aResult,
                       const PendingOperation& aOperation,
                       TimePoint aNow)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    HandleLoss("the lease has ended in the store", aNow);
    return;
  }
  held_->leaseValidUntil_ =
    aOperation.sentAt_ + options_.leaseTime_ - options_.leaseMargin_;
  held_->renewalFailed_ = false;
  held_->lapseLogged_ = false;
  held_->continuationValidUntil_ = TimePoint{};
  consentQuery_.reset();
  nextOperationAt_ = aOperation.sentAt_ + options_.renewInterval_;
}

void
SlotLease::OnUpdateRecord(const SlotStoreResult& aResult)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    // The next read of the table determines whether the slot is still held.
    held_->tableReadAt_.reset();
    return;
  }
  held_->row_.revision_ = aResult.revision_;
  // Earlier updates compare an older revision and can no longer take effect.
  // The table has not changed since the last update, so ConsentFromTable()
  // returns the list that it stored.
  held_->row_.record_->consent_ = ConsentFromTable();
  held_->pendingConsent_.clear();
}

void
SlotLease::OnRelease(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (phase_ != Phase::Releasing) {
    return;
  }
  RecordDecision(SlotDecision::Kind::Released,
                 held_->row_,
                 aResult.outcome_ == StoreOutcome::Done ? "released"
                                                        : "already taken over");
  leaseToRevoke_ = held_->lease_;
  BeginSearching(aNow, options_.retryInterval_);
}

void
SlotLease::BeginHolding(TimePoint aNow)
{
  phase_ = Phase::Holding;
  held_->heldSince_ = aNow;
  held_->tableReadAt_.reset();
  held_->pendingConsent_.clear();
  // Renew immediately, which also reads the table with the other holders.
  nextOperationAt_ = aNow;
  RecordDecision(SlotDecision::Kind::Claimed, held_->row_, "claimed");
  if (releaseRequested_ || !layout_->Contains(held_->row_.slot_)) {
    BeginRelease(aNow);
  }
}

void
SlotLease::BeginSearching(TimePoint aNow, Duration aDelay)
{
  phase_ = Phase::Searching;
  held_.reset();
  consentQuery_.reset();
  nextOperationAt_ = aNow + aDelay;
}

void
SlotLease::Release(TimePoint aNow)
{
  releaseRequested_ = true;
  if (phase_ == Phase::Holding) {
    BeginRelease(aNow);
  } else if (phase_ == Phase::Searching) {
    phase_ = Phase::Released;
  }
}

void
SlotLease::BeginRelease(TimePoint aNow)
{
  phase_ = Phase::Releasing;
  held_->leaseValidUntil_ = std::min(held_->leaseValidUntil_, aNow);
  held_->continuationValidUntil_ =
    std::min(held_->continuationValidUntil_, aNow);
  releaseAt_ = aNow + options_.releaseDelay_;
  releaseAttempts_ = 0;
  // The result of a renewal in flight must not make the slot valid again.
  pendingOperation_.reset();
}

void
SlotLease::HandleLoss(const std::string& aReason, TimePoint aNow)
{
  RecordDecision(SlotDecision::Kind::Lost, held_->row_, aReason);
  BeginSearching(aNow, Duration::zero());
}

void
SlotLease::QueryConsent(std::vector<SlotAction>& aActions, TimePoint aNow)
{
  if (!held_->renewalFailed_ || aNow >= ValidUntil()) {
    return;
  }
  if (consentQuery_ &&
      aNow - consentQuery_->sentAt_ < options_.retryInterval_) {
    return;
  }
  consentQuery_ = ConsentQuery{ nextId_++, aNow, {} };
  const std::vector<SlotHolder> needed = ConsentNeeded();
  if (needed.empty()) {
    // Without a consent list, no host can take over the slot except when the
    // host list shows the holder gone.
    held_->continuationValidUntil_ = aNow + options_.continuationTime_;
    return;
  }
  SlotAction action;
  action.kind_ = SlotActionKind::QueryPeers;
  action.query_.query_ = consentQuery_->id_;
  action.peers_ = needed;
  aActions.push_back(std::move(action));
}

void
SlotLease::OnAnswer(const ReachabilityAnswer& aAnswer, TimePoint aNow)
{
  const auto witness = witnessQueries_.find(aAnswer.query_);
  if (witness != witnessQueries_.end()) {
    const auto [number, epoch] = witness->second;
    const auto found = table_.find(number);
    if (found == table_.end() || !aAnswer.reachable_ ||
        aAnswer.quietTime_ < options_.minWitnessQuietTime_) {
      return;
    }
    ObservedSlot& observed = found->second;
    const SlotRow& row = observed.row_;
    if (!observed.expiredReadAt_ || !row.record_ ||
        row.record_->epoch_ != epoch) {
      return;
    }
    const std::vector<SlotHolder>& consent = row.record_->consent_;
    const SlotHolder peer{ "", "", aAnswer.incarnation_ };
    if (std::find(consent.begin(), consent.end(), peer) != consent.end()) {
      observed.lapseConfirmed_ = true;
      observed.noOutageConfirmed_ =
        observed.noOutageConfirmed_ || aAnswer.noOutageSinceRenewal_;
    }
    return;
  }
  if (phase_ != Phase::Holding || !consentQuery_ ||
      consentQuery_->id_ != aAnswer.query_ || !held_->renewalFailed_ ||
      aAnswer.reachable_) {
    return;
  }
  consentQuery_->confirmed_.insert(aAnswer.incarnation_);
  const std::vector<SlotHolder> needed = ConsentNeeded();
  const bool isComplete =
    std::all_of(needed.begin(), needed.end(), [&](const SlotHolder& aHolder) {
      return consentQuery_->confirmed_.count(aHolder.incarnation_) > 0;
    });
  // After validity has lapsed, only the store can make the slot valid again,
  // because a successor relies on the lapse being final.
  if (!isComplete || aNow >= ValidUntil()) {
    return;
  }
  if (held_->continuationValidUntil_ == TimePoint{}) {
    RecordDecision(SlotDecision::Kind::ContinuingWithoutStore,
                   held_->row_,
                   "all other holders confirm that the store is unreachable");
  }
  held_->continuationValidUntil_ =
    std::max(held_->continuationValidUntil_,
             consentQuery_->sentAt_ + options_.continuationTime_);
}

TimePoint
SlotLease::ValidUntil() const
{
  return held_
           ? std::max(held_->leaseValidUntil_, held_->continuationValidUntil_)
           : TimePoint{};
}

SlotValidity
SlotLease::Validity() const
{
  SlotValidity validity;
  const bool isHeld =
    held_ && (phase_ == Phase::Holding || phase_ == Phase::Releasing);
  if (!isHeld || !layout_) {
    return validity;
  }
  const SlotRow& row = held_->row_;
  validity.slot_ = row.slot_;
  validity.index_ = layout_->IndexOf(row.slot_);
  validity.totalSlots_ = layout_->Total();
  validity.epoch_ = row.record_->epoch_;
  validity.validUntil_ = ValidUntil();
  validity.fenceKey_ = SlotAliveKey(row.slot_);
  validity.fenceRevision_ = row.aliveRevision_;
  validity.outageUntil_ = held_->continuationValidUntil_;
  validity.predecessor_ = held_->predecessor_;
  return validity;
}

std::vector<SlotHolder>
SlotLease::ConsentNeeded() const
{
  std::vector<SlotHolder> needed = held_->row_.record_->consent_;
  AddMissing(needed, held_->pendingConsent_);
  return needed;
}

std::vector<SlotDecision>
SlotLease::TakeDecisions()
{
  std::vector<SlotDecision> decisions;
  decisions.swap(decisions_);
  return decisions;
}

void
SlotLease::RecordDecision(SlotDecision::Kind aKind,
                          const SlotRow& aRow,
                          std::string aReason)
{
  const std::uint64_t epoch = aRow.record_ ? aRow.record_->epoch_ : 0;
  decisions_.push_back({ aKind, aRow.slot_, epoch, std::move(aReason) });
}

}
