#pragma once

// The slot record in the store, and the rows of a region's slot table.
//
//   peridotsail/slots/<region>/<n>        the record; stays after the lease
//   peridotsail/slots/<region>/<n>/alive  bound to the holder's lease
//
// One range read of peridotsail/slots/<region>/ returns the region's table.

#include "budget/SlotTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// One process on a host.
struct SlotHolder
{
  std::string host_;
  // Where its peers reach it.
  std::string address_;
  // Random per process.
  std::string incarnation_;

  bool operator==(const SlotHolder& aOther) const
  {
    return incarnation_ == aOther.incarnation_;
  }
};

struct SlotRecord
{
  // Empty names after a graceful release.
  SlotHolder holder_;
  std::uint64_t epoch_ = 0;
  // The id of the write, to recognize it after a lost response.
  std::string attempt_;
  // The store lease of the alive key.
  std::int64_t lease_ = 0;
  // The holders that all have to confirm a store outage before this holder
  // continues without the store. A host that takes the slot over needs the word
  // of one of them, and both sides read the list here.
  std::vector<SlotHolder> consent_;

  bool IsReleased() const { return holder_.incarnation_.empty(); }
};

// One slot as a read of the table found it.
struct SlotRow
{
  SlotId slot_;
  // Nothing when the slot never had a holder.
  std::optional<SlotRecord> record_;
  // Of the record; 0 when there is none.
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

// The text that the store holds.
std::string
EncodeSlotRecord(const SlotRecord& aRecord);

std::optional<SlotRecord>
DecodeSlotRecord(std::string_view aText);

// One key and value of the range read.
struct SlotTableEntry
{
  std::string key_;
  std::string value_;
  std::int64_t revision_ = 0;
};

// The rows of the slots that have a record or an alive key. Entries with
// unknown keys are ignored; a malformed record counts as a record of an unknown
// holder, so that nobody takes the slot over without the guard. aMalformed is
// the number of such records.
std::vector<SlotRow>
ParseSlotTable(std::string_view aRegion,
               const std::vector<SlotTableEntry>& aEntries,
               int& aMalformed);

}
