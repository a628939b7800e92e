#pragma once

// Simulates the hosts of one region that share the servers of one pool, to
// compare ways to choose a server. Deterministic: the same case and seed give
// the same result. Uses the product's BackendPool, FairQueue and RetryBudget.

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
  // Least loaded of two with reports, without regard to shares.
  LeastOfTwo,
  // Least loaded of two within the own share only.
  DividedSlots,
  // The product: the own share first; beyond it while the retry budget lasts.
  SharesThenAny,
};

const char*
NameOf(SelectionPolicy aPolicy);

struct SelectionCase
{
  std::string name_;
  int servers_ = 20;
  int slots_ = 3;
  int hosts_ = 2;
  // Offered load as a part of all slots, at the nominal service time.
  double load_ = 0.8;
  // The first host's part of the offered load; 0 means equal parts.
  double firstHostPart_ = 0;
  Duration reportPeriod_ = std::chrono::seconds(1);
  // Time by which a report is out of date when it arrives.
  Duration reportLag_ = std::chrono::milliseconds(6);
  // The last hosts receive no requests but still count for the division.
  int deadHosts_ = 0;
  // The first servers need four times the service time.
  int slowServers_ = 0;
  // The last server reports no load, whatever it runs.
  bool misleading_ = false;
  int requests_ = 20000;
};

struct SelectionResult
{
  std::uint64_t requests_ = 0;
  // Answers of servers without a free slot.
  std::uint64_t shed_ = 0;
  // Requests that were not served.
  std::uint64_t refused_ = 0;
  // From arrival at the host to the start of the run on the server.
  double waitP50Ms_ = 0;
  double waitP99Ms_ = 0;
};

SelectionResult
Simulate(const SelectionCase& aCase,
         SelectionPolicy aPolicy,
         std::uint64_t aSeed);

// The cases of the benchmark and of docs/notes/backend.md.
std::vector<SelectionCase>
SelectionCases();

}
