#pragma once

// State that is shared by all requests of a host: settings, routing and
// admission decisions, connections to backend servers, metrics. Used on the
// traffic thread only; included by .cc files.

#include "base/Metrics.h"
#include "gateway/AllowanceChannel.h"
#include "gateway/CustomerAllowances.h"
#include "gateway/FleetRetryBudget.h"
#include "gateway/InstanceChooser.h"
#include "gateway/PeerDatagrams.h"
#include "gateway/QuarantineChannel.h"
#include "gateway/RegionPlanChannel.h"
#include "gateway/ServerExchange.h"
#include "memory/ScheduledMemoryPool.h"
#include "pace/ColdStartLimit.h"
#include "regions/RegionLatency.h"
#include "regions/RemoteBudget.h"
#include "returns/RefusalSpread.h"
#include "slots/SlotChannel.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace peridotsail::detail {

struct FlowOptions
{
  // This host's name and region, and the region of each failure domain.
  std::string name_;
  std::string region_;
  std::map<std::string, std::string> regions_;
  GatewayHeaders headers_;
  // The part of a region's requests that may change their region from one
  // window of two seconds to the next; zero: regions share their work by slots
  // only.
  double maxRegionShift_ = 0;
  // Returns the time since the view of the store was last confirmed. Keys may
  // have been withdrawn since then.
  std::function<Duration(TimePoint)> viewAge_;
  // A change in the store must take effect within this time. An older view is
  // no reason to deny a route or a key, since another host may know better.
  Duration maxChangeDelay_ = Duration::max();
  // Keys are not accepted when the view is at least this old.
  Duration maxViewAge_{};
  // Returns whether this host will stay up long enough to finish a request with
  // this deadline; false for late deadlines during shutdown.
  std::function<bool(TimePoint aDeadline)> canFinish_;
  // Retry-After when no better estimate is known.
  Duration retryAfter_ = std::chrono::milliseconds(300);
  // How long requests wait for the first view after the start.
  Duration firstViewTimeout_ = std::chrono::milliseconds(600);
  // How long a request that is suspected of crashing servers waits for a
  // quarantine decision, and how often the decision is polled.
  Duration maxHold_ = std::chrono::milliseconds(1000);
  Duration holdPollInterval_ = std::chrono::milliseconds(50);
  // No attempt is made with less time left than this.
  Duration minTimeLeft_ = std::chrono::milliseconds(30);
  // Bounds what is held for callers and servers.
  MemoryOptions memory_;
  ServerConnectionOptions servers_;
  ChooserOptions chooser_;
  InstanceHealthOptions health_;
};

struct FlowMetrics
{
  explicit FlowMetrics(Metrics& aMetrics);
  MetricCounter& requests_;
  MetricCounter& attempts_;
  MetricCounter& retries_;
  MetricCounter& abandoned_;
  MetricLatency& latency_;
  MetricGauge& heldBytes_;
  MetricGauge& memoryRefused_;
  MetricGauge& memoryClosed_;
  MetricGauge& serverConnections_;
  MetricCounter& connectionsRefused_;
  Metrics& registry_;
};

// State that is shared by all requests of a host.
struct FlowContext
{
  FlowContext(asio::io_context& aContext,
              FlowOptions aOptions,
              InstanceTable& aInstances,
              Metrics& aMetrics,
              AllowanceOptions aAllowances,
              ColdStartOptions aColdStart,
              FleetRetryBudgetOptions aRetries);
  // Returns whether a configuration is loaded and the allowance owners are
  // known.
  bool IsReady() const { return table_ && owners_.HasHosts(); }
  // Returns whether owners grant the slots of the service's servers: if slow
  // work could otherwise block urgent work there.
  bool GrantsSlots(const std::string& aService) const;
  // Applies the registered hosts and a configuration, which may be null, and
  // starts the requests that waited for the first view.
  void SetView(const std::map<std::string, HostRecord>& aHosts,
               RoutingTablePtr aTable);

  // Updates the metrics of the memory and the connections that are held. Call
  // now and then.
  void UpdateMemoryMetrics();

  asio::io_context& context_;
  FlowOptions options_;
  InstanceTable& instances_;
  ScheduledMemoryPool memory_;
  ServerConnections connections_;
  AllowanceOwners owners_;
  CustomerAllowances allowances_;
  PeerDatagrams datagrams_;
  SlotChannel slots_;
  AllowanceChannel allowanceChannel_;
  RefusalSpread refusals_;
  RegionLatency roundTrips_;
  RegionPlanChannel regionPlan_;
  RemoteBudget remoteBudget_;
  ColdStartLimit coldStarts_;
  FleetRetryBudget retries_;
  QuarantineChannel quarantine_;
  FlowMetrics metrics_;
  RoutingTablePtr table_;
  // Requests that arrived before the first view, soon after the start.
  std::vector<std::function<void()>> waitingForView_;
  std::mt19937_64 random_;
  int inFlight_ = 0;
};

}
