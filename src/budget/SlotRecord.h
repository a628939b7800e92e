#pragma once

// Store representation of slot records and the slot table of a region.
//
//   peridotsail/slots/<region>/<n>        the record; outlives the lease
//   peridotsail/slots/<region>/<n>/alive  attached to the holder's lease
//
// A range read of peridotsail/slots/<region>/ returns the region's slot table.

#include "budget/SlotTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// A process that holds a slot.
struct SlotHolder
{
  std::string host_;
  // Address for connections from peers.
  std::string address_;
  // Random ID of the process.
  std::string incarnation_;

  bool operator==(const SlotHolder& aOther) const
  {
    return incarnation_ == aOther.incarnation_;
  }
};

struct SlotRecord
{
  // Empty after a graceful release.
  SlotHolder holder_;
  std::uint64_t epoch_ = 0;
  // Unique ID of the write, to recognize it if the response was lost.
  std::string attempt_;
  // Store lease ID of the alive key.
  std::int64_t lease_ = 0;
  // Holders that must all confirm a store outage before this holder may
  // continue without the store. A host that takes over the slot needs the
  // confirmation of one of them. Both sides use this list.
  std::vector<SlotHolder> consent_;

  bool IsReleased() const { return holder_.incarnation_.empty(); }
};

// The state of one slot in a read of the slot table.
struct SlotRow
{
  SlotId slot_;
  // Not set if the slot never had a holder.
  std::optional<SlotRecord> record_;
  // Revision of the record, or 0 if there is no record.
  std::int64_t revision_ = 0;
  // Whether the alive key exists, and its modification revision.
  bool alive_ = false;
  std::int64_t aliveRevision_ = 0;
};

std::string
SlotTablePrefix(std::string_view aRegion);

std::string
SlotRecordKey(const SlotId& aSlot);

std::string
SlotAliveKey(const SlotId& aSlot);

// Serializes the record as stored.
std::string
EncodeSlotRecord(const SlotRecord& aRecord);

std::optional<SlotRecord>
DecodeSlotRecord(std::string_view aText);

// A key-value pair returned by the range read.
struct SlotTableEntry
{
  std::string key_;
  std::string value_;
  std::int64_t revision_ = 0;
};

// Returns the rows of all slots that have a record or an alive key. Entries
// with unknown keys are ignored. A malformed record is treated as the record of
// an unknown holder, so that the slot is not taken over without the guard time.
// aMalformed is incremented for each such record.
std::vector<SlotRow>
ParseSlotTable(std::string_view aRegion,
               const std::vector<SlotTableEntry>& aEntries,
               int& aMalformed);

}
