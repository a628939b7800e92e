#include "once/testing/ClaimLoad.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using namespace peridotsail::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Verdict = ClaimVerdict;

// A registry with a store that does what the test says.
class Bench
{
public:
  explicit Bench(std::uint64_t aEpoch = 1,
                 bool aMayHaveContinued = false,
                 const std::vector<LoadedRecord>& aRecords = {})
  {
    tenure_.slot_ = "north/0";
    tenure_.epoch_ = aEpoch;
    tenure_.validUntil_ = now_ + std::chrono::hours(24);
    tenure_.predecessorMayHaveContinued_ = aMayHaveContinued;
    ClaimRegistryOptions options;
    options.incarnation_ = "i" + std::to_string(aEpoch);
    options.maxClaims_ = 3000;
    registry_ = std::make_unique<ClaimRegistry>(options, tenure_);
    for (const LoadedRecord& record : aRecords) {
      store_[record.key_] = record.value_;
    }
    registry_->Load(aRecords, {}, now_);
  }

  Verdict Begin(const std::string& aKey,
                const std::string& aFingerprint = "f",
                bool aMoved = false)
  {
    last_ = registry_->Begin({ aKey, aFingerprint, ++ticket_, aMoved }, now_);
    return last_.verdict_;
  }

  // Answers all operations that are due in this way.
  void Store(StoreAnswerKind aKind = StoreAnswerKind::Written)
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

  void Wait(Duration aDuration) { now_ += aDuration; }

  std::vector<Verdict> Decisions()
  {
    std::vector<Verdict> verdicts;
    for (const ClaimDecision& decision : registry_->TakeDecisions()) {
      verdicts.push_back(decision.verdict_);
    }
    return verdicts;
  }

  // Claims the key, commits and runs it.
  void RunWhole(const std::string& aKey,
                RunResult aResult = RunResult::Complete)
  {
    REQUIRE(Begin(aKey) == Verdict::Wait);
    Wait(milliseconds(25));
    Store();
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
  SlotLeaseTerm tenure_;
  std::unique_ptr<ClaimRegistry> registry_;
  std::map<std::string, std::string> store_;
  std::vector<StoreOperationKind> kinds_;
  ClaimDecision last_;
  std::uint64_t ticket_ = 0;
};

}

// Guards the order of claim and run, and each answer to a repeated request.
TEST_CASE("a request runs after its claim is committed and is answered again")
{
  Bench bench;
  CHECK(bench.Begin("k") == Verdict::Wait);
  CHECK(bench.Decisions().empty());
  CHECK(bench.Begin("k") == Verdict::InProgress);
  CHECK_FALSE(bench.registry_->MayStart("k", 1, bench.now_));
  bench.Store();
  CHECK(bench.Decisions() == std::vector<Verdict>{ Verdict::Execute });
  CHECK(bench.registry_->MayStart("k", 1, bench.now_));
  CHECK(bench.Begin("k") == Verdict::InProgress);
  bench.registry_->Finish("k",
                          1,
                          RunResult::Complete,
                          { 201, "text/plain", "done", true },
                          bench.now_);
  CHECK(bench.Begin("k") == Verdict::Replay);
  CHECK(bench.last_.outcome_.status_ == 201);
  CHECK(bench.last_.outcome_.body_ == "done");
  CHECK(bench.Begin("k", "other") == Verdict::KeyReused);
  bench.Wait(seconds(601));
  CHECK(bench.Begin("k") == Verdict::Wait);
}

// Guards the number of store writes: claims that come while a write is in
// flight or within 25 ms of the last one share the next write.
TEST_CASE("claims that arrive during a write join one group")
{
  Bench bench;
  bench.Begin("first");
  const auto first = bench.registry_->Poll(bench.now_);
  REQUIRE(first.size() == 1);
  for (int i = 0; i < 50; ++i) {
    bench.Begin("k" + std::to_string(i));
    bench.Wait(milliseconds(1));
    CHECK(bench.registry_->Poll(bench.now_).empty());
  }
  bench.registry_->OnStoreAnswer({ first[0].id_, StoreAnswerKind::Written, "" },
                                 bench.now_);
  CHECK(bench.Decisions().size() == 1);
  bench.Store();
  CHECK(bench.Decisions().size() == 50);
  CHECK(bench.registry_->StoreWrites() == 2);
  bench.Begin("late");
  bench.Wait(milliseconds(24));
  CHECK(bench.registry_->Poll(bench.now_).empty());
  bench.Wait(milliseconds(1));
  CHECK(bench.registry_->Poll(bench.now_).size() == 1);
}

// Guards against a run whose claim may not be in the store.
TEST_CASE("a lost answer is read back and a refused write ends the tenure")
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
    Bench bench;
    bench.Begin("k");
    for (const Kind kind : test.answers_) {
      CHECK(bench.Decisions().empty());
      bench.Store(kind);
      bench.Wait(seconds(3));
    }
    CHECK(bench.Decisions() == std::vector<Verdict>{ test.verdict_ });
    const bool fenced = test.verdict_ == Verdict::NotHolder;
    CHECK(bench.registry_->IsFenced() == fenced);
    CHECK((bench.Begin("other") == Verdict::NotHolder) == fenced);
  }
  for (const bool own : { true, false }) {
    Bench bench;
    bench.Begin("k");
    const auto write = bench.registry_->Poll(bench.now_);
    bench.registry_->OnStoreAnswer({ write[0].id_, Kind::Lost, "" },
                                   bench.now_);
    bench.Wait(seconds(1));
    const auto read = bench.registry_->Poll(bench.now_);
    REQUIRE(read[0].kind_ == StoreOperationKind::ReadBack);
    bench.registry_->OnStoreAnswer(
      { read[0].id_, Kind::Found, own ? write[0].record_.attempt_ : "x" },
      bench.now_);
    CHECK(bench.Decisions() ==
          std::vector<Verdict>{ own ? Verdict::Execute : Verdict::NotHolder });
  }
}

// Guards the answers of a new holder, whose only knowledge is the store.
TEST_CASE("a new holder answers from the records that it loads")
{
  Bench first;
  first.RunWhole("done");
  first.RunWhole("cut", RunResult::Unknown);
  first.RunWhole("released", RunResult::NotRun);
  first.Wait(seconds(1));
  first.Store();
  first.Begin("unfinished");
  first.Wait(milliseconds(25));
  first.Store();

  Bench second(2, false, first.Records());
  CHECK(second.Begin("done") == Verdict::Replay);
  CHECK(second.Begin("cut") == Verdict::OutcomeUnknown);
  CHECK(second.Begin("unfinished") == Verdict::OutcomeUnknown);
  CHECK(second.Begin("released") == Verdict::Wait);
  CHECK(second.Begin("new") == Verdict::Wait);
  CHECK(second.Begin("moved", "f", true) == Verdict::OutcomeUnknown);
}

// Guards against a second run of a key whose claim was only in memory, also
// after several changes of holder.
TEST_CASE("doubt about unknown keys lasts for the horizon across holders")
{
  Bench first;
  first.RunWhole("released", RunResult::NotRun);
  first.Wait(seconds(1));
  first.Store();
  std::vector<LoadedRecord> damaged = first.Records();
  damaged[0].value_.resize(10);
  struct Case
  {
    Bench bench_;
    bool doubt_;
  };
  std::vector<Case> cases;
  cases.push_back({ Bench(2, false, first.Records()), false });
  cases.push_back({ Bench(2, true, first.Records()), true });
  cases.push_back({ Bench(2, false, damaged), true });
  // The tenure of epoch 2 left no record.
  cases.push_back({ Bench(3, false, first.Records()), true });
  cases.push_back({ Bench(2, false, {}), true });
  for (Case& test : cases) {
    Bench& bench = test.bench_;
    CHECK((bench.Begin("new") == Verdict::OutcomeUnknown) == test.doubt_);
    CHECK((bench.Begin("released") == Verdict::OutcomeUnknown) == test.doubt_);
    bench.Store();
    bench.Wait(seconds(500));
    Bench next(bench.tenure_.epoch_ + 1, false, bench.Records());
    CHECK((next.Begin("late") == Verdict::OutcomeUnknown) == test.doubt_);
    next.Wait(seconds(601));
    CHECK(next.Begin("late") != Verdict::OutcomeUnknown);
  }
}

// Guards against claims in memory that no successor would suspect.
TEST_CASE("claims are made in memory only while the tenure continues")
{
  Bench bench;
  CHECK(bench.Begin("a") == Verdict::Wait);
  bench.Store();
  bench.Decisions();
  bench.Begin("b");
  bench.Wait(milliseconds(25));
  bench.Store(StoreAnswerKind::Lost);
  CHECK(bench.Decisions().empty());
  bench.tenure_.outageUntil_ = bench.now_ + seconds(3);
  bench.tenure_.validUntil_ = bench.now_ + seconds(3);
  bench.registry_->Renew(bench.tenure_);
  bench.Store(StoreAnswerKind::Lost);
  CHECK(bench.Decisions() == std::vector<Verdict>{ Verdict::Execute });
  CHECK(bench.Begin("c") == Verdict::Execute);
  bench.Wait(seconds(3));
  CHECK_FALSE(bench.registry_->MayStart("c", bench.ticket_, bench.now_));
  CHECK(bench.Begin("d") == Verdict::NotHolder);
  CHECK(bench.registry_->Unwritten(bench.now_).size() == 3);
}

// Guards the truth of not-run for a waiting request that gives up.
TEST_CASE("a cancelled request was not run only while the lease is valid")
{
  Bench bench;
  bench.Begin("k");
  CHECK(bench.registry_->Cancel("k", 1, bench.now_) == ExecutionState::NotRun);
  bench.Begin("k");
  bench.Wait(std::chrono::hours(24));
  CHECK(bench.registry_->Cancel("k", 2, bench.now_) == ExecutionState::Unknown);
}

// Guards the bounds on memory, records and record size, and that merged records
// lose nothing.
TEST_CASE("records are merged, expire and keep every claim")
{
  Bench bench;
  for (int i = 0; i < 3000; ++i) {
    bench.RunWhole("k" + std::to_string(i));
    REQUIRE(bench.registry_->RecordCount() <= 120);
    REQUIRE(bench.store_.size() == bench.registry_->RecordCount());
  }
  CHECK(bench.Begin("one more") == Verdict::Full);
  bench.Wait(seconds(1));
  bench.Store();
  for (const auto& [key, value] : bench.store_) {
    CHECK(value.size() <= kMaxSegmentBytes);
  }
  Bench next(2, false, bench.Records());
  for (int i = 0; i < 3000; ++i) {
    REQUIRE(next.Begin("k" + std::to_string(i)) == Verdict::Replay);
  }
  for (int i = 0; i < 70; ++i) {
    next.Wait(seconds(10));
    next.Store();
  }
  CHECK(next.registry_->ClaimCount() == 0);
  CHECK(next.store_.size() <= 2);
}

// Guards the store's rate: the worst case of the design is 40 writes a second
// for each slot.
TEST_CASE("the writes of group commit stay far below one per claim and outcome")
{
  ClaimLoadOptions options;
  options.length_ = seconds(60);
  CHECK(MeasureClaimLoad(options).WritesPerHundred() < 120);
  options.arrival_ = Arrival::BurstEachTenSeconds;
  CHECK(MeasureClaimLoad(options).WritesPerHundred() < 15);
  options.arrival_ = Arrival::Random;
  options.requestsPerSecond_ = 2000;
  options.length_ = seconds(5);
  CHECK(MeasureClaimLoad(options).worstSecond_ <= 280);
}
