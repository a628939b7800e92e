// The part of ClaimRegistry that loads, writes and compacts records.

#include "once/ClaimRegistry.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace peridotsail {

namespace {

// Upper bound on the encoded size of a record without its entries.
constexpr std::size_t kSegmentOverhead = 400;
// Estimated memory of a claim without its outcome.
constexpr std::size_t kClaimOverhead = 300;
// Records whose claims have all expired are deleted with the next group, or by
// a separate write after this delay.
constexpr Duration kCleanupDelay = std::chrono::seconds(10);

// Size-tiered compaction: only records of about the same size are merged, so
// that an entry is rewritten a logarithmic number of times.
int
SizeTier(std::size_t aBytes)
{
  return static_cast<int>(std::log2(aBytes / 256 + 1) / 3);
}

}

void
ClaimRegistry::Load(const std::vector<LoadedRecord>& aRecords,
                    const std::vector<ClaimEntry>& aUnwritten,
                    TimePoint aNow)
{
  const std::string prefix = ClaimRecordPrefix(leaseTerm_.slot_);
  std::map<std::string, ClaimSegment> segments;
  for (const LoadedRecord& record : aRecords) {
    std::string reason;
    auto segment = ClaimSegment::Decode(record.value_, reason);
    if (record.key_.compare(0, prefix.size(), prefix) != 0) {
      // The keys of an added slot mapped to other slots before.
      mappingChanged_ =
        mappingChanged_ || !segment ||
        segment->mappingSignature_ != options_.mappingSignature_;
      continue;
    }
    Record& known = records_[record.key_];
    known.bytes_ = record.value_.size();
    known.nextCheck_ = aNow + options_.retryHorizon_;
    if (!segment) {
      ++malformed_;
      continue;
    }
    for (const ClaimEntry& entry : segment->entries_) {
      known.claims_.push_back(entry.key_);
      AddLoaded(entry, aNow, true);
    }
    segments.emplace(record.key_, std::move(*segment));
  }
  for (const ClaimEntry& entry : aUnwritten) {
    AddLoaded(entry, aNow, false);
  }
  InitInDoubtPeriod(segments, malformed_ > 0, aNow);
  ScheduleCleanup();
  loaded_ = true;
  headerDue_ = true;
}

void
ClaimRegistry::InitInDoubtPeriod(
  const std::map<std::string, ClaimSegment>& aSegments,
  bool aHasMalformed,
  TimePoint aNow)
{
  const ClaimSegment* last = nullptr;
  for (const auto& [key, segment] : aSegments) {
    if (last == nullptr || std::tie(segment.epoch_, segment.sequence_) >
                             std::tie(last->epoch_, last->sequence_)) {
      last = &segment;
    }
  }
  const bool recordMissing =
    leaseTerm_.epoch_ > 1 &&
    (last == nullptr || last->epoch_ + 1 < leaseTerm_.epoch_);
  mappingChanged_ =
    mappingChanged_ ||
    (last != nullptr && last->mappingSignature_ != options_.mappingSignature_);
  if (aHasMalformed || recordMissing || mappingChanged_ ||
      leaseTerm_.predecessorMayHaveContinued_) {
    inDoubtUntil_ = aNow + options_.retryHorizon_;
  } else if (last != nullptr) {
    inDoubtUntil_ = aNow + std::min(last->inDoubtFor_, options_.retryHorizon_);
  }
}

void
ClaimRegistry::AddLoaded(const ClaimEntry& aEntry,
                         TimePoint aNow,
                         bool aDurable)
{
  const auto [it, added] = claims_.try_emplace(aEntry.key_);
  Claim& claim = it->second;
  if (!added) {
    ClaimEntry known = MakeEntry(it->first, claim, aNow);
    if (!aEntry.Supersedes(known)) {
      return;
    }
    bytes_ -= SizeOf(claim);
  }
  claim.fingerprint_ = aEntry.fingerprint_;
  claim.claimNumber_ = aEntry.claimNumber_;
  claim.outcome_ = aEntry.outcome_;
  claim.claimedAt_ = aNow - std::min(aEntry.age_, options_.retryHorizon_);
  claim.phase_ = aEntry.stage_ == ClaimStage::Done       ? Phase::Done
                 : aEntry.stage_ == ClaimStage::Released ? Phase::Released
                                                         : Phase::Unknown;
  claim.durable_ = aDurable;
  claim.outcomeDurable_ = aDurable;
  bytes_ += SizeOf(claim);
  expiry_.emplace(claim.claimedAt_ + options_.retryHorizon_, aEntry.key_);
  if (!aDurable) {
    Queue(aEntry.key_, claim, true);
  }
}

std::size_t
ClaimRegistry::SizeOf(const Claim& aClaim)
{
  return kClaimOverhead + aClaim.outcome_.body_.size() +
         aClaim.outcome_.contentType_.size();
}

bool
ClaimRegistry::NeedsWrite(const Claim& aClaim)
{
  return !aClaim.durable_ || aClaim.phase_ == Phase::Ready ||
         (aClaim.phase_ == Phase::Done && !aClaim.outcomeDurable_);
}

void
ClaimRegistry::Queue(const std::string& aKey, Claim& aClaim, bool aUrgent)
{
  urgent_ = urgent_ || aUrgent;
  if (!aClaim.queued_) {
    aClaim.queued_ = true;
    pending_.push_back(aKey);
  }
}

ClaimEntry
ClaimRegistry::MakeEntry(const std::string& aKey,
                         const Claim& aClaim,
                         TimePoint aNow) const
{
  ClaimEntry entry;
  entry.key_ = aKey;
  entry.fingerprint_ = aClaim.fingerprint_;
  entry.claimNumber_ = aClaim.claimNumber_;
  entry.age_ = std::max(Duration::zero(), aNow - aClaim.claimedAt_);
  if (aClaim.phase_ == Phase::Done) {
    entry.stage_ = ClaimStage::Done;
    entry.outcome_ = aClaim.outcome_;
  } else if (aClaim.phase_ == Phase::Released) {
    entry.stage_ = ClaimStage::Released;
  }
  return entry;
}

Duration
ClaimRegistry::InDoubtTimeLeft(TimePoint aNow) const
{
  return std::max(Duration::zero(),
                  std::max(inDoubtUntil_, remapInDoubtUntil_) - aNow);
}

bool
ClaimRegistry::GroupIsDue(TimePoint aNow) const
{
  if (aNow < committer_.NextStart()) {
    return false;
  }
  if (urgent_ || headerDue_ || (flushing_ && !pending_.empty())) {
    return true;
  }
  if (deferredSince_ && aNow >= *deferredSince_ + options_.outcomeDelay_) {
    return true;
  }
  return aNow >= cleanupAt_;
}

void
ClaimRegistry::ScheduleCleanup()
{
  cleanupAt_ = TimePoint::max();
  for (const auto& [key, record] : records_) {
    if (!record.claims_.empty()) {
      cleanupAt_ = std::min(cleanupAt_, record.nextCheck_ + kCleanupDelay);
    }
  }
}

void
ClaimRegistry::StartGroup(TimePoint aNow)
{
  Group group;
  group.bytes_ = kSegmentOverhead;
  group.segment_.epoch_ = leaseTerm_.epoch_;
  group.segment_.sequence_ = ++sequence_;
  group.segment_.attempt_ =
    options_.incarnation_ + "-" + std::to_string(sequence_);
  group.segment_.mappingSignature_ = options_.mappingSignature_;
  group.segment_.inDoubtFor_ = InDoubtTimeLeft(aNow);
  headerDue_ = false;
  urgent_ = false;
  deferredSince_.reset();
  AddPending(group, aNow);
  AddExpiredRecords(group, aNow);
  AddCompaction(group, aNow);
  group.record_.key_ =
    ClaimRecordKey(leaseTerm_.slot_, leaseTerm_.epoch_, sequence_);
  group.record_.attempt_ = group.segment_.attempt_;
  group.record_.value_ = group.segment_.Encode();
  committer_.Start(group.record_, aNow);
  inFlight_ = std::move(group);
}

void
ClaimRegistry::AddPending(Group& aGroup, TimePoint aNow)
{
  while (!pending_.empty()) {
    const std::string key = pending_.front();
    const auto known = claims_.find(key);
    if (known == claims_.end() || !known->second.queued_) {
      pending_.pop_front();
      continue;
    }
    Claim& claim = known->second;
    if (NeedsWrite(claim)) {
      const Phase before = claim.phase_;
      if (claim.phase_ == Phase::Ready) {
        claim.phase_ = Phase::Released;
      }
      ClaimEntry entry = MakeEntry(key, claim, aNow);
      if (aGroup.bytes_ + entry.EncodedBound() > options_.maxSegmentBytes_) {
        claim.phase_ = before;
        urgent_ = true;
        return;
      }
      aGroup.bytes_ += entry.EncodedBound();
      aGroup.keys_.insert(key);
      aGroup.segment_.entries_.push_back(std::move(entry));
    }
    claim.queued_ = false;
    pending_.pop_front();
  }
}

void
ClaimRegistry::AddExpiredRecords(Group& aGroup, TimePoint aNow)
{
  for (auto& [key, record] : records_) {
    if (aGroup.record_.deletes_.size() >= options_.maxDeletes_) {
      return;
    }
    if (aNow < record.nextCheck_) {
      continue;
    }
    const bool live =
      std::any_of(record.claims_.begin(),
                  record.claims_.end(),
                  [&](const auto& aKey) { return claims_.count(aKey) > 0; });
    if (live) {
      record.nextCheck_ = aNow + kCleanupDelay;
    } else {
      aGroup.record_.deletes_.push_back(key);
    }
  }
}

void
ClaimRegistry::AddCompaction(Group& aGroup, TimePoint aNow)
{
  std::map<int, std::vector<std::string>> tiers;
  for (const auto& [key, record] : records_) {
    if (!record.claims_.empty() && aNow < record.nextCheck_ &&
        record.bytes_ < options_.maxSegmentBytes_ / 2) {
      tiers[SizeTier(record.bytes_)].push_back(key);
    }
  }
  for (const auto& [size, keys] : tiers) {
    if (keys.size() < options_.compactionThreshold_) {
      continue;
    }
    for (const std::string& key : keys) {
      if (aGroup.record_.deletes_.size() < options_.maxDeletes_ &&
          AddCompactedRecord(aGroup, records_.at(key), aNow)) {
        aGroup.record_.deletes_.push_back(key);
      }
    }
  }
}

bool
ClaimRegistry::AddCompactedRecord(Group& aGroup,
                                  const Record& aRecord,
                                  TimePoint aNow)
{
  std::vector<ClaimEntry> entries;
  std::set<std::string> added;
  std::size_t bytes = aGroup.bytes_;
  for (const std::string& key : aRecord.claims_) {
    const auto known = claims_.find(key);
    if (known == claims_.end() || aGroup.keys_.count(key) > 0 ||
        !added.insert(key).second) {
      continue;
    }
    entries.push_back(MakeEntry(key, known->second, aNow));
    bytes += entries.back().EncodedBound();
  }
  if (bytes > options_.maxSegmentBytes_) {
    return false;
  }
  aGroup.bytes_ = bytes;
  aGroup.keys_.merge(added);
  for (ClaimEntry& entry : entries) {
    aGroup.segment_.entries_.push_back(std::move(entry));
  }
  return true;
}

void
ClaimRegistry::OnCommitted(TimePoint aNow)
{
  Group group = std::move(*inFlight_);
  inFlight_.reset();
  hasOwnRecord_ = true;
  writtenInDoubtFor_ = group.segment_.inDoubtFor_;
  Record record;
  record.bytes_ = group.record_.value_.size();
  record.nextCheck_ = aNow;
  if (!group.segment_.entries_.empty()) {
    record.nextCheck_ += options_.retryHorizon_;
  }
  for (const ClaimEntry& entry : group.segment_.entries_) {
    record.claims_.push_back(entry.key_);
    OnEntryCommitted(entry, aNow);
  }
  for (const std::string& key : group.record_.deletes_) {
    records_.erase(key);
  }
  records_[group.record_.key_] = std::move(record);
  ScheduleCleanup();
}

void
ClaimRegistry::OnEntryCommitted(const ClaimEntry& aEntry, TimePoint aNow)
{
  const auto known = claims_.find(aEntry.key_);
  if (known == claims_.end() ||
      known->second.claimNumber_ != aEntry.claimNumber_) {
    return;
  }
  Claim& claim = known->second;
  claim.durable_ = true;
  claim.outcomeDurable_ =
    claim.outcomeDurable_ || aEntry.stage_ == ClaimStage::Done;
  if (claim.phase_ == Phase::Preparing) {
    claim.phase_ = Phase::Ready;
    if (claim.ticket_ != 0) {
      const bool valid = IsValid(aNow);
      decisions_.push_back(
        MakeDecision(claim.ticket_,
                     valid ? ClaimVerdict::Execute : ClaimVerdict::NotHolder));
      claim.phase_ = valid ? Phase::Running : Phase::Ready;
      claim.ticket_ = valid ? claim.ticket_ : 0;
      running_ += valid ? 1 : 0;
      waiting_.erase(aEntry.key_);
    }
  }
  if (NeedsWrite(claim)) {
    Queue(aEntry.key_, claim, false);
    if (!deferredSince_) {
      deferredSince_ = aNow;
    }
  }
}

}
