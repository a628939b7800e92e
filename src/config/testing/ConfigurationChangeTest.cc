#include "config/ConfigurationChange.h"

#include "config/DocumentEdit.h"
#include "config/testing/TestDocument.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace peridotsail;

namespace {

// A store whose writes may be delayed and whose responses may be lost.
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

  // Executes one step of the change, with random faults.
  void ExecuteStep(ConfigurationChange& aChange)
  {
    if (random_() % 8 == 0 && !delayedWrites_.empty()) {
      Apply(delayedWrites_.back());
      delayedWrites_.pop_back();
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
      // The response is lost; the write has taken effect, will take effect
      // later or never does.
      if (fault == 0) {
        Apply(aChange.Write());
      } else if (fault == 1) {
        delayedWrites_.push_back(aChange.Write());
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
  std::vector<ConfigurationWrite> delayedWrites_;
};

ChangeRequest
MakeRequest(int aNumber, std::int64_t aExpected)
{
  nlohmann::json document = testing::MakeDocument(2, 1);
  document["customers"][0]["burst"] = aNumber;
  return { "operator", std::to_string(aNumber), document.dump(), aExpected, 0 };
}

// Commits another operator's change on top of the latest version in the store.
void
CommitOverLatest(FaultyStore& aStore, int aNumber)
{
  const auto stored = aStore.Read();
  const std::int64_t version =
    stored.record_ ? ParseRecord(*stored.record_)->version_ : 0;
  ConfigurationChange change(MakeRequest(aNumber, version));
  change.OnRead(stored);
  change.OnWritten(aStore.Apply(change.Write()));
}

bool
WasCommitted(const FaultyStore& aStore, int aNumber)
{
  for (const auto& [version, record] : aStore.history_) {
    if (ParseRecord(record)->attempt_ == std::to_string(aNumber)) {
      return true;
    }
  }
  return false;
}

}

// Guards against two operators who are both told that their change was
// committed, and against a wrong outcome after a lost response.
TEST_CASE("racing operators: the reported outcomes are true")
{
  int conflicts = 0;
  int committed = 0;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    FaultyStore store(seed);
    std::mt19937 random(seed);
    std::int64_t expected = 0;
    int otherNumber = 1000;
    for (int round = 0; round < 4; ++round) {
      ConfigurationChange a(MakeRequest(round * 2 + 1, expected));
      ConfigurationChange b(MakeRequest(round * 2 + 2, expected));
      while (a.Step() != ChangeStep::Done || b.Step() != ChangeStep::Done) {
        ConfigurationChange& change =
          (random() % 2 == 0 && a.Step() != ChangeStep::Done) ||
              b.Step() == ChangeStep::Done
            ? a
            : b;
        store.ExecuteStep(change);
        if (random() % 8 == 0) {
          CommitOverLatest(store, ++otherNumber);
        }
      }
      const ChangeResult results[] = { a.Outcome().result_,
                                       b.Outcome().result_ };
      for (int i = 0; i < 2; ++i) {
        const bool won = WasCommitted(store, round * 2 + 1 + i);
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
  ConfigurationChange first(MakeRequest(1, 0));
  first.OnRead(store.Read());
  first.OnWritten(store.Apply(first.Write()));
  REQUIRE(first.Outcome().record_.version_ == 1);

  // Committing the active document again succeeds regardless of the expected
  // version.
  ConfigurationChange again(MakeRequest(1, 0));
  again.OnRead(store.Read());
  CHECK(again.Outcome().result_ == ChangeResult::Unchanged);

  ConfigurationChange stale(MakeRequest(2, 0));
  stale.OnRead(store.Read());
  CHECK(stale.Outcome().result_ == ChangeResult::Conflict);
  CHECK(stale.Outcome().record_.attempt_ == "1");

  ChangeRequest faulty = MakeRequest(3, 1);
  faulty.document_ = "{}";
  CHECK(ConfigurationChange(faulty).Outcome().result_ == ChangeResult::Invalid);

  // The store was restored to an older state; the active version on the hosts
  // is 9.
  ChangeRequest restored = MakeRequest(4, 1);
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
