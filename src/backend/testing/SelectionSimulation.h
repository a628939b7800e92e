#pragma once

// Simulates the hosts of one region that share the servers of one pool, to
// compare server selection policies. Deterministic for a given case and seed.
// Uses the production classes BackendPool, FairQueue and RetryBudget.

#include "backend/BackendPool.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotsail {

enum class SelectionPolicy
{
  Random,
  RoundRobin,
  LeastOwnInFlight,
  // Power of two choices with load reports, ignoring shares.
  LeastLoadedOfTwo,
  // Power of two choices within the own share only.
  OwnShareOnly,
  // The default of BackendPool: the own share first, then any slot while the
  // retry budget lasts.
  OwnShareFirst,
};

const char*
NameOf(SelectionPolicy aPolicy);

struct SelectionCase
{
  std::string name_;
  int servers_ = 20;
  int slots_ = 3;
  int hosts_ = 2;
  // Offered load as a fraction of all slots, at the nominal service time.
  double load_ = 0.8;
  // The first host's fraction of the offered load; 0 for an even distribution.
  double firstHostFraction_ = 0;
  Duration reportPeriod_ = std::chrono::seconds(1);
  // Age of a report when it arrives.
  Duration reportLag_ = std::chrono::milliseconds(6);
  // Number of hosts, from the end, that receive no requests but still have a
  // share of the slots.
  int deadHosts_ = 0;
  // Number of servers, from the start, that take four times the service time.
  int slowServers_ = 0;
  // Whether the last server always reports that it is idle.
  bool reportsWrongLoad_ = false;
  int requests_ = 20000;
};

struct SelectionResult
{
  std::uint64_t requests_ = 0;
  // Attempts shed by servers without a free slot.
  std::uint64_t shed_ = 0;
  // Requests that were not served.
  std::uint64_t refused_ = 0;
  // Time from arrival at the host to the start of service.
  double waitP50Ms_ = 0;
  double waitP99Ms_ = 0;
};

SelectionResult
Simulate(const SelectionCase& aCase,
         SelectionPolicy aPolicy,
         std::uint64_t aSeed);

// The cases of selection_benchmark, reported in docs/notes/backend.md.
std::vector<SelectionCase>
SelectionCases();

}
