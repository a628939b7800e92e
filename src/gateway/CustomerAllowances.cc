#include "gateway/CustomerAllowances.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace peridotsail {

namespace {

// Demand below this does not change shares; requests a second.
constexpr double kLeastDemand = 0.5;
// Demand is published when it changed by this part since the last time.
constexpr double kDemandChange = 0.25;
constexpr double kLeastDemandChange = 2;

}

void
UpdateDemand(std::map<std::string, double>& aPublished,
             const std::map<std::string, double>& aMeasured)
{
  const std::map<std::string, double> old = aPublished;
  const auto take =
    [&](const std::string& aCustomer, double aOld, double aDemand) {
      const double step =
        std::max(kLeastDemandChange, kDemandChange * std::max(aOld, aDemand));
      if (std::abs(aOld - aDemand) > step) {
        aPublished[aCustomer] = aDemand;
      }
    };
  for (const auto& [customer, demand] : aMeasured) {
    const auto found = old.find(customer);
    take(customer, found == old.end() ? 0 : found->second, demand);
  }
  for (const auto& [customer, demand] : old) {
    if (aMeasured.count(customer) == 0) {
      take(customer, demand, 0);
    }
  }
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
  double known = 0;
  std::optional<double> own;
  for (const auto& [name, host] : aHosts) {
    if (!host.demandKnown_) {
      continue;
    }
    const auto found = host.demand_.find(aCustomer);
    // Demand above the whole rate cannot be met and must not starve the others.
    const double demand =
      found == host.demand_.end() ? 0 : std::min(found->second, aRate);
    all += demand;
    ++known;
    if (name == aSelf) {
      own = demand;
    }
  }
  // Hosts that have not measured yet count as the mean of the others.
  const double mean = known > 0 ? all / known : 0;
  all += (hosts - known) * mean;
  const double assumed =
    std::max(kLeastDemand, options_.assumedDemand_ * aRate / hosts);
  const double byDemand =
    (own.value_or(mean) + assumed) / (all + hosts * assumed);
  return options_.equalPart_ / hosts + (1 - options_.equalPart_) * byDemand;
}

void
CustomerAllowances::Apply(const RoutingTable& aTable,
                          const std::map<std::string, HostRecord>& aHosts,
                          const std::string& aSelf,
                          TimePoint aNow)
{
  // Demand is counted from here on.
  if (measuredAt_ == TimePoint::min()) {
    measuredAt_ = aNow;
  }
  for (const GatewayCustomer& customer : aTable.Customers()) {
    auto [it, added] = accounts_.try_emplace(customer.name_, aNow);
    Account& account = it->second;
    account.rate_ = customer.ratePerSecond_;
    account.burst_ = customer.burst_;
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
  const double window = ToSeconds(options_.window_);
  const double limit = aAccount.rate_ * window + aAccount.burst_;
  const double tolerance =
    options_.depthPart_ * (options_.overage_ * limit + options_.slack_);
  const double depth =
    std::max(tolerance, aAccount.burst_ * options_.leastDepth_);
  const double refill = (limit + tolerance - depth) / window;
  // A bucket below one token would never admit a request.
  aAccount.bucket_.SetLimits(
    refill * share, std::max(1.0, depth * share), aNow);
  return share;
}

Admission
CustomerAllowances::TryTake(const GatewayCustomer& aCustomer, TimePoint aNow)
{
  Account* account = FindAccount(aCustomer.name_, aNow);
  if (account == nullptr) {
    return {};
  }
  ++account->requests_;
  TokenBucket& bucket = account->bucket_;
  if (bucket.TryTake(1, aNow)) {
    return {};
  }
  return { false, bucket.WaitFor(1), bucket.Rate() };
}

CustomerAllowances::Account*
CustomerAllowances::FindAccount(const std::string& aCustomer, TimePoint aNow)
{
  const auto found = accounts_.find(aCustomer);
  if (found == accounts_.end() || found->second.rate_ <= 0) {
    return nullptr;
  }
  UseShare(found->second, aNow);
  return &found->second;
}

void
CustomerAllowances::Give(const std::string& aCustomer,
                         double aTokens,
                         TimePoint aNow)
{
  if (Account* account = FindAccount(aCustomer, aNow)) {
    account->bucket_.Put(aTokens, aNow);
  }
}

double
CustomerAllowances::Missing(const std::string& aCustomer, TimePoint aNow)
{
  Account* account = FindAccount(aCustomer, aNow);
  if (account == nullptr) {
    return 0;
  }
  const TokenBucket& bucket = account->bucket_;
  const bool low = bucket.Level() < bucket.Cap() * options_.askBelow_;
  return low ? bucket.Cap() * options_.fillTo_ - bucket.Level() : 0;
}

double
CustomerAllowances::Lend(const std::string& aCustomer,
                         double aTokens,
                         TimePoint aNow)
{
  Account* account = FindAccount(aCustomer, aNow);
  if (account == nullptr) {
    return 0;
  }
  TokenBucket& bucket = account->bucket_;
  const double spare = bucket.Level() - bucket.Cap() * options_.lendAbove_;
  return bucket.TakeUpTo(std::clamp(aTokens, 0.0, std::max(0.0, spare)), aNow);
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
    const double weight =
      std::max(options_.demandWeight_, 1.0 / ++account.seconds_);
    account.demand_ += weight * (rate - account.demand_);
    if (account.demand_ >= kLeastDemand) {
      demand[name] = account.demand_;
    }
  }
  return demand;
}

}
