#include "returns/RefusalSpread.h"
#include "returns/ReturnLines.h"

#include <catch2/catch.hpp>
#include <set>

using namespace peridotsail;
using std::chrono::milliseconds;

namespace {

constexpr Duration kPatience = milliseconds(1000);

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

// Ten tokens a second.
TokenSupply
Supply(double aLevel)
{
  return { aLevel, 20, 10 };
}

ReturnVerdict
Ask(ReturnLine& aLine, std::uint64_t aHash, double aLevel, double aNow)
{
  return aLine.Decide({ { aHash, kPatience } }, Supply(aLevel), At(aNow))
    .front();
}

bool
WaitsFor(const ReturnVerdict& aVerdict, int aMilliseconds)
{
  return std::abs(ToSeconds(aVerdict.wait_) - 0.001 * aMilliseconds) < 0.001;
}

}

// Guards against callers who all return for the same token.
TEST_CASE("Each refused caller is told the time of a token of its own")
{
  ReturnLine line;
  const std::vector<ReturningCaller> callers{
    { 1, kPatience }, { 2, kPatience }, { 3, kPatience }, { 4, kPatience }
  };
  const auto verdicts = line.Decide(callers, Supply(1.5), At(0));
  CHECK(verdicts[0].result_ == ReturnResult::Granted);
  for (int i = 1; i < 4; ++i) {
    CHECK(verdicts[i].result_ == ReturnResult::Promised);
    CHECK(WaitsFor(verdicts[i], 100 * i - 50));
    CHECK(verdicts[i].place_ == i);
  }
}

// Guards against a newcomer that takes the token of a caller who returned as
// told, and against gains by returning early.
TEST_CASE("Who returns on time goes before a newcomer, who is early does not")
{
  ReturnLine line;
  REQUIRE(WaitsFor(Ask(line, 1, 0, 0), 100));
  REQUIRE(WaitsFor(Ask(line, 2, 0, 0), 200));
  const ReturnVerdict early = Ask(line, 2, 0.6, 0.06);
  CHECK(early.result_ == ReturnResult::Early);
  CHECK(WaitsFor(early, 140));
  CHECK(early.place_ == 2);
  // The newcomer arrives first, and in the same message.
  const auto verdicts =
    line.Decide({ { 9, kPatience }, { 1, kPatience } }, Supply(1), At(0.1));
  CHECK(verdicts[0].result_ == ReturnResult::Promised);
  CHECK(verdicts[0].place_ == 2);
  CHECK(verdicts[1].result_ == ReturnResult::GrantedInTurn);
  CHECK(Ask(line, 8, 1, 0.2).result_ == ReturnResult::Promised);
  CHECK(Ask(line, 2, 1, 0.21).result_ == ReturnResult::GrantedInTurn);
  // Nothing is held for the others before their time.
  CHECK(line.Spare(Supply(1), At(0.22)) == 1);
}

// Guards against tokens that stay unused for callers who do not return, and
// against tokens lost from a full source.
TEST_CASE("A promise ends soon after its time")
{
  ReturnLine line;
  Ask(line, 1, 0, 0);
  CHECK(line.Spare(Supply(1), At(0.2)) == 0);
  CHECK(line.Spare(Supply(20), At(0.2)) == 20);
  CHECK(line.Spare(Supply(1), At(0.36)) == 1);
  CHECK(line.Size() == 0);
  // A caller who is early takes a token that nobody else has a claim on.
  Ask(line, 2, 0, 1);
  CHECK(Ask(line, 2, 1, 1.01).result_ == ReturnResult::Granted);
  CHECK(line.Size() == 0);
}

// Guards against a caller who loses its place because its token is late.
TEST_CASE("A caller on time without a token keeps its place")
{
  ReturnLine line;
  Ask(line, 1, 0, 0);
  Ask(line, 2, 0, 0);
  const ReturnVerdict late = Ask(line, 1, 0.5, 0.1);
  CHECK(late.result_ == ReturnResult::Promised);
  CHECK(late.place_ == 1);
  CHECK(WaitsFor(late, 50));
}

// Guards against a promise that the caller does not wait for, and against
// unbounded memory.
TEST_CASE("A line ends where callers would not wait, and has a bound")
{
  ReturnLine line;
  for (std::uint64_t hash = 1; hash <= 10; ++hash) {
    REQUIRE(Ask(line, hash, 0, 0).result_ == ReturnResult::Promised);
  }
  const ReturnVerdict last = Ask(line, 11, 0, 0);
  CHECK(last.result_ == ReturnResult::NoPlace);
  CHECK(WaitsFor(last, 1100));
  CHECK(last.place_ == 0);
  CHECK(line.Size() == 10);
  // Callers that cannot be recognized get no place.
  ReturnLine other;
  CHECK(Ask(other, 0, 0, 0).result_ == ReturnResult::NoPlace);

  ReturnLinesOptions options;
  options.maxPromises_ = 8;
  ReturnLines lines(options);
  for (std::uint64_t hash = 1; hash <= 100; ++hash) {
    lines.Decide("s" + std::to_string(hash % 5),
                 { { hash, kPatience } },
                 Supply(0),
                 At(0));
    REQUIRE(lines.Promises() <= 8);
  }
  CHECK(lines.Counts().promised_ == 8);
  CHECK(lines.Counts().noPlace_ == 92);
  // Places are free again once the promises have ended.
  lines.Decide("s", { { 200, kPatience } }, Supply(0), At(5));
  CHECK(lines.Promises() == 1);
}

// Guards against a second promise or token for a doubled message of a refused
// caller, and against callers with equal requests who all get the token.
TEST_CASE("A doubled message changes nothing for those refused")
{
  ReturnLine line;
  const ReturnVerdict first = Ask(line, 1, 0, 0);
  const ReturnVerdict second = Ask(line, 1, 0, 0);
  CHECK(first.wait_ == second.wait_);
  CHECK(line.Size() == 1);
  const auto verdicts =
    line.Decide({ { 1, kPatience }, { 1, kPatience } }, Supply(1), At(0.1));
  CHECK(verdicts[0].result_ == ReturnResult::GrantedInTurn);
  CHECK_FALSE(verdicts[1].IsGranted());
}

// Guards against callers of a full service who all return at the same time.
TEST_CASE("Waits after refusals of the same class differ")
{
  RefusalSpread spread;
  std::set<std::int64_t> waits;
  for (int i = 0; i < 50; ++i) {
    const Duration wait = spread.Next("s", milliseconds(300));
    CHECK(wait >= milliseconds(300));
    CHECK(wait < milliseconds(600));
    waits.insert(ToMilliseconds(wait) / 10);
  }
  // 50 refusals in 30 steps of 10 ms.
  CHECK(waits.size() >= 25);
  CHECK(spread.Next("other", milliseconds(300)) == milliseconds(300));
}
