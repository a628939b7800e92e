#pragma once

// Connects HostSteering to the request pipeline: answers lookups, chooses
// between this region and a relay, and admits relayed requests. Counts and logs
// the decisions. Runs on the traffic thread.

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

class SteeringAdapter
{
public:
  SteeringAdapter(const Settings& aSettings,
                  const Snapshot<Configuration>& aConfiguration,
                  const HostDirectory& aDirectory,
                  const BackendDispatcher& aBackends,
                  Metrics& aMetrics);

  // Returns the body of the response to a lookup.
  std::string Lookup(const std::string& aBlock);
  // Returns a host of another region or a refusal, or nothing if the request is
  // to be served in this region.
  std::optional<RelayTarget> ChooseRelay(const ServerQuery& aQuery);
  RelayAdmission Admit(const ServerQuery& aQuery,
                       const std::string& aFromRegion);
  // Reserves bytes under the shift cap for a request relayed to aHost. See
  // PipelineHooks::reserveRelay_.
  bool ReserveRelay(const std::string& aHost,
                    double aBytes,
                    RelayAllowancePtr& aAllowance);
  // Sets the slot that this host holds, which gives it a share of the caps and
  // the capacity.
  void SetSlot(const SlotValidity& aValidity);
  void OnRelayRefused(const std::string& aRegion);
  void OnLink(const PeerHello& aPeer, bool aUp);

  // Applies a new configuration or host list, and ticks once a second. Runs
  // before each decision. Call it also when a snapshot changes, because token
  // buckets start to fill from then on.
  void Refresh();

private:
  void ApplyConfiguration(const ConfigurationPtr& aConfiguration,
                          TimePoint aNow);
  void Tick(TimePoint aNow);
  void CountDecision(const SteerDecision& aDecision);
  std::optional<Duration> EstimateLocalWait(const ServerQuery& aQuery,
                                            TimePoint aNow) const;
  bool IsOwnDrainFinished(TimePoint aNow) const;
  // Returns a linked host of the region that is not leaving, chosen by
  // rendezvous hashing of the key; null if there is none.
  const PeerHello* FindPeer(const std::string& aRegion,
                            std::uint64_t aKey) const;

  const Settings& settings_;
  const Snapshot<Configuration>& configuration_;
  const HostDirectory& directory_;
  const BackendDispatcher& backends_;
  Metrics& metrics_;
  // Shared with the relay allowances, which may outlive this object.
  std::shared_ptr<HostSteering> steering_;
  std::map<std::string, PeerHello> linkedPeers_;
  std::map<std::string, LookupHostState> hostStates_;
  std::map<std::string, double> loggedKeepFractions_;
  ConfigurationPtr appliedConfiguration_;
  std::uint64_t directoryRevision_ = ~std::uint64_t{ 0 };
  std::uint64_t decisionCount_ = 0;
  TimePoint lastTick_{};
};

}
