#pragma once

// Computes region weights from measurements: the fraction of its own blocks
// that a region keeps in lookups, the regions that receive the other blocks,
// and the regions to which a host relays requests that its own region cannot
// serve. Performs no I/O and reads no clock.
//
//   RegionWeights weights;
//   weights.SetConfiguration(*configuration, now);
//   weights.Observe("ap-east", { measuredAt, utilization, headroom }, now);
//   weights.Tick(now);
//   lookup.SetRegionShare("ap-east", weights.Share("ap-east"));
//   for (const RegionCandidate& next : weights.RelayOrder(own, key, now)) ...
//
// The fraction that a region keeps changes by at most maxStepPerSecond_. It
// falls while the utilization is above highUtilization_, rises while it is
// below lowUtilization_, and is constant in between. It never falls below
// minKeepFraction_. Without recent measurements, weights are frozen. After
// decayAfter_ they decay to values derived from the configured capacity: the
// region keeps all of its blocks and receives others in proportion to its
// capacity. Weights only distribute load; overload protection is the task of
// RegionAdmission at the destination.

#include "base/BootClock.h"
#include "config/Configuration.h"
#include "steering/LookupService.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

struct RegionWeightsOptions
{
  // Maximum change of the fractions that a region keeps and receives.
  double maxStepPerSecond_ = 0.1;
  // Hysteresis band for the utilization of a region's slots or capacity.
  double highUtilization_ = 0.9;
  double lowUtilization_ = 0.7;
  // Maximum age of a measurement that changes weights.
  Duration maxMeasurementAge_ = std::chrono::seconds(3);
  // Age of the last measurement after which weights decay to values derived
  // from the configured capacity.
  Duration decayAfter_ = std::chrono::seconds(15);
  double decayPerSecond_ = 0.02;
  // Minimum fraction of its own blocks that a region keeps.
  double minKeepFraction_ = 0.05;
  // Time for which a region that refused a relayed request is tried last.
  Duration refusalBackoff_ = std::chrono::milliseconds(250);
  // Fraction of the capacity assumed to be free in a region without
  // measurements.
  double assumedHeadroomFraction_ = 0.1;
};

struct RegionMeasurement
{
  // On the clock of this host. The receiver of a report subtracts the age of
  // the measurement.
  TimePoint measuredAt_{};
  // Utilization of the region's slots or of its capacity, whichever is larger.
  // Above 1 when requests are queued.
  double utilization_ = 0;
  // Additional requests per second that the region can serve.
  double headroomPerSecond_ = 0;
};

enum class WeightState
{
  // No measurement yet; weights follow from the configured capacity.
  Configured,
  // Weights follow recent measurements.
  Measured,
  // The last measurement is too old; weights do not change.
  Frozen,
  // Weights return to the values derived from the configured capacity.
  Decaying,
};

struct RegionCandidate
{
  std::string region_;
  double headroomPerSecond_ = 0;
  Duration roundTrip_{};
};

class RegionWeights
{
public:
  explicit RegionWeights(RegionWeightsOptions aOptions = {});

  void SetConfiguration(const Configuration& aConfiguration, TimePoint aNow);
  // Adds a measurement. Ignores it and returns false if the region is unknown,
  // if a value is negative or not finite, or if the measurement is not newer
  // than the last one, older than maxMeasurementAge_ or in the future.
  bool Observe(const std::string& aRegion,
               const RegionMeasurement& aMeasurement,
               TimePoint aNow);
  void SetRoundTrip(const std::string& aFrom,
                    const std::string& aTo,
                    Duration aRoundTrip);
  // Records that the region refused a relayed request.
  void RecordRefusal(const std::string& aRegion, TimePoint aNow);
  // Updates the weights. To be called about once a second.
  void Tick(TimePoint aNow);

  RegionShare Share(const std::string& aRegion) const;
  WeightState State(const std::string& aRegion, TimePoint aNow) const;
  // Returns the additional requests per second that the region can serve: the
  // last measurement if recent, otherwise the current spillover rate.
  double HeadroomOf(const std::string& aRegion, TimePoint aNow) const;
  // Returns the requests per second that the region serves: utilization times
  // capacity.
  double DemandOf(const std::string& aRegion) const;
  // Returns the other regions that can serve a request, in order of preference.
  // Uses rendezvous hashing weighted by headroom and distance, so that hosts
  // that decide at the same time do not all choose the same region.
  std::vector<RegionCandidate> RelayOrder(const std::string& aOwnRegion,
                                          std::uint64_t aKey,
                                          TimePoint aNow) const;

private:
  struct Region
  {
    double capacity_ = 0;
    bool draining_ = false;
    bool hasMeasurement_ = false;
    RegionMeasurement lastMeasurement_;
    double keepFraction_ = 1;
    // Requests per second that the region receives from other regions' blocks.
    double spilloverRate_ = 0;
    TimePoint refusedAt_ = TimePoint::min();
  };

  void UpdateRegion(Region& aRegion, double aSeconds, TimePoint aNow) const;
  WeightState StateOf(const Region& aRegion, TimePoint aNow) const;
  double HeadroomOf(const Region& aRegion, TimePoint aNow) const;

  RegionWeightsOptions options_;
  std::map<std::string, Region> regions_;
  std::map<std::pair<std::string, std::string>, Duration> roundTrips_;
  TimePoint tickedAt_{};
};

std::string_view
NameOf(WeightState aState);

}
