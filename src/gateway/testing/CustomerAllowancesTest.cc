#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;

struct Refusals
{
  int asked_ = 0;
  int refused_ = 0;
};

// A customer asks for a steady rate at seven hosts, of which three get twice as
// much as the others; counted once the hosts have learned that.
Refusals
AskSteadily(const RoutingTable& aTable, double aPerSecond, double aSeconds)
{
  constexpr double kCountFrom = 5;
  const GatewayCustomer& customer = aTable.Customers().front();
  std::mt19937_64 random(kSeed);
  AllowanceFleet fleet(7, kSeed);
  std::discrete_distribution<std::size_t> anyHost({ 2, 2, 2, 1, 1, 1, 1 });
  std::exponential_distribution<double> gap(aPerSecond);
  Refusals result;
  int step = 0;
  double nextStep = 0;
  for (double now = 0; now < aSeconds; now += gap(random)) {
    while (now >= nextStep) {
      fleet.Step(aTable, nextStep, step++ % 5 == 0);
      nextStep += 0.2;
    }
    const bool ok = fleet.TryTake(anyHost(random), customer, now);
    if (now > kCountFrom) {
      ++result.asked_;
      result.refused_ += ok ? 0 : 1;
    }
  }
  return result;
}

}

// Guards against a customer that gets more than its rate and burst when its
// callers move between hosts, when a host restarts and when hosts are added.
TEST_CASE("No window has more than rate and burst over all hosts")
{
  struct Row
  {
    const char* name_;
    // The host that gets a request at a time.
    std::function<std::size_t(double, std::size_t, std::mt19937_64&)> host_;
    bool restarts_;
    bool joins_;
  };
  const auto spread = [](double, std::size_t aHosts, std::mt19937_64& aRandom) {
    return std::uniform_int_distribution<std::size_t>(0, aHosts - 1)(aRandom);
  };
  const Row rows[] = {
    { "spread", spread, false, false },
    { "one host",
      [](double, std::size_t, std::mt19937_64&) { return std::size_t{ 0 }; },
      false,
      false },
    // All callers move to another region's hosts, as when a school opens.
    { "moving between regions",
      [](double aNow, std::size_t, std::mt19937_64& aRandom) {
        constexpr double kStay = 7;
        const std::size_t region = static_cast<std::size_t>(aNow / kStay) % 3;
        const std::size_t first = region == 0 ? 0 : 1 + 2 * region;
        const std::size_t last = region == 0 ? 2 : first + 1;
        return std::uniform_int_distribution<std::size_t>(first, last)(aRandom);
      },
      false,
      false },
    { "restarts", spread, true, false },
    { "hosts are added", spread, false, true },
  };
  constexpr double kRate = 40;
  constexpr double kBurst = 40;
  constexpr double kWindow = 5;
  const RoutingTablePtr table = MakeAllowanceTable(kRate, kBurst);
  const GatewayCustomer& customer = table->Customers().front();
  for (const Row& row : rows) {
    INFO(row.name_ << " seed " << kSeed);
    std::mt19937_64 random(kSeed);
    AllowanceFleet fleet(7, kSeed);
    std::vector<double> admitted;
    int step = 0;
    for (double now = 0; now < 40; now += 0.002, ++step) {
      if (step % 100 == 0) {
        fleet.Step(*table, now, step % 500 == 0);
      }
      if (row.restarts_ && step % 2500 == 2000) {
        for (std::size_t i = 0; i < fleet.allowances_.size(); ++i) {
          fleet.Restart(i);
        }
        fleet.Step(*table, now, false);
      }
      if (row.joins_ && step == 10000) {
        for (int i = 0; i < 3; ++i) {
          fleet.Join();
        }
        fleet.Step(*table, now, false);
      }
      const std::size_t host = row.host_(now, fleet.allowances_.size(), random);
      if (fleet.TryTake(host, customer, now)) {
        admitted.push_back(now);
      }
    }
    CHECK(static_cast<double>(admitted.size()) > kRate * 40 / 4);
    const double bound = (kRate * kWindow + kBurst) * 1.1 + 20;
    REQUIRE(MostInWindow(admitted, kWindow) <= bound);
  }
}

// Guards against refusals below the rate while callers are spread.
TEST_CASE("At four fifths of the rate nearly nothing is refused")
{
  const Refusals result = AskSteadily(*MakeAllowanceTable(140, 140), 112, 30);
  INFO("asked " << result.asked_ << " refused " << result.refused_ << " seed "
                << kSeed);
  CHECK(result.refused_ <= result.asked_ / 50);
}

// Guards against refusals within the limit of a small customer who asks for its
// whole rate all the time: the bench's quiet days refused a quarter of such
// requests.
TEST_CASE("A customer who asks for its whole rate gets nearly all of it")
{
  constexpr double kRate = 26;
  const Refusals result =
    AskSteadily(*MakeAllowanceTable(kRate, kRate), kRate, 60);
  INFO("asked " << result.asked_ << " refused " << result.refused_ << " seed "
                << kSeed);
  // Retries of the refused ones are not counted here.
  CHECK(result.refused_ <= result.asked_ * 7 / 100);
}

// Guards the time after a restart of all hosts: when the first hosts have
// published their demand and the others have not, the shares of the others must
// not fall, since each host holds its lowest share of the last seconds.
TEST_CASE("Allowances are whole again soon after all hosts restart")
{
  constexpr double kRate = 340;
  constexpr double kBurst = 340;
  constexpr double kWindow = 5;
  constexpr double kLimit = kRate * kWindow + kBurst;
  constexpr double kRestart = 20;
  // How long a host is away, and its first measurement of demand.
  constexpr double kAway = 0.5;
  constexpr double kMeasure = 1.0;
  const RoutingTablePtr table = MakeAllowanceTable(kRate, kBurst);
  const GatewayCustomer& customer = table->Customers().front();
  std::mt19937_64 random(kSeed);
  std::uniform_int_distribution<std::size_t> anyHost(0, 6);
  // Twice the limit.
  std::exponential_distribution<double> gap(2 * kLimit / kWindow);
  AllowanceFleet fleet(7, kSeed);
  std::vector<double> admitted;
  double nextStep = 0;
  bool restarted = false;
  int step = 0;
  for (double now = 0; now < kRestart + 8; now += gap(random)) {
    const bool away = now >= kRestart && now < kRestart + kAway;
    if (away && !restarted) {
      restarted = true;
      fleet.RestartAll();
    }
    while (now >= nextStep) {
      const double since = nextStep - kRestart - kAway;
      for (std::size_t i = 0; i < fleet.allowances_.size(); ++i) {
        // Hosts measure each second, one after another.
        const bool due = step % 5 == static_cast<int>(i % 5);
        if (due && (nextStep < kRestart || since >= kMeasure)) {
          fleet.Publish(i, nextStep);
        }
      }
      if (!away) {
        fleet.Step(*table, nextStep, false);
      }
      ++step;
      nextStep += 0.2;
    }
    const std::size_t host = anyHost(random);
    if (!away && fleet.TryTake(host, customer, now)) {
      admitted.push_back(now);
    }
  }
  const auto between = [&](double aFrom, double aUntil) {
    return static_cast<double>(
      std::lower_bound(admitted.begin(), admitted.end(), aUntil) -
      std::lower_bound(admitted.begin(), admitted.end(), aFrom));
  };
  const double back = kRestart + kAway;
  INFO("seed " << kSeed << ", admitted after the restart "
               << between(back, back + kWindow) << " of " << kLimit);
  CHECK(between(back, back + kWindow) >= 0.85 * kLimit);
  for (double from = 0; from < kRestart + 3; from += 0.05) {
    REQUIRE(between(from, from + kWindow) <= 1.1 * kLimit + 20);
  }
}
