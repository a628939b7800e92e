#pragma once

// One operator's commit of a document: compare-and-swap against the version
// that the operator saw, with the history record in the same transaction. Pure:
// the caller carries out each step and reports its result.
//
//   ConfigurationChange change(request);
//   while (change.Step() != ChangeStep::Done) {
//     switch (change.Step()) {
//       case ChangeStep::Read: ... change.OnRead(stored); ...
//       case ChangeStep::Write: ... change.OnWritten(true); ...
//       case ChangeStep::ReadHistory: ... change.OnHistory(record); ...
//     }
//   }
//   const ChangeOutcome& outcome = change.Outcome();
//
// A write without an answer may have taken effect, or may still do so. The
// change then reads the store again: the history record of its version, written
// in the same transaction, tells by its attempt id who won that version. While
// that version does not exist, the same transaction is sent again; both copies
// compare the same revision, so at most one takes effect.

#include "config/ConfigurationSnapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct ChangeRequest
{
  std::string author_;
  // From RandomId().
  std::string attempt_;
  // JSON text.
  std::string document_;
  // The version that the operator saw; 0 when there was none.
  std::int64_t expectedVersion_ = 0;
  // The version in force on this host. The new version is above it even when
  // the store was restored to an older state, because hosts never go back.
  std::int64_t inForceVersion_ = 0;
};

// The store's key `peridotsail/config`.
struct StoredConfiguration
{
  // Nothing when the key does not exist.
  std::optional<std::string> record_;
  // The modification revision; 0 when the key does not exist.
  std::int64_t modRevision_ = 0;
};

// A transaction: when the key's modification revision is still modRevision_,
// put record_ under the key and under the history key of version_.
struct ConfigurationWrite
{
  std::int64_t modRevision_ = 0;
  std::int64_t version_ = 0;
  std::string record_;
};

enum class ChangeStep
{
  Read,
  Write,
  // Read the history record of Write().version_.
  ReadHistory,
  Done,
};

enum class ChangeResult
{
  Committed,
  // The document in force is the same; nothing was written.
  Unchanged,
  // Another version than the expected one is in force; nothing was written.
  Conflict,
  // The document has faults; nothing was written.
  Invalid,
  // The store did not answer; nothing was written.
  StoreUnreachable,
  // The store did not answer after the write; it may take effect.
  Unknown,
};

struct ChangeOutcome
{
  ChangeResult result_ = ChangeResult::Unknown;
  // Committed: this change's record. Unchanged and Conflict: the record that
  // the store holds (version 0 when there is none).
  ConfigurationRecord record_;
  std::vector<ConfigurationFault> faults_;
};

class ConfigurationChange
{
public:
  explicit ConfigurationChange(ChangeRequest aRequest);

  ChangeStep Step() const { return step_; }
  // Valid in the steps Write and ReadHistory.
  const ConfigurationWrite& Write() const { return write_; }
  // Valid when Done.
  const ChangeOutcome& Outcome() const { return outcome_; }

  void OnRead(const StoredConfiguration& aStored);
  // True: the comparison held and the write took effect.
  void OnWritten(bool aCompared);
  void OnHistory(const std::optional<std::string>& aRecord);
  // The step had no answer.
  void OnStepFailed();

private:
  void Finish(ChangeResult aResult, ConfigurationRecord aRecord = {});
  void PrepareWrite(const StoredConfiguration& aStored,
                    std::int64_t aStoredVersion);

  const ChangeRequest request_;
  std::string hash_;
  ChangeStep step_ = ChangeStep::Read;
  ConfigurationWrite write_;
  ConfigurationRecord own_;
  ChangeOutcome outcome_;
  // A write was sent and its effect is not known.
  bool maybeWritten_ = false;
  int failures_ = 0;
  int rounds_ = 0;
};

}
