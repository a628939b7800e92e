#include "budget/testing/ClusterSimulation.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Runs a SlotLease against a store that answers immediately. Records the last
// query to peers.
class Driver
{
public:
  Driver(FakeSlotStore& aStore, const std::string& aName)
    : store_(aStore)
    , lease_(Options(), "a", { aName, aName, aName }, TimePoint{})
  {
    auto layout = std::make_shared<SlotLayout>();
    layout->regions_ = { { "a", 2 } };
    lease_.SetLayout(layout, TimePoint{});
  }

  static SlotLeaseOptions Options()
  {
    static int attempts = 0;
    SlotLeaseOptions options;
    options.makeId_ = [] { return std::to_string(++attempts); };
    return options;
  }

  void Step(Duration aNow)
  {
    const TimePoint now(aNow);
    std::vector<SlotAction> actions = lease_.Tick(now);
    while (!actions.empty()) {
      std::vector<SlotAction> next;
      for (const SlotAction& action : actions) {
        Execute(action, aNow);
      }
      next = lease_.Tick(now);
      actions.swap(next);
    }
  }

  void Execute(const SlotAction& aAction, Duration aNow)
  {
    if (aAction.kind_ == SlotActionKind::QueryPeers) {
      query_ = aAction;
      return;
    }
    if (!storeUp_ || aAction.kind_ == answerLostFor_) {
      if (storeUp_) {
        store_.Apply(aAction, aNow);
        storeUp_ = false;
      }
      lease_.OnStoreResult(
        { aAction.operationId_, StoreOutcome::Unknown, {}, 0, 0 },
        TimePoint(aNow));
      return;
    }
    lease_.OnStoreResult(store_.Apply(aAction, aNow), TimePoint(aNow));
  }

  bool Valid(Duration aNow) const
  {
    return lease_.Validity().IsValidAt(TimePoint(aNow));
  }

  FakeSlotStore& store_;
  SlotLease lease_;
  bool storeUp_ = true;
  // The answer to an operation of this kind is lost, and the store is down
  // afterwards.
  std::optional<SlotActionKind> answerLostFor_;
  std::optional<SlotAction> query_;
};

constexpr Duration kStep = milliseconds(100);

ReachabilityAnswer
Answer(const Driver& aQuerying, const std::string& aWitness, bool aReachable)
{
  return {
    aQuerying.query_->query_.query_, aWitness, aReachable, seconds(10), false
  };
}

}

// A late answer must not make a holder valid again after its validity has
// ended, because a successor relies on the end being final.
TEST_CASE("an answer after the validity ended does not restore it")
{
  FakeSlotStore store(seconds(9));
  Driver holder(store, "h");
  Driver peer(store, "p");
  Duration now{};
  for (; now < seconds(5); now += kStep) {
    holder.Step(now);
    peer.Step(now);
  }
  holder.storeUp_ = false;
  for (; holder.Valid(now); now += kStep) {
    holder.Step(now);
  }
  REQUIRE(holder.query_);
  holder.lease_.OnAnswer(Answer(holder, "p", false), TimePoint(now));
  CHECK_FALSE(holder.Valid(now));
}

// A holder must also query holders that claimed their slots after it, even if
// it does not know whether its updated consent list was stored.
TEST_CASE("a holder asks every holder that the store may list")
{
  for (const bool answerLost : { false, true }) {
    FakeSlotStore store(seconds(9));
    Driver holder(store, "h");
    Driver peer(store, "p");
    Duration now{};
    for (; now < seconds(1); now += kStep) {
      holder.Step(now);
    }
    if (answerLost) {
      holder.answerLostFor_ = SlotActionKind::UpdateRecord;
    }
    for (; now < seconds(6); now += kStep) {
      peer.Step(now);
      holder.Step(now);
    }
    holder.storeUp_ = false;
    for (; holder.Valid(now) && now < seconds(60); now += kStep) {
      holder.Step(now);
    }
    INFO("answer lost: " << answerLost);
    REQUIRE(now < seconds(60));
    REQUIRE(holder.query_);
    CHECK(holder.query_->peers_.front().incarnation_ == "p");
  }
}

// A takeover needs a witness from the consent list that reaches the store and
// has not answered "not reachable" recently. Otherwise the previous holder may
// still be valid.
TEST_CASE("a slot is taken over only with the answer of a suitable witness")
{
  struct Case
  {
    const char* witness_;
    bool reachable_;
    Duration quietTime_;
    bool isTaken_;
  };
  const Case cases[] = {
    { "p", true, seconds(10), true },
    { "p", true, seconds(3), false },
    { "p", false, seconds(10), false },
    { "q", true, seconds(10), false },
  };
  for (const Case& testCase : cases) {
    FakeSlotStore store(seconds(9));
    Driver holder(store, "h");
    Driver peer(store, "p");
    Duration now{};
    for (; now < seconds(5); now += kStep) {
      holder.Step(now);
      peer.Step(now);
    }
    Driver successor(store, "t");
    for (; now < seconds(40); now += kStep) {
      peer.Step(now);
      successor.Step(now);
      if (successor.query_) {
        ReachabilityAnswer answer =
          Answer(successor, testCase.witness_, testCase.reachable_);
        answer.quietTime_ = testCase.quietTime_;
        successor.lease_.OnAnswer(answer, TimePoint(now));
      }
    }
    INFO(testCase.witness_ << " " << testCase.reachable_ << " "
                           << ToSeconds(testCase.quietTime_));
    CHECK(successor.Valid(now) == testCase.isTaken_);
  }
}

// A takeover must not be based on a host list that has shown the holders as
// gone for a short time only.
TEST_CASE("without a witness the host list must show all gone for 60 s")
{
  FakeSlotStore store(seconds(9));
  Driver holder(store, "h");
  Driver peer(store, "p");
  Duration now{};
  for (; now < seconds(5); now += kStep) {
    holder.Step(now);
    peer.Step(now);
  }
  Driver successor(store, "t");
  const Duration gone = seconds(30);
  for (; !successor.Valid(now) && now < seconds(200); now += kStep) {
    std::set<std::string> listed{ "t" };
    if (now < gone) {
      listed.insert("p");
    }
    successor.lease_.SetHostList(listed, TimePoint(now));
    successor.Step(now);
  }
  CHECK(now >= gone + seconds(60));
  CHECK(now < seconds(200));
}
