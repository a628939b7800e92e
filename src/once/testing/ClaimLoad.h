#pragma once

// Counts the store writes of several slots for a given arrival process of
// requests, with a virtual clock and a store that answers after a fixed time.

#include "once/ClaimRegistry.h"

#include <string>

namespace peridotsail::testing {

enum class ArrivalPattern
{
  // Equal inter-arrival times.
  Even,
  // Exponentially distributed inter-arrival times.
  Random,
  // All requests of a second at once.
  BurstEachSecond,
  // All requests of ten seconds at once.
  BurstEachTenSeconds,
};

struct ClaimLoadOptions
{
  ArrivalPattern arrival_ = ArrivalPattern::Even;
  double requestsPerSecond_ = 40;
  int slots_ = 7;
  Duration duration_ = std::chrono::seconds(1200);
  Duration storeLatency_ = std::chrono::milliseconds(5);
  Duration executionTime_ = std::chrono::milliseconds(60);
  Duration outcomeDelay_ = std::chrono::milliseconds(250);
  std::uint64_t seed_ = 1;
};

struct ClaimLoadResult
{
  int requests_ = 0;
  int executed_ = 0;
  std::uint64_t writes_ = 0;
  // The highest number of writes that all slots together began in one second.
  int maxWritesPerSecond_ = 0;
  // Mean time from the arrival of a request to the decision to execute it.
  double meanWaitMs_ = 0;
  double maxWaitMs_ = 0;
  // The highest number of records of one slot, and the size of the largest one.
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
