#pragma once

// Admits requests of customers within their rate and burst over all hosts.
// Pure; used on the traffic thread.
//
// Each host has a share of each customer's rate and burst. Shares follow the
// demand that the hosts publish with their registrations. The sum of shares
// stays at one through changes: a lower share counts at once, a higher one only
// after all hosts have had time to read the change (raiseDelay_), and tokens
// are never created by a change, only by the rate.
//
//   allowances.Apply(table, hosts, self, now);
//   Admission admission = allowances.TryTake(customer, now);

#include "base/BootClock.h"
#include "budget/TokenBucket.h"
#include "gateway/FleetTypes.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace peridotsail {

struct AllowanceOptions
{
  // From a change of a share until the host may use the higher one: longer than
  // the control loop's pause and the longest answer of a store that counts as
  // reachable.
  Duration raiseDelay_ = std::chrono::milliseconds(2000);
  // Demand that each host is assumed to have besides its measured one, as a
  // part of an equal share of the rate. Far below the rate, shares are nearly
  // equal and do not follow noise; near it they follow demand.
  double assumedDemand_ = 0.35;
  // The part of the rate that is shared equally whatever the demand, so that
  // callers who move are not without any share until the others have read it.
  double equalPart_ = 0.2;
  // The tokens of a new bucket, as time of its rate: a host that starts again
  // has been away for longer, but may have spent its burst before.
  Duration firstTokens_ = std::chrono::milliseconds(700);
  // The limit holds for any window of this length: rate times window plus
  // burst. A part of the burst is spread over the window as additional rate,
  // the rest is the size of the bucket; both add up to the limit.
  Duration window_ = std::chrono::seconds(5);
  double spreadBurst_ = 0.5;
  // Requests by which all hosts together may exceed the limit, because it is
  // counted in parts. Half of them enlarge the hosts' buckets, the rest covers
  // changes of shares.
  double slack_ = 0;
  // Weight of the newest second in the measured demand.
  double demandWeight_ = 0.4;
};

struct Admission
{
  bool admitted_ = true;
  // When not admitted: until the next token.
  Duration retryAfter_{};
  // This host's tokens a second, for the log.
  double rate_ = 0;
};

// Whether demand changed so much that other hosts should know: shares follow
// it.
bool
DemandChanged(const std::map<std::string, double>& aOld,
              const std::map<std::string, double>& aNew);

class CustomerAllowances
{
public:
  explicit CustomerAllowances(AllowanceOptions aOptions);

  // aHosts are all registered hosts by name, this one included or not.
  void Apply(const RoutingTable& aTable,
             const std::map<std::string, HostRecord>& aHosts,
             const std::string& aSelf,
             TimePoint aNow);
  Admission TryTake(const GatewayCustomer& aCustomer, TimePoint aNow);
  // Requests a second of each customer at this host, refused ones included.
  // Call once a second.
  std::map<std::string, double> MeasureDemand(TimePoint aNow);

private:
  struct Account
  {
    explicit Account(TimePoint aNow)
      : bucket_(aNow)
    {
    }
    TokenBucket bucket_;
    double rate_ = 0;
    double burst_ = 0;
    double hosts_ = 1;
    // Targets and when they came; the first was in force when the delay began.
    // The lowest one is the share in use.
    std::deque<std::pair<TimePoint, double>> targets_;
    double requests_ = 0;
    double demand_ = 0;
  };

  double TargetShare(const std::string& aCustomer,
                     double aRate,
                     const std::map<std::string, HostRecord>& aHosts,
                     const std::string& aSelf) const;
  // Sets the bucket's limits and returns the share in use.
  double UseShare(Account& aAccount, TimePoint aNow);

  AllowanceOptions options_;
  std::map<std::string, Account> accounts_;
  TimePoint measuredAt_ = TimePoint::min();
};

}
