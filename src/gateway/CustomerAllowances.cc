#include "gateway/CustomerAllowances.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// Demand below this does not change shares; requests a second.
constexpr double kLeastDemand = 0.5;
// Demand is published when it changed by this part since the last time.
constexpr double kDemandChange = 0.25;
constexpr double kLeastDemandChange = 2;

}

bool
DemandChanged(const std::map<std::string, double>& aOld,
              const std::map<std::string, double>& aNew)
{
  const auto differs = [](const std::map<std::string, double>& aLeft,
                          const std::map<std::string, double>& aRight) {
    return std::any_of(aLeft.begin(), aLeft.end(), [&](const auto& aEntry) {
      const auto found = aRight.find(aEntry.first);
      const double other = found == aRight.end() ? 0 : found->second;
      const double step = std::max(
        kLeastDemandChange, kDemandChange * std::max(aEntry.second, other));
      return std::abs(aEntry.second - other) > step;
    });
  };
  return differs(aOld, aNew) || differs(aNew, aOld);
}

CustomerAllowances::CustomerAllowances(AllowanceOptions aOptions)
  : options_(aOptions)
{
}

double
CustomerAllowances::TargetShare(const std::string& aCustomer,
                                double aRate,
                                const std::map<std::string, HostRecord>& aHosts,
                                const std::string& aSelf) const
{
  // This host counts also while its registration is not there yet.
  const double hosts =
    static_cast<double>(aHosts.size() + (aHosts.count(aSelf) == 0 ? 1 : 0));
  double all = 0;
  double own = 0;
  for (const auto& [name, host] : aHosts) {
    const auto found = host.demand_.find(aCustomer);
    // Demand above the whole rate cannot be met and must not starve the others.
    const double demand =
      found == host.demand_.end() ? 0 : std::min(found->second, aRate);
    all += demand;
    if (name == aSelf) {
      own = demand;
    }
  }
  const double assumed =
    std::max(kLeastDemand, options_.assumedDemand_ * aRate / hosts);
  const double byDemand = (own + assumed) / (all + hosts * assumed);
  return options_.equalPart_ / hosts + (1 - options_.equalPart_) * byDemand;
}

void
CustomerAllowances::Apply(const RoutingTable& aTable,
                          const std::map<std::string, HostRecord>& aHosts,
                          const std::string& aSelf,
                          TimePoint aNow)
{
  for (const GatewayCustomer& customer : aTable.Customers()) {
    auto [it, added] = accounts_.try_emplace(customer.name_, aNow);
    Account& account = it->second;
    account.rate_ = customer.ratePerSecond_;
    account.burst_ = customer.burst_;
    account.hosts_ = std::max<double>(1, static_cast<double>(aHosts.size()));
    const double target =
      TargetShare(customer.name_, customer.ratePerSecond_, aHosts, aSelf);
    if (added || target != account.targets_.back().second) {
      account.targets_.emplace_back(aNow, target);
    }
    const double share = UseShare(account, aNow);
    if (added) {
      account.bucket_.Put(
        account.rate_ * share * ToSeconds(options_.firstTokens_), aNow);
    }
  }
}

double
CustomerAllowances::UseShare(Account& aAccount, TimePoint aNow)
{
  std::deque<std::pair<TimePoint, double>>& targets = aAccount.targets_;
  while (targets.size() > 1 &&
         aNow - targets[1].first >= options_.raiseDelay_) {
    targets.pop_front();
  }
  double share = targets.front().second;
  for (const auto& [at, target] : targets) {
    share = std::min(share, target);
  }
  const double spread =
    aAccount.burst_ * options_.spreadBurst_ / ToSeconds(options_.window_);
  const double bucket = aAccount.burst_ * (1 - options_.spreadBurst_);
  // A bucket below one token would never admit a request.
  const double cap =
    std::max(1.0, bucket * share + options_.slack_ / 2 / aAccount.hosts_);
  aAccount.bucket_.SetLimits((aAccount.rate_ + spread) * share, cap, aNow);
  return share;
}

Admission
CustomerAllowances::TryTake(const GatewayCustomer& aCustomer, TimePoint aNow)
{
  const auto found = accounts_.find(aCustomer.name_);
  if (aCustomer.ratePerSecond_ <= 0 || found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  ++account.requests_;
  UseShare(account, aNow);
  if (account.bucket_.TryTake(1, aNow)) {
    return {};
  }
  return { false, account.bucket_.WaitFor(1), account.bucket_.Rate() };
}

std::map<std::string, double>
CustomerAllowances::MeasureDemand(TimePoint aNow)
{
  std::map<std::string, double> demand;
  const double seconds =
    measuredAt_ == TimePoint::min() ? 1.0 : ToSeconds(aNow - measuredAt_);
  measuredAt_ = aNow;
  for (auto& [name, account] : accounts_) {
    const double rate = account.requests_ / std::max(seconds, 0.1);
    account.requests_ = 0;
    account.demand_ += options_.demandWeight_ * (rate - account.demand_);
    if (account.demand_ >= kLeastDemand) {
      demand[name] = account.demand_;
    }
  }
  return demand;
}

}
