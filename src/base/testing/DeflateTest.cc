#include "base/Deflate.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

std::string
Text(std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += "{\"prefix\":\"/route" + std::to_string(text.size()) + "/\"},";
  }
  text.resize(aBytes);
  return text;
}

}

// Guards against values that change when they are compressed, of any size.
TEST_CASE("Compressed bytes are restored")
{
  for (const std::size_t size : { 0, 1, 100, 70'000, 1'000'000 }) {
    INFO(size << " bytes");
    const std::string text = Text(size);
    const std::string packed = Deflate(text);
    CHECK(Inflate(packed, size) == text);
    CHECK((size < 1000 || packed.size() < size / 2));
  }
}

// Guards against malformed input that is accepted, or that takes more memory
// than the caller allows.
TEST_CASE("Malformed compressed bytes are rejected")
{
  const std::string text = Text(5000);
  const std::string packed = Deflate(text);
  CHECK_FALSE(Inflate(packed, text.size() - 1));
  CHECK_FALSE(Inflate(packed, text.size() + 1));
  CHECK_FALSE(Inflate(packed, 0));
  for (std::size_t size = 0; size < packed.size(); ++size) {
    CHECK_FALSE(Inflate(packed.substr(0, size), text.size()));
  }
  CHECK_FALSE(Inflate("\xff\xff\xff\xff", 4));
}
