#pragma once

// Maps client address blocks to their nearest regions or sites, nearest first.
// Designed for 2 million blocks and 860 sites. The table is one array with open
// addressing and linear probing and a load factor of at most kMaxLoadFactor, so
// a table that is reserved for its number of blocks needs sizeof(Entry) /
// kMaxLoadFactor bytes per block.
//
//   BlockTable table(2'000'000);
//   table.Set(BlockKey("203.0.113.0/24"), { 4, 17, 2 });
//   const BlockTable::Sites* sites = table.Find(BlockKey(block));
//
// Blocks are identified by a 64-bit hash only. The probability that any two of
// 2 million blocks collide is about 1e-7. A colliding block is steered like the
// other one, which can increase its latency but is otherwise harmless.

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace peridotsail {

// Hashes a client block to its table key, which is never 0.
std::uint64_t
BlockKey(std::string_view aBlock);

class BlockTable
{
public:
  static constexpr std::size_t kMaxSites = 8;
  static constexpr std::uint16_t kNoSite = 0xffff;
  static constexpr double kMaxLoadFactor = 0.8;
  // Site indexes, nearest first. A list shorter than kMaxSites ends with
  // kNoSite.
  using Sites = std::array<std::uint16_t, kMaxSites>;

  // Reserves space for the given number of blocks. The table grows when needed.
  explicit BlockTable(std::size_t aBlockCount = 0);

  // Inserts or replaces an entry. Sites after the first kMaxSites are ignored.
  void Set(std::uint64_t aKey, std::initializer_list<std::uint16_t> aSites);
  void Set(std::uint64_t aKey, const Sites& aSites);
  // Returns null when the block is not in the table. The pointer is valid until
  // the table is modified.
  const Sites* Find(std::uint64_t aKey) const;
  // Returns false when the block is not in the table.
  bool Erase(std::uint64_t aKey);
  std::size_t size() const { return size_; }
  // Returns the size of the array in bytes, including free entries.
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
