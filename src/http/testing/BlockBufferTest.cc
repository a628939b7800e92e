#include "http/BlockBuffer.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

std::string
Join(const BlockBuffer& aBuffer)
{
  std::string text;
  for (const std::string_view block : aBuffer.Blocks()) {
    text += block;
  }
  return text;
}

}

// Guards against bytes that are lost, doubled or reordered between blocks, and
// against more memory than was announced to the account.
TEST_CASE("A block buffer keeps its bytes within the announced capacity")
{
  constexpr unsigned kSeed = 7;
  INFO("seed " << kSeed);
  std::mt19937 random(kSeed);
  for (const bool expected : { false, true }) {
    std::string text;
    BlockBuffer buffer;
    std::vector<std::string> pieces;
    for (int i = 0; i < 60; ++i) {
      pieces.emplace_back(random() % 9000, static_cast<char>('a' + i % 26));
      text += pieces.back();
    }
    if (expected) {
      buffer.Expect(text.size());
    }
    for (const std::string& piece : pieces) {
      const std::size_t announced = buffer.CapacityAfter(piece.size());
      buffer.Append(piece.data(), piece.size());
      CHECK(buffer.CapacityAfter(0) == announced);
      CHECK(announced - buffer.Size() <= 64 << 10);
    }
    CHECK(Join(buffer) == text);
    CHECK(buffer.Size() == text.size());
    CHECK(buffer.Prefix(256) == text.substr(0, 256));
    CHECK(buffer.Prefix(1 << 30) == text);
    if (expected) {
      CHECK(buffer.CapacityAfter(0) == text.size());
    }
  }
  CHECK(BlockBuffer().Prefix(256).empty());
}
