#include "budget/testing/ClusterSimulation.h"

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
FakeSlotStore::Apply(const SlotAction& aAction, Duration aNow)
{
  Expire(aNow);
  SlotStoreResult result;
  result.operationId_ = aAction.operationId_;
  result.outcome_ = StoreOutcome::Refused;
  const std::string record = SlotRecordKey(aAction.slot_);
  const std::string alive = SlotAliveKey(aAction.slot_);
  const bool sameRecord = RevisionOf(record) == aAction.compareRevision_;
  switch (aAction.kind_) {
    case SlotActionKind::ReadTable: {
      std::vector<SlotTableEntry> entries;
      for (const auto& [key, value] : values_) {
        entries.push_back({ key, value.text_, value.revision_ });
      }
      int malformed = 0;
      result.rows_ = ParseSlotTable(aAction.slot_.region_, entries, malformed);
      result.outcome_ = StoreOutcome::Done;
      return result;
    }
    case SlotActionKind::GrantLease:
      result.lease_ = ++lastLease_;
      leases_[result.lease_] = aNow + leaseTime_;
      result.outcome_ = StoreOutcome::Done;
      return result;
    case SlotActionKind::KeepAlive:
      if (leases_.count(aAction.lease_) > 0) {
        leases_[aAction.lease_] = aNow + leaseTime_;
        result.outcome_ = StoreOutcome::Done;
      }
      return result;
    case SlotActionKind::Claim:
      if (!sameRecord || RevisionOf(alive) != 0 ||
          leases_.count(aAction.lease_) == 0) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aAction.record_), 0);
      Put(alive, "", aAction.lease_);
      break;
    case SlotActionKind::UpdateRecord:
      if (!sameRecord || RevisionOf(alive) != aAction.compareAliveRevision_) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aAction.record_), 0);
      break;
    case SlotActionKind::Release:
      if (!sameRecord) {
        return result;
      }
      ++revision_;
      Put(record, EncodeSlotRecord(aAction.record_), 0);
      values_.erase(alive);
      break;
    case SlotActionKind::RevokeLease:
      if (leases_.count(aAction.lease_) > 0) {
        leases_[aAction.lease_] = aNow;
        Expire(aNow);
      }
      break;
    case SlotActionKind::QueryPeers:
      break;
  }
  result.outcome_ = StoreOutcome::Done;
  result.revision_ = revision_;
  return result;
}

}
