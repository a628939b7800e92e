// The part of SlotLease that reads the slot table, chooses a slot and
// determines whether the validity of its previous holder has certainly lapsed.

#include "base/Hash.h"
#include "budget/SlotLease.h"

#include <algorithm>

namespace peridotsail {

namespace {

// Time in which a holder must write its in-memory claims after the store has
// recovered. The statement of a witness covers this time before the last
// renewal as well.
constexpr Duration kFlushTime = std::chrono::seconds(30);
constexpr std::size_t kMaxPendingWitnessQueries = 256;

}

void
SlotLease::SetHostList(const std::set<std::string>& aHosts, TimePoint aNow)
{
  listedHosts_ = aHosts;
  listedAt_ = aNow;
  UpdateUnlisted(aNow);
}

void
SlotLease::UpdateUnlisted(TimePoint aNow)
{
  if (!listedAt_) {
    return;
  }
  std::map<std::string, TimePoint> unlisted;
  const auto update = [&](const SlotHolder& aHolder) {
    if (listedHosts_.count(aHolder.host_) == 0) {
      const auto known = unlistedSince_.find(aHolder.incarnation_);
      unlisted[aHolder.incarnation_] =
        known == unlistedSince_.end() ? aNow : known->second;
    }
  };
  for (const auto& [number, observed] : table_) {
    if (observed.row_.record_) {
      update(observed.row_.record_->holder_);
      for (const SlotHolder& holder : observed.row_.record_->consent_) {
        update(holder);
      }
    }
  }
  unlistedSince_.swap(unlisted);
}

void
SlotLease::OnPeerSeen(const SlotHolder& aPeer, TimePoint aNow)
{
  const auto update = [&](const SlotHolder& aHolder) {
    if (aHolder.incarnation_ == aPeer.incarnation_) {
      replacedSince_.erase(aHolder.incarnation_);
    } else if (aHolder.address_ == aPeer.address_) {
      replacedSince_.emplace(aHolder.incarnation_, aNow);
    }
  };
  for (const auto& [number, observed] : table_) {
    if (observed.row_.record_) {
      update(observed.row_.record_->holder_);
      for (const SlotHolder& holder : observed.row_.record_->consent_) {
        update(holder);
      }
    }
  }
}

bool
SlotLease::IsGone(const SlotHolder& aHolder, TimePoint aNow) const
{
  // This process listens at its own address, so no other process does.
  if (aHolder.address_ == self_.address_ && !(aHolder == self_) &&
      aNow - startedAt_ >= options_.goneTimeout_) {
    return true;
  }
  const auto replaced = replacedSince_.find(aHolder.incarnation_);
  if (replaced != replacedSince_.end() &&
      aNow - replaced->second >= options_.goneTimeout_) {
    return true;
  }
  const auto unlisted = unlistedSince_.find(aHolder.incarnation_);
  // Measured up to the latest host list, because a list that is no longer
  // updated proves nothing.
  return unlisted != unlistedSince_.end() && listedAt_ &&
         *listedAt_ - unlisted->second >= options_.goneTimeout_;
}

bool
SlotLease::AreAllGone(const SlotRecord& aRecord, TimePoint aNow) const
{
  return IsGone(aRecord.holder_, aNow) &&
         std::all_of(
           aRecord.consent_.begin(),
           aRecord.consent_.end(),
           [&](const SlotHolder& aHolder) { return IsGone(aHolder, aNow); });
}

void
SlotLease::UpdateTable(const std::vector<SlotRow>& aRows, TimePoint aSent)
{
  std::map<int, ObservedSlot> updated;
  for (const SlotRow& row : aRows) {
    ObservedSlot& observed = updated[row.slot_.number_];
    const auto known = table_.find(row.slot_.number_);
    if (known != table_.end() &&
        known->second.row_.revision_ == row.revision_) {
      observed = known->second;
    }
    observed.row_ = row;
    if (row.alive_) {
      observed.aliveReadAt_ = aSent;
      observed.expiredReadAt_.reset();
      observed.lapseConfirmed_ = false;
    } else if (!observed.expiredReadAt_) {
      observed.expiredReadAt_ = aSent;
    }
  }
  table_.swap(updated);
}

void
SlotLease::OnTable(const std::vector<SlotRow>& aRows,
                   const PendingOperation& aOperation,
                   TimePoint aNow)
{
  UpdateTable(aRows, aOperation.sentAt_);
  UpdateUnlisted(aNow);
  if (phase_ == Phase::Holding) {
    held_->tableReadAt_ = aOperation.sentAt_;
    for (const SlotRow& row : aRows) {
      if (IsOwnRow(row) && !row.alive_ && row.slot_ != held_->row_.slot_) {
        abandonedClaim_ = row;
      }
    }
    CheckOwnRow(aNow);
  } else if (phase_ == Phase::CheckingClaim) {
    FinishClaimCheck(aNow);
  } else if (phase_ == Phase::Searching) {
    nextOperationAt_ = aNow + options_.retryInterval_;
    if (!releaseRequested_ && ChooseSlot(aNow)) {
      phase_ = Phase::Granting;
      nextOperationAt_ = aNow;
    }
  }
}

bool
SlotLease::IsOwnRow(const SlotRow& aRow) const
{
  return aRow.record_ && aRow.record_->holder_ == self_;
}

void
SlotLease::CheckOwnRow(TimePoint aNow)
{
  const auto found = table_.find(held_->row_.slot_.number_);
  if (found == table_.end() || !IsOwnRow(found->second.row_) ||
      found->second.row_.record_->epoch_ != held_->row_.record_->epoch_) {
    HandleLoss("the slot has another holder", aNow);
    return;
  }
  const SlotRow& row = found->second.row_;
  if (!row.alive_ || row.aliveRevision_ != held_->row_.aliveRevision_) {
    HandleLoss("the lease has ended in the store", aNow);
    return;
  }
  if (row.revision_ != held_->row_.revision_) {
    // A record update with a lost answer took effect. The others no longer can.
    held_->row_ = row;
    held_->pendingConsent_.clear();
  }
}

std::optional<PredecessorOutage>
SlotLease::CheckTakeover(const ObservedSlot& aSlot, TimePoint aNow) const
{
  const SlotRow& row = aSlot.row_;
  if (row.alive_) {
    return std::nullopt;
  }
  if (!row.record_ || row.record_->IsReleased()) {
    return PredecessorOutage::NeverContinued;
  }
  const SlotRecord& record = *row.record_;
  if (record.holder_ == self_) {
    return PredecessorOutage::SameProcess;
  }
  if (!aSlot.expiredReadAt_ ||
      aNow - *aSlot.expiredReadAt_ < options_.guardTime_ ||
      aNow - lastUnreachableAnswerAt_ < options_.guardTime_) {
    return std::nullopt;
  }
  const bool isOwnWitness =
    std::find(record.consent_.begin(), record.consent_.end(), self_) !=
    record.consent_.end();
  if (aSlot.lapseConfirmed_ || isOwnWitness) {
    return aSlot.noOutageConfirmed_ ? PredecessorOutage::NeverContinued
                                    : PredecessorOutage::MayHaveContinued;
  }
  if (AreAllGone(record, aNow)) {
    return PredecessorOutage::MayHaveContinued;
  }
  return std::nullopt;
}

bool
SlotLease::ChooseSlot(TimePoint aNow)
{
  std::optional<std::pair<std::uint64_t, int>> best;
  PredecessorOutage predecessor = PredecessorOutage::MayHaveContinued;
  for (const auto& [region, slots] : layout_->regions_) {
    for (int number = 0; region == region_ && number < slots; ++number) {
      const auto found = table_.find(number);
      const auto allowed = found == table_.end()
                             ? PredecessorOutage::NeverContinued
                             : CheckTakeover(found->second, aNow);
      if (!allowed) {
        continue;
      }
      // Hosts prefer different slots, so that few claims conflict. A slot that
      // this process held before has priority.
      const bool wasHeldBefore = *allowed == PredecessorOutage::SameProcess;
      const std::uint64_t order =
        wasHeldBefore ? 0 : StableHash(self_.incarnation_, number) | 1U;
      if (!best || order < best->first) {
        best.emplace(order, number);
        predecessor = *allowed;
      }
    }
  }
  if (!best) {
    return false;
  }
  held_.emplace(HeldSlot{});
  held_->predecessor_ = predecessor;
  held_->row_.slot_ = { region_, best->second };
  const auto found = table_.find(best->second);
  std::uint64_t epoch = 0;
  if (found != table_.end()) {
    const SlotRow& row = found->second.row_;
    held_->row_.revision_ = row.revision_;
    // The revision exceeds every earlier epoch, also if the epoch in the record
    // is unreadable.
    epoch = std::max(row.record_ ? row.record_->epoch_ : 0,
                     static_cast<std::uint64_t>(row.revision_));
  }
  held_->row_.record_ = SlotRecord{};
  held_->row_.record_->holder_ = self_;
  held_->row_.record_->epoch_ = epoch + 1;
  return true;
}

std::vector<SlotHolder>
SlotLease::ConsentFromTable() const
{
  std::vector<SlotHolder> holders;
  for (const auto& [number, observed] : table_) {
    const SlotRow& row = observed.row_;
    if (row.alive_ && row.record_ && !row.record_->IsReleased() &&
        !IsOwnRow(row)) {
      holders.push_back(row.record_->holder_);
    }
  }
  return holders;
}

void
SlotLease::QueryWitnesses(std::vector<SlotAction>& aActions, TimePoint aNow)
{
  for (auto& [number, observed] : table_) {
    const SlotRow& row = observed.row_;
    if (!observed.expiredReadAt_ || observed.lapseConfirmed_ || !row.record_ ||
        row.record_->IsReleased() || row.record_->consent_.empty() ||
        IsOwnRow(row)) {
      continue;
    }
    if (!observed.queriedAt_) {
      RecordDecision(
        SlotDecision::Kind::TakeoverWaits, row, "guard time and witness");
    } else if (aNow - *observed.queriedAt_ < options_.retryInterval_) {
      continue;
    }
    observed.queriedAt_ = aNow;
    SlotAction action;
    action.kind_ = SlotActionKind::QueryPeers;
    action.query_ = { nextId_++, row.slot_, row.record_->epoch_ };
    action.peers_ = row.record_->consent_;
    witnessQueries_[action.query_.query_] = { number, row.record_->epoch_ };
    if (witnessQueries_.size() > kMaxPendingWitnessQueries) {
      witnessQueries_.erase(witnessQueries_.begin());
    }
    aActions.push_back(std::move(action));
  }
}

bool
SlotLease::StoreReachable(TimePoint aNow) const
{
  return lastSuccessAt_ && !lastOperationFailed_ &&
         aNow - *lastSuccessAt_ <= options_.renewInterval_ +
                                     options_.retryInterval_ +
                                     options_.storeTimeout_ / 2;
}

ReachabilityAnswer
SlotLease::OnQuery(const ReachabilityQuery& aQuery, TimePoint aNow)
{
  ReachabilityAnswer answer;
  answer.query_ = aQuery.query_;
  answer.incarnation_ = self_.incarnation_;
  answer.reachable_ = StoreReachable(aNow);
  if (!answer.reachable_) {
    lastUnreachableAnswerAt_ = aNow;
  } else if (!pendingOperation_ &&
             aNow - *lastSuccessAt_ >= options_.retryInterval_) {
    // The querying host may have noticed an outage that this host has not.
    // Check the store now.
    nextOperationAt_ = std::min(nextOperationAt_, aNow);
  }
  answer.quietTime_ = aNow - lastUnreachableAnswerAt_;
  const auto found = table_.find(aQuery.slot_.number_);
  if (answer.reachable_ && phase_ == Phase::Holding && found != table_.end() &&
      found->second.aliveReadAt_ && found->second.row_.record_ &&
      found->second.row_.record_->epoch_ == aQuery.epoch_) {
    // The last renewal was at most one lease time before the read that found
    // the alive key.
    const TimePoint renewed =
      *found->second.aliveReadAt_ - options_.leaseTime_ - kFlushTime;
    answer.noOutageSinceRenewal_ =
      std::max(lastUnreachableAnswerAt_, held_->heldSince_) <= renewed;
  }
  return answer;
}

}
