#include "gateway/FleetRetryBudget.h"

namespace peridotsail {

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetOptions aOptions)
  : options_(aOptions)
{
}

void
FleetRetryBudget::SetHosts(std::size_t aHosts)
{
  hosts_ = aHosts;
}

RetryBudget&
FleetRetryBudget::BudgetFor(const std::string& aService)
{
  const auto found = budgets_.find(aService);
  if (found != budgets_.end()) {
    return found->second;
  }
  RetryBudgetOptions options;
  options.ratio_ = options_.ratio_ * options_.usableFraction_;
  options.floor_ = 0;
  return budgets_.emplace(aService, RetryBudget(options)).first->second;
}

void
FleetRetryBudget::RecordRequest(const std::string& aService, TimePoint aNow)
{
  BudgetFor(aService).RecordRequest(aNow);
}

bool
FleetRetryBudget::TryTake(const std::string& aService, TimePoint aNow)
{
  if (hosts_ == 0) {
    return false;
  }
  RetryBudget& budget = BudgetFor(aService);
  budget.SetFloor(options_.slack_ * options_.usableFraction_ /
                  static_cast<double>(hosts_));
  return budget.TryTake(aNow);
}

}
