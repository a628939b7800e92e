#pragma once

// Connects this host's steering to the pipeline: look-ups, the choice between
// this region and a relay, the admission of relayed requests, with metrics and
// a log line for each decision. Runs on the traffic thread.

#include "app/HostDirectory.h"
#include "app/Settings.h"
#include "app/Snapshots.h"
#include "backend/BackendDispatcher.h"
#include "base/Metrics.h"
#include "budget/SlotTypes.h"
#include "peer/PeerMessage.h"
#include "proxy/RequestPipeline.h"
#include "steering/HostSteering.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

class SteeringWiring
{
public:
  SteeringWiring(const Settings& aSettings,
                 const Snapshot<Configuration>& aConfiguration,
                 const HostDirectory& aDirectory,
                 const BackendDispatcher& aBackends,
                 Metrics& aMetrics);

  // The body of the answer to a look-up.
  std::string Lookup(const std::string& aBlock);
  // A host of another region, a refusal, or nothing to serve it here.
  std::optional<RelayTarget> ChooseRelay(const ServerQuery& aQuery);
  RelayAdmission Admit(const ServerQuery& aQuery,
                       const std::string& aFromRegion);
  // Reserves room under the shift cap for a request to this host, see
  // PipelineHooks::reserveRelay_.
  bool ReserveRelay(const std::string& aHost,
                    double aBytes,
                    RelayAllowancePtr& aAllowance);
  // The slot that this host holds, with its share of caps and capacity.
  void SetSlot(const SlotValidity& aValidity);
  void OnRelayRefused(const std::string& aRegion);
  void OnLink(const PeerHello& aPeer, bool aUp);

  // Takes over a new configuration or host list, and ticks once a second.
  // Called with each decision; call it also when a snapshot changes, because
  // token buckets fill from then on.
  void Refresh();

private:
  void AdoptConfiguration(const ConfigurationPtr& aConfiguration,
                          TimePoint aNow);
  void Tick(TimePoint aNow);
  void CountDecision(const SteerDecision& aDecision);
  std::optional<Duration> LocalWait(const ServerQuery& aQuery,
                                    TimePoint aNow) const;
  bool OwnDrainFinished(TimePoint aNow) const;
  // A linked host of the region that is not leaving, spread by the key.
  const PeerHello* FindPeer(const std::string& aRegion,
                            std::uint64_t aKey) const;

  const Settings& settings_;
  const Snapshot<Configuration>& configuration_;
  const HostDirectory& directory_;
  const BackendDispatcher& backends_;
  Metrics& metrics_;
  // Shared with the allowances of relays, which may end after this object.
  std::shared_ptr<HostSteering> steering_;
  std::map<std::string, PeerHello> linked_;
  std::map<std::string, LookupHostState> states_;
  std::map<std::string, double> loggedKeep_;
  ConfigurationPtr adopted_;
  std::uint64_t revision_ = ~std::uint64_t{ 0 };
  std::uint64_t decisions_ = 0;
  TimePoint ticked_{};
};

}
