#include "regions/RegionLatency.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// Rounding step. Larger than the latency differences between the failure
// domains of a region.
constexpr Duration kStep = std::chrono::milliseconds(10);

}

RegionLatency::RegionLatency(std::string aOwnRegion)
  : ownRegion_(std::move(aOwnRegion))
{
}

void
RegionLatency::Record(const std::string& aRegion, Duration aRoundTrip)
{
  if (aRegion == ownRegion_) {
    return;
  }
  const auto [it, added] = minRoundTrips_.emplace(aRegion, aRoundTrip);
  if (!added) {
    it->second = std::min(it->second, aRoundTrip);
  }
}

Duration
RegionLatency::To(const std::string& aRegion) const
{
  const auto found = minRoundTrips_.find(aRegion);
  return found == minRoundTrips_.end() ? Duration::zero() : found->second;
}

Duration
RegionLatency::Mean() const
{
  if (minRoundTrips_.empty()) {
    return kUnknown;
  }
  Duration sum{};
  for (const auto& [region, roundTrip] : minRoundTrips_) {
    sum += roundTrip;
  }
  const Duration mean = sum / static_cast<int>(minRoundTrips_.size());
  return (mean + kStep / 2) / kStep * kStep;
}

}
