#pragma once

// Admits requests of customers within their rate and burst over all hosts.
// Pure; used on the traffic thread.
//
// The limit of a customer holds for any window: rate times window plus burst.
// The buckets of all hosts together refill with the limit divided by the
// window, so that a customer who asks for its whole limit all the time gets it.
// Their depth comes from the tolerance of the limit (overage and slack), or, if
// that is small, from the burst, which then lowers the refill.
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
  double equalPart_ = 0.1;
  // The tokens of a new bucket, as time of its rate: a host that starts again
  // has been away for longer, but may have spent its burst before.
  Duration firstTokens_ = std::chrono::milliseconds(400);
  // The window of the limit.
  Duration window_ = std::chrono::seconds(5);
  // What all hosts together may exceed the limit by, since it is counted in
  // parts: a part of the limit, and requests.
  double overage_ = 0;
  double slack_ = 0;
  // The part of this tolerance that gives the buckets their depth; the rest
  // covers restarts and changes of shares.
  double depthPart_ = 0.8;
  // Least depth of all buckets together, as a part of the burst.
  double leastDepth_ = 0.5;
  // A host below this part of its bucket asks another one for tokens, up to
  // fillTo_: less than a full bucket, because tokens above the cap are lost
  // when it refills meanwhile.
  double askBelow_ = 0.5;
  double fillTo_ = 0.75;
  // A host lends what it has above this part of its bucket.
  double lendAbove_ = 0.5;
  // Least weight of the newest second in the measured demand: the first seconds
  // are averaged, later ones count with this weight.
  double demandWeight_ = 0.1;
};

struct Admission
{
  bool admitted_ = true;
  // When not admitted: until the next token.
  Duration retryAfter_{};
  // This host's tokens a second, for the log.
  double rate_ = 0;
};

// Takes over the customers whose measured demand changed so much that other
// hosts should know. The small changes of others stay out: each published
// change moves shares, and a host holds the lower of two shares for
// raiseDelay_, so that noise would cost admissions.
void
UpdateDemand(std::map<std::string, double>& aPublished,
             const std::map<std::string, double>& aMeasured);

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
  // Adds tokens: of another host, or of a request that did not run.
  void Give(const std::string& aCustomer, double aTokens, TimePoint aNow);
  // The tokens to ask for when this host runs low, zero otherwise.
  double Missing(const std::string& aCustomer, TimePoint aNow);
  // Takes up to aTokens of those that this host does not need soon.
  double Lend(const std::string& aCustomer, double aTokens, TimePoint aNow);
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
    // Targets and when they came; the first was in force when the delay began.
    // The lowest one is the share in use.
    std::deque<std::pair<TimePoint, double>> targets_;
    double requests_ = 0;
    double demand_ = 0;
    int seconds_ = 0;
  };

  double TargetShare(const std::string& aCustomer,
                     double aRate,
                     const std::map<std::string, HostRecord>& aHosts,
                     const std::string& aSelf) const;
  // The customer's account with its limits of now; null without one.
  Account* FindAccount(const std::string& aCustomer, TimePoint aNow);
  // Sets the bucket's limits and returns the share in use.
  double UseShare(Account& aAccount, TimePoint aNow);

  AllowanceOptions options_;
  std::map<std::string, Account> accounts_;
  TimePoint measuredAt_ = TimePoint::min();
};

}
