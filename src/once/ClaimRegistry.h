#pragma once

// Decides, for one slot during one tenure, whether a request of a
// non-idempotent route runs. Pure: it takes the time and events, and returns
// decisions and store operations.
//
//   ClaimRegistry registry(options, tenure);
//   registry.Load(records, {}, now);           // all records of the slot
//   ClaimDecision decision = registry.Begin(request, now);
//   for (StoreOperation& operation : registry.Poll(now)) { send(operation); }
//   registry.OnStoreAnswer(answer, now);       // then Poll again
//   for (ClaimDecision& d : registry.TakeDecisions()) { resume(d); }
//   if (registry.MayStart(key, ticket, now)) { /* write the first byte */ }
//   registry.Finish(key, ticket, RunResult::Complete, outcome, now);
//
// No key runs twice within the retry horizon:
// - Execute is decided once for each claim, after the claim is in the store
//   under the fence of this tenure; a successor that loads the claim without an
//   outcome answers OutcomeUnknown.
// - A claim without the store is made only while the tenure continues in an
//   outage. The successor then has predecessorMayHaveContinued_ and answers
//   OutcomeUnknown for all keys that it does not know. How long it still does
//   so is in each record, so that its own successor continues it. A tenure
//   therefore writes a record before it decides anything; one that finds no
//   record of the tenure before it assumes the longest doubt.
// - A run that ended with a stated not-run may be repeated.

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
  // A decision follows from TakeDecisions.
  Wait,
  // Run the request once; ask MayStart before the first byte, then call Finish.
  Execute,
  // Answer the recorded outcome.
  Replay,
  InProgress,
  OutcomeUnknown,
  KeyReused,
  // This host does not hold the slot, or not yet: ask again.
  NotHolder,
  // The bound on memory is reached.
  Full,
  // The deadline passed while the request waited (AtMostOnceService).
  TimedOut,
};

struct ClaimDecision
{
  std::uint64_t ticket_ = 0;
  ClaimVerdict verdict_ = ClaimVerdict::Wait;
  // What a refusal states about this request.
  ExecutionState execution_ = ExecutionState::Unknown;
  // Only for Replay.
  RecordedOutcome outcome_;
};

ClaimDecision
MakeDecision(std::uint64_t aTicket,
             ClaimVerdict aVerdict,
             ExecutionState aExecution = ExecutionState::Unknown);

// The error kind of a refusing verdict.
ErrorKind
ErrorKindOf(ClaimVerdict aVerdict);

// How an execution ended.
enum class RunResult
{
  // No byte was written, or the backend server stated that it did not run it.
  NotRun,
  Unknown,
  Complete,
};

// A record as it was read from the store.
struct LoadedRecord
{
  std::string key_;
  std::string value_;
};

struct ClaimRegistryOptions
{
  // How long a key is known after its claim.
  Duration horizon_ = std::chrono::seconds(600);
  // Outcomes wait this long for a group with a claim that takes them along.
  Duration outcomeDelay_ = std::chrono::milliseconds(250);
  ClaimCommitter::Options commit_;
  // Bounds on memory. Claims beyond them are refused.
  std::size_t maxClaims_ = 100'000;
  std::size_t maxBytes_ = 32 << 20;
  std::size_t maxSegmentBytes_ = kMaxSegmentBytes;
  // Records of about the same size that are merged into one.
  std::size_t mergeAt_ = 16;
  // A transaction of the store takes 128 operations.
  std::size_t maxDeletes_ = 100;
  // Unique for each process; part of the attempt ids.
  std::string incarnation_;
  // SlotMap::Signature of the mapping in force.
  std::uint64_t mapping_ = 0;
};

class ClaimRegistry
{
public:
  ClaimRegistry(ClaimRegistryOptions aOptions, SlotLeaseTerm aTenure);

  // Takes all records of the slot, read after the tenure began; for the first
  // epoch of a slot those of all slots, which show whether the slot is new in
  // an old deployment. aCarried are the Unwritten entries of the tenure before
  // when this process had it.
  void Load(const std::vector<LoadedRecord>& aRecords,
            const std::vector<ClaimEntry>& aCarried,
            TimePoint aNow);
  bool IsLoaded() const { return loaded_; }
  // The same tenure with another end or state of continuation.
  void Renew(const SlotLeaseTerm& aTenure);
  // The mapping of keys to slots has changed.
  void Remap(std::uint64_t aSignature, TimePoint aNow);

  ClaimDecision Begin(const ClaimRequest& aRequest, TimePoint aNow);
  // The waiting request gives up. Returns what its refusal may state.
  ExecutionState Cancel(const std::string& aKey,
                        std::uint64_t aTicket,
                        TimePoint aNow);
  // Whether the execution may begin at this moment.
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
  // When Poll is to be called at the latest.
  TimePoint WakeAt(TimePoint aNow) const;

  // Ends the delay of outcomes before a graceful release of the slot.
  void Flush();
  // True when every claim and outcome is in the store and nothing runs.
  bool IsIdle() const;
  bool IsFenced() const { return fenced_; }
  bool InDoubt(TimePoint aNow) const { return aNow < doubtUntil_; }
  // The claims and outcomes that are not in the store.
  std::vector<ClaimEntry> Unwritten(TimePoint aNow) const;

  const SlotLeaseTerm& Tenure() const { return tenure_; }
  std::size_t ClaimCount() const { return claims_.size(); }
  std::size_t RecordCount() const { return records_.size(); }
  std::size_t MalformedRecords() const { return malformed_; }
  std::uint64_t StoreWrites() const { return committer_.Writes(); }

private:
  enum class Phase
  {
    // The claim is on its way into the store.
    Preparing,
    // Claimed, and certainly not run.
    Ready,
    Running,
    Unknown,
    Done,
    // As Ready, and the store knows or is being told.
    Released,
  };
  struct Claim
  {
    std::string fingerprint_;
    std::uint64_t run_ = 0;
    Phase phase_ = Phase::Preparing;
    // The waiting or running request; 0 for none.
    std::uint64_t ticket_ = 0;
    TimePoint claimedAt_{};
    // The store has the claim, and the outcome.
    bool durable_ = false;
    bool outcomeDurable_ = false;
    bool queued_ = false;
    RecordedOutcome outcome_;
  };
  using ClaimMap = std::unordered_map<std::string, Claim>;
  // A record in the store.
  struct Record
  {
    std::vector<std::string> claims_;
    std::size_t bytes_ = 0;
    // When it is worth looking whether all its claims have expired.
    TimePoint checkAt_{};
  };
  struct Group
  {
    ClaimRecord record_;
    ClaimSegment segment_;
    std::size_t bytes_ = 0;
    std::set<std::string> keys_;
  };

  void LoadDoubt(const std::map<std::string, ClaimSegment>& aSegments,
                 bool aUnreadable,
                 TimePoint aNow);
  void AddLoaded(const ClaimEntry& aEntry, TimePoint aNow, bool aDurable);
  ClaimDecision BeginKnown(Claim& aClaim,
                           const ClaimRequest& aRequest,
                           TimePoint aNow);
  ClaimDecision Prepare(Claim& aClaim,
                        const ClaimRequest& aRequest,
                        TimePoint aNow);
  bool MayClaimInMemory(TimePoint aNow) const;
  bool IsValid(TimePoint aNow) const;
  void Queue(const std::string& aKey, Claim& aClaim, bool aUrgent);
  static bool NeedsWrite(const Claim& aClaim);
  static std::size_t SizeOf(const Claim& aClaim);
  ClaimEntry EntryOf(const std::string& aKey,
                     const Claim& aClaim,
                     TimePoint aNow) const;
  // Decides NotHolder for all waiting requests.
  void RefuseWaiting();
  void RunWaitingInMemory();
  void Expire(TimePoint aNow);
  Duration DoubtLeft(TimePoint aNow) const;
  bool GroupIsDue(TimePoint aNow) const;
  void PlanCleanup();
  void StartGroup(TimePoint aNow);
  void AddPending(Group& aGroup, TimePoint aNow);
  void AddExpiredRecords(Group& aGroup, TimePoint aNow);
  void AddMerges(Group& aGroup, TimePoint aNow);
  bool AddRecordOf(Group& aGroup, const Record& aRecord, TimePoint aNow);
  void OnCommitted(TimePoint aNow);
  void OnEntryCommitted(const ClaimEntry& aEntry, TimePoint aNow);

  ClaimRegistryOptions options_;
  SlotLeaseTerm tenure_;
  ClaimCommitter committer_;
  ClaimMap claims_;
  std::size_t bytes_ = 0;
  std::multimap<TimePoint, std::string> expiry_;
  std::map<std::string, Record> records_;
  // Keys with something to write, in order.
  std::deque<std::string> pending_;
  std::set<std::string> waiting_;
  bool urgent_ = false;
  std::optional<TimePoint> lazySince_;
  // A record is due for its header alone.
  bool headerDue_ = false;
  Duration writtenDoubt_{};
  std::optional<Group> inFlight_;
  std::vector<ClaimDecision> decisions_;
  // When a record is written only to delete expired ones.
  TimePoint cleanupAt_ = TimePoint::max();
  TimePoint doubtUntil_{};
  TimePoint remapUntil_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t runCounter_ = 0;
  std::size_t running_ = 0;
  std::size_t malformed_ = 0;
  bool otherMapping_ = false;
  bool loaded_ = false;
  // This tenure has a record in the store.
  bool opened_ = false;
  bool fenced_ = false;
  bool flushing_ = false;
};

}
