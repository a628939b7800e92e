#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>

namespace peridotsail {

namespace {

const std::map<std::string, std::string> kDomains{ { "a", "east" },
                                                   { "b", "north" },
                                                   { "c", "west" } };
const std::vector<std::string> kRegions{ "east", "north", "west" };
// One-way latency in seconds.
constexpr double kLocalLatency = 0.0005;
constexpr double kRemoteLatency = 0.055;
// Lag in seconds until a host sees a change in the store.
constexpr double kMinLag = 0.1;
constexpr double kMaxLag = 1.2;
constexpr double kTick = 0.01;

}

double
MaxInWindow(const std::vector<double>& aAdmitted, double aWindow)
{
  std::size_t maxCount = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < aAdmitted.size(); ++begin) {
    while (end < aAdmitted.size() &&
           aAdmitted[end] < aAdmitted[begin] + aWindow) {
      ++end;
    }
    maxCount = std::max(maxCount, end - begin);
  }
  return static_cast<double>(maxCount);
}

RoutingTablePtr
MakeAllowanceTable(const std::vector<double>& aRates)
{
  RoutingTableParts parts;
  for (std::size_t i = 0; i < aRates.size(); ++i) {
    GatewayCustomer customer;
    customer.name_ = "customer-" + std::to_string(i);
    customer.ratePerSecond_ = aRates[i];
    customer.burst_ = aRates[i];
    parts.customers_.push_back(customer);
  }
  return std::make_shared<const RoutingTable>(parts);
}

AllowanceOptions
AllowanceFleet::Options()
{
  AllowanceOptions options;
  options.overage_ = 0.1;
  options.slack_ = 20;
  return options;
}

double
AllowanceFleet::Bound(const GatewayCustomer& aCustomer)
{
  const AllowanceOptions options = Options();
  const double limit =
    aCustomer.ratePerSecond_ * ToSeconds(options.window_) + aCustomer.burst_;
  return limit * (1 + options.overage_) + options.slack_;
}

AllowanceFleet::AllowanceFleet(RoutingTablePtr aTable,
                               int aHosts,
                               std::uint64_t aSeed)
  : table_(std::move(aTable))
  , random_(aSeed)
  , admitted_(table_->Customers().size())
{
  for (int i = 0; i < aHosts; ++i) {
    hosts_.emplace_back();
    records_[Name(hosts_.size() - 1)] = RecordOf(hosts_.size() - 1);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    MakeProcess(i);
  }
}

std::string
AllowanceFleet::Name(std::size_t aHost)
{
  return "h" + std::to_string(aHost);
}

HostRecord
AllowanceFleet::RecordOf(std::size_t aHost) const
{
  HostRecord record;
  record.name_ = Name(aHost);
  record.peers_ = std::to_string(aHost);
  record.region_ = kRegions[aHost % kRegions.size()];
  return record;
}

void
AllowanceFleet::MakeProcess(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  ++host.process_;
  host.alive_ = true;
  host.owners_ = std::make_unique<AllowanceOwners>(
    kDomains, kRegions[aHost % kRegions.size()], Name(aHost));
  host.allowances_ =
    std::make_unique<CustomerAllowances>(Options(), *host.owners_);
  host.loans_ = std::make_unique<AllowanceLoans>(
    *host.allowances_, *host.owners_, LoanOptions(), random_());
  GateHooks hooks;
  hooks.send_ = [this, aHost](const std::string& aTo,
                              const TakeRequest& aRequest) {
    Send(aHost, std::stoul(aTo), aRequest);
  };
  hooks.onTaken_ = [this, aHost](const ShareKey& aShare) {
    const auto loan =
      hosts_[aHost].loans_->MakeRequest(aShare, 1, FleetTime(now_));
    if (loan) {
      Send(aHost, std::stoul(loan->address_), loan->request_);
    }
  };
  hooks.viewAge_ = [this, aHost](TimePoint) {
    const Host& self = hosts_[aHost];
    if (now_ < self.cutUntil_) {
      return FromSeconds(now_ - self.cutSince_);
    }
    return IsPartitioned(self) ? FromSeconds(now_ - self.partitionedSince_)
                               : Duration::zero();
  };
  host.gate_ = std::make_unique<AllowanceGate>(*host.allowances_,
                                               *host.owners_,
                                               GateOptions(),
                                               std::move(hooks),
                                               random_());
  host.owners_->SetHosts(records_);
  host.allowances_->Apply(*table_, FleetTime(now_));
}

std::size_t
AllowanceFleet::OwnerOf(std::size_t aCustomer, std::size_t aShare)
{
  const ShareKey share{ Customer(aCustomer).name_, aShare };
  return std::stoul(hosts_.front().owners_->OwnerOf(share)->address_);
}

void
AllowanceFleet::Schedule(double aAt, std::function<void()> aTask)
{
  tasks_.emplace(aAt, std::move(aTask));
}

void
AllowanceFleet::PublishHosts()
{
  std::uniform_real_distribution<double> lag(kMinLag, kMaxLag);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const double at = std::max(now_ + lag(random_), hosts_[i].frozenUntil_);
    const double seen =
      std::max({ at, hosts_[i].partitionedUntil_, hosts_[i].cutUntil_ });
    Schedule(seen, [this, i, process = hosts_[i].process_] {
      Host& host = hosts_[i];
      if (host.process_ == process && host.alive_ &&
          host.owners_->SetHosts(records_)) {
        host.allowances_->Apply(*table_, FleetTime(now_));
      }
    });
  }
}

void
AllowanceFleet::Register(std::size_t aHost, bool aRegistered)
{
  if (aRegistered) {
    records_[Name(aHost)] = RecordOf(aHost);
  } else {
    records_.erase(Name(aHost));
  }
  PublishHosts();
}

void
AllowanceFleet::AddHost()
{
  hosts_.emplace_back();
  MakeProcess(hosts_.size() - 1);
  Register(hosts_.size() - 1, true);
}

void
AllowanceFleet::Kill(std::size_t aHost, double aLeaseTtl)
{
  hosts_[aHost].alive_ = false;
  const int process = hosts_[aHost].process_;
  Schedule(now_ + aLeaseTtl, [this, aHost, process] {
    if (hosts_[aHost].process_ == process) {
      Register(aHost, false);
    }
  });
}

void
AllowanceFleet::Start(std::size_t aHost)
{
  MakeProcess(aHost);
  Register(aHost, true);
}

void
AllowanceFleet::StartIfKilled(std::size_t aHost)
{
  if (!hosts_[aHost].alive_) {
    Start(aHost);
  }
}

void
AllowanceFleet::Freeze(std::size_t aHost, double aUntil)
{
  hosts_[aHost].frozenUntil_ = aUntil;
}

void
AllowanceFleet::Partition(std::size_t aHost, double aUntil, double aLeaseTtl)
{
  hosts_[aHost].partitionedSince_ = now_;
  hosts_[aHost].partitionedUntil_ = aUntil;
  ExpireRegistration(aHost, aUntil, aLeaseTtl);
}

void
AllowanceFleet::CutFromStore(std::size_t aHost, double aUntil, double aLeaseTtl)
{
  hosts_[aHost].cutSince_ = now_;
  hosts_[aHost].cutUntil_ = aUntil;
  ExpireRegistration(aHost, aUntil, aLeaseTtl);
}

void
AllowanceFleet::ExpireRegistration(std::size_t aHost,
                                   double aUntil,
                                   double aLeaseTtl)
{
  if (aUntil > now_ + aLeaseTtl) {
    Schedule(now_ + aLeaseTtl, [this, aHost] { Register(aHost, false); });
    Schedule(aUntil, [this, aHost] { Register(aHost, true); });
  }
}

void
AllowanceFleet::Send(std::size_t aFrom,
                     std::size_t aTo,
                     AllowanceMessage aMessage)
{
  ++counts_.messages_;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (IsPartitioned(hosts_[aFrom]) || uniform(random_) < faults_.lossRate_) {
    return;
  }
  const bool local = aFrom % kRegions.size() == aTo % kRegions.size();
  const auto message =
    std::make_shared<const AllowanceMessage>(std::move(aMessage));
  const int copies = uniform(random_) < faults_.duplicateRate_ ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const bool delayed = uniform(random_) < 0.1;
    const double delay =
      (local ? kLocalLatency : kRemoteLatency) +
      (delayed ? faults_.maxExtraDelay_ * uniform(random_) : 0);
    Schedule(now_ + delay,
             [this, aFrom, aTo, message] { Deliver(aFrom, aTo, *message); });
  }
}

void
AllowanceFleet::Deliver(std::size_t aFrom,
                        std::size_t aTo,
                        const AllowanceMessage& aMessage)
{
  Host& host = hosts_[aTo];
  if (!host.alive_ || IsPartitioned(host)) {
    return;
  }
  if (now_ < host.frozenUntil_) {
    Schedule(host.frozenUntil_,
             [this, aFrom, aTo, aMessage] { Deliver(aFrom, aTo, aMessage); });
    return;
  }
  const TimePoint now = FleetTime(now_);
  if (const auto* take = std::get_if<TakeRequest>(&aMessage)) {
    Send(aTo, aFrom, host.gate_->Answer(*take, now));
  } else if (const auto* loan = std::get_if<LoanRequest>(&aMessage)) {
    const bool lends = host.gate_->MayGrant(now);
    Send(aTo,
         aFrom,
         lends ? host.loans_->Answer(*loan, 1, now)
               : LoanReply{ loan->id_, 0 });
  } else if (const auto* taken = std::get_if<TakeReply>(&aMessage)) {
    host.gate_->Accept(*taken, now);
  } else {
    host.loans_->Accept(std::get<LoanReply>(aMessage), now);
  }
}

void
AllowanceFleet::Finish(std::size_t aCustomer,
                       double aSince,
                       const Admission& aAdmission,
                       bool aCounted)
{
  const bool admitted = aAdmission.result_ == AdmissionResult::Admitted;
  if (admitted) {
    admitted_[aCustomer].push_back(now_);
  }
  if (aCounted) {
    counts_.refused_ += admitted ? 0 : 1;
    counts_.slow_ += now_ - aSince > 2 * kRemoteLatency + kTick ? 1 : 0;
  }
}

void
AllowanceFleet::Request(std::size_t aHost, std::size_t aCustomer, double aNow)
{
  RunUntil(aNow);
  Host& host = hosts_[aHost];
  if (!host.alive_ || now_ < host.frozenUntil_) {
    return;
  }
  // A partitioned host cannot get tokens, so it refuses requests correctly;
  // these are not counted.
  const bool counted = !IsPartitioned(host);
  counts_.requests_ += counted ? 1 : 0;
  host.gate_->Admit(
    Customer(aCustomer),
    FleetTime(now_),
    [this, aCustomer, aNow, counted](const Admission& aAdmission) {
      Finish(aCustomer, aNow, aAdmission, counted);
    });
}

void
AllowanceFleet::RequestAs(const ReturningCaller& aCaller,
                          std::size_t aHost,
                          std::size_t aCustomer,
                          double aNow,
                          AllowanceGate::Callback aDone)
{
  RunUntil(aNow);
  Host& host = hosts_[aHost];
  if (!host.alive_ || now_ < host.frozenUntil_) {
    return;
  }
  host.gate_->Admit(
    Customer(aCustomer),
    FleetTime(now_),
    [this, aCustomer, done = std::move(aDone)](const Admission& aAdmission) {
      Finish(aCustomer, now_, aAdmission, false);
      done(aAdmission);
    },
    aCaller);
}

void
AllowanceFleet::RunUntil(double aNow)
{
  for (;;) {
    const double next = tasks_.empty() ? aNow + 1 : tasks_.begin()->first;
    if (std::min(next, nextTick_) > aNow) {
      now_ = std::max(now_, aNow);
      return;
    }
    if (nextTick_ <= next) {
      now_ = std::max(now_, nextTick_);
      nextTick_ += kTick;
      for (Host& host : hosts_) {
        const bool runs = host.alive_ && now_ >= host.frozenUntil_;
        if (runs && host.gate_->NextTimeout()) {
          host.gate_->OnTimer(FleetTime(now_));
        }
      }
      continue;
    }
    const auto task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    now_ = std::max(now_, next);
    task();
  }
}

}
