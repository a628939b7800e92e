#pragma once

// The decisions of the traffic thread, as hooks of the request pipeline: which
// customer, whether within the rate, which region and which backend server.

#include "app/BudgetKeeper.h"
#include "app/ConfigurationAgent.h"
#include "app/HostDirectory.h"
#include "app/Settings.h"
#include "app/Snapshots.h"
#include "app/SteeringWiring.h"
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
               BudgetKeeper& aBudgets,
               BackendDispatcher& aBackends,
               Metrics& aMetrics);

  PipelineHooks Make();
  // A configuration came into force or the host list changed.
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
  BudgetKeeper& budgets_;
  KeyTable keyTable_;
  ConfigurationPtr keysOf_;
  BackendDispatcher& backends_;
  std::map<std::string, PeerHello> linked_;
  SteeringWiring steering_;
};

}
