#include "base/BoundedCbor.h"

#include <catch2/catch.hpp>
#include <string>

using namespace peridotsail;

// Guards against messages that exhaust the stack or the memory.
TEST_CASE("CBOR that is malformed, too deep or too large is refused")
{
  const std::string nested("\x81\x81\x81\x01", 4);
  CHECK(DecodeBoundedCbor(nested, 3));
  CHECK_FALSE(DecodeBoundedCbor(nested, 2));
  CHECK_FALSE(DecodeBoundedCbor(std::string(1'000'000, '\x81'), 8));
  CHECK_FALSE(DecodeBoundedCbor("", 8));
  CHECK_FALSE(DecodeBoundedCbor("\x82\x01", 8));
  // An array that claims 2^62 elements.
  CHECK_FALSE(DecodeBoundedCbor(std::string("\x9b\x40\0\0\0\0\0\0\0", 9), 8));
}
