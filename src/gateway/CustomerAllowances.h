#pragma once

// The shares of customers' allowances that this host owns: one token bucket per
// share, from which requests on all hosts are admitted. Performs no I/O.
// Traffic thread only.
//
// A customer's limit applies to any window: rate times window length plus
// burst. The buckets of all shares together refill at the limit divided by the
// window length, so a customer that constantly requests its whole limit gets
// it. Their depth is taken from the tolerance of the limit (overage and slack)
// or, if that is small, from the burst, in which case the refill rate is
// reduced accordingly. Shares are equal and their number is fixed, so their sum
// equals the limit even if the hosts' views differ.
//
// Two hosts can both consider themselves the owner of a share while their views
// differ. A new owner therefore grants nothing until the registered hosts that
// owned the share before have confirmed that they do not consider themselves
// its owners any more, or their views must be too old for that. It then starts
// with few tokens. A former owner stops granting tokens immediately, and keeps
// its remaining tokens in case it becomes the owner again.
//
//   allowances.Apply(table, now);     // with each view
//   TokenGrant grant = allowances.Take(share, 1, now);

#include "base/BootClock.h"
#include "base/ViewAge.h"
#include "budget/TokenBucket.h"
#include "gateway/AllowanceOwners.h"
#include "gateway/OwnerHistory.h"
#include "gateway/RoutingTable.h"
#include "returns/ReturnLine.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct AllowanceOptions
{
  // A registered host stops granting the tokens of a share that it has lost at
  // most this long after another host has become the owner.
  Duration maxViewAge_ = kMaxAllowanceViewAge;
  // The same for a host whose registration has expired.
  Duration expiredOwnerDelay_ = kMaxActingAfterExpiry;
  // How often a new owner asks former owners whether they have stopped, and
  // other hosts may ask the new owner in the meantime.
  Duration handoverInterval_ = std::chrono::milliseconds(100);
  // Initial tokens of a new bucket, expressed as refill time.
  Duration initialTokens_ = std::chrono::milliseconds(400);
  // Window over which the limit is enforced.
  Duration window_ = std::chrono::seconds(5);
  // Tolerance by which all hosts together may exceed the limit, since it is
  // counted in shares: a fraction of the limit, and a number of requests.
  double overage_ = 0;
  double slack_ = 0;
  // Fraction of this tolerance used as bucket depth; the rest covers restarts
  // and changes of owners.
  double depthFraction_ = 0.5;
  // Minimum depth of all buckets together, as a fraction of the burst.
  double minDepthFraction_ = 0.5;
  // An owner whose bucket is filled below this fraction borrows tokens up to
  // borrowTarget_. The target is less than a full bucket, because tokens above
  // the cap are lost if the bucket refills in the meantime.
  double borrowBelow_ = 0.5;
  double borrowTarget_ = 0.75;
  // An owner lends only tokens above this fraction of its bucket.
  double lendAbove_ = 0.5;
  // Upper bound on the tokens promised to waiting hosts, expressed as refill
  // time.
  Duration maxPromised_ = std::chrono::milliseconds(1000);
};

struct TokenGrant
{
  // False if this host does not own the share.
  bool owned_ = false;
  double tokens_ = 0;
  // If fewer tokens were granted than requested: time until there is a token
  // that was not already promised to another host.
  Duration wait_{};
};

// A former owner from which the new owner of a share needs confirmation.
struct PendingHandover
{
  ShareKey share_;
  FormerOwner former_;
};

class CustomerAllowances
{
public:
  CustomerAllowances(AllowanceOptions aOptions, AllowanceOwners& aOwners);
  const AllowanceOptions& Options() const { return options_; }

  // Applies the customers of the configuration, and the changes in which shares
  // this host owns.
  void Apply(const RoutingTable& aTable, TimePoint aNow);
  // Takes up to aTokens and at most aMost; only whole tokens are granted.
  TokenGrant Take(const ShareKey& aShare,
                  double aTokens,
                  TimePoint aNow,
                  double aMost = std::numeric_limits<double>::infinity());
  // The tokens of a share; empty if this host does not grant them now.
  std::optional<TokenSupply> Supply(const ShareKey& aShare, TimePoint aNow);
  // Adds tokens that were borrowed from another owner.
  void Deposit(const ShareKey& aShare, double aTokens, TimePoint aNow);
  // The number of tokens to borrow; zero unless the share runs low.
  double TokensToBorrow(const ShareKey& aShare, TimePoint aNow);
  // Removes up to aTokens from the surplus of this share and returns their
  // number.
  double Lend(const ShareKey& aShare, double aTokens, TimePoint aNow);
  // The confirmations that the shares owned by this host wait for.
  bool HasPendingHandovers() const { return !waiting_.empty(); }
  std::vector<PendingHandover> PendingHandovers(TimePoint aNow);
  // The host does not consider itself the owner of the share any more.
  void ConfirmHandover(const ShareKey& aShare,
                       const std::string& aFormerOwner,
                       TimePoint aNow);

private:
  struct Account
  {
    explicit Account(TimePoint aNow)
      : bucket_(aNow)
    {
    }
    TokenBucket bucket_;
    bool owned_ = false;
    // The bucket has not received its initial tokens yet.
    bool fresh_ = true;
    // Set while former owners may still grant tokens: when they must have
    // stopped. Nothing is granted before.
    std::optional<TimePoint> grantsFrom_;
    // Those that have not confirmed yet.
    std::vector<FormerOwner> formerOwners_;
    TimePoint refillFrom_;
    // Tokens promised to hosts that got none, less those refilled since.
    double promised_ = 0;
    TimePoint promisedAt_;
  };
  struct Limits
  {
    double refill_ = 0;
    double depth_ = 0;
  };

  // Refill rate and depth of one share's bucket.
  Limits ShareLimits(const GatewayCustomer& aCustomer) const;
  Duration PromiseTokens(Account& aAccount,
                         double aTokens,
                         TimePoint aNow) const;
  void BeginOwnership(const ShareKey& aShare,
                      Account& aAccount,
                      const Limits& aLimits,
                      TimePoint aNow);
  void EndOwnership(const ShareKey& aShare,
                    Account& aAccount,
                    const Limits& aLimits,
                    TimePoint aNow);
  // Starts granting tokens after all former owners have stopped.
  void StartGranting(const ShareKey& aShare,
                     Account& aAccount,
                     const Limits& aLimits,
                     TimePoint aNow);
  void AddInitialTokens(Account& aAccount,
                        const Limits& aLimits,
                        TimePoint aNow) const;
  void UpdateBucket(const ShareKey& aShare,
                    Account& aAccount,
                    const Limits& aLimits,
                    TimePoint aNow);
  // The account of a share owned by this host, refilled up to aNow; null if
  // this host does not own the share.
  Account* FindOwned(const ShareKey& aShare, TimePoint aNow);
  // The same, also null while former owners may still grant tokens.
  Account* FindGranting(const ShareKey& aShare, TimePoint aNow);

  AllowanceOptions options_;
  AllowanceOwners& owners_;
  OwnerHistory history_;
  // The owned shares that wait for former owners.
  std::set<ShareKey> waiting_;
  // Limits per share, for customers that have a limit.
  std::map<std::string, Limits> limits_;
  std::map<ShareKey, Account> accounts_;
};

}
