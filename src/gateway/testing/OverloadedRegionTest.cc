// The decisions about regions, slots and returning callers together, without a
// network: a failure domain is evacuated, other servers leave, a customer sends
// five times its rate and urgent work bursts, all at once.

#include "gateway/testing/OverloadedRegion.h"

#include <catch2/catch.hpp>

using namespace peridotsail::overload;

namespace {

template<std::size_t N>
void
CheckShares(const std::array<Count, N>& aCounts)
{
  double mean = 0;
  for (const Count& count : aCounts) {
    mean += count.Served() / N;
  }
  for (const Count& count : aCounts) {
    CHECK(count.Served() >= mean / 4);
  }
}

}

// Guards against parts that undo each other's decisions: urgent work that is
// not served first, a starved rank or customer, requests that are held without
// a chance, regions that exchange work, and an overload that does not end.
TEST_CASE(
  "An evacuation with lost servers and a hot customer and a burst at once")
{
  for (const std::uint64_t seed : { 20261206, 7, 11 }) {
    INFO("seed " << seed);
    const Outcome outcome = Simulation(seed).Run();
    for (std::size_t phase = Calm; phase <= Recovered; ++phase) {
      for (std::size_t rank = 0; rank < kRanks; ++rank) {
        const Count& count = outcome.ranks_[phase][rank];
        UNSCOPED_INFO("phase "
                      << phase << " rank " << rank << ": " << count.all_
                      << " calls, served " << count.Served() << ", in target "
                      << count.InTarget() << ", refused " << count.refused_);
      }
    }
    CHECK(outcome.refusedInCalm_ == 0);
    UNSCOPED_INFO("tokens refused to newcomers " << outcome.newcomers_.Refused()
                                                 << ", in turn "
                                                 << outcome.inTurn_.Refused());
    const auto& ranks = outcome.ranks_[Overload];
    CHECK(ranks[0].InTarget() >= 0.8);
    CHECK(ranks[0].InTarget() >= ranks[1].InTarget());
    CHECK(ranks[0].InTarget() >= ranks[2].InTarget());
    CheckShares(ranks);
    CheckShares(outcome.customers_[Overload]);
    CHECK(outcome.refusals_ > 0);
    CHECK(outcome.refusedAtOnce_ >= 0.9 * outcome.refusals_);
    CHECK(outcome.refusedTooLate_ == 0);
    CHECK(outcome.unanswered_ == 0);
    CHECK(outcome.maxRunning_ <= kSlots);
    CHECK(outcome.minTokens_ >= 0);
    CHECK(outcome.plans_.maxExport_ > 0);
    CHECK(outcome.plans_.maxExchange_ == 0);
    CHECK(outcome.plans_.maxStepExcess_ <= 0.005);
    CHECK(outcome.inTurn_.all_ > 0);
    CHECK(outcome.inTurn_.Refused() < outcome.newcomers_.Refused());
    // A promise is kept; without it, returning callers still fare better than
    // newcomers.
    CHECK(outcome.inTurn_.Refused() <= 0.1);
    for (const Count& count : outcome.ranks_[Recovered]) {
      CHECK(count.Served() > 0.95);
    }
  }
}
