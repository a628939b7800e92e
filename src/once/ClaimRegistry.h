#pragma once

// Decides for one slot, during one lease term, whether a request to a
// non-idempotent route is executed. Performs no I/O: it is given the time and
// events, and returns decisions and store operations.
//
//   ClaimRegistry registry(options, leaseTerm);
//   registry.Load(records, {}, now);           // all records of the slot
//   ClaimDecision decision = registry.Begin(request, now);
//   for (StoreOperation& operation : registry.Poll(now)) { send(operation); }
//   registry.OnStoreAnswer(answer, now);       // then Poll again
//   for (ClaimDecision& d : registry.TakeDecisions()) { resume(d); }
//   if (registry.MayStart(key, ticket, now)) { /* write the first byte */ }
//   registry.Finish(key, ticket, RunResult::Complete, outcome, now);
//
// No key is executed twice within the retry horizon:
// - Execute is decided once per claim, after the claim has been written to the
//   store under the fence of this lease term. The next holder of the slot, if
//   it loads the claim without an outcome, answers OutcomeUnknown.
// - Claims are kept only in memory while the holder continues without the store
//   during a confirmed outage. The next holder then has
//   predecessorMayHaveContinued_ set and is in doubt: it answers OutcomeUnknown
//   for all unknown keys. Each record contains the remaining in-doubt time, so
//   that later holders take it over. A holder therefore writes a record before
//   it decides to execute anything, and a holder that finds no record of the
//   previous lease term is in doubt for the whole retry horizon.
// - A claim may be executed again after its execution reported NotRun.

#include "once/ClaimCommitter.h"
#include "once/ClaimSegment.h"
#include "once/OnceTypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotsail {

enum class ClaimVerdict
{
  // TakeDecisions returns the decision later.
  Wait,
  // Execute the request once: check MayStart before sending the first byte, and
  // call Finish afterwards.
  Execute,
  // Answer with the recorded outcome.
  Replay,
  InProgress,
  OutcomeUnknown,
  KeyReused,
  // This host does not hold the slot, or has not loaded it yet; retry later.
  NotHolder,
  // The registry has reached its memory bound.
  Full,
  // The deadline passed while the request waited (set by AtMostOnceService).
  TimedOut,
};

struct ClaimDecision
{
  std::uint64_t ticket_ = 0;
  ClaimVerdict verdict_ = ClaimVerdict::Wait;
  // The execution state that a refusal reports to the caller.
  ExecutionState execution_ = ExecutionState::Unknown;
  // Set for Replay only.
  RecordedOutcome outcome_;
};

ClaimDecision
MakeDecision(std::uint64_t aTicket,
             ClaimVerdict aVerdict,
             ExecutionState aExecution = ExecutionState::Unknown);

// The error kind to answer with for a verdict that refuses the request.
ErrorKind
ErrorKindOf(ClaimVerdict aVerdict);

// Result of an execution.
enum class RunResult
{
  // No byte was sent, or the backend server reported that it did not execute
  // the request.
  NotRun,
  Unknown,
  Complete,
};

// A record as read from the store.
struct LoadedRecord
{
  std::string key_;
  std::string value_;
};

struct ClaimRegistryOptions
{
  // Retry horizon: how long a key is remembered after it was claimed.
  Duration retryHorizon_ = std::chrono::seconds(600);
  // How long outcomes wait for a claim whose group commit they can join.
  Duration outcomeDelay_ = std::chrono::milliseconds(250);
  ClaimCommitter::Options commit_;
  // Memory bounds; further claims are refused.
  std::size_t maxClaims_ = 100'000;
  std::size_t maxBytes_ = 32 << 20;
  std::size_t maxSegmentBytes_ = kMaxSegmentBytes;
  // Number of records in a size tier that triggers their compaction.
  std::size_t compactionThreshold_ = 16;
  // Maximum deletions in one write; the store accepts 128 operations per
  // transaction.
  std::size_t maxDeletes_ = 100;
  // Unique to the process; part of the attempt IDs.
  std::string incarnation_;
  // SlotMap::Signature of the current mapping.
  std::uint64_t mappingSignature_ = 0;
};

class ClaimRegistry
{
public:
  ClaimRegistry(ClaimRegistryOptions aOptions, SlotLeaseTerm aLeaseTerm);

  // Restores the state from all records of the slot, read after the lease term
  // began. In the first epoch of a slot aRecords must contain the records of
  // all slots, which show whether the slot was added to an existing deployment.
  // aUnwritten: the Unwritten entries of the previous lease term if this
  // process held it.
  void Load(const std::vector<LoadedRecord>& aRecords,
            const std::vector<ClaimEntry>& aUnwritten,
            TimePoint aNow);
  bool IsLoaded() const { return loaded_; }
  // Updates the expiry and the outage period of the current lease term.
  void Renew(const SlotLeaseTerm& aLeaseTerm);
  // The mapping of keys to slots has changed.
  void SetMapping(std::uint64_t aSignature, TimePoint aNow);

  ClaimDecision Begin(const ClaimRequest& aRequest, TimePoint aNow);
  // Stops waiting for a decision. Returns the execution state that the refusal
  // may report.
  ExecutionState Cancel(const std::string& aKey,
                        std::uint64_t aTicket,
                        TimePoint aNow);
  // Whether the execution may begin now.
  bool MayStart(const std::string& aKey,
                std::uint64_t aTicket,
                TimePoint aNow) const;
  void Finish(const std::string& aKey,
              std::uint64_t aTicket,
              RunResult aResult,
              RecordedOutcome aOutcome,
              TimePoint aNow);

  std::vector<StoreOperation> Poll(TimePoint aNow);
  void OnStoreAnswer(const StoreAnswer& aAnswer, TimePoint aNow);
  std::vector<ClaimDecision> TakeDecisions();
  // The time by which Poll must be called again.
  TimePoint WakeAt(TimePoint aNow) const;

  // Writes outcomes without outcomeDelay_ from now on, before a graceful
  // release of the slot.
  void Flush();
  // True when all claims and outcomes are in the store and no execution is
  // running.
  bool IsIdle() const;
  bool IsFenced() const { return fenced_; }
  bool InDoubt(TimePoint aNow) const { return aNow < inDoubtUntil_; }
  // The claims and outcomes that are not yet in the store.
  std::vector<ClaimEntry> Unwritten(TimePoint aNow) const;

  const SlotLeaseTerm& LeaseTerm() const { return leaseTerm_; }
  std::size_t ClaimCount() const { return claims_.size(); }
  std::size_t RecordCount() const { return records_.size(); }
  std::size_t MalformedRecords() const { return malformed_; }
  std::uint64_t StoreWrites() const { return committer_.Writes(); }

private:
  enum class Phase
  {
    // The claim is being written to the store.
    Preparing,
    // Claimed and known not to have been executed.
    Ready,
    Running,
    Unknown,
    Done,
    // As Ready, and the release is in the store or being written.
    Released,
  };
  struct Claim
  {
    std::string fingerprint_;
    std::uint64_t claimNumber_ = 0;
    Phase phase_ = Phase::Preparing;
    // The waiting or running request, or 0.
    std::uint64_t ticket_ = 0;
    TimePoint claimedAt_{};
    // Whether the claim and its outcome are in the store.
    bool durable_ = false;
    bool outcomeDurable_ = false;
    // The key is in pending_.
    bool queued_ = false;
    RecordedOutcome outcome_;
  };
  using ClaimMap = std::unordered_map<std::string, Claim>;
  // A record in the store.
  struct Record
  {
    std::vector<std::string> claims_;
    std::size_t bytes_ = 0;
    // The next time to check whether all claims of the record have expired.
    TimePoint nextCheck_{};
  };
  // The claims and outcomes that one write commits together (group commit).
  struct Group
  {
    ClaimRecord record_;
    ClaimSegment segment_;
    std::size_t bytes_ = 0;
    std::set<std::string> keys_;
  };

  void InitInDoubtPeriod(const std::map<std::string, ClaimSegment>& aSegments,
                         bool aHasMalformed,
                         TimePoint aNow);
  void AddLoaded(const ClaimEntry& aEntry, TimePoint aNow, bool aDurable);
  ClaimDecision BeginExisting(Claim& aClaim,
                              const ClaimRequest& aRequest,
                              TimePoint aNow);
  ClaimDecision StartClaim(Claim& aClaim,
                           const ClaimRequest& aRequest,
                           TimePoint aNow);
  bool MayClaimInMemory(TimePoint aNow) const;
  bool IsValid(TimePoint aNow) const;
  void Queue(const std::string& aKey, Claim& aClaim, bool aUrgent);
  static bool NeedsWrite(const Claim& aClaim);
  static std::size_t SizeOf(const Claim& aClaim);
  ClaimEntry MakeEntry(const std::string& aKey,
                       const Claim& aClaim,
                       TimePoint aNow) const;
  // Answers all waiting requests with NotHolder.
  void RefuseWaiting();
  void ExecuteWaitingInMemory();
  void ExpireClaims(TimePoint aNow);
  Duration InDoubtTimeLeft(TimePoint aNow) const;
  bool GroupIsDue(TimePoint aNow) const;
  void ScheduleCleanup();
  void StartGroup(TimePoint aNow);
  void AddPending(Group& aGroup, TimePoint aNow);
  void AddExpiredRecords(Group& aGroup, TimePoint aNow);
  void AddCompaction(Group& aGroup, TimePoint aNow);
  bool AddCompactedRecord(Group& aGroup, const Record& aRecord, TimePoint aNow);
  void OnCommitted(TimePoint aNow);
  void OnEntryCommitted(const ClaimEntry& aEntry, TimePoint aNow);

  ClaimRegistryOptions options_;
  SlotLeaseTerm leaseTerm_;
  ClaimCommitter committer_;
  ClaimMap claims_;
  std::size_t bytes_ = 0;
  std::multimap<TimePoint, std::string> expiry_;
  std::map<std::string, Record> records_;
  // Keys to write, oldest first.
  std::deque<std::string> pending_;
  // Keys whose request waits for a decision.
  std::set<std::string> waiting_;
  // The next group is written as soon as the committer allows it.
  bool urgent_ = false;
  // When the oldest outcome that waits for outcomeDelay_ was queued.
  std::optional<TimePoint> deferredSince_;
  // A record must be written because its header has changed, even without
  // entries.
  bool headerDue_ = false;
  Duration writtenInDoubtFor_{};
  std::optional<Group> inFlight_;
  std::vector<ClaimDecision> decisions_;
  // When to write a record for the sole purpose of deleting expired ones.
  TimePoint cleanupAt_ = TimePoint::max();
  TimePoint inDoubtUntil_{};
  // A change of the mapping may have moved keys to this slot. Records written
  // until this time therefore carry in-doubt time for the next holder.
  TimePoint remapInDoubtUntil_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t claimCounter_ = 0;
  std::size_t running_ = 0;
  std::size_t malformed_ = 0;
  bool mappingChanged_ = false;
  bool loaded_ = false;
  // The current lease term has a record in the store.
  bool hasOwnRecord_ = false;
  bool fenced_ = false;
  bool flushing_ = false;
};

}
