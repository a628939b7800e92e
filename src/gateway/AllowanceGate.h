#pragma once

// Rate limiter for customers' requests across all hosts. Each request needs a
// token, which comes from the owner of this host's regional share, or from the
// owners of the other shares when that one is empty or does not reply. Requests
// of a customer that arrive while a token request is pending are batched, so
// the message count does not grow with the request rate. Once all owners have
// reported that they are empty, further requests are refused immediately until
// the earliest time at which one of them expects a token.
//
// Callers that can be recognized when they return are described to the owner of
// the local share, which tells each its place in line (see ReturnLine). They
// are always asked for there, but while the share is empty, at most once per
// askInterval_.
//
// No I/O of its own: messages are sent through the hooks. Traffic thread only.
//
//   gate.Admit(customer, now, [](const Admission& admission) { ... });
//   TakeReply reply = gate.Answer(request, now);   // at the owner
//   gate.Accept(reply, now);                       // at the requesting host
//   gate.OnTimer(now);                             // at gate.NextTimeout()

#include "gateway/AllowanceMessages.h"
#include "gateway/CustomerAllowances.h"
#include "returns/ReturnLines.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotsail {

struct GateOptions
{
  // Reply timeout for an owner in this host's region. A reply normally takes a
  // millisecond, unless the owner's host is out of CPU time or gone.
  Duration localTimeout_ = std::chrono::milliseconds(80);
  // Reply timeout for an owner in another region.
  Duration remoteTimeout_ = std::chrono::milliseconds(300);
  // An owner that did not reply in time is not asked again for this long.
  Duration unresponsiveBackoff_ = std::chrono::milliseconds(500);
  // Replies older than this are dropped: a host that was frozen must not use
  // tokens of an earlier window.
  Duration maxReplyAge_ = std::chrono::milliseconds(500);
  // Tokens that were granted but no longer needed can be used for this long.
  Duration maxSpareAge_ = std::chrono::milliseconds(500);
  // Upper bound on how long requests are refused without asking the owners
  // again.
  Duration maxRefusal_ = std::chrono::milliseconds(1000);
  // Minimum interval between token requests for returning callers while the
  // local share is empty.
  Duration askInterval_ = std::chrono::milliseconds(20);
  // An owner whose view of the hosts is older than this grants nothing, since
  // another host may own the share by then.
  Duration maxViewAge_ = kMaxAllowanceViewAge;
};

enum class AdmissionResult
{
  Admitted,
  // No owner has a token left for the customer.
  UsedUp,
  // No owner is known, or no owner that has tokens replied.
  NoOwner,
};

std::string_view
NameOf(AdmissionResult aResult);

struct Admission
{
  AdmissionResult result_ = AdmissionResult::Admitted;
  // Set for UsedUp: time until the next token.
  Duration retryAfter_{};
  // Set for UsedUp: the place in line that was promised; zero if none was.
  int place_ = 0;
};

struct GateHooks
{
  std::function<void(const std::string& aAddress, const TakeRequest&)> send_;
  // Called after tokens were taken from a share owned by this host. May be
  // empty.
  std::function<void(const ShareKey&)> onTaken_;
  // Time since this host's view of the other hosts was last confirmed.
  std::function<Duration(TimePoint)> viewAge_;
};

class AllowanceGate
{
public:
  using Callback = std::function<void(const Admission&)>;

  AllowanceGate(CustomerAllowances& aAllowances,
                AllowanceOwners& aOwners,
                GateOptions aOptions,
                GateHooks aHooks,
                std::uint64_t aSeed);

  // Calls the callback exactly once, either synchronously or after owners have
  // replied.
  void Admit(const GatewayCustomer& aCustomer,
             TimePoint aNow,
             Callback aCallback,
             const ReturningCaller& aCaller = {});
  // What became of the callers that were told a place, at this owner.
  const ReturnCounts& Returns() const { return lines_.Counts(); }
  // Returns the token of a request that was admitted but not executed.
  void ReturnToken(const std::string& aCustomer, TimePoint aNow);
  // Returns whether this host's view of the hosts is recent enough to grant or
  // lend tokens.
  bool MayGrant(TimePoint aNow) const;
  // Handles a token request as the owner of the share. A request for no tokens
  // asks whether this host still considers itself the owner.
  TakeReply Answer(const TakeRequest& aRequest, TimePoint aNow);
  void Accept(const TakeReply& aReply, TimePoint aNow);
  // Moves on from owners that did not reply in time, and asks former owners of
  // this host's shares.
  void OnTimer(TimePoint aNow);
  // The time at which to call OnTimer; empty when nothing is pending.
  std::optional<TimePoint> NextTimeout() const;

private:
  struct WaitingCaller
  {
    Callback callback_;
    ReturningCaller caller_;
    std::uint64_t serial_ = 0;
    // The owner of the local share has refused it: when to return, and the
    // place in line.
    std::optional<TimePoint> returnAt_{};
    int place_ = 0;
  };
  // Requests of a customer that wait for the same token request.
  struct Batch
  {
    std::string customer_;
    std::deque<WaitingCaller> waiting_;
    // The requests are of callers that can be recognized.
    bool returning_ = false;
    // Mean time between two tokens of the customer.
    Duration interval_{};
    // Index of the share being asked, in the order of CurrentShare: the local
    // share is step 0.
    std::size_t step_ = 0;
    // Random offset at which the iteration over the other shares starts.
    std::size_t remoteStart_ = 0;
    double requested_ = 0;
    // An owner reported that it has no token left.
    bool usedUp_ = false;
    Duration minWait_ = Duration::max();
  };
  using BatchPtr = std::shared_ptr<Batch>;
  // A token request sent to an owner.
  struct PendingRequest
  {
    BatchPtr batch_;
    std::string owner_;
    std::size_t step_ = 0;
    // The serial numbers of the described callers.
    std::vector<std::uint64_t> described_;
    TimePoint at_;
    TimePoint timeout_;
    bool timedOut_ = false;
  };
  // A former owner was asked whether it still owns the share.
  struct HandoverRequest
  {
    ShareKey share_;
    std::string former_;
  };
  struct Customer
  {
    double spare_ = 0;
    TimePoint spareUntil_;
    TimePoint refusedUntil_;
    // The owner of the local share has no token until then.
    TimePoint localEmptyUntil_;
    // While the local share is empty: when to ask its owner again for callers
    // that can be recognized.
    TimePoint nextAskAt_;
    // The batches that new requests join: the one at the owner of the local
    // share, and the one at the other owners, which is used while the local
    // share is empty.
    BatchPtr localBatch_;
    BatchPtr remoteBatch_;
  };

  ShareKey CurrentShare(const Batch& aBatch) const;
  // The batch that a new request joins; null if a new one must be created.
  static BatchPtr& JoinableBatch(Customer& aCustomer, TimePoint aNow);
  void Continue(const BatchPtr& aBatch, TimePoint aNow);
  // Returns true if a token request was sent and the batch now waits for the
  // reply.
  bool RequestFromOwner(const BatchPtr& aBatch, TimePoint aNow);
  BatchPtr MakeBatch(const GatewayCustomer& aCustomer);
  bool OwnsLocalShare(const std::string& aCustomer);
  // All owners have refused lately, so the others than the local one are not
  // asked for a caller that can be recognized.
  bool SkipsOtherOwners(const Batch& aBatch, TimePoint aNow) const;
  // The callers that the owner of the local share is told of.
  static std::vector<ReturningCaller> Describe(
    const Batch& aBatch,
    std::vector<std::uint64_t>& aDescribed);
  // Takes tokens of a share that this host owns.
  TakeReply TakeOwned(const ShareKey& aShare,
                      double aTokens,
                      const std::vector<ReturningCaller>& aCallers,
                      TimePoint aNow);
  void RequestHandovers(TimePoint aNow);
  void OnGrant(const BatchPtr& aBatch,
               const TakeReply& aReply,
               const std::vector<std::uint64_t>& aDescribed,
               TimePoint aNow);
  // Admits the described callers that were granted a token, and notes what the
  // others were told.
  void ApplyWaits(Batch& aBatch,
                  const std::vector<CallerWait>& aWaits,
                  const std::vector<std::uint64_t>& aDescribed,
                  TimePoint aNow);
  // The owner of the local share is asked again for callers that joined after
  // the token request was sent.
  void RequeueOthers(const BatchPtr& aBatch,
                     const std::vector<std::uint64_t>& aDescribed);
  void SendScheduled(TimePoint aNow);
  void AdmitWaiting(Batch& aBatch, TimePoint aNow);
  void Finish(Batch& aBatch, TimePoint aNow);
  void AddSpareTokens(Customer& aCustomer,
                      double aTokens,
                      TimePoint aNow) const;
  bool TakeSpareToken(Customer& aCustomer, TimePoint aNow) const;

  CustomerAllowances& allowances_;
  AllowanceOwners& owners_;
  GateOptions options_;
  GateHooks hooks_;
  std::mt19937_64 random_;
  // The callers refused at this host's shares.
  ReturnLines lines_;
  std::uint64_t nextSerial_ = 0;
  // Batches whose token request is sent later, by time.
  std::multimap<TimePoint, BatchPtr> scheduled_;
  std::unordered_map<std::string, Customer> customers_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::map<std::uint64_t, HandoverRequest> handovers_;
  TimePoint nextHandoverAt_ = TimePoint::min();
  // By host name.
  std::unordered_map<std::string, TimePoint> unresponsiveUntil_;
};

}
