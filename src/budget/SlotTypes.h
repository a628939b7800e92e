#pragma once

// Host slots as all users of SlotLease see them.

#include "base/BootClock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

// One of a region's host slots; numbers start at 0.
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
  // Region and number of slots, in the order of the configuration.
  std::vector<std::pair<std::string, int>> regions_;

  int Total() const;
  // The position of the slot among all slots, or -1 when it does not exist.
  int IndexOf(const SlotId& aSlot) const;
  bool Contains(const SlotId& aSlot) const { return IndexOf(aSlot) >= 0; }
};

using SlotLayoutPtr = std::shared_ptr<const SlotLayout>;

// Whether the previous holder of the slot may have worked on without the store.
enum class PredecessorOutage
{
  // There was none, it released the slot gracefully, or a host whose consent it
  // needed to continue states that it gave none since the predecessor's last
  // renewal.
  NeverContinued,
  // The predecessor was this process; it still has what it claimed in memory.
  SameProcess,
  // The predecessor may have continued during a store outage.
  MayHaveContinued,
};

// What a slot holder may rely on. The platform thread publishes it; users
// compare validUntil_ with the clock at the moment of use.
struct SlotValidity
{
  SlotId slot_;
  // Position among all slots in the configuration in force; -1 without a slot.
  int index_ = -1;
  int totalSlots_ = 0;
  // Increases with every change of holder.
  std::uint64_t epoch_ = 0;
  TimePoint validUntil_{};
  // The fence of this epoch: a key that exists while the lease runs and whose
  // modification revision stays the same for the whole epoch. A transaction
  // that compares both fails as soon as the lease has ended or the slot has
  // another holder.
  std::string fenceKey_;
  std::int64_t fenceRevision_ = 0;
  // Until then all other holders of the region have confirmed that nobody
  // reaches the store. A holder may claim in memory only while this holds,
  // because only then does its successor get MayHaveContinued.
  TimePoint outageUntil_{};
  PredecessorOutage predecessor_ = PredecessorOutage::MayHaveContinued;

  bool IsValidAt(TimePoint aNow) const
  {
    return index_ >= 0 && aNow < validUntil_;
  }
};

}
