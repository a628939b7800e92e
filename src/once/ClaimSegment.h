#pragma once

// One record of claims and outcomes in the store, encoded as CBOR.
//
//   ClaimSegment segment;
//   segment.entries_.push_back(entry);
//   std::string value = segment.Encode();
//   std::string reason;
//   std::optional<ClaimSegment> read = ClaimSegment::Decode(value, reason);
//
// Records may be read in any order and may repeat an entry: of two entries of
// one key the one that Supersedes the other is valid. That lets a merged record
// replace older ones without regard to those written in between.

#include "once/OnceTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// The store takes values up to 1 MB; the rest is for the envelope of the
// transaction.
constexpr std::size_t kMaxSegmentBytes = 900'000;
// Outcomes with larger bodies are kept without their body.
constexpr std::size_t kMaxOutcomeBody = 4096;
constexpr std::size_t kMaxContentType = 200;

// How far the run of a key has come. The order matters: of two entries of one
// run the larger stage is valid.
enum class ClaimStage
{
  // May have run; without a later entry the outcome is unknown.
  Claimed = 0,
  // Did not run; the key is free again.
  Released = 1,
  // Ran; the outcome is in the entry.
  Done = 2,
};

struct ClaimEntry
{
  std::string key_;
  std::string fingerprint_;
  // Increases over all claims of a slot (epoch and counter).
  std::uint64_t run_ = 0;
  ClaimStage stage_ = ClaimStage::Claimed;
  // Age of the claim when the record was written. Times of one host mean
  // nothing to another one.
  Duration age_{};
  RecordedOutcome outcome_;

  bool Supersedes(const ClaimEntry& aOther) const;
  // An upper bound of the entry's share of the encoded record.
  std::size_t EncodedBound() const;
};

struct ClaimSegment
{
  std::uint64_t epoch_ = 0;
  std::uint64_t sequence_ = 0;
  // Identifies the writer and the write after a lost answer.
  std::string attempt_;
  // SlotMap::Signature of the writer.
  std::uint64_t mapping_ = 0;
  // How much longer the writer answers outcome-unknown for keys that it does
  // not know; a successor continues this.
  Duration doubt_{};
  std::vector<ClaimEntry> entries_;

  std::string Encode() const;
  // Nothing when the record is malformed; aReason then says why. Accepts any
  // bytes.
  static std::optional<ClaimSegment> Decode(std::string_view aValue,
                                            std::string& aReason);
};

// The store key of a record: "peridotsail/claims/<slot>/<epoch>/<sequence>".
std::string
ClaimRecordKey(std::string_view aSlot,
               std::uint64_t aEpoch,
               std::uint64_t aSequence);

// The prefix of the records of all slots.
std::string
ClaimRecordsPrefix();

// The prefix of all records of a slot.
std::string
ClaimRecordPrefix(std::string_view aSlot);

}
