#pragma once

// What the platform's store says of backend servers and hosts.

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
  // How long the server stays cold, counted from when the record was read.
  Duration coldLeft_{};
  // Counts the server's heartbeats within one lifetime.
  std::uint64_t sequence_ = 0;
  // Unix time of the server's start in milliseconds; names its lifetime.
  std::int64_t born_ = 0;
};

// A request that a host publishes something of, and since when.
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

// A request under which servers died, as a host publishes it that cannot tell
// other hosts directly.
struct SuspicionRecord
{
  std::string fingerprint_;
  // By server: the Unix time of its death in milliseconds.
  std::map<std::string, std::int64_t> deaths_;

  bool operator==(const SuspicionRecord& aOther) const
  {
    return fingerprint_ == aOther.fingerprint_ && deaths_ == aOther.deaths_;
  }
};

// An entry host's registration, under its lease.
struct HostRecord
{
  std::string name_;
  // Where callers connect, as text.
  std::string callers_;
  // Where the host listens for other hosts, as text: datagrams about
  // allowances, and connections that follow its view.
  std::string peers_;
  std::string failureDomain_;
  std::string region_;
  bool draining_ = false;
  // Requests that it refuses because they crash backend servers, those under
  // which it saw servers die, and those that it saw complete although another
  // host suspects them.
  std::vector<FingerprintRecord> refused_;
  std::vector<SuspicionRecord> suspected_;
  std::vector<FingerprintRecord> completed_;
};

// All that the control loop knows, as an immutable snapshot.
struct FleetSnapshot
{
  // Null until the first configuration is read.
  RoutingTablePtr table_;
  std::map<std::string, InstanceRecord> instances_;
  // When each instance's record was read, for its coldLeft_.
  std::map<std::string, TimePoint> readAt_;
  // Failure domains whose backend servers get nothing.
  std::set<std::string> evacuated_;
  // By name.
  std::map<std::string, HostRecord> hosts_;
  // This host is registered under a lease.
  bool registered_ = false;
};

// The registered hosts of a region.
std::size_t
CountHostsInRegion(const FleetSnapshot& aSnapshot, const std::string& aRegion);

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

std::string
EncodeHostRecord(const HostRecord& aHost);

// Nothing for a record that cannot be read.
std::optional<HostRecord>
DecodeHostRecord(const std::string& aName, const std::string& aBytes);

}
