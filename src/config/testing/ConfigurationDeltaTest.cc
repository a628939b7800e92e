#include "config/ConfigurationDelta.h"

#include "config/testing/TestDocument.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;
using nlohmann::json;

namespace {

SnapshotPtr
Snapshot(std::int64_t aVersion, const json& aDocument)
{
  std::vector<ConfigurationFault> faults;
  SnapshotPtr snapshot = MakeSnapshot(aVersion, aDocument.dump(), faults);
  INFO(DescribeFaults(faults));
  REQUIRE(snapshot);
  return snapshot;
}

// Changes a random item; the document stays valid.
void
ApplyRandomChange(json& aDocument, std::mt19937& aRandom)
{
  json& keys = aDocument["keys"];
  json& customers = aDocument["customers"];
  const std::size_t at = aRandom() % keys.size();
  switch (aRandom() % 5) {
    case 0:
      keys[at]["withdrawn"] = !keys[at]["withdrawn"].get<bool>();
      break;
    case 1:
      keys.erase(at);
      break;
    case 2:
      customers[aRandom() % customers.size()]["rate_per_second"] =
        aRandom() % 1000;
      break;
    case 3:
      aDocument["drains"] = json::array(
        { { { "kind", "host" }, { "name", std::to_string(aRandom()) } } });
      break;
    default:
      std::shuffle(keys.begin(), keys.end(), aRandom);
      aDocument.erase("drains");
      break;
  }
}

}

// Guards against a host whose document differs from the committed one after a
// series of deltas, and against a hash that depends on the order of items.
TEST_CASE("random chains of deltas give the committed documents")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    json document = testing::MakeDocument(30, 3);
    SnapshotPtr last = Snapshot(1, document);
    for (std::int64_t version = 2; version < 20; ++version) {
      ApplyRandomChange(document, random);
      const SnapshotPtr next = Snapshot(version, document);
      const DeltaOutcome outcome =
        ApplyDelta(last.get(), EncodeDelta(last.get(), *next));
      REQUIRE(outcome.result_ == DeltaResult::Applied);
      CHECK(outcome.snapshot_->document_ == next->document_);
      CHECK(outcome.snapshot_->hash_ == next->hash_);
      last = next;
    }
  }
}

// Guards against applying a delta to the wrong base, which would produce a
// document that was never committed.
TEST_CASE("a delta that does not fit is told apart by its reason")
{
  json document = testing::MakeDocument(3, 1);
  const SnapshotPtr first = Snapshot(1, document);
  document["customers"][0]["burst"] = 7;
  const SnapshotPtr second = Snapshot(2, document);
  const SnapshotPtr otherFirst = Snapshot(1, document);
  const std::string bytes = EncodeDelta(first.get(), *second);
  CHECK(ApplyDelta(nullptr, bytes).result_ == DeltaResult::WrongBase);
  CHECK(ApplyDelta(second.get(), bytes).result_ == DeltaResult::WrongBase);
  CHECK(ApplyDelta(otherFirst.get(), bytes).result_ == DeltaResult::WrongBase);

  json delta = json::from_cbor(bytes);
  const auto apply = [&](const json& aDelta) {
    const std::vector<std::uint8_t> cbor = json::to_cbor(aDelta);
    return ApplyDelta(first.get(), std::string(cbor.begin(), cbor.end()))
      .result_;
  };
  CHECK(apply(delta) == DeltaResult::Applied);
  delta["p"]["customers"]["customer-1"]["burst"] = 8;
  CHECK(apply(delta) == DeltaResult::WrongHash);
  delta["p"]["customers"] = 7;
  CHECK(apply(delta) == DeltaResult::WrongHash);
  delta.erase("h");
  CHECK(apply(delta) == DeltaResult::Malformed);
}

// Guards against input from a peer that crashes the process; a megabyte of
// nested arrays would overflow the stack of a recursive parser.
TEST_CASE("malformed deltas are refused")
{
  const SnapshotPtr base = Snapshot(1, testing::MakeDocument(3, 1));
  CHECK(ApplyDelta(base.get(), "").result_ == DeltaResult::Malformed);
  CHECK(ApplyDelta(base.get(), std::string(1'000'000, '\x81')).result_ ==
        DeltaResult::Malformed);
  std::string bytes = EncodeDelta(nullptr, *base);
  std::mt19937 random(1);
  for (int i = 0; i < 300; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const DeltaOutcome outcome = ApplyDelta(nullptr, damaged);
    INFO("seed 1, round " << i);
    CHECK((outcome.result_ != DeltaResult::Applied ||
           outcome.snapshot_->hash_ == base->hash_));
  }
}

// Guards the network traffic at the target size: the size of a delta does not
// depend on the size of the document.
TEST_CASE("a change of one key costs under 300 bytes in any document")
{
  for (const int customers : { 10, 100, 1000 }) {
    json document = testing::MakeDocument(customers);
    const SnapshotPtr base = Snapshot(1, document);
    document["keys"][5]["withdrawn"] = true;
    const SnapshotPtr target = Snapshot(2, document);
    CHECK(EncodeDelta(base.get(), *target).size() < 300);
  }
}
