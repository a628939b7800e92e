#pragma once

// One host's share of a rate limit (rate and burst) that all hosts enforce
// together in every time window. Hosts lend each other parts of their shares.
// Performs no I/O and reads no clock: the caller passes the time and sends the
// messages.
//
//   SharedBudget budget("school-galway", options, now);
//   budget.SetLimits({ 50, 100, layout }, now);   // each new version
//   budget.SetSlot(validity, now);                // each renewal
//   budget.SetPeers(peersNearestFirst);
//   if (!budget.TryTake(1, now)) { refuse after budget.RetryAfter(1, now); }
//   for (auto& [peer, entry] : budget.Borrow(now)) { send(peer, entry); }
//   grant = budget.Lend(peer, entry, now);        // a peer's request
//   budget.Accept(peer, grantEntry, now);         // a peer's grant
//
// Invariant: over all hosts and messages in flight, the capacities sum to at
// most the burst and the refill rates to at most the rate, and the tokens of
// each host or message are at most its capacity. The admissions in a window of
// length t are then at most the initial tokens plus the refill: burst + rate *
// t. A loan transfers tokens, rate and capacity together. The lender subtracts
// them from its share before it answers and adds them again only after the loan
// has expired for the borrower.

#include "budget/SlotTypes.h"
#include "budget/TokenBucket.h"
#include "budget/TokenMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

// What a host lends.
enum class LoanKind
{
  // Tokens and the capacity to hold them, but no rate.
  Tokens,
  // Refill rate and capacity, in addition to tokens.
  Rate,
  // Rate for budgets whose burst is too small for the tokens that are in flight
  // between hosts, tokens for all others.
  ByBurst,
};

struct SharedBudgetOptions
{
  // Time for which a borrower may use a loan, starting when its request is
  // sent.
  Duration loanLifetime_ = std::chrono::seconds(1);
  // Additional time that the lender waits, starting at its grant. Allows clock
  // speeds that differ by 10%.
  Duration lenderMargin_ = std::chrono::milliseconds(100);
  // Time after which a configuration version may increase the share. By then
  // all hosts have applied the version (design 7.2).
  Duration raiseDelay_ = std::chrono::seconds(10);
  LoanKind loans_ = LoanKind::ByBurst;
  // ByBurst lends rate if the rate fills the burst in less than this time. In
  // measurements with 20 and 55 ms one-way delay, rate loans caused far fewer
  // refusals for callers on a single host at 0.2 s, and more refusals for
  // moving callers at 0.5 s and above.
  Duration smallBurstTime_ = std::chrono::milliseconds(400);
  // Interval between requests to the same peer. Doubles after each empty grant,
  // up to the maximum.
  Duration requestInterval_ = std::chrono::milliseconds(100);
  Duration maxRequestInterval_ = std::chrono::milliseconds(400);
  // Time constants of two moving averages of the demand, of which the larger is
  // used. The fast one follows increases, the slow one bridges short pauses.
  Duration slowDemandWindow_ = std::chrono::milliseconds(500);
  Duration fastDemandWindow_ = std::chrono::milliseconds(100);
  // Maximum tokens that requests on this host may wait for, in seconds of the
  // rate.
  double maxWaitingSeconds_ = 0.25;
  // Bounds of the result of WaitBeforeRetry.
  Duration minWait_ = std::chrono::milliseconds(5);
  Duration maxWait_ = std::chrono::milliseconds(50);
  // First ID of loans and requests. A random value per process prevents
  // messages of an earlier process from matching.
  std::uint64_t firstId_ = 1;
};

// The limits of one configuration version. The layout contains the slots that
// have a share: all slots for a customer's budget, or the slots of one region.
struct BudgetLimits
{
  double rate_ = 0;
  double burst_ = 0;
  SlotLayoutPtr layout_;
  // No earlier version can be in force on any host, so the share is valid
  // immediately.
  bool isFirst_ = false;
};

struct BudgetPeer
{
  std::string name_;
  Duration roundTrip_{};
};

class SharedBudget
{
public:
  SharedBudget(std::string aName,
               const SharedBudgetOptions& aOptions,
               TimePoint aNow);

  // Applies a configuration version. A lower share takes effect immediately, a
  // higher share or a new slot after raiseDelay_.
  void SetLimits(const BudgetLimits& aLimits, TimePoint aNow);
  // Sets the slot and its validity. A different slot or epoch starts with an
  // empty bucket.
  void SetSlot(const SlotValidity& aSlot, TimePoint aNow);
  // Sets the hosts to borrow from, nearest first.
  void SetPeers(std::vector<BudgetPeer> aPeers);

  // Takes all aTokens or none. Counts as demand in both cases.
  bool TryTake(double aTokens, TimePoint aNow);
  // Takes up to aTokens and returns the number taken. For streams of bytes.
  double TakeUpTo(double aTokens, TimePoint aNow);
  // Like TryTake, for a request that has already been counted as demand.
  bool RetryTake(double aTokens, TimePoint aNow);
  // Returns how long a request should wait for refill or a loan before it
  // retries. Returns nullopt if so many tokens (aWaiting) are already being
  // waited for on this host that waiting would only delay the refusal.
  std::optional<Duration> WaitBeforeRetry(double aTokens,
                                          double aWaiting,
                                          TimePoint aNow);
  // Returns the tokens of a request that was not admitted after all.
  void ReturnTokens(double aTokens, TimePoint aNow);
  // Returns the time until refill alone provides the tokens, at least 1 ms and
  // at most kMaxRetryAfter.
  Duration RetryAfter(double aTokens, TimePoint aNow);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

  // Returns the requests to send now, at most one per peer. Cheap if there is
  // nothing to request. To be called every few milliseconds and after a
  // refusal.
  std::vector<std::pair<std::string, TokenRequestEntry>> Borrow(TimePoint aNow);
  // Handles a peer's request: processes returns and renewals, then grants a
  // loan.
  TokenGrantEntry Lend(const std::string& aPeer,
                       const TokenRequestEntry& aRequest,
                       TimePoint aNow);
  // Handles a peer's grant. Ignored if it matches no pending request.
  void Accept(const std::string& aPeer,
              const TokenGrantEntry& aGrant,
              TimePoint aNow);

  const std::string& Name() const { return name_; }
  double Level(TimePoint aNow);
  // The current refill rate and capacity, including loans.
  double Rate(TimePoint aNow);
  double Capacity(TimePoint aNow);
  // Demand in tokens per second, including refused requests.
  double Demand(TimePoint aNow) const;
  // The sums of the active loans.
  BudgetShare Lent(TimePoint aNow);
  BudgetShare Borrowed(TimePoint aNow);

private:
  // Lender or borrower and loan ID. IDs are unique per lender only.
  using LoanKey = std::pair<std::string, std::uint64_t>;
  struct Loan
  {
    BudgetShare share_;
    TimePoint expiresAt_;
    // For a borrowed loan: when the request that determined expiresAt_ was
    // sent.
    TimePoint requestedAt_;
  };
  struct PendingRequest
  {
    std::string peer_;
    TimePoint sentAt_;
    // Estimated grant.
    BudgetShare expected_;
    BudgetShare wanted_;
  };
  struct Version
  {
    BudgetLimits limits_;
    // Time at which the next version replaced this one.
    TimePoint replacedAt_ = TimePoint::max();
  };
  struct PeerState
  {
    TimePoint lastRequestAt_{};
    // Doubled after each empty grant.
    Duration interval_{};
    // Estimate of what the peer can grant: the last grant if it was less than
    // requested, otherwise at least twice the last grant.
    BudgetShare grantEstimate_;
    // IDs of its latest requests, to detect duplicates.
    std::deque<std::uint64_t> answeredIds_;
  };

  // Advances to aNow in steps at which loans, the slot or versions expire, so
  // that each interval is refilled at the rate that was in force.
  void Advance(TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  // Recomputes the bucket's limits from the share and the loans.
  void ApplyLimits(TimePoint aNow);
  // The share of the slot: the minimum over all versions that may be in force.
  BudgetShare OwnShare(TimePoint aNow) const;
  // The part of the own share that is not lent.
  BudgetShare UnlentShare(TimePoint aNow) const;
  void RecordDemand(double aTokens, TimePoint aNow);
  // The bucket level that covers the demand until a grant can arrive.
  double TargetLevel(TimePoint aNow) const;
  // The demand, limited to the rate of the whole budget.
  double LimitedDemand(TimePoint aNow) const;
  BudgetShare ComputeWanted(TimePoint aNow) const;
  BudgetShare ComputeLoan(const BudgetShare& aWanted, TimePoint aNow);
  bool LendsRate() const;
  // Returns whether loans granted by this host may be renewed.
  bool MayRenew(TimePoint aNow) const;
  void AcceptReturns(const std::string& aPeer,
                     const std::vector<LoanReturn>& aReturns,
                     TimePoint aNow);
  void AddReturnsAndRenewals(const std::string& aPeer,
                             TokenRequestEntry& aEntry,
                             TimePoint aNow);

  std::string name_;
  SharedBudgetOptions options_;
  TokenBucket bucket_;
  std::deque<Version> versions_;
  SlotValidity slot_;
  std::vector<BudgetPeer> peers_;
  std::map<std::string, PeerState> peerStates_;
  std::map<LoanKey, Loan> lentLoans_;
  std::map<LoanKey, Loan> borrowedLoans_;
  BudgetShare lent_;
  BudgetShare borrowed_;
  std::map<std::uint64_t, PendingRequest> pendingRequests_;
  std::uint64_t nextId_;
  double slowDemand_ = 0;
  double fastDemand_ = 0;
  TimePoint demandUpdatedAt_;
  // Decaying maximum of the tokens requested at once.
  double recentMaxTake_ = 0;
  // The next time at which a loan, the slot, a request or a delay expires.
  TimePoint nextChangeAt_ = TimePoint::max();
  TimePoint now_;
};

}
