#include "slots/SlotGate.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;

TimePoint
At(int aMilliseconds)
{
  return TimePoint(std::chrono::seconds(1000)) +
         std::chrono::milliseconds(aMilliseconds);
}

// A gate of a host that owns nothing, with the messages that it sends to the
// only owner, and the outcomes.
struct GateFixture
{
  GateFixture()
    : owners_("asker", "east")
    , grants_({})
    , gate_(owners_, grants_, {}, MakeHooks(), kSeed)
  {
    owners_.SetHosts({ { "owner", "owner:1", "east", false } });
  }

  SlotGateHooks MakeHooks()
  {
    SlotGateHooks hooks;
    hooks.send_ = [this](const std::string&, const SlotMessage& aMessage) {
      if (const auto* ask = std::get_if<SlotAsk>(&aMessage)) {
        asks_.push_back(*ask);
      } else {
        releases_.push_back(std::get<SlotRelease>(aMessage));
      }
    };
    hooks.onSilent_ = [this](const std::string&, const std::string&) {
      ++silent_;
    };
    return hooks;
  }

  std::uint64_t Acquire(int aAt)
  {
    SlotQuery query;
    query.server_.id_ = "first";
    query.aim_ = At(aAt + 400);
    query.deadline_ = At(aAt + 4000);
    query.next_ = [](const std::set<std::string>& aSeen) {
      return aSeen.count("second") == 0
               ? std::optional<SlotServer>({ "second", 1, {} })
               : std::nullopt;
    };
    const std::uint64_t ticket = gate_.NewTicket();
    gate_.Acquire(ticket, query, At(aAt), [this](const SlotOutcome& aOutcome) {
      outcomes_.push_back(aOutcome);
    });
    return ticket;
  }

  void Answer(const SlotAsk& aAsk, SlotState aState, int aAt, int aWaitMs = 0)
  {
    SlotAnswer answer;
    answer.id_ = aAsk.id_;
    answer.server_ = aAsk.server_;
    answer.state_ = aState;
    answer.wait_ = std::chrono::milliseconds(aWaitMs);
    gate_.Accept(answer, "owner:1", At(aAt));
  }

  SlotOwners owners_;
  SlotGrants grants_;
  SlotGate gate_;
  std::vector<SlotAsk> asks_;
  std::vector<SlotRelease> releases_;
  std::vector<SlotOutcome> outcomes_;
  int silent_ = 0;
};

}

// Guards against a lost ask that makes a working owner unresponsive, and
// against requests that wait for an owner that is gone.
TEST_CASE("A silent owner is asked twice and then left alone for a while")
{
  GateFixture fixture;
  fixture.Acquire(0);
  fixture.gate_.OnTimer(At(45));
  REQUIRE(fixture.asks_.size() == 2);
  CHECK(fixture.asks_[0].id_ == fixture.asks_[1].id_);
  CHECK(fixture.outcomes_.empty());
  fixture.gate_.OnTimer(At(85));
  REQUIRE(fixture.outcomes_.size() == 1);
  CHECK(fixture.outcomes_[0].result_ == SlotResult::NoOwner);
  CHECK(fixture.releases_.size() == 1);
  CHECK(fixture.silent_ == 1);
  fixture.Acquire(100);
  CHECK(fixture.outcomes_.size() == 2);
  CHECK(fixture.asks_.size() == 2);
  fixture.Acquire(600);
  CHECK(fixture.asks_.size() == 3);
}

// Guards against a slot that stays taken after the request ended, and against
// a copy of a grant that gives back the slot in use.
TEST_CASE("A grant that nobody needs is returned; a copied one is ignored")
{
  GateFixture fixture;
  fixture.Acquire(0);
  fixture.Answer(fixture.asks_[0], SlotState::Granted, 5);
  fixture.Answer(fixture.asks_[0], SlotState::Granted, 6);
  CHECK(fixture.outcomes_.size() == 1);
  CHECK(fixture.releases_.empty());
  const std::uint64_t ticket = fixture.Acquire(10);
  fixture.gate_.Cancel(ticket, At(12));
  CHECK(fixture.releases_.size() == 1);
  fixture.Answer(fixture.asks_[1], SlotState::Granted, 15);
  CHECK(fixture.outcomes_.size() == 1);
  CHECK(fixture.releases_.size() == 2);
  CHECK(fixture.gate_.Pending() == 0);
}

// Guards against a request that misses its target latency in a queue while
// another server is idle, and against two slots for it.
TEST_CASE("A long wait lets the next server be asked; the first grant counts")
{
  GateFixture fixture;
  fixture.Acquire(0);
  fixture.Answer(fixture.asks_[0], SlotState::Queued, 5, 100);
  CHECK(fixture.asks_.size() == 1);
  fixture.Answer(fixture.asks_[0], SlotState::Queued, 10, 900);
  REQUIRE(fixture.asks_.size() == 2);
  CHECK(fixture.asks_[1].server_ == "second");
  CHECK(fixture.asks_[1].mode_ == SlotMode::IfHalfIdle);
  fixture.Answer(fixture.asks_[1], SlotState::Granted, 15);
  REQUIRE(fixture.outcomes_.size() == 1);
  CHECK(fixture.outcomes_[0].grant_->server_ == "second");
  REQUIRE(fixture.releases_.size() == 1);
  CHECK(fixture.releases_[0].server_ == "first");
}

// Guards against a refusal while the next server is free, and against one
// without the wait.
TEST_CASE("A refused request takes any free slot of the next server")
{
  GateFixture fixture;
  fixture.Acquire(0);
  fixture.Answer(fixture.asks_[0], SlotState::Refused, 5, 700);
  REQUIRE(fixture.asks_.size() == 2);
  CHECK(fixture.asks_[1].mode_ == SlotMode::IfFree);
  CHECK(fixture.outcomes_.empty());
  fixture.Answer(fixture.asks_[1], SlotState::Refused, 10, 100);
  REQUIRE(fixture.outcomes_.size() == 1);
  CHECK(fixture.outcomes_[0].result_ == SlotResult::Refused);
  CHECK(ToMilliseconds(fixture.outcomes_[0].retryAfter_) == 700);
}

// Guards against requests that wait in the queue of an owner that is gone.
TEST_CASE("Waiting requests ask the new owner, and renew their asks")
{
  GateFixture fixture;
  fixture.Acquire(0);
  fixture.Answer(fixture.asks_[0], SlotState::Queued, 5, 100);
  fixture.gate_.OnTimer(At(200));
  CHECK(fixture.asks_.size() == 1);
  fixture.gate_.OnTimer(At(260));
  REQUIRE(fixture.asks_.size() == 2);
  CHECK(fixture.asks_[1].id_ == fixture.asks_[0].id_);
  fixture.owners_.SetHosts({ { "other", "other:1", "east", false } });
  fixture.gate_.OnHostsChanged(At(270));
  REQUIRE(fixture.asks_.size() == 3);
  CHECK(fixture.asks_[2].id_ != fixture.asks_[0].id_);
  CHECK(fixture.outcomes_.empty());
}
