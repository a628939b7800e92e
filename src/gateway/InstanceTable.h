#pragma once

// The state of each backend server as seen by this host: its registration, this
// host's outstanding requests, the load that the server reports and its recent
// failures. Used on the traffic thread only.
//
//   table.Apply(snapshot);
//   for (const InstancePtr& instance : table.OfService("inbox")) { ... }

#include "base/BootClock.h"
#include "gateway/FleetTypes.h"
#include "regions/RegionShare.h"
#include "slots/QueueEstimate.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

// How a request to a backend server ended, for health tracking.
enum class InstanceOutcome
{
  Success,
  // The server refused the request without executing it.
  Shed,
  // The server executed the request and failed, or sent an invalid response.
  Failure,
  // The connection could not be opened. The server is ejected at once.
  Unreachable,
  // The connection was closed or timed out during the request.
  ConnectionLost,
};

struct InstanceHealthOptions
{
  // Smoothing factor of the failure rate (exponentially weighted moving
  // average).
  double smoothing_ = 0.15;
  // A server with a higher failure rate is ejected for a while.
  double failureThreshold_ = 0.5;
  // The failure rate that a server starts with after an ejection; a few
  // successes clear it.
  double failureRateAfterEjection_ = 0.25;
  // The ejection time; it doubles with each consecutive ejection.
  Duration initialEjectionTime_ = std::chrono::milliseconds(1000);
  Duration maxEjectionTime_ = std::chrono::seconds(8);
  // At most this fraction of a service's servers is ejected for failures, a
  // common limit of outlier ejection: where most servers fail, the others would
  // have to take over that load and serve objects that are not in their caches.
  // Unreachable servers are ejected regardless of this limit.
  double maxEjectedFraction_ = 0.3;
};

class Instance
{
public:
  explicit Instance(InstanceRecord aRecord);

  const InstanceRecord& Record() const { return record_; }
  const std::string& Region() const { return region_; }
  // The same on all hosts that run the same build.
  std::uint64_t IdHash() const { return idHash_; }
  bool IsCold(TimePoint aNow) const { return aNow < coldUntil_; }
  // Returns whether the server is ejected because of failures.
  bool IsEjected(TimePoint aNow) const { return aNow < ejectedUntil_; }
  bool IsUsable(TimePoint aNow) const;
  // Called when the server announced its shutdown in a response: this host
  // sends it no further requests until it is restarted.
  void SetShuttingDown();
  // Called when the server asked this host to send no requests until aUntil.
  void SetBackoff(TimePoint aUntil);

  // This host's outstanding requests at the server and the server's queue.
  QueueEstimate queue_;

private:
  friend class InstanceTable;

  // Updates the failure rate. Returns whether the server should be ejected.
  bool UpdateFailureRate(InstanceOutcome aOutcome,
                         const InstanceHealthOptions& aOptions);
  void Eject(TimePoint aNow, const InstanceHealthOptions& aOptions);

  InstanceRecord record_;
  std::string region_;
  std::uint64_t idHash_ = 0;
  TimePoint coldUntil_ = TimePoint::min();
  TimePoint ejectedUntil_ = TimePoint::min();
  Duration ejectionTime_{};
  double failureRate_ = 0;
  // False once the server is no longer registered.
  bool registered_ = true;
  bool evacuated_ = false;
  bool shuttingDown_ = false;
  TimePoint backoffUntil_ = TimePoint::min();
};

using InstancePtr = std::shared_ptr<Instance>;

class InstanceTable
{
public:
  // aRegions maps each failure domain to its region; aRegion is this host's
  // region.
  InstanceTable(std::map<std::string, std::string> aRegions,
                std::string aRegion);

  // Applies a snapshot. Servers that are no longer in it are not selected
  // again, but stay alive while requests refer to them.
  void Apply(const FleetSnapshot& aSnapshot);
  const std::vector<InstancePtr>& OfService(const std::string& aService) const;
  // Null if no server with this id is registered.
  InstancePtr Find(const std::string& aId) const;
  // Updates the health of a server from the outcome of a request.
  void RecordOutcome(Instance& aInstance,
                     InstanceOutcome aOutcome,
                     TimePoint aNow,
                     const InstanceHealthOptions& aOptions) const;
  // Returns the slots of the service in this region and in all regions.
  RegionCapacity Capacity(const std::string& aService) const;
  // The same, by service.
  const std::map<std::string, RegionCapacity>& Capacities() const
  {
    return capacities_;
  }

private:
  void UpdateCapacities();
  void ApplyRecord(const InstanceRecord& aRecord,
                   TimePoint aReadAt,
                   const FleetSnapshot& aSnapshot);

  std::map<std::string, std::string> regions_;
  std::string region_;
  std::map<std::string, InstancePtr> instances_;
  std::map<std::string, std::vector<InstancePtr>> byService_;
  std::map<std::string, RegionCapacity> capacities_;
  std::size_t regionCount_ = 1;
};

}
