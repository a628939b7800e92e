#pragma once

// One version of the configuration document with its hash, and the record that
// holds it in the store.
//
// In the canonical form of a document, items are sorted by identity and empty
// sections are omitted, so documents that differ only in order or whitespace
// have the same hash, and a delta needs no array positions.
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

// Validates the text and converts it to canonical form. Returns null and sets
// aFaults if the document is invalid or the version is not positive.
SnapshotPtr
MakeSnapshot(std::int64_t aVersion,
             std::string_view aText,
             std::vector<ConfigurationFault>& aFaults);

// The value of the store's key `peridotsail/config` and of each history key.
struct ConfigurationRecord
{
  std::int64_t version_ = 0;
  // Identifies one commit; after a lost response it shows whose write took
  // effect.
  std::string attempt_;
  std::string author_;
  // JSON text.
  std::string document_;
};

// Returns nullopt if the text is not a record. The document is not validated.
std::optional<ConfigurationRecord>
ParseRecord(std::string_view aText);

std::string
FormatRecord(const ConfigurationRecord& aRecord);

}
