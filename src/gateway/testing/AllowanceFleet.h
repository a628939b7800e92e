#pragma once

// Hosts that share a customer's allowance: they publish their demand, read that
// of the others, and, on request, lend each other tokens through messages that
// take time and may be lost, doubled or late.

#include "gateway/AllowanceLoans.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace peridotsail {

inline TimePoint
FleetTime(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

// The most admissions in any window of the length, in seconds; the times are
// in order.
inline double
MostInWindow(const std::vector<double>& aAdmitted, double aWindow)
{
  std::size_t most = 0;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < aAdmitted.size(); ++begin) {
    while (end < aAdmitted.size() &&
           aAdmitted[end] < aAdmitted[begin] + aWindow) {
      ++end;
    }
    most = std::max(most, end - begin);
  }
  return static_cast<double>(most);
}

// A configuration with one customer.
inline RoutingTablePtr
MakeAllowanceTable(double aRate, double aBurst)
{
  RoutingTableParts parts;
  GatewayCustomer customer;
  customer.name_ = "school";
  customer.ratePerSecond_ = aRate;
  customer.burst_ = aBurst;
  parts.customers_.push_back(customer);
  return std::make_shared<const RoutingTable>(parts);
}

struct LoanFaults
{
  double lost_ = 0;
  double doubled_ = 0;
  // The longest way of a message; half of them take less than a tenth of it.
  double longestSeconds_ = 0.06;
};

struct AllowanceFleet
{
  struct Message
  {
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    std::variant<LoanRequest, LoanReply> body_;
  };

  AllowanceFleet(int aHosts, std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < aHosts; ++i) {
      Join();
    }
  }

  static AllowanceOptions Options()
  {
    AllowanceOptions options;
    options.overage_ = 0.1;
    options.slack_ = 20;
    return options;
  }

  static std::string Name(std::size_t aHost)
  {
    return "h" + std::to_string(aHost);
  }

  void Join()
  {
    const std::size_t host = allowances_.size();
    allowances_.emplace_back(Options());
    loans_.emplace_back(allowances_.back(), LoanOptions(), random_());
    records_[Name(host)].peers_ = std::to_string(host);
  }

  void Restart(std::size_t aHost)
  {
    allowances_[aHost] = CustomerAllowances(Options());
  }

  // New processes, which register before they have measured anything.
  void RestartAll()
  {
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
      Restart(i);
      HostRecord& record = records_[Name(i)];
      record.demand_.clear();
      record.demandKnown_ = false;
    }
    messages_.clear();
  }

  void Publish(std::size_t aHost, double aNow)
  {
    HostRecord& record = records_[Name(aHost)];
    UpdateDemand(record.demand_,
                 allowances_[aHost].MeasureDemand(FleetTime(aNow)));
    record.demandKnown_ = true;
  }

  void Step(const RoutingTable& aTable, double aNow, bool aPublish)
  {
    for (std::size_t i = 0; aPublish && i < allowances_.size(); ++i) {
      Publish(i, aNow);
    }
    for (std::size_t i = 0; i < allowances_.size(); ++i) {
      allowances_[i].Apply(aTable, records_, Name(i), FleetTime(aNow));
      loans_[i].SetHosts(records_, Name(i));
    }
  }

  bool TryTake(std::size_t aHost, const GatewayCustomer& aCustomer, double aNow)
  {
    Deliver(aNow);
    const TimePoint now = FleetTime(aNow);
    const bool admitted = allowances_[aHost].TryTake(aCustomer, now).admitted_;
    if (lends_) {
      if (const auto ask = loans_[aHost].Ask(aCustomer, 1, now)) {
        Send({ aHost, std::stoul(ask->peer_), ask->request_ }, aNow);
      }
    }
    return admitted;
  }

  void Send(const Message& aMessage, double aNow)
  {
    std::uniform_real_distribution<double> part(0, 1);
    if (part(random_) < faults_.lost_) {
      return;
    }
    const int copies = part(random_) < faults_.doubled_ ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool quick = part(random_) < 0.5;
      const double way =
        faults_.longestSeconds_ * part(random_) * (quick ? 0.1 : 1);
      messages_.emplace(aNow + way, aMessage);
    }
  }

  void Deliver(double aNow)
  {
    while (!messages_.empty() && messages_.begin()->first <= aNow) {
      const auto [at, message] = *messages_.begin();
      messages_.erase(messages_.begin());
      const TimePoint time = FleetTime(at);
      AllowanceLoans& loans = loans_[message.to_];
      if (const auto* request = std::get_if<LoanRequest>(&message.body_)) {
        Send({ message.to_, message.from_, loans.Answer(*request, 1, time) },
             at);
      } else {
        lent_ += loans.Accept(std::get<LoanReply>(message.body_), time);
      }
    }
  }

  std::mt19937_64 random_;
  std::deque<CustomerAllowances> allowances_;
  std::deque<AllowanceLoans> loans_;
  std::map<std::string, HostRecord> records_;
  std::multimap<double, Message> messages_;
  LoanFaults faults_;
  bool lends_ = true;
  // Tokens that borrowers took over.
  double lent_ = 0;
};

}
