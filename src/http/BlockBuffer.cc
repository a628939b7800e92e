#include "http/BlockBuffer.h"

#include <algorithm>
#include <cstring>

namespace peridotsail {

namespace {

constexpr std::size_t kFirstBlockBytes = 4 << 10;
constexpr std::size_t kBlockBytes = 64 << 10;

}

// Returns the size of the block that follows blocks of aCapacity bytes.
std::size_t
BlockBuffer::NextBlockBytes(std::size_t aCapacity) const
{
  if (expected_ > aCapacity) {
    return std::min(expected_ - aCapacity, kBlockBytes);
  }
  return aCapacity == 0 ? kFirstBlockBytes : kBlockBytes;
}

void
BlockBuffer::Append(const char* aData, std::size_t aBytes)
{
  while (aBytes > 0) {
    if (size_ == capacity_) {
      const std::size_t bytes = NextBlockBytes(capacity_);
      blocks_.push_back({ std::unique_ptr<char[]>(new char[bytes]), 0, bytes });
      capacity_ += bytes;
    }
    BlockData& block = blocks_.back();
    const std::size_t bytes = std::min(aBytes, block.capacity_ - block.size_);
    std::memcpy(block.bytes_.get() + block.size_, aData, bytes);
    block.size_ += bytes;
    size_ += bytes;
    aData += bytes;
    aBytes -= bytes;
  }
}

std::size_t
BlockBuffer::CapacityAfter(std::size_t aBytes) const
{
  std::size_t capacity = capacity_;
  while (capacity < size_ + aBytes) {
    capacity += NextBlockBytes(capacity);
  }
  return capacity;
}

std::vector<std::string_view>
BlockBuffer::Blocks() const
{
  std::vector<std::string_view> blocks;
  blocks.reserve(blocks_.size());
  for (const BlockData& block : blocks_) {
    blocks.emplace_back(block.bytes_.get(), block.size_);
  }
  return blocks;
}

std::string
BlockBuffer::Prefix(std::size_t aBytes) const
{
  std::string text;
  for (const BlockData& block : blocks_) {
    const std::size_t missing = aBytes - text.size();
    text.append(block.bytes_.get(), std::min(block.size_, missing));
  }
  return text;
}

}
