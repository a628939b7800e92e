#pragma once

// Scenarios for shared budgets: a customer with a rate of 50 per second sends
// 95% of this rate for 60 s to 7 hosts in three regions.

#include "budget/SharedBudget.h"

#include <cstddef>
#include <vector>

namespace peridotsail {

enum class ScenarioKind
{
  // All requests go to one host, selected by the seed.
  OneHost,
  // Each request goes to a random host.
  Spread,
  // All requests go to one host, which changes every 5 s.
  Moving,
  // Like Spread, with a store outage of 30 s.
  StoreOutage,
  // Like Spread over the remaining hosts, with one host that fails and is
  // replaced after one second.
  HostLost,
  // Like Spread, with a second customer that sends eight times its rate.
  OverloadedNeighbor,
};

struct Scenario
{
  ScenarioKind kind_ = ScenarioKind::OneHost;
  bool poissonArrivals_ = false;
  LoanKind loans_ = LoanKind::ByBurst;
  // Maximum time that a request may wait for a token.
  int waitMs_ = 0;
  int oneWayMs_ = 55;
  double burst_ = 100;
  unsigned seed_ = 1;
};

struct ScenarioResult
{
  std::size_t requests_ = 0;
  std::size_t refused_ = 0;
  // Refused although a central bucket would have admitted them.
  std::size_t wronglyRefused_ = 0;
  std::size_t messages_ = 0;
  // Admitted after a wait.
  std::size_t admittedAfterWait_ = 0;
};

const char*
NameOf(ScenarioKind aKind);

std::vector<Scenario>
AllScenarios();

ScenarioResult
RunScenario(const Scenario& aScenario);

}
