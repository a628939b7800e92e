#include "regions/DemandMeter.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

DemandMeter::DemandMeter(std::size_t aRegions, DemandMeterOptions aOptions)
  : regions_(aRegions)
  , options_(aOptions)
{
}

DemandMeter::Route&
DemandMeter::RouteOf(const std::string& aService, const std::string& aRoute)
{
  Route& route = services_[aService][aRoute];
  if (route.current_.fixed_.empty()) {
    route.current_.fixed_.assign(regions_, 0);
    route.former_.fixed_.assign(regions_, 0);
    route.serviceSeconds_ = ToSeconds(options_.initialServiceTime_);
  }
  return route;
}

void
DemandMeter::RecordArrival(const std::string& aService,
                           const std::string& aRoute,
                           std::optional<std::size_t> aRunsIn,
                           Duration aTargetLatency)
{
  Route& route = RouteOf(aService, aRoute);
  route.targetLatency_ = aTargetLatency;
  if (aRunsIn && *aRunsIn < regions_) {
    route.current_.fixed_[*aRunsIn] += 1;
  } else {
    route.current_.movable_ += 1;
  }
}

void
DemandMeter::RecordServed(const std::string& aService,
                          const std::string& aRoute,
                          Duration aElapsed,
                          bool aMayHaveWaited)
{
  Route& route = RouteOf(aService, aRoute);
  if (aMayHaveWaited && route.unqueued_) {
    return;
  }
  if (!aMayHaveWaited && !route.unqueued_) {
    route.unqueued_ = true;
    route.samples_ = 0;
  }
  route.samples_ = std::min(route.samples_ + 1, options_.maxSamples_);
  const double seconds = std::max(0.0, ToSeconds(aElapsed));
  route.serviceSeconds_ += (seconds - route.serviceSeconds_) / route.samples_;
}

std::map<std::string, ServiceDemand>
DemandMeter::Measure(TimePoint aNow)
{
  std::map<std::string, ServiceDemand> demands;
  const TimePoint since =
    formerSince_ == TimePoint::min() ? currentSince_ : formerSince_;
  const double seconds =
    since == TimePoint::min() ? 0 : ToSeconds(aNow - since);
  formerSince_ = currentSince_;
  currentSince_ = aNow;
  for (auto service = services_.begin(); service != services_.end();) {
    ServiceDemand demand;
    demand.fixed_.assign(regions_, 0);
    double requests = 0;
    for (auto& [name, route] : service->second) {
      const double scale = seconds > 0 ? route.serviceSeconds_ / seconds : 0;
      const double movable = route.current_.movable_ + route.former_.movable_;
      requests += movable;
      demand.movable_ += movable * scale;
      for (std::size_t region = 0; region < regions_; ++region) {
        const double fixed =
          route.current_.fixed_[region] + route.former_.fixed_[region];
        requests += fixed;
        demand.fixed_[region] += fixed * scale;
      }
      if (demand.targetLatency_ == Duration::zero() ||
          route.targetLatency_ < demand.targetLatency_) {
        demand.targetLatency_ = route.targetLatency_;
      }
      route.former_ =
        std::exchange(route.current_, { 0, std::vector<double>(regions_, 0) });
    }
    if (requests > 0) {
      demand.requests_ = seconds > 0 ? requests / seconds : 0;
      demands.emplace(service->first, std::move(demand));
    }
    ++service;
  }
  return demands;
}

}
