#include "config/ConfigurationChange.h"

#include "config/DocumentEdit.h"
#include "config/testing/TestDocument.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace peridotsail;

namespace {

// A store whose writes may be applied late and whose answers may be lost.
class FaultyStore
{
public:
  explicit FaultyStore(unsigned aSeed)
    : random_(aSeed)
  {
  }

  StoredConfiguration Read() { return current_; }

  bool Apply(const ConfigurationWrite& aWrite)
  {
    if (aWrite.modRevision_ != current_.modRevision_) {
      return false;
    }
    current_ = { aWrite.record_, ++revision_ };
    history_[aWrite.version_] = aWrite.record_;
    return true;
  }

  // Carries out one step of the change with faults.
  void Carry(ConfigurationChange& aChange)
  {
    if (random_() % 8 == 0 && !late_.empty()) {
      Apply(late_.back());
      late_.pop_back();
    }
    const unsigned fault = random_() % 10;
    if (aChange.Step() == ChangeStep::Read) {
      fault == 0 ? aChange.OnStepFailed() : aChange.OnRead(Read());
    } else if (aChange.Step() == ChangeStep::ReadHistory) {
      const auto found = history_.find(aChange.Write().version_);
      fault == 0 ? aChange.OnStepFailed()
                 : aChange.OnHistory(found == history_.end()
                                       ? std::nullopt
                                       : std::optional(found->second));
    } else if (fault < 3) {
      // The answer is lost; the write has, will have or has no effect.
      if (fault == 0) {
        Apply(aChange.Write());
      } else if (fault == 1) {
        late_.push_back(aChange.Write());
      }
      aChange.OnStepFailed();
    } else {
      aChange.OnWritten(Apply(aChange.Write()));
    }
  }

  std::map<std::int64_t, std::string> history_;

private:
  std::mt19937 random_;
  StoredConfiguration current_;
  std::int64_t revision_ = 10;
  std::vector<ConfigurationWrite> late_;
};

ChangeRequest
Request(int aNumber, std::int64_t aExpected)
{
  nlohmann::json document = testing::MakeDocument(2, 1);
  document["customers"][0]["burst"] = aNumber;
  return { "operator", std::to_string(aNumber), document.dump(), aExpected, 0 };
}

// A third operator's change on top of the version in the store.
void
CommitOnTop(FaultyStore& aStore, int aNumber)
{
  const auto stored = aStore.Read();
  const std::int64_t version =
    stored.record_ ? ParseRecord(*stored.record_)->version_ : 0;
  ConfigurationChange change(Request(aNumber, version));
  change.OnRead(stored);
  change.OnWritten(aStore.Apply(change.Write()));
}

bool
IsWinner(const FaultyStore& aStore, int aNumber)
{
  for (const auto& [version, record] : aStore.history_) {
    if (ParseRecord(record)->attempt_ == std::to_string(aNumber)) {
      return true;
    }
  }
  return false;
}

}

// Guards against two operators who both believe that they won, and against an
// operator who is told a wrong outcome after a lost answer.
TEST_CASE("racing operators: the reported outcomes are true")
{
  int conflicts = 0;
  int committed = 0;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    FaultyStore store(seed);
    std::mt19937 random(seed);
    std::int64_t expected = 0;
    int third = 1000;
    for (int round = 0; round < 4; ++round) {
      ConfigurationChange a(Request(round * 2 + 1, expected));
      ConfigurationChange b(Request(round * 2 + 2, expected));
      while (a.Step() != ChangeStep::Done || b.Step() != ChangeStep::Done) {
        ConfigurationChange& turn =
          (random() % 2 == 0 && a.Step() != ChangeStep::Done) ||
              b.Step() == ChangeStep::Done
            ? a
            : b;
        store.Carry(turn);
        if (random() % 8 == 0) {
          CommitOnTop(store, ++third);
        }
      }
      const ChangeResult results[] = { a.Outcome().result_,
                                       b.Outcome().result_ };
      for (int i = 0; i < 2; ++i) {
        const bool won = IsWinner(store, round * 2 + 1 + i);
        committed += results[i] == ChangeResult::Committed ? 1 : 0;
        conflicts += results[i] == ChangeResult::Conflict ? 1 : 0;
        CHECK((results[i] != ChangeResult::Committed || won));
        CHECK((results[i] != ChangeResult::Conflict || !won));
        CHECK((results[i] != ChangeResult::StoreUnreachable || !won));
      }
      CHECK_FALSE((results[0] == ChangeResult::Committed &&
                   results[1] == ChangeResult::Committed));
      const auto stored = store.Read();
      expected = stored.record_ ? ParseRecord(*stored.record_)->version_ : 0;
    }
  }
  CHECK(committed > 100);
  CHECK(conflicts > 100);
}

TEST_CASE("a change that needs no write or may not write does not write")
{
  FaultyStore store(1);
  ConfigurationChange first(Request(1, 0));
  first.OnRead(store.Read());
  first.OnWritten(store.Apply(first.Write()));
  REQUIRE(first.Outcome().record_.version_ == 1);

  // Applying the document in force again succeeds whatever was expected.
  ConfigurationChange again(Request(1, 0));
  again.OnRead(store.Read());
  CHECK(again.Outcome().result_ == ChangeResult::Unchanged);

  ConfigurationChange stale(Request(2, 0));
  stale.OnRead(store.Read());
  CHECK(stale.Outcome().result_ == ChangeResult::Conflict);
  CHECK(stale.Outcome().record_.attempt_ == "1");

  ChangeRequest faulty = Request(3, 1);
  faulty.document_ = "{}";
  CHECK(ConfigurationChange(faulty).Outcome().result_ == ChangeResult::Invalid);

  // A store that was restored to an older state: hosts have version 9.
  ChangeRequest restored = Request(4, 1);
  restored.inForceVersion_ = 9;
  ConfigurationChange above(restored);
  above.OnRead(store.Read());
  CHECK(above.Write().version_ == 10);
}

TEST_CASE("edits of keys keep the document valid and show as differences")
{
  const std::string document = testing::MakeDocument(3, 1).dump();
  const IssuedKey key = MakeKey();
  const auto added = AddKey(document, "customer-1", key);
  REQUIRE(added);
  CHECK(added->find(key.secret_) == std::string::npos);
  CHECK_FALSE(AddKey(document, "nobody", key));
  CHECK_FALSE(AddKey(*added, "customer-1", key));
  const auto withdrawn = WithdrawKeys(*added, { key.id_, "unknown" });
  REQUIRE(withdrawn);
  const auto rows = CompareDocuments(*added, *withdrawn);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].section_ == "keys");
  CHECK(rows[0].item_ == key.id_);
  CHECK(CompareDocuments(document, *added).at(0).left_.empty());
}
