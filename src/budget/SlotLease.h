#pragma once

// State machine that acquires, renews and releases a host slot of a region.
// Performs no I/O and reads no clock: it is passed the time and events, and
// returns actions for the caller to execute.
//
//   SlotLease lease(options, self, now);
//   lease.SetLayout(layout, now);
//   lease.SetHostList(hosts, now);
//   for (SlotAction& action : lease.Tick(now)) { execute(action); }
//   lease.OnStoreResult(result, now);          // then call Tick again
//   answer = lease.OnQuery(query, now);        // query from a peer
//   lease.OnAnswer(answer, now);               // answer of a peer
//   publish(lease.Validity());                 // after each call
//
// At any time, at most one process considers itself the valid holder of a slot
// (design 7.1):
// - Validity is measured from the sending of the renewal and ends before the
//   lease in the store. After it has lapsed, only the store can make it valid
//   again.
// - A holder may continue without the store for 3 s after it sent a query that
//   all processes in the record's consent list answered with "not reachable".
// - A successor must wait until the alive key is gone and the guard time has
//   passed. It also needs the answer of one process in the same consent list,
//   the witness, that it can reach the store and has not answered "not
//   reachable" to any host for longer than a continuation lasts. By then the
//   previous holder's validity has lapsed.

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
  // Validity ends this long before the lease in the store can expire.
  Duration leaseMargin_ = std::chrono::seconds(1);
  // After this time, an operation without an answer has an unknown outcome.
  Duration storeTimeout_ = std::chrono::seconds(1);
  // Interval between attempts after a failure, and between reads of the table
  // while this host has no slot.
  Duration retryInterval_ = std::chrono::seconds(1);
  // Time for which a holder may continue after a query confirmed the outage.
  Duration continuationTime_ = std::chrono::seconds(3);
  // Minimum time between the observed expiry of the alive key and a takeover.
  Duration guardTime_ = std::chrono::seconds(6);
  // Minimum time since a witness last answered "not reachable": the
  // continuation plus a margin for clock differences.
  Duration minWitnessQuietTime_ = std::chrono::milliseconds(3500);
  // Without a witness, a takeover is permitted when the host list has shown all
  // holders as gone for this time.
  Duration goneTimeout_ = std::chrono::seconds(60);
  // Time between the end of use and the release of the slot. All loans granted
  // by the holder have expired by then (SharedBudgetOptions: lifetime and
  // margin).
  Duration releaseDelay_ = std::chrono::milliseconds(1500);
  // Generates attempt IDs, which must be unique across processes.
  std::function<std::string()> makeId_;
};

enum class SlotActionKind
{
  // Read all keys below SlotTablePrefix(region).
  ReadTable,
  // Grant a store lease with time to live ttl_.
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

// Asks a peer whether it can reach the store.
struct ReachabilityQuery
{
  std::uint64_t query_ = 0;
  // The slot to take over and its epoch. The slot number is -1 if a holder asks
  // for its own continuation.
  SlotId slot_;
  std::uint64_t epoch_ = 0;
};

struct ReachabilityAnswer
{
  std::uint64_t query_ = 0;
  std::string incarnation_;
  bool reachable_ = false;
  // Time since the answering process last answered "not reachable" to any host,
  // or since its start.
  Duration quietTime_{};
  // Whether it has not answered "not reachable" to any host since before the
  // last renewal of the epoch in the query.
  bool noOutageSinceRenewal_ = false;
};

struct SlotAction
{
  SlotActionKind kind_ = SlotActionKind::ReadTable;
  // ID that the result must contain. 0 for QueryPeers.
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
  // A comparison failed or the lease does not exist. Nothing was written.
  Refused,
  // No answer or an error. The write may have taken effect.
  Unknown,
};

struct SlotStoreResult
{
  std::uint64_t operationId_ = 0;
  StoreOutcome outcome_ = StoreOutcome::Unknown;
  // Result of ReadTable.
  std::vector<SlotRow> rows_;
  // Result of GrantLease.
  std::int64_t lease_ = 0;
  // Store revision of a successful write.
  std::int64_t revision_ = 0;
};

// A decision to be logged.
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
  // Sets the host names in the host list, including leaving hosts.
  void SetHostList(const std::set<std::string>& aHosts, TimePoint aNow);
  // Reports the process that currently answers at an address, on a connection
  // opened by this host. To be called about once a second for each such
  // connection. A holder whose address is used by another process is gone.
  void OnPeerSeen(const SlotHolder& aPeer, TimePoint aNow);

  // Returns the actions to execute now. To be called every 100 ms and after
  // each event.
  std::vector<SlotAction> Tick(TimePoint aNow);
  void OnStoreResult(const SlotStoreResult& aResult, TimePoint aNow);
  ReachabilityAnswer OnQuery(const ReachabilityQuery& aQuery, TimePoint aNow);
  void OnAnswer(const ReachabilityAnswer& aAnswer, TimePoint aNow);
  // Ends the use of the slot immediately, and releases it after its loans have
  // expired. Complete when IsReleased() returns true.
  void Release(TimePoint aNow);

  SlotValidity Validity() const;
  bool IsReleased() const { return phase_ == Phase::Released; }
  // Returns whether the last store operation succeeded and was recent.
  bool StoreReachable(TimePoint aNow) const;
  // Returns the decisions since the last call.
  std::vector<SlotDecision> TakeDecisions();

private:
  enum class Phase
  {
    Searching,
    Granting,
    Claiming,
    // The outcome of the claim is unknown; the table is read to determine it.
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
  // What this process knows about a slot.
  struct ObservedSlot
  {
    SlotRow row_;
    // Send time of the latest read that found the alive key.
    std::optional<TimePoint> aliveReadAt_;
    // Send time of the first read that found the alive key gone at this
    // revision.
    std::optional<TimePoint> expiredReadAt_;
    // A witness confirmed that the holder's validity has lapsed, which is
    // final.
    bool lapseConfirmed_ = false;
    bool noOutageConfirmed_ = false;
    std::optional<TimePoint> queriedAt_;
  };
  // The slot being claimed or held.
  struct HeldSlot
  {
    SlotRow row_;
    std::int64_t lease_ = 0;
    // Validity by the store lease: send time plus lease time minus margin.
    TimePoint leaseValidUntil_{};
    // Validity by a confirmed store outage.
    TimePoint continuationValidUntil_{};
    TimePoint heldSince_{};
    PredecessorOutage predecessor_ = PredecessorOutage::MayHaveContinued;
    // Holders from record updates with unknown outcome, which the store may
    // contain in addition to those in the record.
    std::vector<SlotHolder> pendingConsent_;
    std::optional<TimePoint> tableReadAt_;
    bool renewalFailed_ = false;
    bool lapseLogged_ = false;
  };
  // A pending query about this host's own slot.
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
  // Chooses the slot to claim. Returns false if there is none.
  bool ChooseSlot(TimePoint aNow);
  // Returns nullopt if the slot may not be claimed now, otherwise what is known
  // about the previous holder.
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
  // A record of another slot that names this process, from a claim that took
  // effect after this process had abandoned it. It is to be released.
  std::optional<SlotRow> abandonedClaim_;
  // Slot number and epoch of pending witness queries, by query ID.
  std::map<std::uint64_t, std::pair<int, std::uint64_t>> witnessQueries_;
  std::vector<SlotDecision> decisions_;
  // By incarnation: time since which the host list has not contained the host,
  // and time since which another process has answered at its address.
  std::map<std::string, TimePoint> unlistedSince_;
  std::map<std::string, TimePoint> replacedSince_;
  std::set<std::string> listedHosts_;
  std::optional<TimePoint> listedAt_;
  TimePoint startedAt_;
  TimePoint nextOperationAt_;
  TimePoint lastUnreachableAnswerAt_;
  std::optional<TimePoint> lastSuccessAt_;
  bool lastOperationFailed_ = false;
  // Release was called. The state machine ends in Released instead of searching
  // for another slot.
  bool releaseRequested_ = false;
  TimePoint releaseAt_{};
  int releaseAttempts_ = 0;
  // Store lease that is no longer needed and is to be revoked, or 0.
  std::int64_t leaseToRevoke_ = 0;
  std::uint64_t nextId_ = 1;
};

}
