#pragma once

// How much memory a body of unknown length reserves.

#include <algorithm>
#include <cstddef>

namespace peridotsail {

// What such a body reserves first, in bytes.
constexpr std::size_t kMinBodyBytes = 4 << 10;

// Returns what a body that needs aBytes reserves. Doubling lets one of several
// bodies end, where small steps would let each grow a little and none end.
inline std::size_t
BytesToGrow(std::size_t aBytes, std::size_t aMaxBody)
{
  std::size_t bytes = kMinBodyBytes;
  while (bytes < aBytes) {
    bytes *= 2;
  }
  return std::max(aBytes, std::min(bytes, aMaxBody));
}

}
