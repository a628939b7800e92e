#pragma once

// Weights of the regions from measurements: how many of its own blocks a region
// keeps in look-ups, where the others go, and where a host relays a request
// that its own region cannot serve. Pure.
//
//   RegionWeights weights;
//   weights.SetConfiguration(*configuration, now);
//   weights.Observe("ap-east", { measuredAt, utilization, headroom }, now);
//   weights.Tick(now);
//   lookup.SetRegionShare("ap-east", weights.Share("ap-east"));
//   for (const RegionCandidate& next : weights.RelayOrder(own, key, now)) ...
//
// The part that a region keeps moves by at most maxStepPerSecond_, down above
// highUtilization_, up below lowUtilization_ and not between them. A region
// without fresh measurements keeps its last values (frozen); after decayAfter_
// they decay to the configured capacity: the region keeps all of its blocks and
// receives others in proportion to its capacity. A region never keeps less than
// minKeepFraction_. Weights only shape the load; the destination admits by its
// own state (RegionAdmission).

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
  // The largest change of a part that a region keeps or receives.
  double maxStepPerSecond_ = 0.1;
  // Hysteresis band of the utilization of a region's slots or capacity.
  double highUtilization_ = 0.9;
  double lowUtilization_ = 0.7;
  // Age from which a measurement no longer moves weights.
  Duration maxMeasurementAge_ = std::chrono::seconds(3);
  // Age from which weights decay to the configured capacity.
  Duration decayAfter_ = std::chrono::seconds(15);
  double decayPerSecond_ = 0.02;
  // The least part of its own blocks that a region keeps.
  double minKeepFraction_ = 0.05;
  // How long a region that refused a relayed request is tried last.
  Duration refusalBackoff_ = std::chrono::milliseconds(250);
  // Part of the capacity that a region without measurements is taken to have
  // free.
  double assumedHeadroomFraction_ = 0.1;
};

struct RegionMeasurement
{
  // On the clock of this host; the receiver of a report subtracts its age.
  TimePoint measuredAt_{};
  // Busy part of the region's slots or of its capacity, the larger of both;
  // above 1 when requests wait.
  double utilization_ = 0;
  // Requests per second that the region can take in addition.
  double headroomPerSecond_ = 0;
};

enum class WeightState
{
  // No measurement yet: the configured capacity counts.
  Configured,
  Measured,
  Frozen,
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
  // Returns false, and ignores the measurement, when the region is unknown, a
  // number is not finite or is negative, or when it is not newer than the last
  // one, older than maxMeasurementAge_ or in the future.
  bool Observe(const std::string& aRegion,
               const RegionMeasurement& aMeasurement,
               TimePoint aNow);
  void SetRoundTrip(const std::string& aFrom,
                    const std::string& aTo,
                    Duration aRoundTrip);
  // A relayed request was refused by the region.
  void RecordRefusal(const std::string& aRegion, TimePoint aNow);
  // Moves the weights; call it about once a second.
  void Tick(TimePoint aNow);

  RegionShare Share(const std::string& aRegion) const;
  WeightState State(const std::string& aRegion, TimePoint aNow) const;
  // Requests per second that the region takes in addition, as last measured.
  double HeadroomOf(const std::string& aRegion, TimePoint aNow) const;
  // Requests per second that the region serves: its capacity in use.
  double DemandOf(const std::string& aRegion) const;
  // The other regions that may serve a request, best first. Nearer regions and
  // those with more headroom come first for more of the keys, so that hosts
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
    // Received part in requests per second.
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
