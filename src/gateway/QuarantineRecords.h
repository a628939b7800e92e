#pragma once

// Refused and suspected requests as hosts publish them with their
// registrations. There times are Unix times: a record may be read long after it
// was written, and an age would begin anew with each reader, so that a refusal
// would never end. The clocks of hosts may differ by seconds, refusals last for
// minutes.

#include "gateway/FleetQuarantine.h"
#include "gateway/FleetTypes.h"

#include <cstdint>
#include <vector>

namespace peridotsail {

// aPublished are the records so far; their times are kept, so that a step of
// the time of day changes no record.
std::vector<FingerprintRecord>
MakeFingerprintRecords(const std::vector<FingerprintTime>& aRefused,
                       const std::vector<FingerprintRecord>& aPublished,
                       TimePoint aNow,
                       std::int64_t aUnixMs);

std::vector<FingerprintTime>
ReadFingerprintRecords(const std::vector<FingerprintRecord>& aRecords,
                       TimePoint aNow,
                       std::int64_t aUnixMs);

// The same for requests under which servers died.
std::vector<SuspicionRecord>
MakeSuspicionRecords(const std::vector<QuarantineNotice>& aSuspected,
                     const std::vector<SuspicionRecord>& aPublished,
                     std::int64_t aUnixMs);

std::vector<QuarantineNotice>
ReadSuspicionRecords(const std::vector<SuspicionRecord>& aRecords,
                     std::int64_t aUnixMs);

// The time of day.
std::int64_t
UnixMilliseconds();

}
