#pragma once

// Limits retries on the backend servers of each service across all hosts: each
// host may retry a fraction of its own requests and gets an equal share of a
// constant allowance. Performs no I/O.
//
//   budget.RecordRequest(service, now);
//   if (budget.TryTake(service, now)) { retry }

#include "backend/RetryBudget.h"

#include <map>
#include <string>

namespace peridotsail {

struct FleetRetryBudgetOptions
{
  // Retries per request and the constant allowance in any window, from the
  // platform's bounds.
  double ratio_ = 0.2;
  double slack_ = 64;
  // Fraction of these bounds that is used. The rest covers window edges: a
  // window of whole seconds is up to one second shorter than the window of the
  // bound.
  double usableFraction_ = 0.75;
};

class FleetRetryBudget
{
public:
  explicit FleetRetryBudget(FleetRetryBudgetOptions aOptions);

  // The number of hosts that share the constant allowance. While it is zero
  // (unknown), no retries are allowed.
  void SetHosts(std::size_t aHosts);
  void RecordRequest(const std::string& aService, TimePoint aNow);
  bool TryTake(const std::string& aService, TimePoint aNow);

private:
  RetryBudget& BudgetFor(const std::string& aService);

  FleetRetryBudgetOptions options_;
  std::size_t hosts_ = 0;
  std::map<std::string, RetryBudget> budgets_;
};

}
