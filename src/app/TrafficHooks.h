#pragma once

// Implements the hooks of the request pipeline on the traffic thread:
// authentication, rate limits, and the choice of region and backend server.

#include "app/BudgetManager.h"
#include "app/ConfigurationAgent.h"
#include "app/HostDirectory.h"
#include "app/Settings.h"
#include "app/Snapshots.h"
#include "app/SteeringAdapter.h"
#include "backend/BackendDispatcher.h"
#include "keys/KeyTable.h"
#include "peer/PeerMessage.h"
#include "proxy/RequestPipeline.h"

#include <map>
#include <string>

namespace peridotsail {

class TrafficHooks
{
public:
  TrafficHooks(const Settings& aSettings,
               const Snapshot<Configuration>& aConfiguration,
               const HostDirectory& aDirectory,
               BudgetManager& aBudgets,
               BackendDispatcher& aBackends,
               Metrics& aMetrics);

  PipelineHooks Make();
  // Call when a configuration came into force or the host list changed.
  void OnSnapshotChanged() { steering_.Refresh(); }
  // A link to a peer came up or went down.
  void OnLink(const PeerHello& aPeer, bool aUp);
  // The slot that this host holds changed.
  void SetSlot(const SlotValidity& aValidity) { steering_.SetSlot(aValidity); }
  void SetKeyState(const KeyState& aState);

private:
  std::optional<std::string> Authenticate(const std::string* aAuthorization,
                                          Error& aError) const;
  void ChooseServer(const ServerQuery& aQuery,
                    const std::function<void(ServerChoice)>& aCallback);
  void OnExchange(const ServerQuery& aQuery,
                  const BackendServerConfig& aServer,
                  const ExchangeResult& aResult);

  const Settings& settings_;
  const Snapshot<Configuration>& configuration_;
  BudgetManager& budgets_;
  KeyTable keyTable_;
  ConfigurationPtr keyTableConfiguration_;
  BackendDispatcher& backends_;
  std::map<std::string, PeerHello> linkedPeers_;
  SteeringAdapter steering_;
};

}
