#pragma once

// Connects the routing between regions to this host's traffic: datagrams,
// timer, metrics. Traffic thread only; included by .cc files.

#include "base/Metrics.h"
#include "gateway/InstanceChooser.h"
#include "gateway/PeerDatagrams.h"
#include "regions/RegionRouting.h"

#include <map>
#include <string>

namespace peridotsail::detail {

class RegionPlanChannel
{
public:
  RegionPlanChannel(asio::io_context& aContext,
                    PeerDatagrams& aDatagrams,
                    const RegionLatency& aRoundTrips,
                    Metrics& aMetrics,
                    RegionRoutingSettings aSettings);

  void SetView(const std::map<std::string, HostRecord>& aHosts,
               const InstanceTable& aInstances);
  // Chooses a server, in the region of the plan if there is one. The first
  // attempt of a request counts as demand.
  Choice ChooseServer(const InstanceTable& aInstances,
                      const RegionRequest& aRequest,
                      bool aIsFirstAttempt,
                      ChoiceQuery& aQuery,
                      const ChooserOptions& aOptions);
  // A server has answered a request that was sent at aSentAt.
  void RecordServed(const Instance& aInstance,
                    const std::string& aRoute,
                    TimePoint aSentAt,
                    TimePoint aNow);

private:
  void OnChange(const RegionPlanChange& aChange);
  void StartTimer();

  Metrics& metrics_;
  MetricCounter& remote_;
  RegionRouting routing_;
  asio::steady_timer timer_;
};

}
