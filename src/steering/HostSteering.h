#pragma once

// Combines all steering functions of one entry host: lookups, region weights,
// shift caps, admission and active drains. Performs no I/O and reads no clock.
// Used by the traffic thread only.
//
//   HostSteering steering("eu-west");
//   steering.SetConfiguration(configuration, now); // each version
//   steering.SetHosts(hosts);                      // each host list change
//   steering.SetSlot(epoch, validUntil, now);      // each lease renewal
//   steering.Tick(now);                            // about once a second
//   LookupAnswer answer = steering.Lookup(block);
//   SteerDecision decision = steering.Steer(request, now);

#include "config/Configuration.h"
#include "steering/DrainPlan.h"
#include "steering/LookupService.h"
#include "steering/RegionAdmission.h"
#include "steering/RegionWeights.h"
#include "steering/RequestSteering.h"
#include "steering/ShareBucket.h"
#include "steering/ShiftCaps.h"

#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

struct HostSteeringOptions
{
  LookupOptions lookup_;
  RegionWeightsOptions weights_;
  RegionAdmissionOptions admission_;
  ShiftCapsOptions caps_;
  DrainOptions drain_;
  // Creates the budget of a region pair. If empty, fixed shares are used.
  ShiftCaps::MakeBudget makeBudget_;
};

// The drain of a region as executed by this host.
struct RegionDrain
{
  std::string region_;
  TimePoint start_{};
  DrainPlan plan_;
};

class HostSteering
{
public:
  explicit HostSteering(std::string aOwnRegion,
                        const HostSteeringOptions& aOptions = {});

  // Applies a configuration version. Drains in the first configuration are
  // treated as complete, because a host that restarts during a drain must not
  // start the drain again.
  void SetConfiguration(const ConfigurationPtr& aConfiguration, TimePoint aNow);
  void SetHosts(std::vector<LookupHost> aHosts);
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);
  void SetRoundTrip(const std::string& aRegion, Duration aRoundTrip);
  bool Observe(const std::string& aRegion,
               const RegionMeasurement& aMeasurement,
               TimePoint aNow);
  // Advances weights and drains. To be called about once a second.
  void Tick(TimePoint aNow);

  // Returns the fraction of its own blocks that a region keeps, including the
  // effect of drains.
  double KeepFraction(const std::string& aRegion, TimePoint aNow) const;
  LookupAnswer Lookup(std::string_view aBlock) const;
  // Decides where a request is served; sets the input's ownRegion_. A request
  // that is served locally counts against the region's capacity.
  SteerDecision Steer(SteerRequestInput aRequest, TimePoint aNow);

  // Forecasts a drain from this host's measurements.
  DrainPlan Forecast(DrainKind aKind,
                     const std::string& aName,
                     TimePoint aNow) const;
  const std::vector<RegionDrain>& Drains() const { return drains_; }

  RegionWeights& Weights() { return weights_; }
  ShiftCaps& Caps() { return caps_; }
  RegionAdmission& Admission() { return admission_; }

private:
  std::string RegionOf(DrainKind aKind, const std::string& aName) const;
  DrainDemand DemandOf(DrainKind aKind,
                       const std::string& aName,
                       const RegionConfig& aRegion) const;
  void UpdateRegionShares(TimePoint aNow);

  std::string ownRegion_;
  DrainOptions drainOptions_;
  ConfigurationPtr configuration_;
  std::vector<LookupHost> hosts_;
  LookupService lookup_;
  RegionWeights weights_;
  // The fixed shares of the shift caps. Empty when makeBudget_ is set.
  std::vector<ShareBucket*> shares_;
  ShiftCaps caps_;
  RegionAdmission admission_;
  std::vector<RegionDrain> drains_;
  std::uint64_t epoch_ = 0;
  TimePoint validUntil_{};
};

}
