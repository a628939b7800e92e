#include "base/BoundedJson.h"

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

// Guards against documents that exhaust the stack or the memory when they are
// copied or written.
TEST_CASE("JSON that is nested too deeply is rejected")
{
  const auto nested = [](int aDepth) {
    const auto depth = static_cast<std::size_t>(aDepth);
    return std::string(depth, '[') + std::string(depth, ']');
  };
  CHECK(ParseBoundedJson(nested(kMaxJsonDepth)).is_array());
  for (const std::string& text : { nested(kMaxJsonDepth + 1),
                                   nested(1000000),
                                   std::string(1000000, '['),
                                   std::string("{"),
                                   std::string("\"\xff\"") }) {
    INFO(text.substr(0, 20));
    CHECK(ParseBoundedJson(text).is_discarded());
    CHECK_THROWS_AS(ParseBoundedJsonOrThrow(text), std::runtime_error);
  }
}
