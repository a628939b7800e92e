#include "steering/RegionWeights.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// Capacity assumed for regions without a configured capacity. Only its ratio to
// the other capacities matters.
constexpr double kUnlimitedCapacity = 1000;
// Limits the time step, so that a paused host does not apply the weight changes
// of the whole pause at once.
constexpr double kMaxTickSeconds = 2;
// Round-trip time at which the weight of a region is half of that at zero
// distance.
constexpr double kHalfWeightRoundTripSeconds = 0.02;
constexpr Duration kUnknownRoundTrip = std::chrono::milliseconds(200);
// Weight of regions without headroom, which are then tried last.
constexpr double kMinRelayWeight = 1e-9;

double
StepTowards(double aFrom, double aTo, double aStep)
{
  return aFrom + std::clamp(aTo - aFrom, -aStep, aStep);
}

bool
IsFiniteNonNegative(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

}

RegionWeights::RegionWeights(RegionWeightsOptions aOptions)
  : options_(aOptions)
{
}

void
RegionWeights::SetConfiguration(const Configuration& aConfiguration,
                                TimePoint aNow)
{
  if (regions_.empty()) {
    tickedAt_ = aNow;
  }
  std::map<std::string, Region> next;
  for (const RegionConfig& config : aConfiguration.regions_) {
    const auto known = regions_.find(config.name_);
    Region region = known == regions_.end() ? Region{} : known->second;
    region.capacity_ = config.capacityPerSecond_ > 0 ? config.capacityPerSecond_
                                                     : kUnlimitedCapacity;
    region.draining_ =
      aConfiguration.IsDraining(DrainKind::Region, config.name_);
    if (known == regions_.end()) {
      region.spilloverRate_ =
        region.capacity_ * options_.assumedHeadroomFraction_;
    }
    next.emplace(config.name_, region);
  }
  regions_ = std::move(next);
}

bool
RegionWeights::Observe(const std::string& aRegion,
                       const RegionMeasurement& aMeasurement,
                       TimePoint aNow)
{
  const auto found = regions_.find(aRegion);
  if (found == regions_.end() ||
      !IsFiniteNonNegative(aMeasurement.utilization_) ||
      !IsFiniteNonNegative(aMeasurement.headroomPerSecond_)) {
    return false;
  }
  Region& region = found->second;
  const bool repeated =
    region.hasMeasurement_ &&
    aMeasurement.measuredAt_ <= region.lastMeasurement_.measuredAt_;
  if (repeated || aMeasurement.measuredAt_ > aNow ||
      aNow - aMeasurement.measuredAt_ > options_.maxMeasurementAge_) {
    return false;
  }
  region.lastMeasurement_ = aMeasurement;
  // Headroom above the configured capacity is implausible.
  region.lastMeasurement_.headroomPerSecond_ =
    std::min(aMeasurement.headroomPerSecond_, region.capacity_);
  region.hasMeasurement_ = true;
  return true;
}

void
RegionWeights::SetRoundTrip(const std::string& aFrom,
                            const std::string& aTo,
                            Duration aRoundTrip)
{
  roundTrips_[{ aFrom, aTo }] = aRoundTrip;
}

void
RegionWeights::RecordRefusal(const std::string& aRegion, TimePoint aNow)
{
  const auto found = regions_.find(aRegion);
  if (found != regions_.end()) {
    found->second.refusedAt_ = aNow;
  }
}

void
RegionWeights::Tick(TimePoint aNow)
{
  const double seconds =
    std::clamp(ToSeconds(aNow - tickedAt_), 0.0, kMaxTickSeconds);
  tickedAt_ = std::max(tickedAt_, aNow);
  for (auto& [name, region] : regions_) {
    UpdateRegion(region, seconds, aNow);
  }
}

void
RegionWeights::UpdateRegion(Region& aRegion,
                            double aSeconds,
                            TimePoint aNow) const
{
  switch (StateOf(aRegion, aNow)) {
    case WeightState::Frozen:
      return;
    case WeightState::Measured: {
      const double step = options_.maxStepPerSecond_ * aSeconds;
      const double utilization = aRegion.lastMeasurement_.utilization_;
      if (utilization > options_.highUtilization_) {
        const double middle =
          (options_.highUtilization_ + options_.lowUtilization_) / 2;
        const double target = aRegion.keepFraction_ * middle / utilization;
        aRegion.keepFraction_ =
          StepTowards(aRegion.keepFraction_,
                      std::max(options_.minKeepFraction_, target),
                      step);
      } else if (utilization < options_.lowUtilization_) {
        aRegion.keepFraction_ = StepTowards(aRegion.keepFraction_, 1, step);
      }
      aRegion.spilloverRate_ =
        StepTowards(aRegion.spilloverRate_,
                    aRegion.lastMeasurement_.headroomPerSecond_,
                    step * aRegion.capacity_);
      return;
    }
    case WeightState::Configured:
    case WeightState::Decaying: {
      const double step = options_.decayPerSecond_ * aSeconds;
      aRegion.keepFraction_ = StepTowards(aRegion.keepFraction_, 1, step);
      aRegion.spilloverRate_ =
        StepTowards(aRegion.spilloverRate_,
                    aRegion.capacity_ * options_.assumedHeadroomFraction_,
                    step * aRegion.capacity_);
      return;
    }
  }
}

WeightState
RegionWeights::StateOf(const Region& aRegion, TimePoint aNow) const
{
  if (!aRegion.hasMeasurement_) {
    return WeightState::Configured;
  }
  const Duration age = aNow - aRegion.lastMeasurement_.measuredAt_;
  if (age <= options_.maxMeasurementAge_) {
    return WeightState::Measured;
  }
  return age <= options_.decayAfter_ ? WeightState::Frozen
                                     : WeightState::Decaying;
}

double
RegionWeights::HeadroomOf(const Region& aRegion, TimePoint aNow) const
{
  const bool isRecent = StateOf(aRegion, aNow) == WeightState::Measured;
  return isRecent ? aRegion.lastMeasurement_.headroomPerSecond_
                  : aRegion.spilloverRate_;
}

double
RegionWeights::HeadroomOf(const std::string& aRegion, TimePoint aNow) const
{
  const auto found = regions_.find(aRegion);
  return found == regions_.end() ? 0 : HeadroomOf(found->second, aNow);
}

double
RegionWeights::DemandOf(const std::string& aRegion) const
{
  const auto found = regions_.find(aRegion);
  if (found == regions_.end()) {
    return 0;
  }
  const Region& region = found->second;
  // Without a measurement the demand is assumed to equal the capacity, which
  // gives the slowest forecast.
  return region.capacity_ *
         (region.hasMeasurement_
            ? std::min(1.0, region.lastMeasurement_.utilization_)
            : 1);
}

RegionShare
RegionWeights::Share(const std::string& aRegion) const
{
  const auto found = regions_.find(aRegion);
  if (found == regions_.end()) {
    return {};
  }
  const Region& region = found->second;
  return { region.keepFraction_,
           region.draining_ ? 0 : region.spilloverRate_,
           region.draining_ };
}

WeightState
RegionWeights::State(const std::string& aRegion, TimePoint aNow) const
{
  const auto found = regions_.find(aRegion);
  return found == regions_.end() ? WeightState::Configured
                                 : StateOf(found->second, aNow);
}

std::vector<RegionCandidate>
RegionWeights::RelayOrder(const std::string& aOwnRegion,
                          std::uint64_t aKey,
                          TimePoint aNow) const
{
  std::vector<std::pair<double, RegionCandidate>> scored;
  for (const auto& [name, region] : regions_) {
    if (name == aOwnRegion || region.draining_) {
      continue;
    }
    const auto known = roundTrips_.find({ aOwnRegion, name });
    const Duration roundTrip =
      known == roundTrips_.end() ? kUnknownRoundTrip : known->second;
    const double headroom = HeadroomOf(region, aNow);
    const bool recentlyRefused =
      region.refusedAt_ != TimePoint::min() &&
      aNow - region.refusedAt_ < options_.refusalBackoff_;
    const double weight =
      recentlyRefused ? 0
                      : headroom * kHalfWeightRoundTripSeconds /
                          (kHalfWeightRoundTripSeconds + ToSeconds(roundTrip));
    scored.emplace_back(RendezvousScore(aKey,
                                        StableHash(name),
                                        std::max(kMinRelayWeight, weight)),
                        RegionCandidate{ name, headroom, roundTrip });
  }
  std::sort(
    scored.begin(), scored.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  std::vector<RegionCandidate> order;
  order.reserve(scored.size());
  for (auto& [score, candidate] : scored) {
    order.push_back(std::move(candidate));
  }
  return order;
}

std::string_view
NameOf(WeightState aState)
{
  switch (aState) {
    case WeightState::Configured:
      return "configured";
    case WeightState::Measured:
      return "measured";
    case WeightState::Frozen:
      return "frozen";
    case WeightState::Decaying:
      break;
  }
  return "decaying";
}

}
