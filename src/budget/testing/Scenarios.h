#pragma once

// The measured scenarios of shared budgets: one customer with a rate of 50 a
// second sends 95% of it for 60 s, on 7 hosts in three regions.

#include "budget/SharedBudget.h"

#include <cstddef>
#include <vector>

namespace peridotsail {

enum class ScenarioKind
{
  // All callers on one host, which changes for a seventh of the time each.
  OneHost,
  // Each request on a random host.
  Spread,
  // All callers on one host, another one every 5 s.
  Moving,
  // As Spread, and the store is out for 30 s.
  StoreOutage,
  // As Spread over the remaining hosts, after one host was lost and until its
  // slot is claimed by its replacement.
  HostLost,
  // As Spread, beside a customer that sends eight times its rate.
  OverloadedNeighbor,
};

struct Scenario
{
  ScenarioKind kind_ = ScenarioKind::OneHost;
  bool poissonArrivals_ = false;
  LoanKind loans_ = LoanKind::ByBurst;
  // How long a request may wait for a token.
  int waitMs_ = 0;
  int oneWayMs_ = 55;
  double burst_ = 100;
  unsigned seed_ = 1;
};

struct ScenarioResult
{
  std::size_t requests_ = 0;
  std::size_t refused_ = 0;
  // Refused although one bucket for all hosts would have admitted them.
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
