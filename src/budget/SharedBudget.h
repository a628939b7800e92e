#pragma once

// One host's part of a budget that all hosts share: a rate and a burst that no
// window of any length exceeds on all hosts together. Pure: the caller passes
// the time and carries the messages.
//
//   SharedBudget budget("school-galway", options, now);
//   budget.SetLimits({ 50, 100, layout }, now);   // each new version
//   budget.SetSlot(validity, now);                   // each renewal
//   budget.SetPeers(peersNearestFirst);
//   if (!budget.TryTake(1, now)) { refuse after budget.RetryAfter(1, now); }
//   for (auto& [peer, entry] : budget.Borrow(now)) { send(peer, entry); }
//   grant = budget.Lend(peer, entry, now);           // a peer's request
//   budget.Accept(peer, grantEntry, now);            // a peer's grant
//
// Invariant: over all hosts and all messages in flight the caps add up to at
// most the burst, the refill rates to at most the rate, and the tokens of each
// host or message to at most its cap. Admissions in a window are then at most
// the tokens at its start plus the refill: burst + rate * t. A loan moves
// tokens, rate and cap together; its lender gives them up before it answers
// and takes them back only after the borrower's time is over.

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

// What a host lends of its share.
enum class LoanKind
{
  // Tokens, and the cap that they need. The rate stays.
  Tokens,
  // Refill rate and cap together, besides tokens.
  Rate,
  // Rate for a budget whose burst is too small to carry the tokens that are
  // under way between hosts, otherwise tokens.
  ByBurst,
};

struct SharedBudgetOptions
{
  // Time for which a borrower may use a loan, from sending its request.
  Duration loanLifetime_ = std::chrono::seconds(1);
  // What the lender waits longer, from its grant: covers a difference of
  // clock speeds of 10%.
  Duration lenderMargin_ = std::chrono::milliseconds(100);
  // How long a higher share waits after its version was adopted: by then all
  // hosts have adopted the version (design 7.2).
  Duration raiseDelay_ = std::chrono::seconds(10);
  LoanKind loans_ = LoanKind::ByBurst;
  // ByBurst lends rate when the rate fills the burst in less than this.
  // Measured with 20 and 55 ms one way: at 0.2 s loans of rate refuse far fewer
  // requests of callers on one host, at 0.5 s and above more of moving callers.
  Duration smallBurstTime_ = std::chrono::milliseconds(400);
  // Time between two requests to the same peer. After grants of nothing it
  // doubles up to the longer one.
  Duration requestInterval_ = std::chrono::milliseconds(100);
  Duration maxRequestInterval_ = std::chrono::milliseconds(400);
  // The time constants of two demand estimates, of which the larger one
  // counts: a rise shows at once and a short rest does not end the demand.
  Duration slowDemandWindow_ = std::chrono::milliseconds(500);
  Duration fastDemandWindow_ = std::chrono::milliseconds(100);
  // How many seconds of the rate may wait for tokens on this host.
  double maxWaitingSeconds_ = 0.25;
  // The shortest and the longest wait of WaitBeforeRetry.
  Duration minWait_ = std::chrono::milliseconds(5);
  Duration maxWait_ = std::chrono::milliseconds(50);
  // Ids of loans and requests start here; a random number per process keeps
  // the messages of an earlier process from matching.
  std::uint64_t firstId_ = 1;
};

// The limits of one configuration version. The layout has the slots that carry
// a share: all slots for a customer's budget, or one region's.
struct BudgetLimits
{
  double rate_ = 0;
  double burst_ = 0;
  SlotLayoutPtr layout_;
  // True when no earlier version can be in force on any host: the share then
  // holds at once.
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

  // A configuration version came into force on this host. A lower share holds
  // at once, a higher share and a new slot after raiseDelay_.
  void SetLimits(const BudgetLimits& aLimits, TimePoint aNow);
  // The slot or its validity changed. Another slot or epoch starts empty.
  void SetSlot(const SlotValidity& aSlot, TimePoint aNow);
  // The hosts to borrow from, nearest first.
  void SetPeers(std::vector<BudgetPeer> aPeers);

  // Takes all of the tokens or none. Counts as demand either way.
  bool TryTake(double aTokens, TimePoint aNow);
  // Takes up to aTokens and returns how many; for streams of bytes.
  double TakeUpTo(double aTokens, TimePoint aNow);
  // TryTake for a request that was already counted as demand.
  bool RetryTake(double aTokens, TimePoint aNow);
  // How long a request without tokens should wait before it tries again, for
  // refill or for a loan. Nothing when aWaiting tokens are already waited for
  // here and more would only delay their refusals.
  std::optional<Duration> WaitBeforeRetry(double aTokens,
                                          double aWaiting,
                                          TimePoint aNow);
  // Gives back tokens whose request was not admitted after all.
  void ReturnTokens(double aTokens, TimePoint aNow);
  // The wait until refill alone provides the tokens, at least 1 ms; at most
  // kMaxRetryAfter.
  Duration RetryAfter(double aTokens, TimePoint aNow);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

  // The requests to send now, at most one for each peer. Cheap when there is
  // nothing to ask for; call it every few milliseconds and after a refusal.
  std::vector<std::pair<std::string, TokenRequestEntry>> Borrow(TimePoint aNow);
  // Answers a peer's request: returns and renewals first, then a loan.
  TokenGrantEntry Lend(const std::string& aPeer,
                       const TokenRequestEntry& aRequest,
                       TimePoint aNow);
  // Takes a loan. A grant that answers no open request adds nothing.
  void Accept(const std::string& aPeer,
              const TokenGrantEntry& aGrant,
              TimePoint aNow);

  const std::string& Name() const { return name_; }
  double Level(TimePoint aNow);
  // The refill rate and the cap in force, loans included.
  double Rate(TimePoint aNow);
  double Capacity(TimePoint aNow);
  // Demand in tokens per second, refused requests included.
  double Demand(TimePoint aNow) const;
  // The sums of the loans that run.
  BudgetShare Lent(TimePoint aNow);
  BudgetShare Borrowed(TimePoint aNow);

private:
  // Loans of different lenders may have the same id.
  using LoanKey = std::pair<std::string, std::uint64_t>;
  struct Loan
  {
    BudgetShare share_;
    TimePoint expiresAt_;
    // Of a taken loan: when the request for its end was sent.
    TimePoint requestedAt_;
  };
  struct PendingRequest
  {
    std::string peer_;
    TimePoint sentAt_;
    // What the grant is likely to bring.
    BudgetShare expected_;
    BudgetShare wanted_;
  };
  struct Version
  {
    BudgetLimits limits_;
    // When the next version replaced it.
    TimePoint replacedAt_ = TimePoint::max();
  };
  struct PeerState
  {
    TimePoint lastRequestAt_{};
    // Doubled after each grant of nothing.
    Duration interval_{};
    // What it gave when it could not give all that was asked.
    BudgetShare grantEstimate_;
    // Ids of its latest requests, to recognize duplicates.
    std::deque<std::uint64_t> answeredIds_;
  };

  // Applies everything that ended up to aNow in the order of its time, so that
  // no refill is counted at a rate that had already ended.
  void Advance(TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  // Sets the bucket's limits from the share and the loans.
  void ApplyLimits(TimePoint aNow);
  // The share of the slot: the lowest of all versions of the raise delay.
  BudgetShare OwnShare(TimePoint aNow) const;
  // The part of the own share that is not lent.
  BudgetShare UnlentShare(TimePoint aNow) const;
  void RecordDemand(double aTokens, TimePoint aNow);
  // The level that covers the demand until a grant can be here.
  double TargetLevel(TimePoint aNow) const;
  // The demand, at most the whole budget's rate.
  double LimitedDemand(TimePoint aNow) const;
  BudgetShare ComputeWanted(TimePoint aNow) const;
  BudgetShare ComputeLoan(const BudgetShare& aWanted, TimePoint aNow);
  bool LendsRate() const;
  // Whether a loan of this host may run on.
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
  // The largest amount taken at once of late.
  double recentMaxTake_ = 0;
  // The next time at which a loan, the slot or a delay ends.
  TimePoint nextChangeAt_ = TimePoint::max();
  TimePoint now_;
};

}
