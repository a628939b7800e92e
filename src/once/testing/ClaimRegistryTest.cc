#include "once/testing/ClaimLoad.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace peridotsail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Verdict = ClaimVerdict;

// A registry with a store whose answers the test chooses.
class RegistryFixture
{
public:
  explicit RegistryFixture(std::uint64_t aEpoch = 1,
                           bool aMayHaveContinued = false,
                           const std::vector<LoadedRecord>& aRecords = {})
  {
    leaseTerm_.slot_ = "north/0";
    leaseTerm_.epoch_ = aEpoch;
    leaseTerm_.validUntil_ = now_ + std::chrono::hours(24);
    leaseTerm_.predecessorMayHaveContinued_ = aMayHaveContinued;
    ClaimRegistryOptions options;
    options.incarnation_ = "i" + std::to_string(aEpoch);
    options.maxClaims_ = 3000;
    registry_ = std::make_unique<ClaimRegistry>(options, leaseTerm_);
    for (const LoadedRecord& record : aRecords) {
      store_[record.key_] = record.value_;
    }
    registry_->Load(aRecords, {}, now_);
  }

  Verdict Begin(const std::string& aKey,
                const std::string& aFingerprint = "f",
                bool aMoved = false)
  {
    lastDecision_ =
      registry_->Begin({ aKey, aFingerprint, ++ticket_, aMoved }, now_);
    return lastDecision_.verdict_;
  }

  // Answers all due operations with aKind.
  void AnswerStore(StoreAnswerKind aKind = StoreAnswerKind::Written)
  {
    for (const StoreOperation& operation : registry_->Poll(now_)) {
      kinds_.push_back(operation.kind_);
      if (aKind == StoreAnswerKind::Written) {
        store_[operation.record_.key_] = operation.record_.value_;
        for (const std::string& key : operation.record_.deletes_) {
          store_.erase(key);
        }
      }
      registry_->OnStoreAnswer(
        { operation.id_, aKind, operation.record_.attempt_ }, now_);
    }
  }

  void Advance(Duration aDuration) { now_ += aDuration; }

  std::vector<Verdict> Decisions()
  {
    std::vector<Verdict> verdicts;
    for (const ClaimDecision& decision : registry_->TakeDecisions()) {
      verdicts.push_back(decision.verdict_);
    }
    return verdicts;
  }

  // Claims the key, commits the claim and finishes its execution.
  void RunToCompletion(const std::string& aKey,
                       RunResult aResult = RunResult::Complete)
  {
    REQUIRE(Begin(aKey) == Verdict::Wait);
    Advance(milliseconds(25));
    AnswerStore();
    REQUIRE(Decisions() == std::vector<Verdict>{ Verdict::Execute });
    registry_->Finish(
      aKey, ticket_, aResult, { 201, "text/plain", "done", true }, now_);
  }

  std::vector<LoadedRecord> Records() const
  {
    std::vector<LoadedRecord> records;
    for (const auto& [key, value] : store_) {
      records.push_back({ key, value });
    }
    return records;
  }

  TimePoint now_{ std::chrono::hours(1) };
  SlotLeaseTerm leaseTerm_;
  std::unique_ptr<ClaimRegistry> registry_;
  std::map<std::string, std::string> store_;
  std::vector<StoreOperationKind> kinds_;
  ClaimDecision lastDecision_;
  std::uint64_t ticket_ = 0;
};

}

// The execution must not start before the claim is in the store. Covers each
// answer to a repeated request.
TEST_CASE("a request is executed after its claim is committed, then replayed")
{
  RegistryFixture fixture;
  CHECK(fixture.Begin("k") == Verdict::Wait);
  CHECK(fixture.Decisions().empty());
  CHECK(fixture.Begin("k") == Verdict::InProgress);
  CHECK_FALSE(fixture.registry_->MayStart("k", 1, fixture.now_));
  fixture.AnswerStore();
  CHECK(fixture.Decisions() == std::vector<Verdict>{ Verdict::Execute });
  CHECK(fixture.registry_->MayStart("k", 1, fixture.now_));
  CHECK(fixture.Begin("k") == Verdict::InProgress);
  fixture.registry_->Finish("k",
                            1,
                            RunResult::Complete,
                            { 201, "text/plain", "done", true },
                            fixture.now_);
  CHECK(fixture.Begin("k") == Verdict::Replay);
  CHECK(fixture.lastDecision_.outcome_.status_ == 201);
  CHECK(fixture.lastDecision_.outcome_.body_ == "done");
  CHECK(fixture.Begin("k", "other") == Verdict::KeyReused);
  fixture.Advance(seconds(601));
  CHECK(fixture.Begin("k") == Verdict::Wait);
}

// Limits the number of store writes: claims that arrive while a write is in
// flight, or within 25 ms of the previous one, share the next write.
TEST_CASE("claims that arrive during a write are committed as one group")
{
  RegistryFixture fixture;
  fixture.Begin("first");
  const auto first = fixture.registry_->Poll(fixture.now_);
  REQUIRE(first.size() == 1);
  for (int i = 0; i < 50; ++i) {
    fixture.Begin("k" + std::to_string(i));
    fixture.Advance(milliseconds(1));
    CHECK(fixture.registry_->Poll(fixture.now_).empty());
  }
  fixture.registry_->OnStoreAnswer(
    { first[0].id_, StoreAnswerKind::Written, "" }, fixture.now_);
  CHECK(fixture.Decisions().size() == 1);
  fixture.AnswerStore();
  CHECK(fixture.Decisions().size() == 50);
  CHECK(fixture.registry_->StoreWrites() == 2);
  fixture.Begin("late");
  fixture.Advance(milliseconds(24));
  CHECK(fixture.registry_->Poll(fixture.now_).empty());
  fixture.Advance(milliseconds(1));
  CHECK(fixture.registry_->Poll(fixture.now_).size() == 1);
}

// A request must not be executed while its claim may be missing from the store.
TEST_CASE("a lost answer is read back and a refused write fences the registry")
{
  using Kind = StoreAnswerKind;
  struct Case
  {
    std::vector<Kind> answers_;
    Verdict verdict_;
  };
  const std::vector<Case> cases{
    { { Kind::Refused }, Verdict::NotHolder },
    { { Kind::Lost, Kind::Absent, Kind::Written }, Verdict::Execute },
    { { Kind::Lost, Kind::Lost, Kind::Absent, Kind::Refused, Kind::Absent },
      Verdict::NotHolder },
  };
  for (const Case& test : cases) {
    RegistryFixture fixture;
    fixture.Begin("k");
    for (const Kind kind : test.answers_) {
      CHECK(fixture.Decisions().empty());
      fixture.AnswerStore(kind);
      fixture.Advance(seconds(3));
    }
    CHECK(fixture.Decisions() == std::vector<Verdict>{ test.verdict_ });
    const bool fenced = test.verdict_ == Verdict::NotHolder;
    CHECK(fixture.registry_->IsFenced() == fenced);
    CHECK((fixture.Begin("other") == Verdict::NotHolder) == fenced);
  }
  for (const bool own : { true, false }) {
    RegistryFixture fixture;
    fixture.Begin("k");
    const auto write = fixture.registry_->Poll(fixture.now_);
    fixture.registry_->OnStoreAnswer({ write[0].id_, Kind::Lost, "" },
                                     fixture.now_);
    fixture.Advance(seconds(1));
    const auto read = fixture.registry_->Poll(fixture.now_);
    REQUIRE(read[0].kind_ == StoreOperationKind::ReadBack);
    fixture.registry_->OnStoreAnswer(
      { read[0].id_, Kind::Found, own ? write[0].record_.attempt_ : "x" },
      fixture.now_);
    CHECK(fixture.Decisions() ==
          std::vector<Verdict>{ own ? Verdict::Execute : Verdict::NotHolder });
  }
}

// A new holder knows only the records in the store and must derive each answer
// from them.
TEST_CASE("a new holder answers from the records that it loads")
{
  RegistryFixture first;
  first.RunToCompletion("done");
  first.RunToCompletion("cut", RunResult::Unknown);
  first.RunToCompletion("released", RunResult::NotRun);
  first.Advance(seconds(1));
  first.AnswerStore();
  first.Begin("unfinished");
  first.Advance(milliseconds(25));
  first.AnswerStore();

  RegistryFixture second(2, false, first.Records());
  CHECK(second.Begin("done") == Verdict::Replay);
  CHECK(second.Begin("cut") == Verdict::OutcomeUnknown);
  CHECK(second.Begin("unfinished") == Verdict::OutcomeUnknown);
  CHECK(second.Begin("released") == Verdict::Wait);
  CHECK(second.Begin("new") == Verdict::Wait);
  CHECK(second.Begin("moved", "f", true) == Verdict::OutcomeUnknown);
}

// A key whose claim was only in the memory of a previous holder must not be
// executed again, also after several changes of holder.
TEST_CASE("unknown keys stay in doubt for the retry horizon across holders")
{
  RegistryFixture first;
  first.RunToCompletion("released", RunResult::NotRun);
  first.Advance(seconds(1));
  first.AnswerStore();
  std::vector<LoadedRecord> damaged = first.Records();
  damaged[0].value_.resize(10);
  struct Case
  {
    RegistryFixture fixture_;
    bool inDoubt_;
  };
  std::vector<Case> cases;
  cases.push_back({ RegistryFixture(2, false, first.Records()), false });
  cases.push_back({ RegistryFixture(2, true, first.Records()), true });
  cases.push_back({ RegistryFixture(2, false, damaged), true });
  // The holder of epoch 2 left no record.
  cases.push_back({ RegistryFixture(3, false, first.Records()), true });
  cases.push_back({ RegistryFixture(2, false, {}), true });
  for (Case& test : cases) {
    RegistryFixture& fixture = test.fixture_;
    CHECK((fixture.Begin("new") == Verdict::OutcomeUnknown) == test.inDoubt_);
    CHECK((fixture.Begin("released") == Verdict::OutcomeUnknown) ==
          test.inDoubt_);
    fixture.AnswerStore();
    fixture.Advance(seconds(500));
    RegistryFixture next(
      fixture.leaseTerm_.epoch_ + 1, false, fixture.Records());
    CHECK((next.Begin("late") == Verdict::OutcomeUnknown) == test.inDoubt_);
    next.Advance(seconds(601));
    CHECK(next.Begin("late") != Verdict::OutcomeUnknown);
  }
}

// Outside a confirmed outage the next holder is not told that claims may exist
// only in memory, so none may be made there.
TEST_CASE("claims are kept in memory only during a confirmed store outage")
{
  RegistryFixture fixture;
  CHECK(fixture.Begin("a") == Verdict::Wait);
  fixture.AnswerStore();
  fixture.Decisions();
  fixture.Begin("b");
  fixture.Advance(milliseconds(25));
  fixture.AnswerStore(StoreAnswerKind::Lost);
  CHECK(fixture.Decisions().empty());
  fixture.leaseTerm_.outageUntil_ = fixture.now_ + seconds(3);
  fixture.leaseTerm_.validUntil_ = fixture.now_ + seconds(3);
  fixture.registry_->Renew(fixture.leaseTerm_);
  fixture.AnswerStore(StoreAnswerKind::Lost);
  CHECK(fixture.Decisions() == std::vector<Verdict>{ Verdict::Execute });
  CHECK(fixture.Begin("c") == Verdict::Execute);
  fixture.Advance(seconds(3));
  CHECK_FALSE(fixture.registry_->MayStart("c", fixture.ticket_, fixture.now_));
  CHECK(fixture.Begin("d") == Verdict::NotHolder);
  CHECK(fixture.registry_->Unwritten(fixture.now_).size() == 3);
}

// After the lease has expired another host may execute the key, so the answer
// to a cancelled request must not report not-run.
TEST_CASE("a cancelled request counts as not run only while the lease is valid")
{
  RegistryFixture fixture;
  fixture.Begin("k");
  CHECK(fixture.registry_->Cancel("k", 1, fixture.now_) ==
        ExecutionState::NotRun);
  fixture.Begin("k");
  fixture.Advance(std::chrono::hours(24));
  CHECK(fixture.registry_->Cancel("k", 2, fixture.now_) ==
        ExecutionState::Unknown);
}

// Checks the bounds on memory, number of records and record size, and that
// compaction loses no claim.
TEST_CASE("records are compacted and expire without losing claims")
{
  RegistryFixture fixture;
  for (int i = 0; i < 3000; ++i) {
    fixture.RunToCompletion("k" + std::to_string(i));
    REQUIRE(fixture.registry_->RecordCount() <= 120);
    REQUIRE(fixture.store_.size() == fixture.registry_->RecordCount());
  }
  CHECK(fixture.Begin("one more") == Verdict::Full);
  fixture.Advance(seconds(1));
  fixture.AnswerStore();
  for (const auto& [key, value] : fixture.store_) {
    CHECK(value.size() <= kMaxSegmentBytes);
  }
  RegistryFixture next(2, false, fixture.Records());
  for (int i = 0; i < 3000; ++i) {
    REQUIRE(next.Begin("k" + std::to_string(i)) == Verdict::Replay);
  }
  for (int i = 0; i < 70; ++i) {
    next.Advance(seconds(10));
    next.AnswerStore();
  }
  CHECK(next.registry_->ClaimCount() == 0);
  CHECK(next.store_.size() <= 2);
}

// Bounds the write rate at the store. The design allows for at most 40 writes
// per second and slot.
TEST_CASE("group commit writes far less often than once per claim and outcome")
{
  ClaimLoadOptions options;
  options.duration_ = seconds(60);
  CHECK(MeasureClaimLoad(options).WritesPerHundred() < 120);
  options.arrival_ = ArrivalPattern::BurstEachTenSeconds;
  CHECK(MeasureClaimLoad(options).WritesPerHundred() < 15);
  options.arrival_ = ArrivalPattern::Random;
  options.requestsPerSecond_ = 2000;
  options.duration_ = seconds(5);
  CHECK(MeasureClaimLoad(options).maxWritesPerSecond_ <= 280);
}
