#include "budget/SharedBudget.h"
#include "budget/testing/Scenarios.h"

#include <catch2/catch.hpp>

using namespace peridotsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SlotValidity
Slot(std::uint64_t aEpoch, Duration aUntil)
{
  SlotValidity slot;
  slot.slot_ = { "a", 0 };
  slot.index_ = 0;
  slot.totalSlots_ = 2;
  slot.epoch_ = aEpoch;
  slot.validUntil_ = TimePoint(aUntil);
  return slot;
}

BudgetLimits
Limits(double aRate, double aBurst)
{
  auto layout = std::make_shared<SlotLayout>();
  layout->regions_ = { { "a", 2 } };
  return { aRate, aBurst, layout, true };
}

SharedBudget
FullBudget()
{
  SharedBudgetOptions options;
  options.loans_ = LoanKind::Rate;
  SharedBudget budget("c", options, TimePoint{});
  budget.SetLimits(Limits(10, 20), TimePoint{});
  budget.SetSlot(Slot(1, seconds(100)), TimePoint{});
  return budget;
}

}

// Tokens must not outlive their slot, because the next holder, or the next
// epoch of the same host, has its own share.
TEST_CASE("a new epoch starts without tokens")
{
  SharedBudget budget = FullBudget();
  REQUIRE(budget.Level(TimePoint(seconds(9))) == 10);
  budget.SetSlot(Slot(2, seconds(100)), TimePoint(seconds(9)));
  CHECK(budget.Level(TimePoint(seconds(9))) == 0);
}

// A loan must not be renewed indefinitely after the lender has lost its share.
TEST_CASE("a loan is not renewed beyond the lender's share")
{
  enum class Change
  {
    None,
    LowerLimits,
    SlotLost,
  };
  for (const Change change :
       { Change::None, Change::LowerLimits, Change::SlotLost }) {
    SharedBudget budget = FullBudget();
    const TimePoint now(seconds(9));
    const TokenGrantEntry grant =
      budget.Lend("p", { "c", 1, { 0, 5, 0 }, {}, {} }, now);
    REQUIRE(grant.share_.rate_ == 5);
    if (change == Change::LowerLimits) {
      budget.SetLimits(Limits(1, 20), now);
    } else if (change == Change::SlotLost) {
      budget.SetSlot(Slot(1, seconds(9)), now);
    }
    const TokenGrantEntry renewal =
      budget.Lend("p", { "c", 2, {}, { grant.loan_ }, {} }, now);
    CHECK(renewal.renewed_.size() == (change == Change::None ? 1U : 0U));
  }
}

// With requests at 95% of the rate and a burst of two seconds, no request may
// be refused while all hosts are healthy. The loss of a host may cost at most
// its share until its slot is taken over (9 s lease, 6 s guard time and the
// search) and the tokens that it held.
TEST_CASE("requests within the rate are admitted from any spread of callers")
{
  for (const ScenarioKind kind : { ScenarioKind::OneHost,
                                   ScenarioKind::Spread,
                                   ScenarioKind::StoreOutage,
                                   ScenarioKind::OverloadedNeighbor,
                                   ScenarioKind::HostLost }) {
    const ScenarioResult result =
      RunScenario({ kind, false, LoanKind::ByBurst, 0, 55, 100, 1 });
    const double share = 50.0 / 7;
    const double maximum =
      kind == ScenarioKind::HostLost ? share * 18 + 100.0 / 7 : 0;
    INFO(NameOf(kind));
    CHECK(static_cast<double>(result.wronglyRefused_) <= maximum);
  }
}
