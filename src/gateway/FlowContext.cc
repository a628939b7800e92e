#include "gateway/FlowContext.h"

namespace peridotsail::detail {

FlowMetrics::FlowMetrics(Metrics& aMetrics)
  : requests_(
      aMetrics.Counter("peridotsail_requests_total", "Requests of callers."))
  , attempts_(aMetrics.Counter("peridotsail_attempts_total",
                               "Requests sent to backend servers."))
  , retries_(aMetrics.Counter("peridotsail_retries_total",
                              "Attempts beyond the first of a request."))
  , abandoned_(aMetrics.Counter("peridotsail_abandoned_total",
                                "Requests whose caller left."))
  , latency_(aMetrics.Latency("peridotsail_request_seconds",
                              "Time from a request's arrival to its answer."))
  , heldBytes_(aMetrics.Gauge("peridotsail_held_bytes",
                              "Bytes held for callers and servers."))
  , memoryRefused_(
      aMetrics.Gauge("peridotsail_memory_refused",
                     "Requests and responses refused for lack of memory."))
  , memoryClosed_(
      aMetrics.Gauge("peridotsail_memory_closed",
                     "Stalled connections closed for lack of memory."))
  , serverConnections_(aMetrics.Gauge("peridotsail_server_connections",
                                      "Open connections to backend servers."))
  , connectionsRefused_(
      aMetrics.Counter("peridotsail_server_connections_refused_total",
                       "Requests refused at the limit of connections."))
  , registry_(aMetrics)
{
}

namespace {

SlotChannelHooks
MakeSlotHooks(PeerDatagrams& aDatagrams, InstanceTable& aInstances)
{
  SlotChannelHooks hooks;
  hooks.send_ = [&aDatagrams](const std::string& aBytes,
                              const std::string& aAddress) {
    aDatagrams.Send(aBytes, aAddress);
  };
  hooks.onLoad_ = [&aInstances](const std::string& aServer,
                                const ReportedLoad& aLoad) {
    if (const InstancePtr instance = aInstances.Find(aServer)) {
      instance->queue_.Report(aLoad);
    }
  };
  return hooks;
}

// The hosts that can own slots. None, unless this host can exchange datagrams
// with them: they drop those of unregistered hosts.
std::vector<SlotHost>
SlotHosts(const std::map<std::string, HostRecord>& aHosts,
          const std::string& aSelf)
{
  const auto self = aHosts.find(aSelf);
  if (self == aHosts.end() ||
      (self->second.peers_.empty() && aHosts.size() > 1)) {
    return {};
  }
  std::vector<SlotHost> hosts;
  for (const auto& [name, host] : aHosts) {
    if (!host.peers_.empty() || name == aSelf) {
      hosts.push_back({ name, host.peers_, host.region_, host.draining_ });
    }
  }
  return hosts;
}

}

FlowContext::FlowContext(asio::io_context& aContext,
                         FlowOptions aOptions,
                         InstanceTable& aInstances,
                         Metrics& aMetrics,
                         AllowanceOptions aAllowances,
                         ColdStartOptions aColdStart,
                         FleetRetryBudgetOptions aRetries)
  : context_(aContext)
  , options_(std::move(aOptions))
  , instances_(aInstances)
  , memory_(aContext, options_.memory_)
  , connections_(aContext, options_.servers_, memory_)
  , owners_(options_.regions_, options_.region_, options_.name_)
  , allowances_(aAllowances, owners_)
  , datagrams_(aContext,
               [this](const std::string& aAddress) {
                 return owners_.IsKnownAddress(aAddress);
               })
  , slots_(aContext,
           options_.name_,
           options_.region_,
           {},
           MakeSlotHooks(datagrams_, instances_),
           aMetrics)
  , allowanceChannel_(
      aContext,
      datagrams_,
      owners_,
      allowances_,
      aMetrics,
      [this] { return table_ ? table_->Version() : 0; },
      [this](TimePoint aNow) { return options_.viewAge_(aNow); })
  , roundTrips_(options_.region_)
  , regionPlan_(aContext,
                datagrams_,
                roundTrips_,
                aMetrics,
                { options_.regions_,
                  options_.region_,
                  options_.name_,
                  options_.maxRegionShift_ })
  , coldStarts_(aColdStart)
  , retries_(aRetries)
  , quarantine_(aContext,
                datagrams_,
                owners_,
                connections_,
                aMetrics,
                [this](Instance& aInstance) {
                  instances_.RecordOutcome(aInstance,
                                           InstanceOutcome::Unreachable,
                                           BootClock::now(),
                                           options_.health_);
                })
  , metrics_(aMetrics)
  , random_(std::random_device()())
{
  datagrams_.AddReceiver(
    [this](const std::string& aBytes, const std::string& aFrom) {
      return slots_.OnDatagram(aBytes, aFrom);
    });
  connections_.SetOnConnected(
    [this](const Instance& aInstance, Duration aElapsed) {
      roundTrips_.Record(aInstance.Region(), aElapsed);
    });
}

bool
FlowContext::GrantsSlots(const std::string& aService) const
{
  return table_ && table_->MixesUrgentAndSlowWork(aService);
}

void
FlowContext::UpdateMemoryMetrics()
{
  const MemoryPoolStatistics now = memory_.Statistics();
  metrics_.heldBytes_.Set(static_cast<double>(now.held_));
  metrics_.memoryRefused_.Set(static_cast<double>(now.refused_));
  metrics_.memoryClosed_.Set(static_cast<double>(now.closed_));
  metrics_.serverConnections_.Set(static_cast<double>(connections_.Open()));
}

void
FlowContext::SetView(const std::map<std::string, HostRecord>& aHosts,
                     RoutingTablePtr aTable)
{
  const bool changed = owners_.SetHosts(aHosts) || aTable != table_;
  regionPlan_.SetView(aHosts, instances_);
  table_ = std::move(aTable);
  slots_.SetHosts(SlotHosts(aHosts, options_.name_));
  if (!table_) {
    return;
  }
  if (changed) {
    memory_.SetLargestBody(table_->Limits().maxBodyBytes_);
    allowances_.Apply(*table_, BootClock::now());
    allowanceChannel_.OnOwnersChanged();
  }
  if (!IsReady()) {
    return;
  }
  std::vector<std::function<void()>> waiting;
  waiting.swap(waitingForView_);
  for (const auto& start : waiting) {
    start();
  }
}

}
