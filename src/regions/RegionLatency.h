#pragma once

// Estimates the round-trip time from this host to other regions as the shortest
// time taken to open a connection there. Performs no I/O; traffic thread only.
//
//   latency.Record("ap-east", elapsed);
//   const Duration roundTrip = latency.Mean();

#include "base/BootClock.h"

#include <map>
#include <string>

namespace peridotsail {

class RegionLatency
{
public:
  // aOwnRegion is not counted.
  explicit RegionLatency(std::string aOwnRegion);

  void Record(const std::string& aRegion, Duration aRoundTrip);
  // The mean over the other regions; kUnknown before the first measurement.
  // Rounded, so that all hosts of a region compute the same value.
  Duration Mean() const;

  bool IsKnown() const { return !minRoundTrips_.empty(); }
  // Zero for this host's region and before a measurement.
  Duration To(const std::string& aRegion) const;

  // Between neighbouring continents.
  static constexpr Duration kUnknown = std::chrono::milliseconds(80);

private:
  std::string ownRegion_;
  std::map<std::string, Duration> minRoundTrips_;
};

}
