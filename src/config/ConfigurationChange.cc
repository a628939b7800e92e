#include "config/ConfigurationChange.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// Number of failed steps after which the operator is told that the store is
// unreachable or the outcome is unknown.
constexpr int kMaxFailures = 5;
// Maximum number of reads per change; each read after the first follows a
// failed comparison or a lost response.
constexpr int kMaxRounds = 10;

}

ConfigurationChange::ConfigurationChange(ChangeRequest aRequest)
  : request_(std::move(aRequest))
{
  // The version is a placeholder; the actual one is assigned by PrepareWrite.
  const SnapshotPtr snapshot =
    MakeSnapshot(1, request_.document_, outcome_.faults_);
  if (!snapshot) {
    Finish(ChangeResult::Invalid);
    return;
  }
  hash_ = snapshot->hash_;
}

void
ConfigurationChange::Finish(ChangeResult aResult, ConfigurationRecord aRecord)
{
  step_ = ChangeStep::Done;
  outcome_.result_ = aResult;
  outcome_.record_ = std::move(aRecord);
}

void
ConfigurationChange::OnRead(const StoredConfiguration& aStored)
{
  if (++rounds_ > kMaxRounds) {
    Finish(maybeWritten_ ? ChangeResult::Unknown
                         : ChangeResult::StoreUnreachable);
    return;
  }
  ConfigurationRecord stored;
  if (aStored.record_) {
    const std::optional<ConfigurationRecord> parsed =
      ParseRecord(*aStored.record_);
    if (!parsed) {
      outcome_.faults_.push_back(
        { "", "the store holds a value that is not a configuration record" });
      Finish(ChangeResult::Invalid);
      return;
    }
    stored = *parsed;
  }
  if (maybeWritten_ && stored.version_ >= write_.version_) {
    step_ = ChangeStep::ReadHistory;
    return;
  }
  std::vector<ConfigurationFault> faults;
  const SnapshotPtr current =
    MakeSnapshot(stored.version_, stored.document_, faults);
  if (current && current->hash_ == hash_ &&
      stored.version_ >= request_.inForceVersion_) {
    Finish(ChangeResult::Unchanged, std::move(stored));
    return;
  }
  if (stored.version_ != request_.expectedVersion_) {
    // A write that is still in flight compares an older revision and will fail.
    Finish(ChangeResult::Conflict, std::move(stored));
    return;
  }
  PrepareWrite(aStored, stored.version_);
}

void
ConfigurationChange::PrepareWrite(const StoredConfiguration& aStored,
                                  std::int64_t aStoredVersion)
{
  ownRecord_.version_ = std::max(aStoredVersion, request_.inForceVersion_) + 1;
  ownRecord_.attempt_ = request_.attempt_;
  ownRecord_.author_ = request_.author_;
  ownRecord_.document_ = request_.document_;
  write_.modRevision_ = aStored.modRevision_;
  write_.version_ = ownRecord_.version_;
  write_.record_ = FormatRecord(ownRecord_);
  step_ = ChangeStep::Write;
}

void
ConfigurationChange::OnWritten(bool aCompared)
{
  if (aCompared) {
    Finish(ChangeResult::Committed, ownRecord_);
    return;
  }
  // Either another operator's write or an earlier copy of this one took effect
  // first.
  maybeWritten_ = true;
  step_ = ChangeStep::Read;
}

void
ConfigurationChange::OnHistory(const std::optional<std::string>& aRecord)
{
  const std::optional<ConfigurationRecord> record =
    aRecord ? ParseRecord(*aRecord) : std::nullopt;
  if (!record) {
    Finish(ChangeResult::Unknown);
  } else if (record->attempt_ == request_.attempt_) {
    Finish(ChangeResult::Committed, ownRecord_);
  } else {
    Finish(ChangeResult::Conflict, *record);
  }
}

void
ConfigurationChange::OnStepFailed()
{
  maybeWritten_ = maybeWritten_ || step_ == ChangeStep::Write;
  if (++failures_ >= kMaxFailures) {
    Finish(maybeWritten_ ? ChangeResult::Unknown
                         : ChangeResult::StoreUnreachable);
    return;
  }
  if (step_ == ChangeStep::Write) {
    step_ = ChangeStep::Read;
  }
}

}
