#include "returns/RefusalSpread.h"

#include <cmath>

namespace peridotsail {

namespace {

// Consecutive multiples of this, modulo one, lie far from each other.
constexpr double kGoldenRatio = 0.6180339887498949;
// The table is cleared when it grows beyond this.
constexpr std::size_t kMaxClasses = 1024;
// Places start again after this number.
constexpr std::uint64_t kPlaces = 4096;

}

Duration
RefusalSpread::Next(const std::string& aClass, Duration aWait)
{
  if (places_.size() > kMaxClasses) {
    places_.clear();
  }
  std::uint64_t& place = places_[aClass];
  const double fraction =
    std::fmod(static_cast<double>(place) * kGoldenRatio, 1.0);
  place = (place + 1) % kPlaces;
  return aWait + FromSeconds(ToSeconds(aWait) * fraction);
}

}
