#pragma once

// The difference between two versions of the document, for peers: CBOR of
//
//   {"b": base version, "bh": base hash, "v": version, "h": hash, "p": patch}
//
// The patch is a JSON merge patch (RFC 7396) of the document keyed by section
// and item identity, so a changed field costs its own bytes and the names that
// lead to it. A whole document is the delta from base version 0.
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
  // Made for another base than the given one.
  WrongBase,
  // The patch leads to no document or to one without the stated hash.
  WrongHash,
  // The result has the stated hash and is not a valid configuration.
  Refused,
};

struct DeltaOutcome
{
  DeltaResult result_ = DeltaResult::Malformed;
  // Set when Applied.
  SnapshotPtr snapshot_;
  // The stated versions; 0 when Malformed or for a whole document's base.
  std::int64_t baseVersion_ = 0;
  std::int64_t version_ = 0;
  // The faults when Refused.
  std::string detail_;
};

// A null base gives the whole document.
std::string
EncodeDelta(const ConfigurationSnapshot* aBase,
            const ConfigurationSnapshot& aTarget);

// aBase is the snapshot in force or null. A whole document needs no base.
DeltaOutcome
ApplyDelta(const ConfigurationSnapshot* aBase, std::string_view aBytes);

}
