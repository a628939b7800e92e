#pragma once

// Brings one record at a time into the store, whatever happens to the answers.
// Pure: it takes the time and the store's answers, and returns operations.
//
//   committer.Start(record, now);
//   while (auto operation = committer.Next(now)) { Send(*operation); }
//   switch (committer.OnAnswer(answer, now)) { case CommitEvent::Committed: … }
//
// After a lost answer the record is read back. A record that is absent then is
// written again under the same key with the same content, and the transaction
// compares that the key is absent; an earlier write that arrives late therefore
// cannot do harm. A refusal after a lost answer may be due to the own earlier
// write and is decided by reading back as well.

#include "base/BootClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// A record and the records that it replaces.
struct ClaimRecord
{
  std::string key_;
  std::string value_;
  std::string attempt_;
  std::vector<std::string> deletes_;
};

enum class StoreOperationKind
{
  // If the slot's fence holds and key_ does not exist: put key_ and delete the
  // keys of deletes_, in one transaction.
  Write,
  // Read key_.
  ReadBack,
};

struct StoreOperation
{
  StoreOperationKind kind_ = StoreOperationKind::Write;
  // Comes back in the answer; answers to earlier operations are ignored.
  std::uint64_t id_ = 0;
  ClaimRecord record_;
};

enum class StoreAnswerKind
{
  // The transaction took effect.
  Written,
  // A comparison failed; nothing was written.
  Refused,
  // ReadBack found a record; attempt_ is its attempt id.
  Found,
  // ReadBack found none.
  Absent,
  // No answer, or an error: a write may have taken effect.
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
  // Another holder has the slot.
  Fenced,
};

class ClaimCommitter
{
public:
  struct Options
  {
    // Between two writes of different records, from sending to sending.
    Duration minimumInterval_ = std::chrono::milliseconds(25);
    // Wait after the first lost answer; doubles with each further one.
    Duration firstRetry_ = std::chrono::milliseconds(50);
    Duration lastRetry_ = std::chrono::seconds(2);
    // An operation without an answer for longer counts as lost, for example
    // because a ring between threads was full.
    Duration answerLimit_ = std::chrono::seconds(5);
  };

  explicit ClaimCommitter(const Options& aOptions);

  // True when no record is on its way.
  bool IsIdle() const { return state_ == State::Idle; }
  // When the next record may be started.
  TimePoint NextStart() const { return nextStart_; }
  // Only when idle.
  void Start(ClaimRecord aRecord, TimePoint aNow);
  // The operation that is due, or nothing.
  std::optional<StoreOperation> Next(TimePoint aNow);
  CommitEvent OnAnswer(const StoreAnswer& aAnswer, TimePoint aNow);
  // When Next has something to do without a further answer; nothing while no
  // record is on its way.
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

  void OnLost(TimePoint aNow);
  CommitEvent OnReadBack(const StoreAnswer& aAnswer, TimePoint aNow);
  CommitEvent End(CommitEvent aEvent);

  Options options_;
  State state_ = State::Idle;
  ClaimRecord record_;
  std::uint64_t operationId_ = 0;
  TimePoint nextStart_{};
  TimePoint nextOperation_{};
  TimePoint answerUntil_{};
  Duration retry_{};
  // An earlier write of this record may have taken effect.
  bool uncertain_ = false;
  // The last write was refused; an absent record then means fenced.
  bool refused_ = false;
  std::uint64_t writes_ = 0;
};

}
