// Tests invariant 4 with random fault schedules: in every time window, all
// hosts together admit at most rate * t + burst tokens, and no two processes
// consider themselves the valid holder of the same slot.

#include "budget/testing/ClusterSimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace peridotsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SlotLayoutPtr
Layout(std::vector<std::pair<std::string, int>> aRegions)
{
  auto layout = std::make_shared<SlotLayout>();
  layout->regions_ = std::move(aRegions);
  return layout;
}

void
ChangeLimits(ClusterSimulation& aCluster, const ClusterOptions& aOptions)
{
  auto regions = aOptions.regions_;
  if (aCluster.RandomBetween(0, 1) < 0.4) {
    auto& slots = regions[aCluster.Random()() % regions.size()].second;
    slots = std::max(1, slots + (aCluster.RandomBetween(0, 1) < 0.5 ? -1 : 1));
  }
  const double factor =
    aCluster.RandomBetween(0, 1) < 0.5 ? 1 : aCluster.RandomBetween(0.1, 3);
  aCluster.Commit(aOptions.rate_ * factor,
                  aOptions.burst_ * aCluster.RandomBetween(0.5, 2),
                  Layout(std::move(regions)),
                  FromSeconds(aCluster.RandomBetween(0, 5)));
}

// Schedules a random fault and its end.
void
AddFault(ClusterSimulation& aCluster,
         const ClusterOptions& aOptions,
         bool aWithChanges)
{
  const std::size_t host = aCluster.Random()() % aCluster.Hosts();
  const Duration end =
    aCluster.Now() + FromSeconds(aCluster.RandomBetween(0.05, 25));
  const auto isolate = [&](bool Process::*aDisconnected) {
    Process* process = aCluster.ProcessOn(host);
    if (process != nullptr) {
      process->*aDisconnected = true;
      aCluster.At(
        end, [process, aDisconnected] { process->*aDisconnected = false; });
    }
  };
  switch (aCluster.Random()() % 9) {
    case 0:
      aCluster.Kill(host);
      aCluster.At(end, [&aCluster, host] { aCluster.Replace(host); });
      break;
    case 1:
    case 2:
      aCluster.Pause(host);
      aCluster.At(end, [&aCluster, host] { aCluster.Resume(host); });
      break;
    case 3:
      isolate(&Process::isolatedFromStore_);
      break;
    case 4:
      isolate(&Process::isolatedFromPeers_);
      break;
    case 5:
      isolate(&Process::isolatedFromStore_);
      isolate(&Process::isolatedFromPeers_);
      break;
    case 6: {
      const auto region = aOptions.regions_[host % aOptions.regions_.size()];
      aCluster.DisconnectRegion(region.first, true);
      for (std::size_t i = 0; i < aCluster.Hosts(); ++i) {
        Process* process = aCluster.ProcessOn(i);
        if (process != nullptr && process->region_ == region.first) {
          process->isolatedFromStore_ = true;
          aCluster.At(end, [process] { process->isolatedFromStore_ = false; });
        }
      }
      aCluster.At(end, [&aCluster, region] {
        aCluster.DisconnectRegion(region.first, false);
      });
      break;
    }
    case 7:
      aCluster.SetStoreDown(true);
      aCluster.At(end, [&aCluster] { aCluster.SetStoreDown(false); });
      break;
    default:
      if (aWithChanges) {
        ChangeLimits(aCluster, aOptions);
      } else {
        aCluster.Release(host);
        aCluster.At(end, [&aCluster, host] {
          aCluster.Kill(host);
          aCluster.Replace(host);
        });
      }
  }
}

// On each host, with probability aLoad, takes one token or as many as possible.
void
Demand(ClusterSimulation& aCluster, double aLoad)
{
  for (std::size_t host = 0; host < aCluster.Hosts(); ++host) {
    if (aCluster.RandomBetween(0, 1) < aLoad) {
      aCluster.TakeUpTo(host, aCluster.RandomBetween(0, 1) < 0.5 ? 1 : 1e6);
    }
  }
}

struct Totals
{
  std::size_t claims_ = 0;
  std::size_t continuations_ = 0;
  double admitted_ = 0;
};

std::string
RunSchedule(unsigned aSeed, Totals& aTotals)
{
  ClusterOptions options;
  options.seed_ = aSeed;
  std::mt19937 random(aSeed);
  const auto below = [&](unsigned aLimit) {
    return static_cast<double>(random() % aLimit);
  };
  const std::vector<std::pair<std::string, int>> layouts[] = {
    { { "a", 3 }, { "b", 2 }, { "c", 2 } },
    { { "a", 5 }, { "b", 1 }, { "c", 1 } },
    { { "a", 7 } },
  };
  options.regions_ = layouts[aSeed % 3];
  options.rate_ = 1 + below(200);
  options.burst_ = options.rate_ * (0.05 + below(100) / 30.0);
  options.lossProbability_ = below(4) * 0.03;
  options.duplicationProbability_ = below(3) * 0.1;
  options.delayProbability_ = below(3) * 0.05;
  options.leasesExpireInOutage_ = aSeed % 2 == 0;
  options.budget_.loans_ = aSeed % 4 < 2 ? LoanKind::Rate : LoanKind::Tokens;
  // Different clock speeds also scale the refill. The exact rate limit is
  // therefore checked without clock drift, and the slots are checked with clock
  // drift.
  options.tick_ = milliseconds(150);
  options.maxClockDrift_ = aSeed % 8 == 7 ? 0.02 : 0;
  ClusterSimulation cluster(options);
  cluster.Start();
  Duration nextFault = seconds(2);
  double load = 1;
  for (Duration now{}; now < seconds(60); now += milliseconds(100)) {
    cluster.RunUntil(now);
    if (now >= nextFault) {
      AddFault(cluster, options, aSeed % 8 < 4);
      nextFault += FromSeconds(cluster.RandomBetween(0.2, 6));
      load =
        cluster.RandomBetween(0, 1) < 0.3 ? 0 : cluster.RandomBetween(0.05, 1);
    }
    if (options.maxClockDrift_ == 0) {
      Demand(cluster, load);
      cluster.CheckSums();
    }
    if (!cluster.Violation().empty()) {
      break;
    }
  }
  aTotals.claims_ += cluster.Takeovers();
  aTotals.continuations_ += cluster.Continuations();
  aTotals.admitted_ += cluster.Admitted();
  return cluster.Violation();
}

}

TEST_CASE("no schedule of faults exceeds a limit or doubles a slot")
{
  // A larger number can be set for long manual runs.
  const char* setting = std::getenv("PERIDOTSAIL_SCHEDULES");
  const unsigned schedules =
    setting == nullptr ? 600 : static_cast<unsigned>(std::atoi(setting));
  Totals totals;
  for (unsigned seed = 0; seed < schedules; ++seed) {
    const std::string violation = RunSchedule(seed, totals);
    INFO("seed " << seed << ": " << violation);
    REQUIRE(violation.empty());
  }
  // The schedules must exercise the mechanisms that they test.
  CHECK(totals.claims_ / 8 > schedules);
  CHECK(totals.continuations_ > schedules / 4);
  WARN(totals.claims_ << " claims, " << totals.continuations_
                      << " continuations, " << totals.admitted_
                      << " tokens admitted");
}
