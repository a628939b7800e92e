// Customers' allowances over whole fleets, with messages that take time.

#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kWindow = 5;
// A customer's usual demand, as a part of its rate.
constexpr double kUsual = 1 / 1.6;

// A few large customers and many small ones, as members have.
std::vector<double>
RatesOf(int aCustomers)
{
  std::vector<double> rates;
  rates.reserve(static_cast<std::size_t>(aCustomers));
  for (int i = 0; i < aCustomers; ++i) {
    rates.push_back(i % 12 == 0 ? 90 : 3 + 0.5 * (i % 12));
  }
  return rates;
}

// Callers of each customer connect to hosts at random, most of them in a region
// that changes every few seconds.
class Callers
{
public:
  Callers(AllowanceFleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
    , random_(aSeed)
  {
  }

  // The customers ask for this part of their rates until the time.
  void Run(std::size_t aCustomers, double aPart, double aUntil)
  {
    std::vector<double> rates;
    double total = 0;
    for (std::size_t i = 0; i < aCustomers; ++i) {
      rates.push_back(fleet_.Customer(i).ratePerSecond_ * aPart);
      total += rates.back();
    }
    std::discrete_distribution<std::size_t> customer(rates.begin(),
                                                     rates.end());
    std::exponential_distribution<double> gap(total);
    for (now_ += gap(random_); now_ < aUntil; now_ += gap(random_)) {
      const std::size_t who = customer(random_);
      fleet_.Request(HostFor(who), who, now_);
    }
    now_ = aUntil;
    fleet_.RunUntil(aUntil);
  }

private:
  std::size_t HostFor(std::size_t aCustomer)
  {
    constexpr std::size_t kRegions = 3;
    constexpr double kStay = 9;
    const std::size_t hosts = fleet_.Hosts();
    std::size_t host =
      std::uniform_int_distribution<std::size_t>(0, hosts - 1)(random_);
    if (std::uniform_real_distribution<double>(0, 1)(random_) < 0.5) {
      const std::size_t region =
        (aCustomer + static_cast<std::size_t>(now_ / kStay)) % kRegions;
      host -= host % kRegions;
      host = host + region < hosts ? host + region : region;
    }
    return host;
  }

  AllowanceFleet& fleet_;
  std::mt19937_64 random_;
  double now_ = 0;
};

double
PartRefused(const FleetCounts& aCounts)
{
  return static_cast<double>(aCounts.refused_) / std::max(1, aCounts.asked_);
}

}

// Guards against refusals within the rate that grow with the fleet: shares of
// single hosts are less than a token each for most customers.
TEST_CASE("Nearly nothing within the rate is refused at any fleet size")
{
  const int hosts = GENERATE(7, 35, 117, 300);
  constexpr int kCustomers = 48;
  AllowanceFleet fleet(MakeAllowanceTable(RatesOf(kCustomers)), hosts, kSeed);
  Callers callers(fleet, kSeed);
  callers.Run(kCustomers, kUsual, 8);
  fleet.Counts() = FleetCounts();
  callers.Run(kCustomers, kUsual, 40);
  const FleetCounts& counts = fleet.Counts();
  INFO(hosts << " hosts, asked " << counts.asked_ << ", refused "
             << counts.refused_ << ", slow " << counts.slow_ << ", messages "
             << counts.messages_ << ", seed " << kSeed);
  CHECK(PartRefused(counts) < 0.001);
  CHECK(counts.slow_ < counts.asked_ / 50);
  // A request and an answer for each, and the loans.
  CHECK(counts.messages_ < 4 * counts.asked_);
}

// Guards against a customer that is refused although it stays at its rate.
TEST_CASE("A customer who asks for its whole rate gets nearly all of it")
{
  const double rate = GENERATE(5.0, 26.0, 140.0);
  AllowanceFleet fleet(MakeAllowanceTable({ rate }), 7, kSeed);
  Callers callers(fleet, kSeed);
  callers.Run(1, 0.8, 8);
  fleet.Counts() = FleetCounts();
  SECTION("four fifths of it")
  {
    callers.Run(1, 0.8, 60);
    CHECK(PartRefused(fleet.Counts()) < 0.001);
  }
  SECTION("all of it")
  {
    callers.Run(1, 1, 60);
    CHECK(PartRefused(fleet.Counts()) < 0.05);
  }
}

// Guards against refusals within the rate while hosts fail.
TEST_CASE("Faults of hosts refuse less than one request in a hundred")
{
  const int hosts = GENERATE(7, 35, 117);
  constexpr int kCustomers = 24;
  struct Row
  {
    const char* name_;
    std::function<void(AllowanceFleet&)> begin_;
    std::function<void(AllowanceFleet&)> later_;
  };
  const Row rows[] = {
    { "an owner is killed and starts again",
      [](AllowanceFleet& aFleet) { aFleet.Kill(aFleet.OwnerOf(0, 1)); },
      [](AllowanceFleet& aFleet) {
        for (std::size_t i = 0; i < aFleet.Hosts(); ++i) {
          aFleet.StartIfKilled(i);
        }
      } },
    { "an owner is lost for good",
      [](AllowanceFleet& aFleet) { aFleet.Kill(aFleet.OwnerOf(0, 1)); },
      [](AllowanceFleet&) {} },
    { "an owner is frozen",
      [](AllowanceFleet& aFleet) { aFleet.Freeze(aFleet.OwnerOf(0, 1), 24); },
      [](AllowanceFleet&) {} },
    { "an owner is cut off",
      [](AllowanceFleet& aFleet) { aFleet.Cut(aFleet.OwnerOf(0, 1), 28); },
      [](AllowanceFleet&) {} },
    { "hosts are added",
      [](AllowanceFleet& aFleet) { aFleet.Join(); },
      [](AllowanceFleet& aFleet) { aFleet.Join(); } },
    { "messages are lost, doubled and late",
      [](AllowanceFleet& aFleet) {
        aFleet.SetFaults({ 0.02, 0.02, 0.2 });
      },
      [](AllowanceFleet&) {} },
  };
  for (const Row& row : rows) {
    AllowanceFleet fleet(MakeAllowanceTable(RatesOf(kCustomers)), hosts, kSeed);
    Callers callers(fleet, kSeed);
    callers.Run(kCustomers, kUsual, 20);
    fleet.Counts() = FleetCounts();
    row.begin_(fleet);
    callers.Run(kCustomers, kUsual, 26);
    row.later_(fleet);
    callers.Run(kCustomers, kUsual, 40);
    const FleetCounts& counts = fleet.Counts();
    INFO(row.name_ << ", " << hosts << " hosts, asked " << counts.asked_
                   << ", refused " << counts.refused_ << ", slow "
                   << counts.slow_ << ", seed " << kSeed);
    CHECK(PartRefused(counts) < 0.01);
  }
}

// Guards the limit over all hosts, in all faults, with callers who ask for
// three times their rate and move between regions.
TEST_CASE("No window has more than rate and burst over all hosts")
{
  struct Row
  {
    const char* name_;
    // Runs each second.
    std::function<void(AllowanceFleet&, int, std::mt19937_64&)> second_;
    FleetFaults faults_;
  };
  const auto anyOwner = [](AllowanceFleet& aFleet, std::mt19937_64& aRandom) {
    return aFleet.OwnerOf(
      std::uniform_int_distribution<std::size_t>(0, 1)(aRandom),
      std::uniform_int_distribution<std::size_t>(0, 2)(aRandom));
  };
  const auto nothing = [](AllowanceFleet&, int, std::mt19937_64&) {};
  const auto restart = [](AllowanceFleet& aFleet) {
    for (std::size_t i = 0; i < aFleet.Hosts(); ++i) {
      aFleet.StartIfKilled(i);
    }
  };
  const Row rows[] = {
    { "sound", nothing, {} },
    { "messages lost", nothing, { 0.3, 0, 0 } },
    { "messages doubled", nothing, { 0, 0.5, 0 } },
    { "messages late", nothing, { 0, 0, 3 } },
    { "messages in every fault", nothing, { 0.1, 0.3, 2 } },
    { "owners are killed and start again",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64& aRandom) {
        if (aSecond % 7 == 3) {
          aFleet.Kill(anyOwner(aFleet, aRandom));
        } else if (aSecond % 7 == 5) {
          restart(aFleet);
        }
      },
      {} },
    { "owners are killed and replaced",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64& aRandom) {
        if (aSecond % 9 == 3) {
          aFleet.Kill(anyOwner(aFleet, aRandom));
        } else if (aSecond % 9 == 1) {
          restart(aFleet);
        }
      },
      {} },
    { "owners freeze",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64& aRandom) {
        if (aSecond % 6 == 2) {
          aFleet.Freeze(anyOwner(aFleet, aRandom), aSecond + 3.5);
        }
      },
      {} },
    { "owners are cut off",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64& aRandom) {
        if (aSecond % 12 == 4) {
          aFleet.Cut(anyOwner(aFleet, aRandom), aSecond + 8.0);
        }
      },
      {} },
    { "hosts are added",
      [](AllowanceFleet& aFleet, int aSecond, std::mt19937_64&) {
        if (aSecond % 8 == 6) {
          aFleet.Join();
        }
      },
      {} },
    { "all processes are killed",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64&) {
        if (aSecond == 20) {
          for (std::size_t i = 0; i < aFleet.Hosts(); ++i) {
            aFleet.Kill(i);
          }
        } else if (aSecond == 21) {
          restart(aFleet);
        }
      },
      {} },
  };
  const int hosts = GENERATE(7, 35);
  for (const Row& row : rows) {
    for (std::uint64_t seed = kSeed; seed < kSeed + 4; ++seed) {
      INFO(row.name_ << ", " << hosts << " hosts, seed " << seed);
      AllowanceFleet fleet(MakeAllowanceTable({ 60, 8 }), hosts, seed);
      fleet.SetFaults(row.faults_);
      Callers callers(fleet, seed);
      std::mt19937_64 random(seed);
      for (int second = 0; second < 40; ++second) {
        row.second_(fleet, second, random);
        callers.Run(2, 3, second + 1);
      }
      for (std::size_t customer = 0; customer < 2; ++customer) {
        const std::vector<double>& admitted = fleet.Admitted(customer);
        const double rate = fleet.Customer(customer).ratePerSecond_;
        CHECK(static_cast<double>(admitted.size()) > rate * 40 / 4);
        CHECK(MostInWindow(admitted, kWindow) <=
              AllowanceFleet::Bound(fleet.Customer(customer)));
      }
    }
  }
}

// Guards the time after a restart of all hosts: shares must not stay small.
TEST_CASE("Allowances are whole again soon after all hosts restart")
{
  constexpr double kRate = 340;
  AllowanceFleet fleet(MakeAllowanceTable({ kRate }), 7, kSeed);
  Callers callers(fleet, kSeed);
  callers.Run(1, 2, 20);
  for (std::size_t i = 0; i < fleet.Hosts(); ++i) {
    fleet.Kill(i);
  }
  callers.Run(1, 2, 20.5);
  for (std::size_t i = 0; i < fleet.Hosts(); ++i) {
    fleet.StartIfKilled(i);
  }
  callers.Run(1, 2, 28);
  const std::vector<double>& admitted = fleet.Admitted(0);
  const auto between = [&](double aFrom, double aUntil) {
    return static_cast<double>(
      std::lower_bound(admitted.begin(), admitted.end(), aUntil) -
      std::lower_bound(admitted.begin(), admitted.end(), aFrom));
  };
  const double limit = kRate * kWindow + kRate;
  INFO("admitted " << between(20.5, 25.5) << " of " << limit);
  CHECK(between(20.5, 25.5) >= 0.85 * limit);
  CHECK(MostInWindow(admitted, kWindow) <=
        AllowanceFleet::Bound(fleet.Customer(0)));
}

// Guards against abuse that costs messages for each refused request: they may
// grow with the hosts, not with the abuse.
TEST_CASE(
  "A customer far over its limit costs no more messages the more it asks")
{
  const auto messagesAt = [](double aPart) {
    AllowanceFleet fleet(MakeAllowanceTable({ 20 }), 35, kSeed);
    Callers callers(fleet, kSeed);
    callers.Run(1, aPart, 30);
    INFO("asked " << fleet.Counts().asked_);
    return fleet.Counts().messages_;
  };
  const int some = messagesAt(20);
  const int many = messagesAt(80);
  INFO("messages " << some << " and " << many);
  CHECK(many < some * 3 / 2);
}
