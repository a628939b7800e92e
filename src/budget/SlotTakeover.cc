// The part of SlotLease that reads the slot table, chooses a slot and decides
// whether its former holder has certainly lapsed.

#include "base/Hash.h"
#include "budget/SlotLease.h"

#include <algorithm>

namespace peridotsail {

namespace {

// Time that a holder has, after the store is back, to write what it claimed in
// memory. A witness vouches for this much more than the last renewal.
constexpr Duration kFlushTime = std::chrono::seconds(30);
constexpr std::size_t kOpenWitnessQueries = 256;

}

void
SlotLease::SetHostList(const std::set<std::string>& aHosts, TimePoint aNow)
{
  listed_ = aHosts;
  listedAt_ = aNow;
  NoteUnlisted(aNow);
}

void
SlotLease::NoteUnlisted(TimePoint aNow)
{
  if (!listedAt_) {
    return;
  }
  std::map<std::string, TimePoint> unlisted;
  const auto note = [&](const SlotHolder& aHolder) {
    if (listed_.count(aHolder.host_) == 0) {
      const auto known = unlistedSince_.find(aHolder.incarnation_);
      unlisted[aHolder.incarnation_] =
        known == unlistedSince_.end() ? aNow : known->second;
    }
  };
  for (const auto& [number, observed] : table_) {
    if (observed.row_.record_) {
      note(observed.row_.record_->holder_);
      for (const SlotHolder& holder : observed.row_.record_->consent_) {
        note(holder);
      }
    }
  }
  unlistedSince_.swap(unlisted);
}

void
SlotLease::OnPeerSeen(const SlotHolder& aPeer, TimePoint aNow)
{
  const auto note = [&](const SlotHolder& aHolder) {
    if (aHolder.incarnation_ == aPeer.incarnation_) {
      replacedSince_.erase(aHolder.incarnation_);
    } else if (aHolder.address_ == aPeer.address_) {
      replacedSince_.emplace(aHolder.incarnation_, aNow);
    }
  };
  for (const auto& [number, observed] : table_) {
    if (observed.row_.record_) {
      note(observed.row_.record_->holder_);
      for (const SlotHolder& holder : observed.row_.record_->consent_) {
        note(holder);
      }
    }
  }
}

bool
SlotLease::IsGone(const SlotHolder& aHolder, TimePoint aNow) const
{
  // This process listens at its own address, so no other one does.
  if (aHolder.address_ == self_.address_ && !(aHolder == self_) &&
      aNow - started_ >= options_.goneFor_) {
    return true;
  }
  const auto replaced = replacedSince_.find(aHolder.incarnation_);
  if (replaced != replacedSince_.end() &&
      aNow - replaced->second >= options_.goneFor_) {
    return true;
  }
  const auto unlisted = unlistedSince_.find(aHolder.incarnation_);
  // The latest list has to show it too: a list that has stopped says nothing.
  return unlisted != unlistedSince_.end() && listedAt_ &&
         *listedAt_ - unlisted->second >= options_.goneFor_;
}

bool
SlotLease::AllGone(const SlotRecord& aRecord, TimePoint aNow) const
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
  std::map<int, Observed> updated;
  for (const SlotRow& row : aRows) {
    Observed& observed = updated[row.slot_.number_];
    const auto known = table_.find(row.slot_.number_);
    if (known != table_.end() &&
        known->second.row_.revision_ == row.revision_) {
      observed = known->second;
    }
    observed.row_ = row;
    if (row.alive_) {
      observed.aliveAt_ = aSent;
      observed.expiredAt_.reset();
      observed.witnessed_ = false;
    } else if (!observed.expiredAt_) {
      observed.expiredAt_ = aSent;
    }
  }
  table_.swap(updated);
}

void
SlotLease::OnTable(const std::vector<SlotRow>& aRows,
                   const Operation& aOperation,
                   TimePoint aNow)
{
  UpdateTable(aRows, aOperation.sent_);
  NoteUnlisted(aNow);
  if (phase_ == Phase::Holding) {
    held_->tableAt_ = aOperation.sent_;
    for (const SlotRow& row : aRows) {
      if (Owns(row) && !row.alive_ && row.slot_ != held_->row_.slot_) {
        stray_ = row;
      }
    }
    CheckOwnRow(aNow);
  } else if (phase_ == Phase::ReadingBack) {
    FinishReadingBack(aNow);
  } else if (phase_ == Phase::Searching) {
    next_ = aNow + options_.retryEvery_;
    if (!stopping_ && Choose(aNow)) {
      phase_ = Phase::Granting;
      next_ = aNow;
    }
  }
}

bool
SlotLease::Owns(const SlotRow& aRow) const
{
  return aRow.record_ && aRow.record_->holder_ == self_;
}

void
SlotLease::CheckOwnRow(TimePoint aNow)
{
  const auto found = table_.find(held_->row_.slot_.number_);
  if (found == table_.end() || !Owns(found->second.row_) ||
      found->second.row_.record_->epoch_ != held_->row_.record_->epoch_) {
    Lose("the slot has another holder", aNow);
    return;
  }
  const SlotRow& row = found->second.row_;
  if (!row.alive_ || row.aliveRevision_ != held_->row_.aliveRevision_) {
    Lose("the lease has ended in the store", aNow);
    return;
  }
  if (row.revision_ != held_->row_.revision_) {
    // A rewrite with a lost answer took effect; the others cannot any more.
    held_->row_ = row;
    held_->pendingConsent_.clear();
  }
}

std::optional<PredecessorOutage>
SlotLease::MayTake(const Observed& aObserved, TimePoint aNow) const
{
  const SlotRow& row = aObserved.row_;
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
  if (!aObserved.expiredAt_ || aNow - *aObserved.expiredAt_ < options_.guard_ ||
      aNow - lastUnreachableAnswer_ < options_.guard_) {
    return std::nullopt;
  }
  const bool isOwnWitness =
    std::find(record.consent_.begin(), record.consent_.end(), self_) !=
    record.consent_.end();
  if (aObserved.witnessed_ || isOwnWitness) {
    return aObserved.noOutage_ ? PredecessorOutage::NeverContinued
                               : PredecessorOutage::MayHaveContinued;
  }
  if (AllGone(record, aNow)) {
    return PredecessorOutage::MayHaveContinued;
  }
  return std::nullopt;
}

bool
SlotLease::Choose(TimePoint aNow)
{
  std::optional<std::pair<std::uint64_t, int>> best;
  PredecessorOutage predecessor = PredecessorOutage::MayHaveContinued;
  for (const auto& [region, slots] : layout_->regions_) {
    for (int number = 0; region == region_ && number < slots; ++number) {
      const auto found = table_.find(number);
      const auto allowed = found == table_.end()
                             ? PredecessorOutage::NeverContinued
                             : MayTake(found->second, aNow);
      if (!allowed) {
        continue;
      }
      // Different hosts prefer different slots, so that few claims collide; the
      // own former slot comes first.
      const bool wasOwn = *allowed == PredecessorOutage::SameProcess;
      const std::uint64_t order =
        wasOwn ? 0 : StableHash(self_.incarnation_, number) | 1U;
      if (!best || order < best->first) {
        best.emplace(order, number);
        predecessor = *allowed;
      }
    }
  }
  if (!best) {
    return false;
  }
  held_.emplace(Held{});
  held_->predecessor_ = predecessor;
  held_->row_.slot_ = { region_, best->second };
  const auto found = table_.find(best->second);
  std::uint64_t epoch = 0;
  if (found != table_.end()) {
    const SlotRow& row = found->second.row_;
    held_->row_.revision_ = row.revision_;
    // The revision is above every earlier epoch even if the record's own is
    // unreadable.
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
    if (row.alive_ && row.record_ && !row.record_->IsReleased() && !Owns(row)) {
      holders.push_back(row.record_->holder_);
    }
  }
  return holders;
}

void
SlotLease::AskWitnesses(std::vector<SlotIntent>& aIntents, TimePoint aNow)
{
  for (auto& [number, observed] : table_) {
    const SlotRow& row = observed.row_;
    if (!observed.expiredAt_ || observed.witnessed_ || !row.record_ ||
        row.record_->IsReleased() || row.record_->consent_.empty() ||
        Owns(row)) {
      continue;
    }
    if (!observed.askedAt_) {
      Decide(SlotDecision::Kind::TakeoverWaits, row, "guard time and witness");
    } else if (aNow - *observed.askedAt_ < options_.retryEvery_) {
      continue;
    }
    observed.askedAt_ = aNow;
    SlotIntent intent;
    intent.kind_ = SlotIntentKind::AskPeers;
    intent.query_ = { nextId_++, row.slot_, row.record_->epoch_ };
    intent.peers_ = row.record_->consent_;
    witnessQueries_[intent.query_.query_] = { number, row.record_->epoch_ };
    if (witnessQueries_.size() > kOpenWitnessQueries) {
      witnessQueries_.erase(witnessQueries_.begin());
    }
    aIntents.push_back(std::move(intent));
  }
}

bool
SlotLease::StoreReachable(TimePoint aNow) const
{
  return lastSuccess_ && !lastFailed_ &&
         aNow - *lastSuccess_ <= options_.renewEvery_ + options_.retryEvery_ +
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
    lastUnreachableAnswer_ = aNow;
  } else if (!operation_ && aNow - *lastSuccess_ >= options_.retryEvery_) {
    // The asker may have met an outage that this host has not: try now.
    next_ = std::min(next_, aNow);
  }
  answer.quiet_ = aNow - lastUnreachableAnswer_;
  const auto found = table_.find(aQuery.slot_.number_);
  if (answer.reachable_ && phase_ == Phase::Holding && found != table_.end() &&
      found->second.aliveAt_ && found->second.row_.record_ &&
      found->second.row_.record_->epoch_ == aQuery.epoch_) {
    // The last renewal was at most one lease time before that read.
    const TimePoint renewed =
      *found->second.aliveAt_ - options_.leaseTime_ - kFlushTime;
    answer.noOutageSinceRenewal_ =
      std::max(lastUnreachableAnswer_, held_->since_) <= renewed;
  }
  return answer;
}

}
