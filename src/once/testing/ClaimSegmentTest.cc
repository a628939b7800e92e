#include "once/ClaimSegment.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

ClaimSegment
Sample()
{
  ClaimSegment segment;
  segment.epoch_ = 7;
  segment.sequence_ = 9;
  segment.attempt_ = "host-9";
  segment.mappingSignature_ = UINT64_MAX;
  segment.inDoubtFor_ = std::chrono::seconds(600);
  const std::string body("\x00\xff{}", 4);
  segment.entries_.push_back({ HashIdempotencyKey("c", "k"),
                               FingerprintRequest("POST", "/stamps", "x"),
                               (7ULL << 32) | 1,
                               ClaimStage::Done,
                               std::chrono::milliseconds(1500),
                               { 201, "text/plain", body, true } });
  ClaimEntry claimed = segment.entries_[0];
  claimed.stage_ = ClaimStage::Claimed;
  claimed.outcome_ = { 0, "", "", false };
  segment.entries_.push_back(claimed);
  return segment;
}

}

// The next holder of a slot must be able to read the records of the previous
// one.
TEST_CASE("a segment decodes to what was encoded")
{
  std::string reason;
  const auto read = ClaimSegment::Decode(Sample().Encode(), reason);
  INFO(reason);
  REQUIRE(read);
  CHECK(read->Encode() == Sample().Encode());
  CHECK(read->mappingSignature_ == UINT64_MAX);
  CHECK(read->entries_[0].outcome_.body_ ==
        Sample().entries_[0].outcome_.body_);
  CHECK(read->entries_[0].Supersedes(read->entries_[1]));
  CHECK_FALSE(read->entries_[1].Supersedes(read->entries_[0]));
  CHECK_FALSE(read->entries_[1].outcome_.bodyKept_);
}

// A bound that is too small would let a record exceed the store's size limit.
TEST_CASE("EncodedBound is not smaller than the encoded size of an entry")
{
  ClaimSegment segment = Sample();
  segment.entries_[0].outcome_.body_.assign(kMaxOutcomeBody, 'x');
  segment.entries_[0].outcome_.contentType_.assign(kMaxContentType, 'y');
  const std::size_t empty = ClaimSegment().Encode().size();
  for (const ClaimEntry& entry : segment.entries_) {
    ClaimSegment one;
    one.entries_.push_back(entry);
    CHECK(one.Encode().size() - empty <= entry.EncodedBound());
  }
}

// A damaged record must not crash the process.
TEST_CASE("malformed records are refused")
{
  const std::string good = Sample().Encode();
  std::string reason;
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(ClaimSegment::Decode(good.substr(0, size), reason));
  }
  CHECK_FALSE(ClaimSegment::Decode(good + "x", reason));
  CHECK_FALSE(ClaimSegment::Decode(std::string(900'000, '\x81'), reason));
  CHECK_FALSE(ClaimSegment::Decode(std::string("\x9b\x7f\xff\xff\xff\xff\xff"
                                               "\xff\xff",
                                               9),
                                   reason));
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = good;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    ClaimSegment::Decode(damaged, reason);
  }
}
