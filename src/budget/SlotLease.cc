#include "budget/SlotLease.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr int kReleaseTries = 3;

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
  , started_(aNow)
  , next_(aNow)
  , lastUnreachableAnswer_(aNow)
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

std::vector<SlotIntent>
SlotLease::Tick(TimePoint aNow)
{
  std::vector<SlotIntent> intents;
  if (operation_ && aNow - operation_->sent_ >= options_.storeTimeout_) {
    const Operation timedOut = *operation_;
    operation_.reset();
    OnUnknown(timedOut, aNow);
  }
  if (phase_ == Phase::Holding) {
    TickHolding(intents, aNow);
    AskConsent(intents, aNow);
  } else if (phase_ == Phase::Releasing) {
    TickReleasing(intents, aNow);
  } else if (phase_ != Phase::Released) {
    TickSearching(intents, aNow);
    AskWitnesses(intents, aNow);
  }
  if (revoke_ != 0 && !operation_) {
    intents.push_back(Start(SlotIntentKind::RevokeLease, aNow));
    intents.back().lease_ = revoke_;
    revoke_ = 0;
  }
  return intents;
}

SlotIntent
SlotLease::Start(SlotIntentKind aKind, TimePoint aNow)
{
  SlotIntent intent;
  intent.kind_ = aKind;
  intent.operation_ = nextId_++;
  operation_ = Operation{ aKind, intent.operation_, aNow };
  if (held_) {
    intent.slot_ = held_->row_.slot_;
    intent.lease_ = held_->lease_;
  } else {
    intent.slot_.region_ = region_;
  }
  return intent;
}

void
SlotLease::TickSearching(std::vector<SlotIntent>& aIntents, TimePoint aNow)
{
  if (operation_ || revoke_ != 0 || !layout_ || aNow < next_) {
    return;
  }
  if (phase_ == Phase::Granting) {
    aIntents.push_back(Start(SlotIntentKind::GrantLease, aNow));
    aIntents.back().ttl_ = options_.leaseTime_;
  } else if (phase_ == Phase::Claiming) {
    aIntents.push_back(StartClaim(aNow));
  } else if (phase_ == Phase::Searching && stopping_) {
    phase_ = Phase::Released;
  } else {
    aIntents.push_back(Start(SlotIntentKind::ReadTable, aNow));
  }
}

void
SlotLease::TickHolding(std::vector<SlotIntent>& aIntents, TimePoint aNow)
{
  if (aNow >= ValidUntil() && !held_->lapseLogged_) {
    held_->lapseLogged_ = true;
    Decide(SlotDecision::Kind::Lost, held_->row_, "validity ended");
  }
  if (operation_ || aNow < next_) {
    return;
  }
  const bool tableIsFresh =
    held_->tableAt_ && aNow - *held_->tableAt_ <= options_.retryEvery_;
  if (!tableIsFresh) {
    aIntents.push_back(Start(SlotIntentKind::ReadTable, aNow));
  } else if (stray_) {
    SlotIntent intent = Start(SlotIntentKind::Release, aNow);
    intent.slot_ = stray_->slot_;
    intent.compareRevision_ = stray_->revision_;
    intent.record_ = ReleasedRecord(*stray_->record_);
    stray_.reset();
    aIntents.push_back(std::move(intent));
  } else if (!SameHolders(held_->row_.record_->consent_, ConsentFromTable())) {
    aIntents.push_back(StartRewrite(aNow));
  } else {
    aIntents.push_back(Start(SlotIntentKind::KeepAlive, aNow));
  }
}

void
SlotLease::TickReleasing(std::vector<SlotIntent>& aIntents, TimePoint aNow)
{
  if (operation_ || aNow < releaseAt_) {
    return;
  }
  SlotIntent intent = Start(SlotIntentKind::Release, aNow);
  intent.compareRevision_ = held_->row_.revision_;
  intent.record_ = ReleasedRecord(*held_->row_.record_);
  aIntents.push_back(std::move(intent));
}

SlotRecord
SlotLease::ReleasedRecord(const SlotRecord& aRecord) const
{
  SlotRecord record;
  record.epoch_ = aRecord.epoch_;
  record.attempt_ = options_.newId_();
  return record;
}

SlotIntent
SlotLease::StartClaim(TimePoint aNow)
{
  SlotIntent intent = Start(SlotIntentKind::Claim, aNow);
  intent.compareRevision_ = held_->row_.revision_;
  SlotRecord& record = *held_->row_.record_;
  record.attempt_ = options_.newId_();
  record.lease_ = held_->lease_;
  record.consent_ = ConsentFromTable();
  intent.record_ = record;
  return intent;
}

SlotIntent
SlotLease::StartRewrite(TimePoint aNow)
{
  SlotIntent intent = Start(SlotIntentKind::Rewrite, aNow);
  intent.compareRevision_ = held_->row_.revision_;
  intent.compareAlive_ = held_->row_.aliveRevision_;
  intent.record_ = *held_->row_.record_;
  intent.record_.attempt_ = options_.newId_();
  intent.record_.consent_ = ConsentFromTable();
  AddMissing(held_->pendingConsent_, intent.record_.consent_);
  return intent;
}

void
SlotLease::OnStoreResult(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (!operation_ || operation_->id_ != aResult.operation_) {
    return;
  }
  const Operation operation = *operation_;
  operation_.reset();
  if (aResult.outcome_ == StoreOutcome::Unknown) {
    OnUnknown(operation, aNow);
    return;
  }
  lastSuccess_ = operation.sent_;
  lastFailed_ = false;
  switch (operation.kind_) {
    case SlotIntentKind::ReadTable:
      OnTable(aResult.rows_, operation, aNow);
      break;
    case SlotIntentKind::GrantLease:
      OnGrant(aResult, operation);
      break;
    case SlotIntentKind::Claim:
      OnClaim(aResult, aNow);
      break;
    case SlotIntentKind::KeepAlive:
      OnKeepAlive(aResult, operation, aNow);
      break;
    case SlotIntentKind::Rewrite:
      OnRewrite(aResult);
      break;
    case SlotIntentKind::Release:
      OnRelease(aResult, aNow);
      break;
    case SlotIntentKind::RevokeLease:
    case SlotIntentKind::AskPeers:
      break;
  }
}

void
SlotLease::OnUnknown(const Operation& aOperation, TimePoint aNow)
{
  lastFailed_ = true;
  if (phase_ == Phase::Holding) {
    held_->renewFailed_ = true;
    held_->tableAt_.reset();
  } else if (phase_ == Phase::Claiming) {
    phase_ = Phase::ReadingBack;
  } else if (phase_ == Phase::Granting ||
             (aOperation.kind_ == SlotIntentKind::Release &&
              ++releaseTries_ >= kReleaseTries)) {
    // A lease that may exist ends by itself.
    BeginSearching(aNow, options_.retryEvery_);
  }
  next_ = aNow + options_.retryEvery_;
}

void
SlotLease::OnGrant(const SlotStoreResult& aResult, const Operation& aOperation)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    BeginSearching(aOperation.sent_, options_.retryEvery_);
    return;
  }
  held_->lease_ = aResult.lease_;
  held_->leaseValid_ =
    aOperation.sent_ + options_.leaseTime_ - options_.margin_;
  phase_ = Phase::Claiming;
}

void
SlotLease::OnClaim(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (aResult.outcome_ == StoreOutcome::Refused) {
    revoke_ = held_->lease_;
    BeginSearching(aNow, Duration::zero());
    return;
  }
  held_->row_.revision_ = aResult.revision_;
  held_->row_.aliveRevision_ = aResult.revision_;
  BeginHolding(aNow);
}

void
SlotLease::FinishReadingBack(TimePoint aNow)
{
  const auto found = table_.find(held_->row_.slot_.number_);
  const bool landed =
    found != table_.end() && Owns(found->second.row_) &&
    found->second.row_.alive_ &&
    found->second.row_.record_->attempt_ == held_->row_.record_->attempt_;
  if (landed) {
    held_->row_ = found->second.row_;
    BeginHolding(aNow);
    return;
  }
  // The claim can still arrive at the store; without its lease it will fail.
  revoke_ = held_->lease_;
  BeginSearching(aNow, options_.retryEvery_);
}

void
SlotLease::OnKeepAlive(const SlotStoreResult& aResult,
                       const Operation& aOperation,
                       TimePoint aNow)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    Lose("the lease has ended in the store", aNow);
    return;
  }
  held_->leaseValid_ =
    aOperation.sent_ + options_.leaseTime_ - options_.margin_;
  held_->renewFailed_ = false;
  held_->lapseLogged_ = false;
  held_->continueValid_ = TimePoint{};
  consentQuery_.reset();
  next_ = aOperation.sent_ + options_.renewEvery_;
}

void
SlotLease::OnRewrite(const SlotStoreResult& aResult)
{
  if (aResult.outcome_ != StoreOutcome::Done) {
    // The next read of the table tells whether the slot is still held.
    held_->tableAt_.reset();
    return;
  }
  held_->row_.revision_ = aResult.revision_;
  // Earlier rewrites compare an older revision and cannot take effect now. The
  // last one's list is the one that was put together from the same table.
  held_->row_.record_->consent_ = ConsentFromTable();
  held_->pendingConsent_.clear();
}

void
SlotLease::OnRelease(const SlotStoreResult& aResult, TimePoint aNow)
{
  if (phase_ != Phase::Releasing) {
    return;
  }
  Decide(SlotDecision::Kind::Released,
         held_->row_,
         aResult.outcome_ == StoreOutcome::Done ? "released"
                                                : "already taken over");
  revoke_ = held_->lease_;
  BeginSearching(aNow, options_.retryEvery_);
}

void
SlotLease::BeginHolding(TimePoint aNow)
{
  phase_ = Phase::Holding;
  held_->since_ = aNow;
  held_->tableAt_.reset();
  held_->pendingConsent_.clear();
  // A first renewal soon brings the table with the other holders.
  next_ = aNow;
  Decide(SlotDecision::Kind::Claimed, held_->row_, "claimed");
  if (stopping_ || !layout_->Contains(held_->row_.slot_)) {
    BeginRelease(aNow);
  }
}

void
SlotLease::BeginSearching(TimePoint aNow, Duration aDelay)
{
  phase_ = Phase::Searching;
  held_.reset();
  consentQuery_.reset();
  next_ = aNow + aDelay;
}

void
SlotLease::Release(TimePoint aNow)
{
  stopping_ = true;
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
  held_->leaseValid_ = std::min(held_->leaseValid_, aNow);
  held_->continueValid_ = std::min(held_->continueValid_, aNow);
  releaseAt_ = aNow + options_.releaseDelay_;
  releaseTries_ = 0;
  // A renewal in flight must not make the slot valid again.
  operation_.reset();
}

void
SlotLease::Lose(const std::string& aReason, TimePoint aNow)
{
  Decide(SlotDecision::Kind::Lost, held_->row_, aReason);
  BeginSearching(aNow, Duration::zero());
}

void
SlotLease::AskConsent(std::vector<SlotIntent>& aIntents, TimePoint aNow)
{
  if (!held_->renewFailed_ || aNow >= ValidUntil()) {
    return;
  }
  if (consentQuery_ && aNow - consentQuery_->sent_ < options_.retryEvery_) {
    return;
  }
  consentQuery_ = ConsentQuery{ nextId_++, aNow, {} };
  const std::vector<SlotHolder> needed = ConsentNeeded();
  if (needed.empty()) {
    // No host of the region can take the slot without the host list.
    held_->continueValid_ = aNow + options_.continuation_;
    return;
  }
  SlotIntent intent;
  intent.kind_ = SlotIntentKind::AskPeers;
  intent.query_.query_ = consentQuery_->id_;
  intent.peers_ = needed;
  aIntents.push_back(std::move(intent));
}

void
SlotLease::OnAnswer(const ReachabilityAnswer& aAnswer, TimePoint aNow)
{
  const auto witness = witnessQueries_.find(aAnswer.query_);
  if (witness != witnessQueries_.end()) {
    const auto [number, epoch] = witness->second;
    const auto found = table_.find(number);
    if (found == table_.end() || !aAnswer.reachable_ ||
        aAnswer.quiet_ < options_.witnessQuiet_) {
      return;
    }
    Observed& observed = found->second;
    const SlotRow& row = observed.row_;
    if (!observed.expiredAt_ || !row.record_ || row.record_->epoch_ != epoch) {
      return;
    }
    const std::vector<SlotHolder>& consent = row.record_->consent_;
    const SlotHolder peer{ "", "", aAnswer.incarnation_ };
    if (std::find(consent.begin(), consent.end(), peer) != consent.end()) {
      observed.witnessed_ = true;
      observed.noOutage_ = observed.noOutage_ || aAnswer.noOutageSinceRenewal_;
    }
    return;
  }
  if (phase_ != Phase::Holding || !consentQuery_ ||
      consentQuery_->id_ != aAnswer.query_ || !held_->renewFailed_ ||
      aAnswer.reachable_) {
    return;
  }
  consentQuery_->confirmed_.insert(aAnswer.incarnation_);
  const std::vector<SlotHolder> needed = ConsentNeeded();
  const bool isComplete =
    std::all_of(needed.begin(), needed.end(), [&](const SlotHolder& aHolder) {
      return consentQuery_->confirmed_.count(aHolder.incarnation_) > 0;
    });
  // After a lapse only the store makes the slot valid again: a successor relies
  // on a lapse being final.
  if (!isComplete || aNow >= ValidUntil()) {
    return;
  }
  if (held_->continueValid_ == TimePoint{}) {
    Decide(SlotDecision::Kind::ContinuingWithoutStore,
           held_->row_,
           "all other holders confirm that the store is unreachable");
  }
  held_->continueValid_ = std::max(
    held_->continueValid_, consentQuery_->sent_ + options_.continuation_);
}

TimePoint
SlotLease::ValidUntil() const
{
  return held_ ? std::max(held_->leaseValid_, held_->continueValid_)
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
  validity.outageUntil_ = held_->continueValid_;
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
  std::vector<SlotDecision> taken;
  taken.swap(decisions_);
  return taken;
}

void
SlotLease::Decide(SlotDecision::Kind aKind,
                  const SlotRow& aRow,
                  std::string aReason)
{
  const std::uint64_t epoch = aRow.record_ ? aRow.record_->epoch_ : 0;
  decisions_.push_back({ aKind, aRow.slot_, epoch, std::move(aReason) });
}

}
