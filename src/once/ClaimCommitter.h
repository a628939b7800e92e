#pragma once

// Writes one record at a time to the store, also when answers are lost.
// Performs no I/O: it is given the time and the store's answers, and returns
// operations.
//
//   committer.Start(record, now);
//   while (auto operation = committer.Next(now)) { Send(*operation); }
//   switch (committer.OnAnswer(answer, now)) { case CommitEvent::Committed: … }
//
// After a lost answer the record is read back. If it is absent, it is written
// again under the same key with the same content. The transaction requires that
// the key does not exist, so a delayed earlier write has no further effect. A
// write that is refused after a lost answer may have conflicted with the
// earlier write of the same record; reading back decides this as well.

#include "base/BootClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// A record to write and the keys of the records that it replaces.
struct ClaimRecord
{
  std::string key_;
  std::string value_;
  std::string attempt_;
  std::vector<std::string> deletes_;
};

enum class StoreOperationKind
{
  // One transaction: if the slot's fence is unchanged and key_ does not exist,
  // put key_ and delete the keys in deletes_.
  Write,
  // Read key_.
  ReadBack,
};

struct StoreOperation
{
  StoreOperationKind kind_ = StoreOperationKind::Write;
  // Repeated in the answer; answers to earlier operations are ignored.
  std::uint64_t id_ = 0;
  ClaimRecord record_;
};

enum class StoreAnswerKind
{
  // The transaction was committed.
  Written,
  // A comparison failed and nothing was written.
  Refused,
  // ReadBack found a record; attempt_ is its attempt ID.
  Found,
  // ReadBack found no record.
  Absent,
  // No answer or an error; a write may have been committed.
  Lost,
};

struct StoreAnswer
{
  std::uint64_t id_ = 0;
  StoreAnswerKind kind_ = StoreAnswerKind::Lost;
  std::string attempt_;
};

enum class CommitEvent
{
  None,
  Committed,
  // Another host holds the slot now.
  Fenced,
};

class ClaimCommitter
{
public:
  struct Options
  {
    // Minimum time between sending a write and starting the next record.
    Duration minimumInterval_ = std::chrono::milliseconds(25);
    // Exponential backoff after lost answers: the first and the longest delay.
    Duration initialRetryDelay_ = std::chrono::milliseconds(50);
    Duration maxRetryDelay_ = std::chrono::seconds(2);
    // An operation that stays unanswered for longer is treated as lost, for
    // example because a ring buffer between threads was full.
    Duration answerTimeout_ = std::chrono::seconds(5);
  };

  explicit ClaimCommitter(const Options& aOptions);

  // True when no record is being written.
  bool IsIdle() const { return state_ == State::Idle; }
  // The earliest time for the next Start.
  TimePoint NextStart() const { return nextStart_; }
  // Requires IsIdle().
  void Start(ClaimRecord aRecord, TimePoint aNow);
  // Returns the operation that is due, if any.
  std::optional<StoreOperation> Next(TimePoint aNow);
  CommitEvent OnAnswer(const StoreAnswer& aAnswer, TimePoint aNow);
  // When to call Next if no further answer arrives; nothing when idle.
  std::optional<TimePoint> WakeAt() const;
  std::uint64_t Writes() const { return writes_; }

private:
  enum class State
  {
    Idle,
    // The operation is due at nextOperation_.
    WriteDue,
    ReadDue,
    Writing,
    Reading,
  };

  void OnAnswerLost(TimePoint aNow);
  CommitEvent OnReadBack(const StoreAnswer& aAnswer, TimePoint aNow);
  CommitEvent Finish(CommitEvent aEvent);

  Options options_;
  State state_ = State::Idle;
  ClaimRecord record_;
  std::uint64_t operationId_ = 0;
  TimePoint nextStart_{};
  TimePoint nextOperation_{};
  TimePoint answerDeadline_{};
  Duration retryDelay_{};
  // An earlier write of this record may have been committed.
  bool mayBeCommitted_ = false;
  // The last write was refused. If the record is also absent, the fence has
  // changed.
  bool lastWriteRefused_ = false;
  std::uint64_t writes_ = 0;
};

}
