// Tests customers' allowances in simulated fleets with message delays.

#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kWindow = 5;
// A customer's usual demand as a fraction of its rate.
constexpr double kUsualDemand = 1 / 1.6;

// A few large customers and many small ones, the usual mix on the members'
// platform.
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

// Generates requests. Callers of each customer connect to random hosts, half of
// them within one region that changes every few seconds.
class Callers
{
public:
  Callers(AllowanceFleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
    , random_(aSeed)
  {
  }

  // The customers request this fraction of their rates until the given time.
  void Run(std::size_t aCustomers, double aFraction, double aUntil)
  {
    std::vector<double> rates;
    double total = 0;
    for (std::size_t i = 0; i < aCustomers; ++i) {
      rates.push_back(fleet_.Customer(i).ratePerSecond_ * aFraction);
      total += rates.back();
    }
    std::discrete_distribution<std::size_t> customer(rates.begin(),
                                                     rates.end());
    std::exponential_distribution<double> gap(total);
    for (now_ += gap(random_); now_ < aUntil; now_ += gap(random_)) {
      const std::size_t index = customer(random_);
      fleet_.Request(HostFor(index), index, now_);
    }
    now_ = aUntil;
    fleet_.RunUntil(aUntil);
  }

private:
  std::size_t HostFor(std::size_t aCustomer)
  {
    constexpr std::size_t kRegions = 3;
    constexpr double kRegionPeriod = 9;
    const std::size_t hosts = fleet_.Hosts();
    std::size_t host =
      std::uniform_int_distribution<std::size_t>(0, hosts - 1)(random_);
    if (std::uniform_real_distribution<double>(0, 1)(random_) < 0.5) {
      const std::size_t region =
        (aCustomer + static_cast<std::size_t>(now_ / kRegionPeriod)) % kRegions;
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
RefusedFraction(const FleetCounts& aCounts)
{
  return static_cast<double>(aCounts.refused_) / std::max(1, aCounts.requests_);
}

}

// Guards against refusals within the rate that increase with the number of
// hosts: a per-host share would be less than one token for most customers.
TEST_CASE("Nearly nothing within the rate is refused at any fleet size")
{
  const int hosts = GENERATE(7, 35, 117, 300);
  constexpr int kCustomers = 48;
  AllowanceFleet fleet(MakeAllowanceTable(RatesOf(kCustomers)), hosts, kSeed);
  Callers callers(fleet, kSeed);
  callers.Run(kCustomers, kUsualDemand, 8);
  fleet.Counts() = FleetCounts();
  callers.Run(kCustomers, kUsualDemand, 40);
  const FleetCounts& counts = fleet.Counts();
  INFO(hosts << " hosts, asked " << counts.requests_ << ", refused "
             << counts.refused_ << ", slow " << counts.slow_ << ", messages "
             << counts.messages_ << ", seed " << kSeed);
  CHECK(RefusedFraction(counts) < 0.001);
  CHECK(counts.slow_ < counts.requests_ / 50);
  // One request and one reply for each, plus the loans.
  CHECK(counts.messages_ < 4 * counts.requests_);
}

// Guards against refusing a customer that stays within its rate.
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
    CHECK(RefusedFraction(fleet.Counts()) < 0.001);
  }
  SECTION("all of it")
  {
    callers.Run(1, 1, 60);
    CHECK(RefusedFraction(fleet.Counts()) < 0.05);
  }
}

// Guards against refusals within the rate during host failures.
TEST_CASE("Faults of hosts refuse less than one request in a hundred")
{
  const int hosts = GENERATE(7, 35, 117);
  constexpr int kCustomers = 24;
  struct Row
  {
    const char* name_;
    std::function<void(AllowanceFleet&)> onStart_;
    std::function<void(AllowanceFleet&)> onSecondStep_;
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
    { "an owner is partitioned",
      [](AllowanceFleet& aFleet) {
        aFleet.Partition(aFleet.OwnerOf(0, 1), 28);
      },
      [](AllowanceFleet&) {} },
    { "hosts are added",
      [](AllowanceFleet& aFleet) { aFleet.AddHost(); },
      [](AllowanceFleet& aFleet) { aFleet.AddHost(); } },
    { "messages are lost, duplicated and delayed",
      [](AllowanceFleet& aFleet) {
        aFleet.SetFaults({ 0.02, 0.02, 0.2 });
      },
      [](AllowanceFleet&) {} },
  };
  for (const Row& row : rows) {
    AllowanceFleet fleet(MakeAllowanceTable(RatesOf(kCustomers)), hosts, kSeed);
    Callers callers(fleet, kSeed);
    callers.Run(kCustomers, kUsualDemand, 20);
    fleet.Counts() = FleetCounts();
    row.onStart_(fleet);
    callers.Run(kCustomers, kUsualDemand, 26);
    row.onSecondStep_(fleet);
    callers.Run(kCustomers, kUsualDemand, 40);
    const FleetCounts& counts = fleet.Counts();
    INFO(row.name_ << ", " << hosts << " hosts, asked " << counts.requests_
                   << ", refused " << counts.refused_ << ", slow "
                   << counts.slow_ << ", seed " << kSeed);
    CHECK(RefusedFraction(counts) < 0.01);
  }
}

// Guards the limit over all hosts under every fault, with callers that request
// three times their rate and move between regions.
TEST_CASE("No window has more than rate and burst over all hosts")
{
  struct Row
  {
    const char* name_;
    // Called every second.
    std::function<void(AllowanceFleet&, int, std::mt19937_64&)> everySecond_;
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
    { "no faults", nothing, {} },
    { "messages lost", nothing, { 0.3, 0, 0 } },
    { "messages duplicated", nothing, { 0, 0.5, 0 } },
    { "messages delayed", nothing, { 0, 0, 3 } },
    { "messages with every fault", nothing, { 0.1, 0.3, 2 } },
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
    { "owners are partitioned",
      [&](AllowanceFleet& aFleet, int aSecond, std::mt19937_64& aRandom) {
        if (aSecond % 12 == 4) {
          aFleet.Partition(anyOwner(aFleet, aRandom), aSecond + 8.0);
        }
      },
      {} },
    { "hosts are added",
      [](AllowanceFleet& aFleet, int aSecond, std::mt19937_64&) {
        if (aSecond % 8 == 6) {
          aFleet.AddHost();
        }
      },
      {} },
    { "a region is cut from the store as hosts are added",
      [](AllowanceFleet& aFleet, int aSecond, std::mt19937_64&) {
        constexpr std::size_t kRegions = 3;
        if (aSecond % 12 != 4) {
          return;
        }
        for (std::size_t i = 1; i < aFleet.Hosts(); i += kRegions) {
          aFleet.CutFromStore(i, aSecond + 5.0);
        }
        for (std::size_t i = 0; i < kRegions; ++i) {
          aFleet.AddHost();
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
        row.everySecond_(fleet, second, random);
        callers.Run(2, 3, second + 1);
      }
      for (std::size_t customer = 0; customer < 2; ++customer) {
        const std::vector<double>& admitted = fleet.Admitted(customer);
        const double rate = fleet.Customer(customer).ratePerSecond_;
        CHECK(static_cast<double>(admitted.size()) > rate * 40 / 4);
        CHECK(MaxInWindow(admitted, kWindow) <=
              AllowanceFleet::Bound(fleet.Customer(customer)));
      }
    }
  }
}

// Guards against shares that stay small after all hosts restart.
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
  CHECK(MaxInWindow(admitted, kWindow) <=
        AllowanceFleet::Bound(fleet.Customer(0)));
}

// Guards against messages for each refused request: the message count may grow
// with the number of hosts but not with the request rate of an abusive
// customer.
TEST_CASE(
  "A customer far over its limit costs no more messages the more it asks")
{
  const auto messagesAt = [](double aFraction) {
    AllowanceFleet fleet(MakeAllowanceTable({ 20 }), 35, kSeed);
    Callers callers(fleet, kSeed);
    callers.Run(1, aFraction, 30);
    INFO("asked " << fleet.Counts().requests_);
    return fleet.Counts().messages_;
  };
  const int some = messagesAt(20);
  const int many = messagesAt(80);
  INFO("messages " << some << " and " << many);
  CHECK(many < some * 3 / 2);
}
