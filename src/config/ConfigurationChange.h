#pragma once

// State machine of one operator's commit of a document: a compare-and-swap
// against the version that the operator saw, with the history record written in
// the same transaction. Performs no I/O: the caller executes each step and
// reports its result.
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
// A write without a response may have taken effect, or may still do so. The
// change then reads the store again: the history record of its version, which
// is written in the same transaction, identifies by its attempt id who
// committed that version. While that version does not exist, the same
// transaction is sent again; both copies compare the same revision, so at most
// one takes effect.

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
  // The version that the operator saw; 0 if there was none.
  std::int64_t expectedVersion_ = 0;
  // The active version on this host. The new version is higher than this even
  // if the store was restored to an older state, because hosts never go back to
  // an older version.
  std::int64_t inForceVersion_ = 0;
};

// The store's key `peridotsail/config`.
struct StoredConfiguration
{
  // Empty if the key does not exist.
  std::optional<std::string> record_;
  // The modification revision; 0 if the key does not exist.
  std::int64_t modRevision_ = 0;
};

// A transaction: if the key's modification revision still equals modRevision_,
// stores record_ under the key and under the history key of version_.
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
  // The active document is identical; nothing was written.
  Unchanged,
  // The active version is not the expected one; nothing was written.
  Conflict,
  // The document is invalid; nothing was written.
  Invalid,
  // The store did not respond; nothing was written.
  StoreUnreachable,
  // The store did not respond to the write, which may still take effect.
  Unknown,
};

struct ChangeOutcome
{
  ChangeResult result_ = ChangeResult::Unknown;
  // Committed: this change's record. Unchanged and Conflict: the record in the
  // store (version 0 if there is none).
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
  // aCompared is true if the comparison succeeded and the write took effect.
  void OnWritten(bool aCompared);
  void OnHistory(const std::optional<std::string>& aRecord);
  // Reports that the store did not respond to the step.
  void OnStepFailed();

private:
  void Finish(ChangeResult aResult, ConfigurationRecord aRecord = {});
  void PrepareWrite(const StoredConfiguration& aStored,
                    std::int64_t aStoredVersion);

  const ChangeRequest request_;
  std::string hash_;
  ChangeStep step_ = ChangeStep::Read;
  ConfigurationWrite write_;
  ConfigurationRecord ownRecord_;
  ChangeOutcome outcome_;
  // A write was sent and may or may not have taken effect.
  bool maybeWritten_ = false;
  int failures_ = 0;
  int rounds_ = 0;
};

}
