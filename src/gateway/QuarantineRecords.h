#pragma once

// Conversions of refused and suspected requests to and from the form in which
// hosts publish them in their registrations. Records contain Unix times: a
// record may be read long after it was written, and an age would restart with
// each reader, so that a refusal would never expire. The clocks of hosts may
// differ by seconds, but refusals last for minutes.

#include "gateway/FleetQuarantine.h"
#include "gateway/FleetTypes.h"

#include <cstdint>
#include <vector>

namespace peridotsail {

// aPublished are the previous records. Their times are kept, so that a step of
// the system clock changes no record.
std::vector<FingerprintRecord>
MakeFingerprintRecords(const std::vector<FingerprintTime>& aRefused,
                       const std::vector<FingerprintRecord>& aPublished,
                       TimePoint aNow,
                       std::int64_t aUnixMs);

std::vector<FingerprintTime>
ReadFingerprintRecords(const std::vector<FingerprintRecord>& aRecords,
                       TimePoint aNow,
                       std::int64_t aUnixMs);

// The same for requests during which servers died.
std::vector<SuspicionRecord>
MakeSuspicionRecords(const std::vector<QuarantineNotice>& aSuspected,
                     const std::vector<SuspicionRecord>& aPublished,
                     std::int64_t aUnixMs);

std::vector<QuarantineNotice>
ReadSuspicionRecords(const std::vector<SuspicionRecord>& aRecords,
                     std::int64_t aUnixMs);

// Returns the current wall-clock time.
std::int64_t
UnixMilliseconds();

}
