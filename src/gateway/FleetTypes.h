#pragma once

// Backend servers and hosts as registered in the platform's store.

#include "base/BootClock.h"
#include "gateway/RoutingTable.h"
#include "http/HttpTypes.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

// A backend server's registration.
struct InstanceRecord
{
  std::string id_;
  std::string service_;
  Address address_;
  std::string failureDomain_;
  int slots_ = 1;
  bool draining_ = false;
  // Remaining time for which the server is cold, from when the record was read.
  Duration coldLeft_{};
  // Heartbeat counter; restarts with each process of the server.
  std::uint64_t sequence_ = 0;
  // Start time of the server's process in Unix milliseconds; identifies the
  // process.
  std::int64_t born_ = 0;
};

// The fingerprint of a request that a host publishes, and the time from which
// the host's statement about it holds.
struct FingerprintRecord
{
  std::string fingerprint_;
  // Unix time in milliseconds.
  std::int64_t unixMs_ = 0;

  bool operator==(const FingerprintRecord& aOther) const
  {
    return fingerprint_ == aOther.fingerprint_ && unixMs_ == aOther.unixMs_;
  }
};

// A request during which servers died. Published through the store by a host
// that cannot notify the other hosts directly.
struct SuspicionRecord
{
  std::string fingerprint_;
  // Time of death in Unix milliseconds, by server.
  std::map<std::string, std::int64_t> deaths_;

  bool operator==(const SuspicionRecord& aOther) const
  {
    return fingerprint_ == aOther.fingerprint_ && deaths_ == aOther.deaths_;
  }
};

// An entry host's registration, stored under its lease.
struct HostRecord
{
  std::string name_;
  // Address for callers, as text.
  std::string callers_;
  // Address for other hosts, as text: datagrams about allowances, and
  // connections from hosts that follow this host's view.
  std::string peers_;
  std::string failureDomain_;
  std::string region_;
  bool draining_ = false;
  // The bandwidth of the host's link in Mbit/s; 0 if not known.
  double linkMbps_ = 0;
  // Fingerprints of requests that the host refuses because they crash backend
  // servers, of requests during which it saw servers die, and of requests that
  // it saw complete although another host suspects them.
  std::vector<FingerprintRecord> refused_;
  std::vector<SuspicionRecord> suspected_;
  std::vector<FingerprintRecord> completed_;
};

// An immutable snapshot of the control loop's state.
struct FleetSnapshot
{
  // Null until the first configuration is read.
  RoutingTablePtr table_;
  std::map<std::string, InstanceRecord> instances_;
  // When each instance's record was read; coldLeft_ counts from then.
  std::map<std::string, TimePoint> readAt_;
  // Evacuated failure domains; their backend servers receive no requests.
  std::set<std::string> evacuated_;
  // By name.
  std::map<std::string, HostRecord> hosts_;
  // Whether this host is registered.
  bool registered_ = false;
};

// The names of the registered hosts in a region, and their number.
std::vector<std::string>
HostsInRegion(const FleetSnapshot& aSnapshot, const std::string& aRegion);
std::size_t
CountHostsInRegion(const FleetSnapshot& aSnapshot, const std::string& aRegion);

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

std::string
EncodeHostRecord(const HostRecord& aHost);

// Returns nullopt for a malformed record.
std::optional<HostRecord>
DecodeHostRecord(const std::string& aName, const std::string& aBytes);

}
