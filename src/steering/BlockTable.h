#pragma once

// Maps client blocks to the regions or sites that are nearest to them, in
// order, at the target size of 2 million blocks and 860 sites. Open addressing
// with linear probing in one array; kBytesPerEntry at a load factor of at most
// kMaxLoadFactor, so a table that was reserved for its number of blocks needs
// kBytesPerEntry / kMaxLoadFactor bytes a block.
//
//   BlockTable table(2'000'000);
//   table.Set(BlockKey("203.0.113.0/24"), { 4, 17, 2 });
//   const BlockTable::Sites* sites = table.Find(BlockKey(block));
//
// Blocks are compared by a 64-bit hash. Two of 2 million blocks share one with
// a probability of about 1e-7; the second of them is then steered like the
// first, which costs distance and nothing else.

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace peridotsail {

// The key of a client block; never 0.
std::uint64_t
BlockKey(std::string_view aBlock);

class BlockTable
{
public:
  static constexpr std::size_t kMaxSites = 8;
  static constexpr std::uint16_t kNoSite = 0xffff;
  static constexpr double kMaxLoadFactor = 0.8;
  // Site indexes, nearest first; kNoSite ends a shorter list.
  using Sites = std::array<std::uint16_t, kMaxSites>;

  // Reserves room for the number of blocks; the table grows beyond it.
  explicit BlockTable(std::size_t aBlockCount = 0);

  // Sites after the first kMaxSites are dropped.
  void Set(std::uint64_t aKey, std::initializer_list<std::uint16_t> aSites);
  void Set(std::uint64_t aKey, const Sites& aSites);
  // Null when the block is unknown; valid until the next change.
  const Sites* Find(std::uint64_t aKey) const;
  // Returns false when the block is unknown.
  bool Erase(std::uint64_t aKey);
  std::size_t size() const { return size_; }
  // Bytes of the array, with its free entries.
  std::size_t MemoryBytes() const;

private:
  struct Entry
  {
    std::uint64_t key_ = 0;
    Sites sites_{};
  };

  std::size_t HomeIndex(std::uint64_t aKey) const;
  std::size_t NextIndex(std::size_t aIndex) const;
  void Rebuild(std::size_t aCapacity);

  std::vector<Entry> entries_;
  std::size_t size_ = 0;
};

}
