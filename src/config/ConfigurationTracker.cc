#include "config/ConfigurationTracker.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// Sorts names by descending rendezvous weight for the given seed.
void
SortByWeight(std::vector<std::string>& aNames, std::uint64_t aSeed)
{
  std::sort(aNames.begin(),
            aNames.end(),
            [aSeed](const std::string& aLeft, const std::string& aRight) {
              return std::make_pair(StableHash(aLeft, aSeed), aLeft) >
                     std::make_pair(StableHash(aRight, aSeed), aRight);
            });
}

}

std::vector<std::string>
ChooseWatchers(const std::vector<TrackerHost>& aHosts,
               std::string_view aRegion,
               std::size_t aCount)
{
  std::vector<std::string> names;
  for (const TrackerHost& host : aHosts) {
    if (host.region_ == aRegion) {
      names.push_back(host.name_);
    }
  }
  SortByWeight(names, StableHash("configuration watcher"));
  names.resize(std::min(names.size(), aCount));
  return names;
}

ConfigurationTracker::ConfigurationTracker(std::string aHost,
                                           std::string aRegion,
                                           TrackerOptions aOptions)
  : host_(std::move(aHost))
  , region_(std::move(aRegion))
  , options_(aOptions)
{
}

TrackerAction&
ConfigurationTracker::Emit(Kind aKind)
{
  actions_.emplace_back();
  actions_.back().kind_ = aKind;
  return actions_.back();
}

std::vector<TrackerAction>
ConfigurationTracker::TakeActions()
{
  return std::exchange(actions_, {});
}

void
ConfigurationTracker::SetHosts(TimePoint aNow, std::vector<TrackerHost> aHosts)
{
  hosts_ = std::move(aHosts);
  const std::vector<std::string> chosen =
    ChooseWatchers(hosts_, region_, options_.watchersPerRegion_);
  watcher_ = std::find(chosen.begin(), chosen.end(), host_) != chosen.end();
  UpdateWatch(aNow);
}

void
ConfigurationTracker::UpdateWatch(TimePoint aNow)
{
  if (watcher_ && !watchStartedAt_ && aNow >= watchNotBefore_) {
    watchStartedAt_ = aNow;
    Emit(Kind::StartWatch);
  } else if (!watcher_ && watchStartedAt_) {
    watchStartedAt_.reset();
    Emit(Kind::StopWatch);
  }
}

void
ConfigurationTracker::OnWatchEnded(TimePoint aNow)
{
  watchStartedAt_.reset();
  watchNotBefore_ = aNow + options_.watchRestartDelay_;
}

void
ConfigurationTracker::OnWatchEvent(std::string_view aRecord)
{
  const std::optional<ConfigurationRecord> record = ParseRecord(aRecord);
  if (!record) {
    ReportRefusal("store", "the value is not a configuration record");
    return;
  }
  AdoptRecordIfNewer(*record, "store");
}

ReadOutcome
ConfigurationTracker::OnReadResult(TimePoint aNow,
                                   std::uint64_t aReadId,
                                   const std::optional<std::string>& aRecord)
{
  ReadOutcome outcome;
  if (aReadId == lastReadId_ && readSentAt_) {
    outcome.sentAt_ = readSentAt_;
    readSentAt_.reset();
    SetStoreReachable(true);
  }
  if (!aRecord) {
    return outcome;
  }
  const std::optional<ConfigurationRecord> record = ParseRecord(*aRecord);
  if (!record) {
    ReportRefusal("store", "the value is not a configuration record");
    return outcome;
  }
  const SnapshotPtr before = inForce_;
  AdoptRecordIfNewer(*record, "store");
  if (inForce_ != before) {
    RestartSilentWatch(aNow);
  }
  outcome.matchesInForce_ =
    inForce_ != nullptr && inForce_->version_ == record->version_;
  return outcome;
}

// A read that finds a version which a long-running watch did not report shows
// that the watch has stalled.
void
ConfigurationTracker::RestartSilentWatch(TimePoint aNow)
{
  if (watchStartedAt_ && aNow - *watchStartedAt_ > options_.readInterval_) {
    Emit(Kind::StopWatch);
    Emit(Kind::StartWatch);
    watchStartedAt_ = aNow;
  }
}

void
ConfigurationTracker::OnReadFailed(TimePoint aNow, std::uint64_t aReadId)
{
  if (aReadId == lastReadId_ && readSentAt_) {
    nextRead_ = std::max(nextRead_, aNow + options_.readTimeout_);
    readSentAt_.reset();
    SetStoreReachable(false);
  }
}

void
ConfigurationTracker::SetStoreReachable(bool aReachable)
{
  if (storeReachable_ != aReachable) {
    storeReachable_ = aReachable;
    // Peers need this information immediately, to distinguish a store outage
    // from isolation.
    ExpediteGossip();
  }
}

void
ConfigurationTracker::OnCommitted(const ConfigurationRecord& aRecord)
{
  AdoptRecordIfNewer(aRecord, "commit");
}

void
ConfigurationTracker::AdoptRecordIfNewer(const ConfigurationRecord& aRecord,
                                         const std::string& aSource)
{
  // Checked before the document is parsed, since most reads return the version
  // that is already active.
  if (!IsNewer(aRecord.version_, aSource)) {
    return;
  }
  std::vector<ConfigurationFault> faults;
  const SnapshotPtr candidate =
    MakeSnapshot(aRecord.version_, aRecord.document_, faults);
  if (!candidate) {
    ReportRefusal(aSource, DescribeFaults(faults));
    return;
  }
  AdoptIfNewer(candidate, aSource);
}

// Invariant 10: every change of the active version must pass this comparison.
bool
ConfigurationTracker::IsNewer(std::int64_t aVersion, const std::string& aSource)
{
  if (!inForce_ || aVersion > inForce_->version_) {
    return true;
  }
  if (aVersion < inForce_->version_) {
    TrackerAction& action = Emit(Kind::OlderIgnored);
    action.version_ = aVersion;
    action.source_ = aSource;
  }
  return false;
}

void
ConfigurationTracker::AdoptIfNewer(const SnapshotPtr& aCandidate,
                                   const std::string& aSource)
{
  if (!IsNewer(aCandidate->version_, aSource)) {
    return;
  }
  if (inForce_) {
    previousVersions_.push_front(inForce_);
    previousVersions_.resize(
      std::min(previousVersions_.size(), options_.retainedVersions_));
  }
  inForce_ = aCandidate;
  encodedDeltas_.clear();
  requestSentAt_.reset();
  TrackerAction& action = Emit(Kind::Adopted);
  action.snapshot_ = inForce_;
  action.version_ = inForce_->version_;
  action.hash_ = inForce_->hash_;
  action.source_ = aSource;
  // Hosts without a watch then learn of the version without waiting for the
  // next gossip interval.
  ExpediteGossip();
}

void
ConfigurationTracker::ReportRefusal(const std::string& aSource,
                                    std::string aReason)
{
  TrackerAction& action = Emit(Kind::Refused);
  action.source_ = aSource;
  action.bytes_ = std::move(aReason);
}

void
ConfigurationTracker::OnGossip(TimePoint aNow,
                               const std::string& aPeer,
                               std::int64_t aVersion,
                               const std::string& aHash)
{
  const std::int64_t ownVersion = inForce_ ? inForce_->version_ : 0;
  if (aVersion > ownVersion) {
    Request(aNow, aPeer, false);
  } else if (aVersion == ownVersion && ownVersion > 0 &&
             aHash != inForce_->hash_) {
    ReportRefusal(aPeer,
                  "the peer has another document under the same version");
  }
}

// At most one request is pending at a time; a peer that does not respond delays
// the next one only by the timeout.
void
ConfigurationTracker::Request(TimePoint aNow,
                              const std::string& aPeer,
                              bool aWhole)
{
  if (requestSentAt_ && aNow - *requestSentAt_ < options_.requestTimeout_) {
    return;
  }
  requestSentAt_ = aNow;
  TrackerAction& action = Emit(Kind::SendRequest);
  action.peer_ = aPeer;
  action.version_ = inForce_ ? inForce_->version_ : 0;
  action.hash_ = inForce_ ? inForce_->hash_ : "";
  action.whole_ = aWhole;
}

void
ConfigurationTracker::OnRequest(const std::string& aPeer,
                                std::int64_t aVersion,
                                const std::string& aHash,
                                bool aWhole)
{
  if (!inForce_ || aVersion >= inForce_->version_) {
    return;
  }
  TrackerAction& action = Emit(Kind::SendDelta);
  action.peer_ = aPeer;
  action.version_ = inForce_->version_;
  action.whole_ = aWhole;
  action.bytes_ = aWhole ? DeltaFor(0, "") : DeltaFor(aVersion, aHash);
}

const std::string&
ConfigurationTracker::DeltaFor(std::int64_t aVersion, const std::string& aHash)
{
  const auto base = std::find_if(previousVersions_.begin(),
                                 previousVersions_.end(),
                                 [&](const SnapshotPtr& aPrevious) {
                                   return aPrevious->version_ == aVersion &&
                                          aPrevious->hash_ == aHash;
                                 });
  const bool known = base != previousVersions_.end();
  std::string& bytes = encodedDeltas_[known ? aVersion : 0];
  if (bytes.empty()) {
    bytes = EncodeDelta(known ? base->get() : nullptr, *inForce_);
  }
  return bytes;
}

void
ConfigurationTracker::OnDelta(TimePoint aNow,
                              const std::string& aPeer,
                              std::string_view aBytes)
{
  const DeltaOutcome outcome = ApplyDelta(inForce_.get(), aBytes);
  switch (outcome.result_) {
    case DeltaResult::Applied:
      AdoptIfNewer(outcome.snapshot_, aPeer);
      return;
    case DeltaResult::Malformed:
      ReportRefusal(aPeer, "the delta is malformed");
      return;
    case DeltaResult::Refused:
      ReportRefusal(aPeer, outcome.detail_);
      return;
    case DeltaResult::WrongBase:
    case DeltaResult::WrongHash:
      break;
  }
  const std::int64_t ownVersion = inForce_ ? inForce_->version_ : 0;
  if (outcome.version_ <= ownVersion) {
    return;
  }
  if (outcome.baseVersion_ == 0) {
    // Another request would return the same whole document.
    ReportRefusal(aPeer, "the whole document does not have its stated hash");
    return;
  }
  requestSentAt_.reset();
  Request(aNow, aPeer, true);
}

void
ConfigurationTracker::UpdateRead(TimePoint aNow)
{
  if (readSentAt_ && aNow - *readSentAt_ >= options_.readTimeout_) {
    readSentAt_.reset();
    SetStoreReachable(false);
  }
  const bool needed = watcher_ || forceReads_ || !inForce_;
  if (!needed || readSentAt_ || aNow < nextRead_) {
    return;
  }
  readSentAt_ = aNow;
  nextRead_ = aNow + options_.readInterval_;
  Emit(Kind::ReadStore).readId_ = ++lastReadId_;
}

std::vector<std::string>
ConfigurationTracker::GossipTargets() const
{
  std::vector<std::string> names;
  for (const TrackerHost& host : hosts_) {
    if (host.name_ != host_) {
      names.push_back(host.name_);
    }
  }
  if (names.size() > options_.gossipFanout_) {
    SortByWeight(names, StableHash(host_, gossipRound_));
    names.resize(options_.gossipFanout_);
  }
  return names;
}

void
ConfigurationTracker::OnTimer(TimePoint aNow)
{
  UpdateWatch(aNow);
  UpdateRead(aNow);
  if (aNow < nextGossip_) {
    return;
  }
  nextGossip_ = aNow + options_.gossipInterval_;
  ++gossipRound_;
  for (const std::string& peer : GossipTargets()) {
    TrackerAction& action = Emit(Kind::SendGossip);
    action.peer_ = peer;
    action.version_ = inForce_ ? inForce_->version_ : 0;
    action.hash_ = inForce_ ? inForce_->hash_ : "";
  }
}

}
