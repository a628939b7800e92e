// Counts refused requests within a customer's rate for several distributions of
// callers, network delays and faults, with token loans and rate loans. All
// numbers are counts from a simulation with a fixed seed.
//
//   budget_benchmark

#include "budget/testing/Scenarios.h"

#include <cstdio>

using namespace peridotsail;

int
main()
{
  std::printf("%-10s %-10s %-7s %6s %6s %6s %8s %8s %9s %7s %9s\n",
              "scenario",
              "arrivals",
              "loans",
              "wait",
              "oneway",
              "burst",
              "requests",
              "refused",
              "wrongful",
              "waited",
              "messages");
  for (const Scenario& scenario : AllScenarios()) {
    const ScenarioResult result = RunScenario(scenario);
    std::printf(
      "%-10s %-10s %-7s %3d ms %3d ms %6.0f %8zu %8zu %9zu %7zu %9zu\n",
      NameOf(scenario.kind_),
      scenario.poissonArrivals_ ? "poisson" : "even",
      scenario.loans_ == LoanKind::Rate ? "rate" : "tokens",
      scenario.waitMs_,
      scenario.oneWayMs_,
      scenario.burst_,
      result.requests_,
      result.refused_,
      result.wronglyRefused_,
      result.admittedAfterWait_,
      result.messages_);
  }
  return 0;
}
