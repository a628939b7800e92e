#pragma once

// All steering of one entry host: look-ups, weights, shift caps, admission and
// the drains in force. Pure; the traffic thread owns it.
//
//   HostSteering steering("eu-west");
//   steering.SetConfiguration(configuration, now);       // each version
//   steering.SetHosts(hosts);                 // each change of the host list
//   steering.SetSlot(epoch, validUntil, now); // each renewal
//   steering.Tick(now);                       // about once a second
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
  // Makes the budget of a region pair; empty for fixed shares.
  ShiftCaps::MakeBudget makeBudget_;
};

// A region's drain as this host carries it out.
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

  // A drain that the first configuration already has counts as carried out: a
  // host that was replaced during a drain must not start it again.
  void SetConfiguration(const ConfigurationPtr& aConfiguration, TimePoint aNow);
  void SetHosts(std::vector<LookupHost> aHosts);
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);
  void SetRoundTrip(const std::string& aRegion, Duration aRoundTrip);
  bool Observe(const std::string& aRegion,
               const RegionMeasurement& aMeasurement,
               TimePoint aNow);
  // Moves weights and drains.
  void Tick(TimePoint aNow);

  // The part of its own blocks that a region keeps, drains included.
  double KeepFraction(const std::string& aRegion, TimePoint aNow) const;
  LookupAnswer Lookup(std::string_view aBlock) const;
  // The own region of the request is set here. A request that is served here
  // counts against the region's capacity.
  SteerDecision Steer(SteerRequestInput aRequest, TimePoint aNow);

  // The forecast of a drain, from what this host measures.
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
  // The fixed shares of the caps; empty when makeBudget_ is set.
  std::vector<ShareBucket*> shares_;
  ShiftCaps caps_;
  RegionAdmission admission_;
  std::vector<RegionDrain> drains_;
  std::uint64_t epoch_ = 0;
  TimePoint validUntil_{};
};

}
