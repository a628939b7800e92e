#pragma once

// Counts the store writes of seven slots under a given arrival of requests,
// with a virtual clock and a store that answers after a fixed time.

#include "once/ClaimRegistry.h"

#include <string>

namespace peridotsail::testing {

enum class Arrival
{
  // Equal distances between requests.
  Even,
  // Exponentially distributed distances.
  Random,
  // All requests of a second at once.
  BurstEachSecond,
  // All requests of ten seconds at once.
  BurstEachTenSeconds,
};

struct ClaimLoadOptions
{
  Arrival arrival_ = Arrival::Even;
  double requestsPerSecond_ = 40;
  int slots_ = 7;
  Duration length_ = std::chrono::seconds(1200);
  Duration storeTime_ = std::chrono::milliseconds(5);
  Duration runTime_ = std::chrono::milliseconds(60);
  Duration outcomeDelay_ = std::chrono::milliseconds(250);
  std::uint64_t seed_ = 1;
};

struct ClaimLoadResult
{
  int requests_ = 0;
  int executed_ = 0;
  std::uint64_t writes_ = 0;
  // The most writes of all slots together that began within one second.
  int worstSecond_ = 0;
  // Mean time from the arrival to the decision to execute.
  double meanWaitMs_ = 0;
  double maxWaitMs_ = 0;
  // The most records of one slot at any time, and the largest record.
  std::size_t maxRecords_ = 0;
  std::size_t maxRecordBytes_ = 0;
  double megabytesWritten_ = 0;

  double WritesPerHundred() const
  {
    return 100 * static_cast<double>(writes_) / requests_;
  }
};

ClaimLoadResult
MeasureClaimLoad(const ClaimLoadOptions& aOptions);

}
