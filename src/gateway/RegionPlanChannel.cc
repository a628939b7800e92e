#include "gateway/RegionPlanChannel.h"

#include "base/EventLog.h"

#include <utility>

namespace peridotsail::detail {

RegionPlanChannel::RegionPlanChannel(asio::io_context& aContext,
                                     PeerDatagrams& aDatagrams,
                                     const RegionLatency& aRoundTrips,
                                     Metrics& aMetrics,
                                     RegionRoutingSettings aSettings)
  : metrics_(aMetrics)
  , remote_(aMetrics.Counter("peridotsail_requests_remote_total",
                             "Requests sent to another region first."))
  , routing_(
      std::move(aSettings),
      aRoundTrips,
      { [&aDatagrams](const std::string& aBytes, const std::string& aAddress) {
         aDatagrams.Send(aBytes, aAddress);
       },
        [this](const RegionPlanChange& aChange) { OnChange(aChange); } })
  , timer_(aContext)
{
  if (routing_.IsEnabled()) {
    aDatagrams.AddReceiver(
      [this](const std::string& aBytes, const std::string& aFrom) {
        return routing_.OnMessage(aBytes, aFrom, BootClock::now());
      });
    StartTimer();
  }
}

void
RegionPlanChannel::StartTimer()
{
  timer_.expires_after(ToSteady(RegionExchange::kTickInterval));
  timer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      routing_.OnTick(BootClock::now());
      StartTimer();
    }
  });
}

void
RegionPlanChannel::OnChange(const RegionPlanChange& aChange)
{
  const std::string& region = routing_.Region();
  metrics_
    .Gauge("peridotsail_region_share",
           "The part of its own work on a service that the region keeps.",
           "service=\"" + aChange.service_ + "\",region=\"" + region + "\"")
    .Set(aChange.keptShare_);
  LogEvent(Event::RegionPlanChanged,
           { { "service", aChange.service_ },
             { "region", region },
             { "kept", aChange.keptShare_ },
             { "inputs", aChange.measured_ ? "demand" : "slots" },
             { "plan", aChange.version_ },
             { "age_ms", ToMilliseconds(aChange.age_) } });
}

void
RegionPlanChannel::SetView(const std::map<std::string, HostRecord>& aHosts,
                           const InstanceTable& aInstances)
{
  std::vector<RegionPeer> peers;
  for (const auto& [name, host] : aHosts) {
    if (!host.draining_) {
      peers.push_back({ name, host.region_, host.peers_ });
    }
  }
  routing_.SetHosts(peers);
  routing_.SetCapacities(aInstances.Capacities());
}

Choice
RegionPlanChannel::ChooseServer(const InstanceTable& aInstances,
                                const RegionRequest& aRequest,
                                bool aIsFirstAttempt,
                                ChoiceQuery& aQuery,
                                const ChooserOptions& aOptions)
{
  const TimePoint now = BootClock::now();
  const auto planned = routing_.Choose(aRequest, now);
  if (planned) {
    aQuery.chosenRegion_ = planned->region_;
    aQuery.overflowRegions_ = planned->overflow_;
  }
  Choice choice = ChooseInstance(
    aInstances.OfService(aRequest.service_), aQuery, now, aOptions);
  if (aIsFirstAttempt) {
    const std::string& region =
      choice.instance_ ? choice.instance_->Region() : aQuery.region_;
    remote_.Add(region == aQuery.region_ ? 0 : 1);
    routing_.RecordArrival(aRequest, planned.has_value(), region);
  }
  return choice;
}

void
RegionPlanChannel::RecordServed(const Instance& aInstance,
                                const std::string& aRoute,
                                TimePoint aSentAt,
                                TimePoint aNow)
{
  routing_.RecordServed(aInstance.Record().service_,
                        aRoute,
                        aInstance.Region(),
                        aNow - aSentAt,
                        !aInstance.queue_.MayHaveFreeSlot(aNow));
}

}
