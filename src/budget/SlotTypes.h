#pragma once

// Types that describe host slots to the users of SlotLease.

#include "base/BootClock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

// A host slot of a region. Numbers start at 0.
struct SlotId
{
  std::string region_;
  int number_ = -1;

  bool operator==(const SlotId& aOther) const
  {
    return number_ == aOther.number_ && region_ == aOther.region_;
  }
  bool operator!=(const SlotId& aOther) const { return !(*this == aOther); }
};

// The slots of one configuration version.
struct SlotLayout
{
  // Region name and number of slots, in configuration order.
  std::vector<std::pair<std::string, int>> regions_;

  int Total() const;
  // Returns the index of the slot among all slots, or -1 if it does not exist.
  int IndexOf(const SlotId& aSlot) const;
  bool Contains(const SlotId& aSlot) const { return IndexOf(aSlot) >= 0; }
};

using SlotLayoutPtr = std::shared_ptr<const SlotLayout>;

// Whether the previous holder of the slot may have continued to serve during a
// store outage.
enum class PredecessorOutage
{
  // There was no previous holder, it released the slot gracefully, or a host
  // whose consent it needed confirms that it has given none since the previous
  // holder's last renewal.
  NeverContinued,
  // The previous holder was this process, which still has its claims in memory.
  SameProcess,
  // The previous holder may have continued during a store outage.
  MayHaveContinued,
};

// The state of a held slot. Published by the platform thread. Users must
// compare validUntil_ with the clock each time they use the slot.
struct SlotValidity
{
  SlotId slot_;
  // Index among all slots of the current configuration, or -1 without a slot.
  int index_ = -1;
  int totalSlots_ = 0;
  // Increases with each change of the holder.
  std::uint64_t epoch_ = 0;
  TimePoint validUntil_{};
  // Fencing token of this epoch: a key that exists while the lease is valid,
  // and its modification revision, which is constant during the epoch. A
  // transaction that compares them fails once the lease has expired or the slot
  // has another holder.
  std::string fenceKey_;
  std::int64_t fenceRevision_ = 0;
  // Time until which all other holders in the region have confirmed that the
  // store is unreachable. A holder may make claims in memory only until then,
  // because only then does its successor get MayHaveContinued.
  TimePoint outageUntil_{};
  PredecessorOutage predecessor_ = PredecessorOutage::MayHaveContinued;

  bool IsValidAt(TimePoint aNow) const
  {
    return index_ >= 0 && aNow < validUntil_;
  }
};

}
