#pragma once

// Selects the region of each request at one host, and measures the demand from
// which the regions' plan is computed. Off in a deployment with one region or
// without a bound on the shift between regions. Performs no I/O; traffic thread
// only.
//
//   RegionRouting routing(settings, latency, hooks);
//   routing.SetHosts(hosts);             // when the view changes
//   routing.SetCapacities(capacities);
//   if (const auto choice = routing.Choose(request, now)) { ... }
//   routing.RecordArrival(request, choice.has_value(), serverRegion);

#include "regions/HomeRegion.h"
#include "regions/RegionExchange.h"
#include "regions/RegionLatency.h"
#include "regions/RegionShare.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct RegionRoutingSettings
{
  // The region of each failure domain.
  std::map<std::string, std::string> failureDomains_;
  // This host's region and name.
  std::string region_;
  std::string name_;
  // The part of a region's requests that may change their region from one
  // window of two seconds to the next; zero: off.
  double maxShift_ = 0;
};

// A registered host that takes part in the exchange.
struct RegionPeer
{
  std::string name_;
  std::string region_;
  // The host's datagram address, as text.
  std::string address_;
};

struct RegionRequest
{
  std::string service_;
  std::string route_;
  // The object's hash, or a random number for a request without an object.
  std::uint64_t key_ = 0;
  // Whether the request may only run in certain regions.
  bool hasHomeRegions_ = false;
  Duration targetLatency_{};
};

struct RegionChoice
{
  std::string region_;
  // The regions to which the request may go if its server is busy.
  std::vector<std::string> overflow_;
};

struct RegionRoutingHooks
{
  std::function<void(const std::string& aBytes, const std::string& aAddress)>
    send_;
  std::function<void(const RegionPlanChange&)> onChange_;
};

class RegionRouting
{
public:
  RegionRouting(RegionRoutingSettings aSettings,
                const RegionLatency& aRoundTrips,
                RegionRoutingHooks aHooks);

  bool IsEnabled() const { return enabled_; }
  const std::string& Region() const { return settings_.region_; }
  void SetHosts(const std::vector<RegionPeer>& aHosts);
  void SetCapacities(const std::map<std::string, RegionCapacity>& aCapacities);
  void OnTick(TimePoint aNow) { exchange_.OnTick(aNow); }
  // Returns false if the message is of another type.
  bool OnMessage(const std::string& aBytes,
                 const std::string& aFrom,
                 TimePoint aNow)
  {
    return exchange_.OnMessage(aBytes, aFrom, aNow);
  }
  // Returns nothing if the plan does not apply to the request: it has home
  // regions, the regions are near for it, or no round trip is known yet.
  std::optional<RegionChoice> Choose(const RegionRequest& aRequest,
                                     TimePoint aNow) const;
  // aPlanned is whether Choose returned a region; aRegion is where the request
  // runs.
  void RecordArrival(const RegionRequest& aRequest,
                     bool aPlanned,
                     const std::string& aRegion);
  // A server in aRegion answered after aElapsed.
  void RecordServed(const std::string& aService,
                    const std::string& aRoute,
                    const std::string& aRegion,
                    Duration aElapsed,
                    bool aMayHaveWaited);

private:
  RegionExchangeOptions MakeOptions() const;
  RegionExchangeHooks MakeHooks(RegionRoutingHooks aHooks) const;
  std::size_t IndexOf(const std::string& aRegion) const;

  RegionRoutingSettings settings_;
  // Sorted.
  std::vector<std::string> regions_;
  bool enabled_ = false;
  const RegionLatency& roundTrips_;
  HomeRegion homes_;
  RegionExchange exchange_;
};

}
