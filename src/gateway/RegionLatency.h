#pragma once

// The way from this host to other regions, as the shortest time to open a
// connection there: the time of one round trip. Pure; traffic thread only.
//
//   ways.Measured("ap-east", elapsed);
//   const Duration way = ways.Mean();

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
  // In steps, so that all hosts of a region come to the same figure.
  Duration Mean() const;

  // Between neighbouring continents.
  static constexpr Duration kUnknown = std::chrono::milliseconds(80);

private:
  std::string ownRegion_;
  std::map<std::string, Duration> shortest_;
};

}
