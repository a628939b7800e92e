#pragma once

// Bounds repeated attempts on the backend servers of each service over all
// hosts: each host may repeat a part of its own requests, and has an equal part
// of the fixed addition. Pure.
//
//   budget.RecordRequest(service, now);
//   if (budget.TryTake(service, now)) { send it again }

#include "backend/RetryBudget.h"

#include <map>
#include <string>

namespace peridotsail {

struct FleetRetryBudgetOptions
{
  // Repeats for each request and the fixed addition in any window, from the
  // platform's bounds.
  double ratio_ = 0.2;
  double slack_ = 64;
  // The part of these that is used. The rest covers the window's edges: a
  // window of whole seconds is up to a second shorter than the bound's.
  double part_ = 0.75;
};

class FleetRetryBudget
{
public:
  explicit FleetRetryBudget(FleetRetryBudgetOptions aOptions);

  // The number of hosts that share the addition; zero while unknown, when
  // nothing may be repeated.
  void SetHosts(std::size_t aHosts);
  void RecordRequest(const std::string& aService, TimePoint aNow);
  bool TryTake(const std::string& aService, TimePoint aNow);

private:
  RetryBudget& BudgetOf(const std::string& aService);

  FleetRetryBudgetOptions options_;
  std::size_t hosts_ = 0;
  std::map<std::string, RetryBudget> budgets_;
};

}
