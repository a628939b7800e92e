#pragma once

// Encodes the difference between two versions of the document for transfer
// between peers, as CBOR of
//
//   {"b": base version, "bh": base hash, "v": version, "h": hash, "p": patch}
//
// The patch is a JSON merge patch (RFC 7396) between the keyed forms of the two
// documents (see KeyedDocument.h), so it contains only the changed fields and
// the names on their paths. A whole document is encoded as the delta from base
// version 0.
//
//   std::string bytes = EncodeDelta(base.get(), *target);
//   DeltaOutcome outcome = ApplyDelta(base.get(), bytes);
//   if (outcome.result_ == DeltaResult::Applied) { Use(outcome.snapshot_); }

#include "config/ConfigurationSnapshot.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotsail {

enum class DeltaResult
{
  Applied,
  // Not a delta.
  Malformed,
  // The delta was made for a different base.
  WrongBase,
  // The result of the patch is not a document, or does not have the stated
  // hash.
  WrongHash,
  // The result has the stated hash but is not a valid configuration.
  Refused,
};

struct DeltaOutcome
{
  DeltaResult result_ = DeltaResult::Malformed;
  // Set if Applied.
  SnapshotPtr snapshot_;
  // The versions stated in the delta; 0 if Malformed, and for the base of a
  // whole document.
  std::int64_t baseVersion_ = 0;
  std::int64_t version_ = 0;
  // Description of the faults if Refused.
  std::string detail_;
};

// A null base encodes the whole document.
std::string
EncodeDelta(const ConfigurationSnapshot* aBase,
            const ConfigurationSnapshot& aTarget);

// aBase is the active snapshot or null. A whole document needs no base.
DeltaOutcome
ApplyDelta(const ConfigurationSnapshot* aBase, std::string_view aBytes);

}
