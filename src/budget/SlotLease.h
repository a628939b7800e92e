#pragma once

// Acquires, renews and releases one host slot of a region. Pure: it takes the
// time and events, and returns intents that the caller carries out.
//
//   SlotLease lease(options, self, now);
//   lease.SetLayout(layout, now);
//   lease.SetHostList(hosts, now);
//   for (SlotAction& action : lease.Tick(now)) { carryOut(action); }
//   lease.OnStoreResult(result, now);          // then call Tick again
//   answer = lease.OnQuery(query, now);        // a peer asks
//   lease.OnAnswer(answer, now);               // a peer answers
//   publish(lease.Validity());                 // after each call
//
// At most one process considers itself the valid holder of a slot at any time
// (design 7.1):
// - Validity counts from the sending of the renewal and ends before the lease
//   in the store. Once lapsed, only the store makes it valid again.
// - A holder continues without the store for 3 s after it sent a query that all
//   processes of the record's consent list answered with "not reachable".
// - A successor needs the alive key gone, the guard time, and the answer of one
//   process of the same consent list that it reaches the store and has answered
//   "not reachable" to nobody for longer than a continuation lasts. At that
//   time the predecessor has lapsed.

#include "budget/SlotRecord.h"
#include "budget/SlotTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

struct SlotLeaseOptions
{
  Duration leaseTime_ = std::chrono::seconds(9);
  Duration renewInterval_ = std::chrono::seconds(3);
  // Validity ends this much before the lease in the store can end.
  Duration leaseMargin_ = std::chrono::seconds(1);
  // A store operation without an answer counts as one with unknown outcome.
  Duration storeTimeout_ = std::chrono::seconds(1);
  // Between two attempts after a failure, and between two looks at the table
  // while this host has no slot.
  Duration retryInterval_ = std::chrono::seconds(1);
  // How long a query's confirmed outage lets a holder continue.
  Duration continuationTime_ = std::chrono::seconds(3);
  Duration guardTime_ = std::chrono::seconds(6);
  // Quiet time that a successor asks of its witness: the continuation and a
  // margin for clocks.
  Duration minWitnessQuietTime_ = std::chrono::milliseconds(3500);
  // How long the host list must have shown all holders gone when no witness
  // answers.
  Duration goneTimeout_ = std::chrono::seconds(60);
  // Between the end of use and the written release: the loans that the slot
  // gave have ended by then (SharedBudgetOptions: lifetime and margin).
  Duration releaseDelay_ = std::chrono::milliseconds(1500);
  // Makes the attempt ids; must not repeat across processes.
  std::function<std::string()> makeId_;
};

enum class SlotActionKind
{
  // Read all keys below SlotTablePrefix(region).
  ReadTable,
  // Grant a store lease of lease time ttl_.
  GrantLease,
  KeepAlive,
  // If the record's revision is compareRevision_ (0: no record) and the alive
  // key does not exist: put record_, and put the alive key with lease_.
  Claim,
  // If the record's revision is compareRevision_ and the alive key's revision
  // is compareAliveRevision_: put record_.
  UpdateRecord,
  // If the record's revision is compareRevision_: put record_ (without a
  // holder) and delete the alive key.
  Release,
  RevokeLease,
  // Send query_ to each process of peers_.
  QueryPeers,
};

// What a peer is asked: whether it reaches the store.
struct ReachabilityQuery
{
  std::uint64_t query_ = 0;
  // The slot whose takeover is at stake and its epoch; number -1 when a holder
  // asks for its own continuation.
  SlotId slot_;
  std::uint64_t epoch_ = 0;
};

struct ReachabilityAnswer
{
  std::uint64_t query_ = 0;
  std::string incarnation_;
  bool reachable_ = false;
  // Time since the answering process last said "not reachable" to any host, or
  // since its start.
  Duration quietTime_{};
  // True when it said so to nobody since before the last renewal of the epoch
  // that the query names.
  bool noOutageSinceRenewal_ = false;
};

struct SlotAction
{
  SlotActionKind kind_ = SlotActionKind::ReadTable;
  // Comes back in the result; 0 for QueryPeers.
  std::uint64_t operationId_ = 0;
  SlotId slot_;
  SlotRecord record_;
  std::int64_t compareRevision_ = 0;
  std::int64_t compareAliveRevision_ = 0;
  std::int64_t lease_ = 0;
  Duration ttl_{};
  ReachabilityQuery query_;
  std::vector<SlotHolder> peers_;
};

enum class StoreOutcome
{
  Done,
  // The comparison failed, or the lease does not exist. Nothing was written.
  Refused,
  // No answer or an error: the write may have taken effect.
  Unknown,
};

struct SlotStoreResult
{
  std::uint64_t operationId_ = 0;
  StoreOutcome outcome_ = StoreOutcome::Unknown;
  // ReadTable.
  std::vector<SlotRow> rows_;
  // GrantLease.
  std::int64_t lease_ = 0;
  // The store's revision of a successful write.
  std::int64_t revision_ = 0;
};

// One decision for the log.
struct SlotDecision
{
  enum class Kind
  {
    Claimed,
    Lost,
    Released,
    ContinuingWithoutStore,
    TakeoverWaits,
  };
  Kind kind_ = Kind::Claimed;
  SlotId slot_;
  std::uint64_t epoch_ = 0;
  std::string reason_;
};

std::string_view
NameOf(SlotDecision::Kind aKind);

class SlotLease
{
public:
  SlotLease(const SlotLeaseOptions& aOptions,
            std::string aRegion,
            SlotHolder aSelf,
            TimePoint aNow);

  void SetLayout(SlotLayoutPtr aLayout, TimePoint aNow);
  // The host names that the host list shows, leaving ones included.
  void SetHostList(const std::set<std::string>& aHosts, TimePoint aNow);
  // This process answers now at this address, on a link that this host opened.
  // Call it about every second for each such link: a holder whose address
  // belongs to another process is gone.
  void OnPeerSeen(const SlotHolder& aPeer, TimePoint aNow);

  // What to do now. Call it every 100 ms and after each event.
  std::vector<SlotAction> Tick(TimePoint aNow);
  void OnStoreResult(const SlotStoreResult& aResult, TimePoint aNow);
  ReachabilityAnswer OnQuery(const ReachabilityQuery& aQuery, TimePoint aNow);
  void OnAnswer(const ReachabilityAnswer& aAnswer, TimePoint aNow);
  // Ends the use of the slot at once and the hold of it after the loans have
  // ended. Done when IsReleased() is true.
  void Release(TimePoint aNow);

  SlotValidity Validity() const;
  bool IsReleased() const { return phase_ == Phase::Released; }
  // Whether the last operation on the store succeeded recently.
  bool StoreReachable(TimePoint aNow) const;
  // The decisions since the last call.
  std::vector<SlotDecision> TakeDecisions();

private:
  enum class Phase
  {
    Searching,
    Granting,
    Claiming,
    // The outcome of the claim is unknown.
    CheckingClaim,
    Holding,
    Releasing,
    Released,
  };
  struct PendingOperation
  {
    SlotActionKind kind_ = SlotActionKind::ReadTable;
    std::uint64_t id_ = 0;
    TimePoint sentAt_;
  };
  // What this process knows of one slot's record.
  struct ObservedSlot
  {
    SlotRow row_;
    // When the latest read that found it alive was sent.
    std::optional<TimePoint> aliveReadAt_;
    // When a read first found it expired at this revision.
    std::optional<TimePoint> expiredReadAt_;
    // A witness stated that the holder has lapsed; that is final.
    bool lapseConfirmed_ = false;
    bool noOutageConfirmed_ = false;
    std::optional<TimePoint> queriedAt_;
  };
  // The claimed or held slot.
  struct HeldSlot
  {
    SlotRow row_;
    std::int64_t lease_ = 0;
    // From the store: sending time plus lease time less the margin.
    TimePoint leaseValidUntil_{};
    // From a confirmed outage.
    TimePoint continuationValidUntil_{};
    TimePoint heldSince_{};
    PredecessorOutage predecessor_ = PredecessorOutage::MayHaveContinued;
    // Of rewrites with unknown outcome: the store may hold these lists instead
    // of the record's.
    std::vector<SlotHolder> pendingConsent_;
    std::optional<TimePoint> tableReadAt_;
    bool renewalFailed_ = false;
    bool lapseLogged_ = false;
  };
  // An open query about this host's own slot.
  struct ConsentQuery
  {
    std::uint64_t id_ = 0;
    TimePoint sentAt_;
    std::set<std::string> confirmed_;
  };

  SlotAction Start(SlotActionKind aKind, TimePoint aNow);
  void TickSearching(std::vector<SlotAction>& aActions, TimePoint aNow);
  void TickHolding(std::vector<SlotAction>& aActions, TimePoint aNow);
  void TickReleasing(std::vector<SlotAction>& aActions, TimePoint aNow);
  void QueryConsent(std::vector<SlotAction>& aActions, TimePoint aNow);
  void QueryWitnesses(std::vector<SlotAction>& aActions, TimePoint aNow);
  SlotAction StartClaim(TimePoint aNow);
  SlotAction StartUpdateRecord(TimePoint aNow);
  SlotRecord ReleasedRecord(const SlotRecord& aRecord) const;
  void OnUnknown(const PendingOperation& aOperation, TimePoint aNow);
  void OnTable(const std::vector<SlotRow>& aRows,
               const PendingOperation& aOperation,
               TimePoint aNow);
  void UpdateTable(const std::vector<SlotRow>& aRows, TimePoint aSent);
  void CheckOwnRow(TimePoint aNow);
  void FinishClaimCheck(TimePoint aNow);
  void OnGrant(const SlotStoreResult& aResult,
               const PendingOperation& aOperation);
  void OnClaim(const SlotStoreResult& aResult, TimePoint aNow);
  void OnKeepAlive(const SlotStoreResult& aResult,
                   const PendingOperation& aOperation,
                   TimePoint aNow);
  void OnUpdateRecord(const SlotStoreResult& aResult);
  void OnRelease(const SlotStoreResult& aResult, TimePoint aNow);
  void BeginHolding(TimePoint aNow);
  void BeginSearching(TimePoint aNow, Duration aDelay);
  void BeginRelease(TimePoint aNow);
  void HandleLoss(const std::string& aReason, TimePoint aNow);
  // Chooses the slot to claim; false when there is none.
  bool ChooseSlot(TimePoint aNow);
  // Whether the slot may be claimed now, with the predecessor's part.
  std::optional<PredecessorOutage> CheckTakeover(const ObservedSlot& aSlot,
                                                 TimePoint aNow) const;
  bool AreAllGone(const SlotRecord& aRecord, TimePoint aNow) const;
  bool IsGone(const SlotHolder& aHolder, TimePoint aNow) const;
  void UpdateUnlisted(TimePoint aNow);
  std::vector<SlotHolder> ConsentFromTable() const;
  std::vector<SlotHolder> ConsentNeeded() const;
  TimePoint ValidUntil() const;
  bool IsOwnRow(const SlotRow& aRow) const;
  void RecordDecision(SlotDecision::Kind aKind,
                      const SlotRow& aRow,
                      std::string aReason);

  SlotLeaseOptions options_;
  std::string region_;
  SlotHolder self_;
  SlotLayoutPtr layout_;
  Phase phase_ = Phase::Searching;
  std::map<int, ObservedSlot> table_;
  std::optional<PendingOperation> pendingOperation_;
  std::optional<HeldSlot> held_;
  std::optional<ConsentQuery> consentQuery_;
  // Another slot's record that names this process, from a claim that took
  // effect after this process had given it up. It is released.
  std::optional<SlotRow> abandonedClaim_;
  // Open witness queries: the slot number and epoch of each.
  std::map<std::uint64_t, std::pair<int, std::uint64_t>> witnessQueries_;
  std::vector<SlotDecision> decisions_;
  // By incarnation: since when the host list has not shown the host, and since
  // when another process has answered at its address.
  std::map<std::string, TimePoint> unlistedSince_;
  std::map<std::string, TimePoint> replacedSince_;
  std::set<std::string> listedHosts_;
  std::optional<TimePoint> listedAt_;
  TimePoint startedAt_;
  TimePoint nextOperationAt_;
  TimePoint lastUnreachableAnswerAt_;
  std::optional<TimePoint> lastSuccessAt_;
  bool lastOperationFailed_ = false;
  // Release was called: ends in Released, not in a new search.
  bool releaseRequested_ = false;
  TimePoint releaseAt_{};
  int releaseAttempts_ = 0;
  // A lease to revoke because its claim failed; 0 for none.
  std::int64_t leaseToRevoke_ = 0;
  std::uint64_t nextId_ = 1;
};

}
