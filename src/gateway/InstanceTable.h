#pragma once

// What this host knows of each backend server: its registration, the requests
// that this host has there, the load that it reports and its recent failures.
// Used on the traffic thread only.
//
//   table.Apply(snapshot, now);
//   for (Instance* instance : table.OfService("inbox")) { ... }

#include "base/BootClock.h"
#include "gateway/FleetTypes.h"
#include "gateway/QueueEstimate.h"
#include "gateway/RegionShare.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

// How one request at a backend server ended, as far as its health is concerned.
enum class InstanceSignal
{
  Success,
  // The server refused the request without running it.
  Shed,
  // The server ran the request and failed, or sent a broken answer.
  Failure,
  // The connection could not be opened; the server is left out at once.
  Unreachable,
  // The connection ended or went silent during the request.
  ConnectionLost,
};

struct InstanceHealthOptions
{
  // Weight of the newest request in the failure rate.
  double weight_ = 0.15;
  // A server whose failure rate is higher is left out for a while.
  double failureLimit_ = 0.5;
  // The rate at which a server returns; a few successes clear it.
  double rateAtReturn_ = 0.25;
  // The pause doubles with each failed return.
  Duration firstPause_ = std::chrono::milliseconds(1000);
  Duration longestPause_ = std::chrono::seconds(8);
  // No more than this part of a service's servers is left out for failures, a
  // common limit of outlier ejection: where most fail, the others would take
  // their load as well and run their objects cold. Servers that cannot be
  // reached are left out without this limit.
  double mostLeftOut_ = 0.3;
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
  // Left out because of failures.
  bool IsPaused(TimePoint aNow) const { return aNow < pausedUntil_; }
  bool IsUsable(TimePoint aNow) const;
  // The server said in an answer that it leaves: this host sends it nothing any
  // more in this lifetime of the server.
  void SetLeaving();
  // The server asked this host for a rest.
  void SetResting(TimePoint aUntil);

  // The requests of this host at the server and its queue.
  QueueEstimate queue_;

private:
  friend class InstanceTable;

  // Counts an outcome; whether the server should be left out for it.
  bool Count(InstanceSignal aSignal, const InstanceHealthOptions& aOptions);
  void Pause(TimePoint aNow, const InstanceHealthOptions& aOptions);

  InstanceRecord record_;
  std::string region_;
  std::uint64_t idHash_ = 0;
  TimePoint coldUntil_ = TimePoint::min();
  TimePoint pausedUntil_ = TimePoint::min();
  Duration pause_{};
  double failureRate_ = 0;
  // False once the registration is gone.
  bool registered_ = true;
  bool evacuated_ = false;
  bool leaving_ = false;
  TimePoint restsUntil_ = TimePoint::min();
};

using InstancePtr = std::shared_ptr<Instance>;

class InstanceTable
{
public:
  // aRegions gives the region of each failure domain, aRegion is this host's.
  InstanceTable(std::map<std::string, std::string> aRegions,
                std::string aRegion);

  // Takes over a snapshot; servers that are no longer in it are not offered
  // again, but stay alive while requests refer to them.
  void Apply(const FleetSnapshot& aSnapshot);
  const std::vector<InstancePtr>& OfService(const std::string& aService) const;
  // Learns from the outcome of a request at a server.
  void Learn(Instance& aInstance,
             InstanceSignal aSignal,
             TimePoint aNow,
             const InstanceHealthOptions& aOptions) const;
  // The slots of the service here and in all regions.
  RegionCapacity Room(const std::string& aService) const;

private:
  void CountSlots();
  void ApplyRecord(const InstanceRecord& aRecord,
                   TimePoint aReadAt,
                   const FleetSnapshot& aSnapshot);

  std::map<std::string, std::string> regions_;
  std::string region_;
  std::map<std::string, InstancePtr> instances_;
  std::map<std::string, std::vector<InstancePtr>> byService_;
  std::map<std::string, RegionCapacity> rooms_;
  std::size_t regionCount_ = 1;
};

}
