#pragma once

// The shares of customers' allowances that this host owns: a bucket of tokens
// for each, from which requests of all hosts are admitted. Pure; used on the
// traffic thread.
//
// The limit of a customer holds for any window: rate times window plus burst.
// The buckets of all shares together refill with the limit divided by the
// window, so that a customer who asks for its whole limit all the time gets it.
// Their depth comes from the tolerance of the limit (overage and slack), or, if
// that is small, from the burst, which then lowers the refill. Shares are equal
// and their number is fixed, so that their sum is the limit whatever the hosts
// know of each other.
//
// Two hosts may take themselves for the owner of a share for as long as their
// views differ. A host that becomes the owner therefore begins with few tokens
// and refills its bucket only after that time; one that is no longer the owner
// stops at once, and keeps what it has left for when it owns the share again.
//
//   allowances.Apply(table, now);     // with each view
//   TokenGrant grant = allowances.Take(share, 1, now);

#include "base/BootClock.h"
#include "budget/TokenBucket.h"
#include "gateway/AllowanceOwners.h"
#include "gateway/RoutingTable.h"

#include <map>
#include <string>

namespace peridotsail {

struct AllowanceOptions
{
  // From the moment a host becomes a share's owner until its bucket refills:
  // the time by which the views of two hosts differ.
  Duration handover_ = std::chrono::milliseconds(800);
  // The tokens of a new bucket, as time of its refill.
  Duration firstTokens_ = std::chrono::milliseconds(400);
  // The window of the limit.
  Duration window_ = std::chrono::seconds(5);
  // What all hosts together may exceed the limit by, since it is counted in
  // parts: a part of the limit, and requests.
  double overage_ = 0;
  double slack_ = 0;
  // The part of this tolerance that gives the buckets their depth; the rest
  // covers restarts and changes of owners.
  double depthPart_ = 0.5;
  // Least depth of all buckets together, as a part of the burst.
  double leastDepth_ = 0.5;
  // An owner below this part of its bucket asks another one for tokens, up to
  // fillTo_: less than a full bucket, because tokens above the cap are lost
  // when it refills meanwhile.
  double askBelow_ = 0.5;
  double fillTo_ = 0.75;
  // An owner lends what it has above this part of its bucket.
  double lendAbove_ = 0.5;
  // Tokens of a longer time are not announced to hosts that wait.
  Duration mostAnnounced_ = std::chrono::milliseconds(1000);
};

struct TokenGrant
{
  // False: this host does not own the share.
  bool owned_ = false;
  double tokens_ = 0;
  // When fewer tokens were granted than asked for: until there is one that was
  // not announced to another host before.
  Duration wait_{};
};

class CustomerAllowances
{
public:
  CustomerAllowances(AllowanceOptions aOptions, AllowanceOwners& aOwners);

  // Takes over the customers of the configuration and the shares that this host
  // has come to own or owns no longer.
  void Apply(const RoutingTable& aTable, TimePoint aNow);
  // Up to aTokens, whole ones only.
  TokenGrant Take(const ShareKey& aShare, double aTokens, TimePoint aNow);
  // Adds tokens that another owner lent.
  void Give(const ShareKey& aShare, double aTokens, TimePoint aNow);
  // The tokens to ask for when the share runs low, zero otherwise.
  double Missing(const ShareKey& aShare, TimePoint aNow);
  // Takes up to aTokens of those that this share does not need soon.
  double Lend(const ShareKey& aShare, double aTokens, TimePoint aNow);

private:
  struct Account
  {
    explicit Account(TimePoint aNow)
      : bucket_(aNow)
    {
    }
    TokenBucket bucket_;
    bool owned_ = false;
    TimePoint refillFrom_;
    // Tokens that were announced to hosts which got none, less those that came
    // since.
    double announced_ = 0;
    TimePoint announcedAt_;
  };
  struct Limits
  {
    double refill_ = 0;
    double depth_ = 0;
  };

  // Of one share.
  Limits LimitsOf(const GatewayCustomer& aCustomer) const;
  Duration Announce(Account& aAccount, double aTokens, TimePoint aNow) const;
  void Own(Account& aAccount, const Limits& aLimits, TimePoint aNow);
  // The share's account, refilled up to now; null when this host has none.
  Account* Find(const ShareKey& aShare, TimePoint aNow);

  AllowanceOptions options_;
  AllowanceOwners& owners_;
  // Customers with a limit.
  std::map<std::string, Limits> limits_;
  std::map<ShareKey, Account> accounts_;
};

}
