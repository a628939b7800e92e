#pragma once

// A batch of claims and outcomes, stored as one CBOR-encoded record.
//
//   ClaimSegment segment;
//   segment.entries_.push_back(entry);
//   std::string value = segment.Encode();
//   std::string reason;
//   std::optional<ClaimSegment> read = ClaimSegment::Decode(value, reason);
//
// Records may be read in any order and may contain a key more than once; the
// entry that supersedes the others is the valid one. A compacted record can
// therefore replace older records without considering the records that were
// written in between.

#include "once/OnceTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// The store accepts values of up to 1 MB; the remainder is left for the
// envelope of the transaction.
constexpr std::size_t kMaxSegmentBytes = 900'000;
// Larger bodies are not stored; the outcome is kept without its body.
constexpr std::size_t kMaxOutcomeBody = 4096;
constexpr std::size_t kMaxContentType = 200;

// Progress of one claim of a key. The order of the values matters: of two
// entries of the same claim, the one with the later stage is valid.
enum class ClaimStage
{
  // May have been executed; the outcome is unknown unless a later entry exists.
  Claimed = 0,
  // Was not executed; the key may be claimed again.
  Released = 1,
  // Was executed; the entry contains the outcome.
  Done = 2,
};

struct ClaimEntry
{
  std::string key_;
  std::string fingerprint_;
  // Increases with every claim of the slot: the epoch in the upper 32 bits, a
  // counter in the lower ones.
  std::uint64_t claimNumber_ = 0;
  ClaimStage stage_ = ClaimStage::Claimed;
  // Age of the claim when the record was written. An age is stored because the
  // clocks of different hosts are not comparable.
  Duration age_{};
  RecordedOutcome outcome_;

  bool Supersedes(const ClaimEntry& aOther) const;
  // An upper bound on the encoded size of the entry.
  std::size_t EncodedBound() const;
};

struct ClaimSegment
{
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  // Identifies the writing process and the write, so that a writer that lost
  // the store's answer recognizes its own record.
  std::string attempt_;
  // SlotMap::Signature used by the writer.
  std::uint64_t mappingSignature_ = 0;
  // Remaining time for which the writer is in doubt, that is, answers
  // outcome-unknown for unknown keys. The next holder takes it over.
  Duration inDoubtFor_{};
  std::vector<ClaimEntry> entries_;

  std::string Encode() const;
  // Returns nothing and sets aReason when the record is malformed. Safe for
  // arbitrary bytes.
  static std::optional<ClaimSegment> Decode(std::string_view aValue,
                                            std::string& aReason);
};

// The store key of a record, "peridotsail/claims/<slot>/<epoch>/<sequence>".
std::string
ClaimRecordKey(std::string_view aSlot,
               std::uint64_t aEpoch,
               std::uint64_t aSequence);

// The common prefix of the records of all slots.
std::string
ClaimRecordsPrefix();

// The common prefix of the records of one slot.
std::string
ClaimRecordPrefix(std::string_view aSlot);

}
