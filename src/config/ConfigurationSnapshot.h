#pragma once

// One version of the configuration document with its hash, and the record that
// holds it in the store.
//
// The canonical form of a document has its items sorted by identity and no
// empty sections, so that two documents that differ only in order or white
// space have the same hash and a delta need not carry positions.
//
//   std::vector<ConfigurationFault> faults;
//   SnapshotPtr snapshot = MakeSnapshot(7, text, faults);

#include "config/Configuration.h"
#include "config/ConfigurationParser.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// Immutable after MakeSnapshot.
struct ConfigurationSnapshot
{
  std::int64_t version_ = 0;
  // SHA-256 of document_ in hexadecimal digits.
  std::string hash_;
  // Canonical JSON text.
  std::string document_;
  ConfigurationPtr configuration_;
};

using SnapshotPtr = std::shared_ptr<const ConfigurationSnapshot>;

// Validates the text and brings it into canonical form. Returns null and the
// faults when the document is not valid or the version is not positive.
SnapshotPtr
MakeSnapshot(std::int64_t aVersion,
             std::string_view aText,
             std::vector<ConfigurationFault>& aFaults);

// The value of the store's key `peridotsail/config` and of each history key.
struct ConfigurationRecord
{
  std::int64_t version_ = 0;
  // Identifies one commit; tells after a lost answer whose write took effect.
  std::string attempt_;
  std::string author_;
  // JSON text.
  std::string document_;
};

// Returns nothing when the text is not a record. The document is not validated.
std::optional<ConfigurationRecord>
ParseRecord(std::string_view aText);

std::string
FormatRecord(const ConfigurationRecord& aRecord);

}
