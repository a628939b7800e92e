#pragma once

// The parsed configuration document. Created from JSON by ConfigurationParser;
// immutable afterwards and shared between threads as a ConfigurationPtr.

#include "base/BootClock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct RegionConfig
{
  std::string name_;
  std::vector<std::string> failureDomains_;
  // Number of host slots; each holds an equal share of every budget.
  int slots_ = 0;
  // Maximum number of requests per second routed to the region; 0 means no
  // limit.
  double capacityPerSecond_ = 0;
};

struct PoolConfig
{
  std::string name_;
  std::string healthPath_ = "/health";
  std::string loadPath_ = "/load";
  // Time over which the load on a new or recovered backend server is raised to
  // its full capacity.
  Duration warmUp_{};
};

struct BackendServerConfig
{
  std::string name_;
  std::string pool_;
  std::string region_;
  std::string failureDomain_;
  // IP address and port.
  std::string address_;
  // Number of requests that the server runs concurrently.
  int slots_ = 1;
  // Number of open connections that the server accepts.
  int connections_ = 400;
};

struct RouteConfig
{
  std::string name_;
  // A path matches if it equals the prefix or continues it after a slash.
  std::string prefix_;
  // Empty means all methods.
  std::vector<std::string> methods_;
  std::string pool_;
  // Served without a key.
  bool open_ = false;
  // If false, the route requires an Idempotency-Key and executes each request
  // at most once.
  bool idempotent_ = true;
  Duration timeout_ = std::chrono::seconds(10);
  std::uint64_t maxBodyBytes_ = 1 << 20;
};

struct CustomerConfig
{
  std::string name_;
  // Requests per second, summed over all hosts.
  double ratePerSecond_ = 0;
  // Number of requests above the rate that may arrive at the same time.
  double burst_ = 0;
};

struct KeyConfig
{
  std::string id_;
  std::string customer_;
  // SHA-256 of the secret, 64 hexadecimal digits.
  std::string sha256_;
  bool withdrawn_ = false;
};

struct ShiftCapConfig
{
  std::string from_;
  std::string to_;
  double mbitPerSecond_ = 0;
};

enum class DrainKind
{
  Host,
  BackendServer,
  Region,
};

struct DrainConfig
{
  DrainKind kind_ = DrainKind::Host;
  std::string name_;
};

class Configuration
{
public:
  std::int64_t version_ = 0;
  std::vector<RegionConfig> regions_;
  std::vector<PoolConfig> pools_;
  std::vector<BackendServerConfig> backendServers_;
  std::vector<RouteConfig> routes_;
  std::vector<CustomerConfig> customers_;
  std::vector<KeyConfig> keys_;
  std::vector<ShiftCapConfig> shiftCaps_;
  std::vector<DrainConfig> drains_;

  const RegionConfig* FindRegion(std::string_view aName) const;
  const PoolConfig* FindPool(std::string_view aName) const;
  const CustomerConfig* FindCustomer(std::string_view aName) const;
  // The route with the longest matching prefix, or null. aPath must not contain
  // a query.
  const RouteConfig* FindRoute(std::string_view aPath) const;
  const ShiftCapConfig* FindShiftCap(std::string_view aFrom,
                                     std::string_view aTo) const;
  bool IsDraining(DrainKind aKind, std::string_view aName) const;
  // The total number of host slots in all regions.
  int TotalSlots() const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

std::string_view
NameOf(DrainKind aKind);

}
