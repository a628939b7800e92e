#pragma once

// Simulates hosts of three regions that enforce customers' allowances together.
// Messages take time and may be lost, duplicated or delayed; hosts can be
// killed, frozen, partitioned or added. Each host learns of a fleet change at a
// time of its own.
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

// The maximum number of admissions in any window of aWindow seconds. The times
// must be sorted.
double
MaxInWindow(const std::vector<double>& aAdmitted, double aWindow);

// A configuration with one customer per rate; each burst equals one second of
// the rate.
RoutingTablePtr
MakeAllowanceTable(const std::vector<double>& aRates);

struct FleetFaults
{
  double lossRate_ = 0;
  double duplicateRate_ = 0;
  // Maximum extra delay of a message, in seconds; applied to one message in
  // ten.
  double maxExtraDelay_ = 0;
};

struct FleetCounts
{
  // Excludes requests at partitioned hosts.
  int requests_ = 0;
  int refused_ = 0;
  int messages_ = 0;
  // Requests that waited longer than one round trip to another region.
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
  // The owner of a region's share, as seen by the first host.
  std::size_t OwnerOf(std::size_t aCustomer, std::size_t aShare);

  void Request(std::size_t aHost, std::size_t aCustomer, double aNow);
  // The same for a caller that may return; aDone gets the result.
  void RequestAs(const ReturningCaller& aCaller,
                 std::size_t aHost,
                 std::size_t aCustomer,
                 double aNow,
                 AllowanceGate::Callback aDone);
  // Delivers messages and timeouts until the given time.
  void RunUntil(double aNow);

  void AddHost();
  // Ends the process immediately; its registration expires aLeaseTtl later.
  void Kill(std::size_t aHost, double aLeaseTtl = 4);
  // Starts a new process on a host whose process was killed.
  void Start(std::size_t aHost);
  void StartIfKilled(std::size_t aHost);
  // Suspends the host until the given time: it does nothing, and messages to it
  // are queued.
  void Freeze(std::size_t aHost, double aUntil);
  // Isolates the host until the given time: it neither sends nor receives
  // messages, and does not see the store, so its registration expires after
  // aLeaseTtl.
  void Partition(std::size_t aHost, double aUntil, double aLeaseTtl = 4);

  // Cuts the host off from the store only, until the given time: it exchanges
  // messages, but does not learn of changes, and its registration expires after
  // aLeaseTtl.
  void CutFromStore(std::size_t aHost, double aUntil, double aLeaseTtl = 4);

  void SetFaults(FleetFaults aFaults) { faults_ = aFaults; }
  const std::vector<double>& Admitted(std::size_t aCustomer) const
  {
    return admitted_[aCustomer];
  }
  FleetCounts& Counts() { return counts_; }
  double Now() const { return now_; }

private:
  struct Host
  {
    std::unique_ptr<AllowanceOwners> owners_;
    std::unique_ptr<CustomerAllowances> allowances_;
    std::unique_ptr<AllowanceLoans> loans_;
    std::unique_ptr<AllowanceGate> gate_;
    bool alive_ = true;
    double frozenUntil_ = 0;
    double partitionedSince_ = 0;
    double partitionedUntil_ = 0;
    double cutSince_ = 0;
    double cutUntil_ = 0;
    // Number of the host's current process; messages to an earlier process are
    // dropped.
    int process_ = 0;
  };

  static std::string Name(std::size_t aHost);
  HostRecord RecordOf(std::size_t aHost) const;
  void MakeProcess(std::size_t aHost);
  void Schedule(double aAt, std::function<void()> aTask);
  // Delivers the current registrations to all hosts, to each after a random
  // lag.
  void PublishHosts();
  void Register(std::size_t aHost, bool aRegistered);
  // The registration expires if the host does not reach the store in time.
  void ExpireRegistration(std::size_t aHost, double aUntil, double aLeaseTtl);
  void Send(std::size_t aFrom, std::size_t aTo, AllowanceMessage aMessage);
  void Deliver(std::size_t aFrom, std::size_t aTo, const AllowanceMessage&);
  void Finish(std::size_t aCustomer,
              double aSince,
              const Admission& aAdmission,
              bool aCounted);
  bool IsPartitioned(const Host& aHost) const
  {
    return now_ < aHost.partitionedUntil_;
  }

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
