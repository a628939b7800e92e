#pragma once

// Hosts of three regions that admit the requests of customers together, with
// messages that take time and may be lost, doubled or late, and with hosts that
// are killed, frozen, cut off or added. Each host learns of a change of the
// fleet at a time of its own.
//
//   AllowanceFleet fleet(table, 35, seed);
//   fleet.Request(host, 0, now);   // of the first customer
//   fleet.RunUntil(30);
//   fleet.Admitted(0); fleet.Counts().refused_;

#include "gateway/AllowanceGate.h"
#include "gateway/AllowanceLoans.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridotsail {

inline TimePoint
FleetTime(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

// The most admissions in any window of the length, in seconds; the times are
// in order.
double
MostInWindow(const std::vector<double>& aAdmitted, double aWindow);

// A configuration with customers of these rates; each burst is one second of
// the rate.
RoutingTablePtr
MakeAllowanceTable(const std::vector<double>& aRates);

struct FleetFaults
{
  double lost_ = 0;
  double doubled_ = 0;
  // The longest addition to the way of a message, for one in ten.
  double lateSeconds_ = 0;
};

struct FleetCounts
{
  // Not counted: requests at hosts that are cut off.
  int asked_ = 0;
  int refused_ = 0;
  int messages_ = 0;
  // Requests that waited longer than a way to another region and back.
  int slow_ = 0;
};

class AllowanceFleet
{
public:
  AllowanceFleet(RoutingTablePtr aTable, int aHosts, std::uint64_t aSeed);

  static AllowanceOptions Options();
  // The bound on a customer's admissions in any window.
  static double Bound(const GatewayCustomer& aCustomer);

  const GatewayCustomer& Customer(std::size_t aCustomer) const
  {
    return table_->Customers()[aCustomer];
  }
  std::size_t Hosts() const { return hosts_.size(); }
  // The host that owns the share of a region in the view of another host.
  std::size_t OwnerOf(std::size_t aCustomer, std::size_t aShare);

  void Request(std::size_t aHost, std::size_t aCustomer, double aNow);
  // Delivers messages and timeouts up to the time.
  void RunUntil(double aNow);

  void Join();
  // The process ends at once; its registration is gone aLapse later.
  void Kill(std::size_t aHost, double aLapse = 4);
  // A new process on the host of a killed one.
  void Start(std::size_t aHost);
  void StartIfKilled(std::size_t aHost);
  // Messages to the host wait, and it does nothing, until the time.
  void Freeze(std::size_t aHost, double aUntil);
  // No message reaches the host or comes from it, and it does not see the
  // store: its registration lapses as that of a killed one.
  void Cut(std::size_t aHost, double aUntil, double aLapse = 4);

  void SetFaults(FleetFaults aFaults) { faults_ = aFaults; }
  const std::vector<double>& Admitted(std::size_t aCustomer) const
  {
    return admitted_[aCustomer];
  }
  FleetCounts& Counts() { return counts_; }

private:
  struct Host
  {
    std::unique_ptr<AllowanceOwners> owners_;
    std::unique_ptr<CustomerAllowances> allowances_;
    std::unique_ptr<AllowanceLoans> loans_;
    std::unique_ptr<AllowanceGate> gate_;
    bool alive_ = true;
    double frozenUntil_ = 0;
    double cutSince_ = 0;
    double cutUntil_ = 0;
    // Changes with each process, so that messages to an old one are dropped.
    int process_ = 0;
  };

  static std::string Name(std::size_t aHost);
  HostRecord RecordOf(std::size_t aHost) const;
  void MakeProcess(std::size_t aHost);
  void Post(double aAt, std::function<void()> aTask);
  // All hosts see the registrations as they are now, each a little later.
  void Announce();
  void Register(std::size_t aHost, bool aThere);
  void Send(std::size_t aFrom, std::size_t aTo, AllowanceMessage aMessage);
  void Deliver(std::size_t aFrom, std::size_t aTo, const AllowanceMessage&);
  void Finish(std::size_t aCustomer,
              double aSince,
              const Admission& aAdmission,
              bool aCounted);
  bool Cut(const Host& aHost) const { return now_ < aHost.cutUntil_; }

  RoutingTablePtr table_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::map<std::string, HostRecord> records_;
  std::multimap<double, std::function<void()>> tasks_;
  std::vector<std::vector<double>> admitted_;
  FleetFaults faults_;
  FleetCounts counts_;
  double now_ = 0;
  double nextTick_ = 0;
};

}
