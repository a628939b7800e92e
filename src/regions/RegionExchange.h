#pragma once

// Collects the demand of the regions and distributes the plan that divides the
// work between them. Performs no I/O; traffic thread only.
//
// Each host reports its demand to the coordinator of its region, which reports
// the sum to the planner and answers its hosts with the region's part of the
// plan. The coordinator is the first host of the region in a rendezvous order,
// and the planner is the coordinator of the first region; a host that gets no
// answers turns to the next in order. Since one planner decides for all
// regions, no two regions send each other work of the same service.
//
// A host uses the last plan that it received for some seconds. Without one, it
// divides the work by the registered slots, as all hosts with the same view do.
//
//   RegionExchange exchange(options, hooks);
//   exchange.SetHosts(hostsByRegion);          // when the view changes
//   exchange.SetCapacity(slotsByService, now);
//   exchange.Meter().RecordArrival(...);       // for each request
//   exchange.OnTick(now);                      // each kTickInterval
//   exchange.OnMessage(bytes, from, now);
//   exchange.PlanFor("inbox", now);

#include "regions/DemandMeter.h"
#include "regions/DemandReports.h"
#include "regions/RegionDemandMessages.h"
#include "regions/RegionPlanner.h"
#include "regions/ReportReceiver.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// The usable servers of a service.
struct ServiceSlots
{
  // By region.
  std::vector<double> slots_;
  double perServer_ = 0;
};

struct RegionExchangeOptions
{
  // Sorted.
  std::vector<std::string> regions_;
  // The index of this host's region.
  std::size_t region_ = 0;
  RegionPlannerOptions planner_;
  // A report is not used when it is older. Shorter than it takes until another
  // host receives the sender's reports, so that no demand counts twice.
  Duration reportLifetime_ = std::chrono::milliseconds(1750);
  // A plan with a lower version replaces one that was not confirmed for this
  // long.
  Duration planRenewal_ = std::chrono::seconds(2);
  // A plan is used for this long after it was computed. Longer than a change of
  // the coordinator takes.
  Duration planLifetime_ = std::chrono::seconds(10);
};

// A change of the region's shares of a service, for the log.
struct RegionPlanChange
{
  std::string service_;
  double keptShare_ = 0;
  std::uint64_t version_ = 0;
  Duration age_{};
  // False: divided by the registered slots, because there is no plan.
  bool measured_ = false;
};

struct RegionExchangeHooks
{
  std::function<void(const std::string& aBytes, const std::string& aAddress)>
    send_;
  // The shortest round trip measured from this host to each region; zero: not
  // known.
  std::function<std::vector<Duration>()> roundTrips_;
  std::function<void(const RegionPlanChange&)> onChange_;
};

class RegionExchange
{
public:
  // How often OnTick must be called.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(500);

  RegionExchange(RegionExchangeOptions aOptions, RegionExchangeHooks aHooks);

  // The hosts that can coordinate each region.
  void SetHosts(const std::vector<std::vector<RegionHost>>& aHosts);
  // The usable slots of each service, by region.
  void SetCapacity(std::map<std::string, ServiceSlots> aSlots);
  DemandMeter& Meter() { return meter_; }
  void OnTick(TimePoint aNow);
  // Returns false if the message is of another type.
  bool OnMessage(const std::string& aBytes,
                 const std::string& aFrom,
                 TimePoint aNow);
  // The plan for this host's region; null if the service has no servers. Valid
  // until the next call of another function.
  const ServicePlan* PlanFor(const std::string& aService, TimePoint aNow) const;
  // The number of messages that were malformed, late or not expected.
  std::uint64_t Dropped() const { return dropped_; }
  std::uint64_t PlanVersion() const { return plan_.version_; }
  // Whether this host collected its region's demand, or computed the plan, in
  // the last interval.
  bool IsCoordinator() const { return coordinating_; }
  bool IsPlanner() const { return planning_; }

private:
  void SendReport(ReportReceiver& aReceiver,
                  const DemandReport& aReport,
                  DemandReports& aOwn,
                  TimePoint aNow);
  DemandReport SumOfHosts(TimePoint aNow) const;
  RoundTripMatrix RoundTrips() const;
  void ComputePlan(TimePoint aNow);
  void ReadRegions(TimePoint aNow);
  RegionPlan PlanOfRegion(std::size_t aRegion) const;
  void OnReport(DemandReport aReport, const std::string& aFrom, TimePoint aNow);
  void OnPlan(const PlanMessage& aMessage,
              const std::string& aFrom,
              TimePoint aNow);
  void UsePlan(const RegionPlan& aPlan, TimePoint aNow);
  void ReportChanges(TimePoint aNow);

  RegionExchangeOptions options_;
  RegionExchangeHooks hooks_;
  RegionMessageCodec codec_;
  DemandMeter meter_;
  ReportReceiver coordinator_;
  ReportReceiver planReceiver_;
  // By the sender's address; this host's own under an empty one.
  DemandReports hostReports_;
  DemandReports regionReports_;
  RegionPlanner planner_;
  // Registered hosts by region.
  std::vector<std::size_t> hostCounts_;
  std::map<std::string, ServiceSlots> slots_;
  // This region's shares by the registered slots.
  std::map<std::string, ServicePlan> bySlots_;
  RegionPlan plan_;
  // The time at which the plan was computed, by this host's clock.
  TimePoint plannedAt_ = TimePoint::min();
  std::uint64_t lastVersion_ = 0;
  bool coordinating_ = false;
  bool planning_ = false;
  // By service, as last reported: the kept share, and whether it was measured.
  std::map<std::string, std::pair<double, bool>> reported_;
  std::uint64_t dropped_ = 0;
};

}
