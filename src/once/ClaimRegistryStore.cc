// The part of ClaimRegistry that reads and writes records.

#include "once/ClaimRegistry.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace peridotsail {

namespace {

// Bytes of a record besides its entries.
constexpr std::size_t kSegmentOverhead = 400;
// Memory of a claim besides its outcome.
constexpr std::size_t kClaimOverhead = 300;
// Records without claims left are deleted with the next group, or after this
// time by a write of their own.
constexpr Duration kCleanupDelay = std::chrono::seconds(10);

// Records of one class have about the same size and are merged together, so
// that an entry is rewritten a logarithmic number of times.
int
SizeClass(std::size_t aBytes)
{
  return static_cast<int>(std::log2(aBytes / 256 + 1) / 3);
}

}

void
ClaimRegistry::Load(const std::vector<LoadedRecord>& aRecords,
                    const std::vector<ClaimEntry>& aCarried,
                    TimePoint aNow)
{
  const std::string prefix = ClaimRecordPrefix(tenure_.slot_);
  std::map<std::string, ClaimSegment> segments;
  for (const LoadedRecord& record : aRecords) {
    std::string reason;
    auto segment = ClaimSegment::Decode(record.value_, reason);
    if (record.key_.compare(0, prefix.size(), prefix) != 0) {
      // The keys of a new slot belonged to other slots under another mapping.
      otherMapping_ =
        otherMapping_ || !segment || segment->mapping_ != options_.mapping_;
      continue;
    }
    Record& known = records_[record.key_];
    known.bytes_ = record.value_.size();
    known.checkAt_ = aNow + options_.horizon_;
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
  for (const ClaimEntry& entry : aCarried) {
    AddLoaded(entry, aNow, false);
  }
  LoadDoubt(segments, malformed_ > 0, aNow);
  PlanCleanup();
  loaded_ = true;
  headerDue_ = true;
}

void
ClaimRegistry::LoadDoubt(const std::map<std::string, ClaimSegment>& aSegments,
                         bool aUnreadable,
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
    tenure_.epoch_ > 1 &&
    (last == nullptr || last->epoch_ + 1 < tenure_.epoch_);
  otherMapping_ =
    otherMapping_ || (last != nullptr && last->mapping_ != options_.mapping_);
  if (aUnreadable || recordMissing || otherMapping_ ||
      tenure_.predecessorMayHaveContinued_) {
    doubtUntil_ = aNow + options_.horizon_;
  } else if (last != nullptr) {
    doubtUntil_ = aNow + std::min(last->doubt_, options_.horizon_);
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
    ClaimEntry known = EntryOf(it->first, claim, aNow);
    if (!aEntry.Supersedes(known)) {
      return;
    }
    bytes_ -= SizeOf(claim);
  }
  claim.fingerprint_ = aEntry.fingerprint_;
  claim.run_ = aEntry.run_;
  claim.outcome_ = aEntry.outcome_;
  claim.claimedAt_ = aNow - std::min(aEntry.age_, options_.horizon_);
  claim.phase_ = aEntry.stage_ == ClaimStage::Done       ? Phase::Done
                 : aEntry.stage_ == ClaimStage::Released ? Phase::Released
                                                         : Phase::Unknown;
  claim.durable_ = aDurable;
  claim.outcomeDurable_ = aDurable;
  bytes_ += SizeOf(claim);
  expiry_.emplace(claim.claimedAt_ + options_.horizon_, aEntry.key_);
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
ClaimRegistry::EntryOf(const std::string& aKey,
                       const Claim& aClaim,
                       TimePoint aNow) const
{
  ClaimEntry entry;
  entry.key_ = aKey;
  entry.fingerprint_ = aClaim.fingerprint_;
  entry.run_ = aClaim.run_;
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
ClaimRegistry::DoubtLeft(TimePoint aNow) const
{
  return std::max(Duration::zero(), std::max(doubtUntil_, remapUntil_) - aNow);
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
  if (lazySince_ && aNow >= *lazySince_ + options_.outcomeDelay_) {
    return true;
  }
  return aNow >= cleanupAt_;
}

void
ClaimRegistry::PlanCleanup()
{
  cleanupAt_ = TimePoint::max();
  for (const auto& [key, record] : records_) {
    if (!record.claims_.empty()) {
      cleanupAt_ = std::min(cleanupAt_, record.checkAt_ + kCleanupDelay);
    }
  }
}

void
ClaimRegistry::StartGroup(TimePoint aNow)
{
  Group group;
  group.bytes_ = kSegmentOverhead;
  group.segment_.epoch_ = tenure_.epoch_;
  group.segment_.sequence_ = ++sequence_;
  group.segment_.attempt_ =
    options_.incarnation_ + "-" + std::to_string(sequence_);
  group.segment_.mapping_ = options_.mapping_;
  group.segment_.doubt_ = DoubtLeft(aNow);
  headerDue_ = false;
  urgent_ = false;
  lazySince_.reset();
  AddPending(group, aNow);
  AddExpiredRecords(group, aNow);
  AddMerges(group, aNow);
  group.record_.key_ = ClaimRecordKey(tenure_.slot_, tenure_.epoch_, sequence_);
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
      ClaimEntry entry = EntryOf(key, claim, aNow);
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
    if (aNow < record.checkAt_) {
      continue;
    }
    const bool live =
      std::any_of(record.claims_.begin(),
                  record.claims_.end(),
                  [&](const auto& aKey) { return claims_.count(aKey) > 0; });
    if (live) {
      record.checkAt_ = aNow + kCleanupDelay;
    } else {
      aGroup.record_.deletes_.push_back(key);
    }
  }
}

void
ClaimRegistry::AddMerges(Group& aGroup, TimePoint aNow)
{
  std::map<int, std::vector<std::string>> classes;
  for (const auto& [key, record] : records_) {
    if (!record.claims_.empty() && aNow < record.checkAt_ &&
        record.bytes_ < options_.maxSegmentBytes_ / 2) {
      classes[SizeClass(record.bytes_)].push_back(key);
    }
  }
  for (const auto& [size, keys] : classes) {
    if (keys.size() < options_.mergeAt_) {
      continue;
    }
    for (const std::string& key : keys) {
      if (aGroup.record_.deletes_.size() < options_.maxDeletes_ &&
          AddRecordOf(aGroup, records_.at(key), aNow)) {
        aGroup.record_.deletes_.push_back(key);
      }
    }
  }
}

bool
ClaimRegistry::AddRecordOf(Group& aGroup, const Record& aRecord, TimePoint aNow)
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
    entries.push_back(EntryOf(key, known->second, aNow));
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
  opened_ = true;
  writtenDoubt_ = group.segment_.doubt_;
  Record record;
  record.bytes_ = group.record_.value_.size();
  record.checkAt_ = aNow;
  if (!group.segment_.entries_.empty()) {
    record.checkAt_ += options_.horizon_;
  }
  for (const ClaimEntry& entry : group.segment_.entries_) {
    record.claims_.push_back(entry.key_);
    OnEntryCommitted(entry, aNow);
  }
  for (const std::string& key : group.record_.deletes_) {
    records_.erase(key);
  }
  records_[group.record_.key_] = std::move(record);
  PlanCleanup();
}

void
ClaimRegistry::OnEntryCommitted(const ClaimEntry& aEntry, TimePoint aNow)
{
  const auto known = claims_.find(aEntry.key_);
  if (known == claims_.end() || known->second.run_ != aEntry.run_) {
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
    if (!lazySince_) {
      lazySince_ = aNow;
    }
  }
}

}
