#include "base/Base64.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against values that change when written to the store and read back.
TEST_CASE("Base64 preserves all bytes and rejects invalid text")
{
  for (const std::string& bytes : { std::string(),
                                    std::string("a"),
                                    std::string("ab"),
                                    std::string("abc"),
                                    std::string("\0\xff\0", 3) }) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("a*c="));
}
