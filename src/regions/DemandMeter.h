#pragma once

// Measures at one host how many slots the requests of its callers keep busy, by
// service: the rate of requests times the time that a server works on one.
// Performs no I/O; traffic thread only.
//
// Service times are taken from requests that are unlikely to have waited at the
// server, so that a queue does not look like demand. While all requests wait,
// the last known time is kept; those that waited count only until the first one
// that did not.
//
//   DemandMeter meter(regions);
//   meter.RecordArrival("inbox", "read", std::nullopt, target);
//   meter.RecordServed("inbox", "read", elapsed, waited);
//   demands = meter.Measure(now);   // at regular intervals

#include "base/BootClock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// The demand of one service in busy slots.
struct ServiceDemand
{
  // Requests that may run in any region.
  double movable_ = 0;
  // Requests that run in a certain region, by region.
  std::vector<double> fixed_;
  // Requests per second, of both kinds.
  double requests_ = 0;
  // The shortest target latency of the requests; zero: not known.
  Duration targetLatency_{};
};

struct DemandMeterOptions
{
  // The service time that is assumed before the first request is answered.
  Duration initialServiceTime_ = std::chrono::milliseconds(300);
  // The mean covers about this many of the last samples.
  int maxSamples_ = 50;
};

class DemandMeter
{
public:
  explicit DemandMeter(std::size_t aRegions, DemandMeterOptions aOptions = {});

  // A request arrived. aRunsIn is its region if it cannot be moved.
  void RecordArrival(const std::string& aService,
                     const std::string& aRoute,
                     std::optional<std::size_t> aRunsIn,
                     Duration aTargetLatency);
  // A server answered after aElapsed, without the way to its region.
  void RecordServed(const std::string& aService,
                    const std::string& aRoute,
                    Duration aElapsed,
                    bool aMayHaveWaited);
  // The demand since the last but one call. Services that were not requested in
  // that time are left out.
  std::map<std::string, ServiceDemand> Measure(TimePoint aNow);

private:
  struct Arrivals
  {
    double movable_ = 0;
    std::vector<double> fixed_;
  };
  struct Route
  {
    Arrivals current_;
    Arrivals former_;
    double serviceSeconds_ = 0;
    int samples_ = 0;
    // Whether the samples are of requests that did not wait.
    bool unqueued_ = false;
    Duration targetLatency_{};
  };

  Route& RouteOf(const std::string& aService, const std::string& aRoute);

  std::size_t regions_;
  DemandMeterOptions options_;
  // By service and route.
  std::map<std::string, std::map<std::string, Route>> services_;
  TimePoint currentSince_ = TimePoint::min();
  TimePoint formerSince_ = TimePoint::min();
};

}
