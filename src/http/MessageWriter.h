#pragma once

// Writes heads and chunked bodies as text. A head is written as one buffer:
// Beast's serializer has a buffer for each part of each field, and its work
// grows with the square of their number when the system accepts only some of
// them at once.

#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>

namespace peridotsail::detail {

inline void
AppendField(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

// The bytes around a part of a body with chunked transfer coding.
struct ChunkFrame
{
  std::string before_;
  std::string after_;
};

// aLast tells whether the part is the last one; it may be empty.
inline ChunkFrame
FrameChunk(std::size_t aBytes, bool aLast)
{
  ChunkFrame frame;
  if (aBytes > 0) {
    char size[2 * sizeof(aBytes) + 1];
    std::snprintf(size, sizeof(size), "%zx", aBytes);
    frame.before_ = std::string(size) + "\r\n";
    frame.after_ = "\r\n";
  }
  if (aLast) {
    frame.after_ += "0\r\n\r\n";
  }
  return frame;
}

}
