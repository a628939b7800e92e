#include "budget/testing/World.h"

namespace peridotsail {

FakeSlotStore::FakeSlotStore(Duration aLeaseTime)
  : leaseTime_(aLeaseTime)
{
}

void
FakeSlotStore::Expire(Duration aNow)
{
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second > aNow) {
      ++lease;
      continue;
    }
    for (auto value = values_.begin(); value != values_.end();) {
      value = value->second.lease_ == lease->first ? values_.erase(value)
                                                   : std::next(value);
    }
    lease = leases_.erase(lease);
  }
}

void
FakeSlotStore::ExtendLeases(Duration aNow)
{
  for (auto& [id, end] : leases_) {
    end = aNow + leaseTime_;
  }
}

std::int64_t
FakeSlotStore::RevisionOf(const std::string& aKey) const
{
  const auto found = values_.find(aKey);
  return found == values_.end() ? 0 : found->second.revision_;
}

void
FakeSlotStore::Put(const std::string& aKey,
                   std::string aText,
                   std::int64_t aLease)
{
  values_[aKey] = { std::move(aText), revision_, aLease };
}

SlotStoreResult
FakeSlotStore::Apply(const SlotIntent& aIntent, Duration aNow)
{
  Expire(aNow);
  SlotStoreResult result;
  result.operation_ = aIntent.operation_;
  result.outcome_ = StoreOutcome::Refused;
  const std::string record = SlotRecordKey(aIntent.slot_);
  const std::string alive = SlotAliveKey(aIntent.slot_);
  const bool sameRecord = RevisionOf(record) == aIntent.compareRevision_;
  switch (aIntent.kind_) {
    case SlotIntentKind::ReadTable: {
      std::vector<SlotTableEntry> entries;
      for (const auto& [key, value] : values_) {
        entries.push_back({ key, value.text_, value.revision_ });
      }
      int malformed = 0;
      result.rows_ = ParseSlotTable(aIntent.slot_.region_, entries, malformed);
      result.outcome_ = StoreOutcome::Done;
      return result;
    }
    case SlotIntentKind::GrantLease:
      result.lease_ = ++lastLease_;
      leases_[result.lease_] = aNow + leaseTime_;
      result.outcome_ = StoreOutcome::Done;
      return result;
    case SlotIntentKind::KeepAlive:
      if (leases_.count(aIntent.lease_) > 0) {
        leases_[aIntent.lease_] = aNow + leaseTime_;
        result.outcome_ = StoreOutcome::Done;
      }
      return result;
    case SlotIntentKind::Claim:
      if (!sameRecord || RevisionOf(alive) != 0 ||
          leases_.count(aIntent.lease_) == 0) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aIntent.record_), 0);
      Put(alive, "", aIntent.lease_);
      break;
    case SlotIntentKind::Rewrite:
      if (!sameRecord || RevisionOf(alive) != aIntent.compareAlive_) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aIntent.record_), 0);
      break;
    case SlotIntentKind::Release:
      if (!sameRecord) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aIntent.record_), 0);
      values_.erase(alive);
      break;
    case SlotIntentKind::RevokeLease:
      if (leases_.count(aIntent.lease_) > 0) {
        leases_[aIntent.lease_] = aNow;
        Expire(aNow);
      }
      break;
    case SlotIntentKind::AskPeers:
      break;
  }
  result.outcome_ = StoreOutcome::Done;
  result.revision_ = revision_;
  return result;
}

}
