#pragma once

// Bytes of a message body in blocks. Unlike a string, it is never copied when
// it grows, so its memory is at most one block larger than its content.
//
//   BlockBuffer body;
//   body.Append(data, size);
//   for (std::string_view block : body.Blocks()) { ... }

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

class BlockBuffer
{
public:
  // Announces the final size, so that the last block is no larger than needed.
  void Expect(std::size_t aBytes) { expected_ = aBytes; }
  void Append(const char* aData, std::size_t aBytes);
  std::size_t Size() const { return size_; }
  // Returns the bytes of all blocks after appending aBytes.
  std::size_t CapacityAfter(std::size_t aBytes) const;
  // Returns the content as views, which stay valid until the next change.
  std::vector<std::string_view> Blocks() const;
  std::size_t BlockCount() const { return blocks_.size(); }
  // Returns a block; the same as Blocks()[aIndex].
  std::string_view Block(std::size_t aIndex) const
  {
    return { blocks_[aIndex].bytes_.get(), blocks_[aIndex].size_ };
  }
  // Returns the first aBytes bytes, or all if there are fewer.
  std::string Prefix(std::size_t aBytes) const;

private:
  struct BlockData
  {
    std::unique_ptr<char[]> bytes_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
  };

  std::size_t NextBlockBytes(std::size_t aCapacity) const;

  std::vector<BlockData> blocks_;
  std::size_t size_ = 0;
  std::size_t capacity_ = 0;
  std::size_t expected_ = 0;
};

}
