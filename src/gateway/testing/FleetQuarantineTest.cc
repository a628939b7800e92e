#include "gateway/RefusalRecords.h"
#include "gateway/testing/QuarantineFleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <numeric>

using namespace peridotsail;

namespace {

constexpr double kRunSeconds = 40;
// A calm fleet ends no more servers than the rule needs to see.
constexpr int kMostCrashedCalm = 3;
// The members' rule.
constexpr int kMostSentLate = 3;

// Runs by hand play more seeds: PERIDOTSAIL_SEEDS=1000.
std::uint64_t
Seeds(std::uint64_t aUsual)
{
  const char* text = std::getenv("PERIDOTSAIL_SEEDS");
  return text == nullptr ? aUsual : std::strtoull(text, nullptr, 10);
}

// The request comes again and again at hosts that the seed picks, beside
// faults that aDisturb adds before each time.
QuarantineCounts
SendAgainAndAgain(QuarantineFleet& aFleet,
                  double aLongestPause,
                  const std::function<void(double)>& aDisturb = {})
{
  auto& random = aFleet.Random();
  double now = 2;
  while (now < kRunSeconds) {
    aFleet.RunUntil(now);
    if (aDisturb) {
      aDisturb(now);
    }
    aFleet.SendCrashing(random() % aFleet.Hosts());
    now += std::uniform_real_distribution<double>(0.3, aLongestPause)(random);
  }
  aFleet.RunUntil(now);
  return aFleet.Counts();
}

}

// Guards against a request that crashes servers at each host anew, because
// hosts that count alone need several deaths each.
TEST_CASE("A crashing request ends three servers at most on a calm day, "
          "whatever the number of hosts")
{
  struct Row
  {
    int hosts_;
    std::uint64_t seeds_;
  };
  for (const Row& row :
       { Row{ 7, 10 }, Row{ 36, 5 }, Row{ 117, 2 }, Row{ 300, 1 } }) {
    for (const bool idempotent : { true, false }) {
      for (std::uint64_t seed = 1; seed <= Seeds(row.seeds_); ++seed) {
        INFO(row.hosts_ << " hosts, idempotent " << idempotent << ", seed "
                        << seed);
        QuarantineFleetOptions options;
        options.idempotent_ = idempotent;
        QuarantineFleet fleet(row.hosts_, options, seed);
        const QuarantineCounts counts = SendAgainAndAgain(fleet, 2);
        REQUIRE(counts.crashed_ <= kMostCrashedCalm);
        REQUIRE(counts.sentLate_ == 0);
        REQUIRE(counts.othersRefused_ == 0);
        for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
          REQUIRE(fleet.Refuses(host));
        }
      }
    }
  }
}

// Guards against others' requests that are refused because the servers that
// ran them crashed for other reasons, and against such crashes that hide the
// request which is at fault.
TEST_CASE("Crashes for other reasons refuse no other request and hide no "
          "crashing one")
{
  for (const double crashes : { 0.05, 0.5, 2.0 }) {
    for (const int hosts : { 7, 36 }) {
      for (std::uint64_t seed = 1; seed <= Seeds(5); ++seed) {
        INFO(crashes << " crashes a second, " << hosts << " hosts, seed "
                     << seed);
        QuarantineFleetOptions options;
        options.otherCrashes_ = crashes;
        QuarantineFleet fleet(hosts, options, seed);
        const QuarantineCounts counts = SendAgainAndAgain(fleet, 2);
        REQUIRE(counts.othersRefused_ == 0);
        REQUIRE(counts.sentLate_ <= kMostSentLate);
      }
    }
  }
}

// Guards against evidence that is lost with a host, a message or the store, in
// all of which the members' rule holds for the hosts that are well.
TEST_CASE("A crashing request is refused in time beside faults of hosts, "
          "messages and the store")
{
  struct Row
  {
    const char* name_;
    double lost_;
    double killed_;
    double frozen_;
    double cut_;
    double storeOut_;
  };
  const Row rows[] = {
    { "messages lost, doubled and late", 0.2, 0, 0, 0, 0 },
    { "hosts killed", 0, 0.4, 0, 0, 0 },
    { "hosts frozen", 0, 0, 0.4, 0, 0 },
    { "hosts cut from the others", 0, 0, 0, 0.4, 0 },
    { "store out", 0, 0, 0, 0, 0.3 },
    { "all of these", 0.05, 0.2, 0.2, 0.2, 0.1 },
  };
  for (const Row& row : rows) {
    for (const int hosts : { 7, 36 }) {
      for (std::uint64_t seed = 1; seed <= Seeds(5); ++seed) {
        INFO(row.name_ << ", " << hosts << " hosts, seed " << seed);
        QuarantineFleetOptions options;
        options.otherCrashes_ = 0.05;
        options.lost_ = row.lost_;
        options.doubled_ = row.lost_;
        options.lateSeconds_ = row.lost_ > 0 ? 0.5 : 0;
        QuarantineFleet fleet(hosts, options, seed);
        auto& random = fleet.Random();
        const auto chance = [&random](double aPart) {
          return std::uniform_real_distribution<double>(0, 1)(random) < aPart;
        };
        const auto disturb = [&](double aNow) {
          const std::size_t host = random() % fleet.Hosts();
          const double time =
            std::uniform_real_distribution<double>(0.5, 8)(random);
          if (chance(row.killed_)) {
            fleet.Kill(host, time);
          }
          if (chance(row.frozen_)) {
            fleet.Freeze(host, aNow + time);
          }
          if (chance(row.cut_)) {
            fleet.CutFromHosts(host, aNow + time);
          }
          if (chance(row.storeOut_)) {
            fleet.SetStoreOut(aNow + time);
          }
        };
        const QuarantineCounts counts = SendAgainAndAgain(fleet, 2, disturb);
        REQUIRE(counts.sentLate_ <= kMostSentLate);
        REQUIRE(counts.othersRefused_ == 0);
      }
    }
  }
}
