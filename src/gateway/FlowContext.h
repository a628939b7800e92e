#pragma once

// What the requests of a host share: settings, decision objects, connections to
// backend servers, counters. Traffic thread only; included by .cc files.

#include "base/Metrics.h"
#include "gateway/AllowanceChannel.h"
#include "gateway/ColdStartLimit.h"
#include "gateway/CustomerAllowances.h"
#include "gateway/FleetRetryBudget.h"
#include "gateway/InstanceChooser.h"
#include "gateway/PeerDatagrams.h"
#include "gateway/QuarantineChannel.h"
#include "gateway/RegionLatency.h"
#include "gateway/RemoteBudget.h"
#include "gateway/ServerExchange.h"

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
  // Time since the view of the store was last confirmed; keys may have been
  // withdrawn since.
  std::function<Duration(TimePoint)> viewAge_;
  // Keys are refused at a greater age.
  Duration mostViewAge_{};
  // Whether this host can finish a request that has time until then; it may be
  // about to end.
  std::function<bool(TimePoint aDeadline)> mayFinish_;
  // When a refusal gives no better time.
  Duration retryAfter_ = std::chrono::milliseconds(300);
  // The longest wait for the first view after the start.
  Duration startWait_ = std::chrono::milliseconds(600);
  // A request that may crash servers waits for a decision for so long.
  Duration longestHold_ = std::chrono::milliseconds(1000);
  Duration holdCheck_ = std::chrono::milliseconds(50);
  // An attempt with less time left is not made.
  Duration leastTimeLeft_ = std::chrono::milliseconds(30);
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
  Metrics& all_;
};

// State that the requests of a host share.
struct FlowContext
{
  FlowContext(asio::io_context& aContext,
              FlowOptions aOptions,
              InstanceTable& aInstances,
              Metrics& aMetrics,
              AllowanceOptions aAllowances,
              ColdStartOptions aColdStart,
              FleetRetryBudgetOptions aRetries);
  // A configuration and the owners of allowances are known.
  bool Ready() const { return table_ && owners_.HasHosts(); }
  // Takes over the other hosts and a configuration, which may be null, and
  // begins the requests that waited for the first view.
  void SetView(const std::map<std::string, HostRecord>& aHosts,
               RoutingTablePtr aTable);

  asio::io_context& context_;
  FlowOptions options_;
  InstanceTable& instances_;
  ServerConnections connections_;
  AllowanceOwners owners_;
  CustomerAllowances allowances_;
  PeerDatagrams datagrams_;
  AllowanceChannel allowanceChannel_;
  RegionLatency ways_;
  RemoteBudget remoteBudget_;
  ColdStartLimit coldStarts_;
  FleetRetryBudget retries_;
  QuarantineChannel quarantine_;
  FlowMetrics metrics_;
  RoutingTablePtr table_;
  // Requests that came before the first view, soon after the start.
  std::vector<std::function<void()>> waiting_;
  std::mt19937_64 random_;
  int inFlight_ = 0;
};

}
