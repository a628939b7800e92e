#pragma once

// A point in the history of a key-value store that can be restored from an
// older copy. A restore takes the revision back and begins a new era; revisions
// are then given out again, for other changes. Two points are therefore
// compared by era first, and by revision only within one era.
//
//   if (known >= StorePosition(event.revision_, event.era_)) { /* known */ }

#include <cstdint>
#include <tuple>

namespace peridotsail {

struct StorePosition
{
  StorePosition() = default;
  // Implicit: a revision of a store that states no era is a position in era 0.
  StorePosition(std::uint64_t aRevision, std::uint64_t aEra = 0)
    : era_(aEra)
    , revision_(aRevision)
  {
  }

  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 0;
};

inline bool
operator<(const StorePosition& aLeft, const StorePosition& aRight)
{
  return std::tie(aLeft.era_, aLeft.revision_) <
         std::tie(aRight.era_, aRight.revision_);
}

inline bool
operator==(const StorePosition& aLeft, const StorePosition& aRight)
{
  return aLeft.era_ == aRight.era_ && aLeft.revision_ == aRight.revision_;
}

inline bool
operator!=(const StorePosition& aLeft, const StorePosition& aRight)
{
  return !(aLeft == aRight);
}

inline bool
operator>(const StorePosition& aLeft, const StorePosition& aRight)
{
  return aRight < aLeft;
}

inline bool
operator<=(const StorePosition& aLeft, const StorePosition& aRight)
{
  return !(aRight < aLeft);
}

inline bool
operator>=(const StorePosition& aLeft, const StorePosition& aRight)
{
  return !(aLeft < aRight);
}

}
