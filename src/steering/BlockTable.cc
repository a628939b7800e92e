#include "steering/BlockTable.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotsail {

namespace {

constexpr std::size_t kMinCapacity = 16;
// The array is copied when it grows. A small factor keeps the peak memory use
// low.
constexpr double kGrowthFactor = 1.25;

std::size_t
CapacityFor(std::size_t aBlockCount)
{
  const double entries =
    static_cast<double>(aBlockCount) / BlockTable::kMaxLoadFactor;
  return std::max(kMinCapacity,
                  static_cast<std::size_t>(std::ceil(entries)) + 1);
}

}

std::uint64_t
BlockKey(std::string_view aBlock)
{
  // 0 is reserved for free entries.
  return std::max<std::uint64_t>(1, StableHash(aBlock));
}

BlockTable::BlockTable(std::size_t aBlockCount)
  : entries_(CapacityFor(aBlockCount))
{
}

// Uses the high 64 bits of key * capacity, which maps keys to any capacity
// without a division. A power-of-two capacity would waste up to half of the
// array.
std::size_t
BlockTable::HomeIndex(std::uint64_t aKey) const
{
  __extension__ using Wide = unsigned __int128;
  return static_cast<std::size_t>((Wide(aKey) * entries_.size()) >> 64);
}

std::size_t
BlockTable::NextIndex(std::size_t aIndex) const
{
  return aIndex + 1 == entries_.size() ? 0 : aIndex + 1;
}

void
BlockTable::Set(std::uint64_t aKey, std::initializer_list<std::uint16_t> aSites)
{
  Sites sites;
  sites.fill(kNoSite);
  std::copy_n(
    aSites.begin(), std::min(aSites.size(), kMaxSites), sites.begin());
  Set(aKey, sites);
}

void
BlockTable::Set(std::uint64_t aKey, const Sites& aSites)
{
  const double limit = static_cast<double>(entries_.size()) * kMaxLoadFactor;
  if (static_cast<double>(size_ + 1) > limit) {
    Rebuild(static_cast<std::size_t>(
      std::ceil(static_cast<double>(entries_.size()) * kGrowthFactor)));
  }
  std::size_t index = HomeIndex(aKey);
  while (entries_[index].key_ != 0 && entries_[index].key_ != aKey) {
    index = NextIndex(index);
  }
  if (entries_[index].key_ == 0) {
    entries_[index].key_ = aKey;
    ++size_;
  }
  entries_[index].sites_ = aSites;
}

const BlockTable::Sites*
BlockTable::Find(std::uint64_t aKey) const
{
  std::size_t index = HomeIndex(aKey);
  while (entries_[index].key_ != 0) {
    if (entries_[index].key_ == aKey) {
      return &entries_[index].sites_;
    }
    index = NextIndex(index);
  }
  return nullptr;
}

bool
BlockTable::Erase(std::uint64_t aKey)
{
  std::size_t hole = HomeIndex(aKey);
  while (entries_[hole].key_ != aKey) {
    if (entries_[hole].key_ == 0) {
      return false;
    }
    hole = NextIndex(hole);
  }
  // Backward-shift deletion: moves later entries of the probe sequence back, so
  // that no lookup stops early at the freed entry.
  const std::size_t capacity = entries_.size();
  for (std::size_t index = NextIndex(hole); entries_[index].key_ != 0;
       index = NextIndex(index)) {
    const std::size_t home = HomeIndex(entries_[index].key_);
    const std::size_t distanceFromHome = (index + capacity - home) % capacity;
    const std::size_t distanceFromHole = (index + capacity - hole) % capacity;
    if (distanceFromHome >= distanceFromHole) {
      entries_[hole] = entries_[index];
      hole = index;
    }
  }
  entries_[hole] = Entry{};
  --size_;
  return true;
}

std::size_t
BlockTable::MemoryBytes() const
{
  return entries_.capacity() * sizeof(Entry);
}

void
BlockTable::Rebuild(std::size_t aCapacity)
{
  std::vector<Entry> old(aCapacity);
  old.swap(entries_);
  size_ = 0;
  for (const Entry& entry : old) {
    if (entry.key_ != 0) {
      Set(entry.key_, entry.sites_);
    }
  }
}

}
