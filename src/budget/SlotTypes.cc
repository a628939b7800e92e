#include "budget/SlotTypes.h"

namespace peridotsail {

int
SlotLayout::Total() const
{
  int total = 0;
  for (const auto& [region, slots] : regions_) {
    total += slots;
  }
  return total;
}

int
SlotLayout::IndexOf(const SlotId& aSlot) const
{
  int before = 0;
  for (const auto& [region, slots] : regions_) {
    if (region == aSlot.region_) {
      const bool exists = aSlot.number_ >= 0 && aSlot.number_ < slots;
      return exists ? before + aSlot.number_ : -1;
    }
    before += slots;
  }
  return -1;
}

}
