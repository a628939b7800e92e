#pragma once

// The decisions of the traffic thread, as hooks of the request pipeline: which
// customer, whether within the rate, which region and which backend server.

#include "app/HostDirectory.h"
#include "app/Settings.h"
#include "app/Snapshots.h"
#include "app/SteeringWiring.h"
#include "peer/PeerMessage.h"
#include "proxy/RequestPipeline.h"
#include "proxy/ServerSelector.h"

#include <string>

namespace peridotsail {

class TrafficHooks
{
public:
  TrafficHooks(const Settings& aSettings,
               const Snapshot<Configuration>& aConfiguration,
               const HostDirectory& aDirectory,
               Metrics& aMetrics);

  PipelineHooks Make();
  // A configuration came into force or the host list changed.
  void OnSnapshotChanged() { steering_.Refresh(); }
  // A link to a peer came up or went down.
  void OnLink(const PeerHello& aPeer, bool aUp);

private:
  std::optional<std::string> Authenticate(const std::string* aAuthorization,
                                          Error& aError) const;
  void ChooseServer(const ServerQuery& aQuery,
                    const std::function<void(ServerChoice)>& aCallback);

  const Snapshot<Configuration>& configuration_;
  ServerSelector selector_;
  SteeringWiring steering_;
};

}
