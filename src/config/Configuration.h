#pragma once

// The configuration document in typed form. ConfigurationParser makes it from
// JSON; it is immutable afterwards and shared between threads as a
// ConfigurationPtr.

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
  // Number of host slots; each carries an equal share of every budget.
  int slots_ = 0;
  // Requests per second that the region may be given; 0 means no limit.
  double capacityPerSecond_ = 0;
};

struct PoolConfig
{
  std::string name_;
  std::string healthPath_ = "/health";
  std::string loadPath_ = "/load";
  // Time over which a new or returned backend server is brought to full use.
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
  // Concurrent requests that the server runs.
  int slots_ = 1;
  // Open connections that the server accepts.
  int connections_ = 400;
};

struct RouteConfig
{
  std::string name_;
  // A path matches when it is the prefix or continues it after a slash.
  std::string prefix_;
  // Empty means all methods.
  std::vector<std::string> methods_;
  std::string pool_;
  // Served without a key.
  bool open_ = false;
  // False: the route requires an Idempotency-Key and runs a request at most
  // once.
  bool idempotent_ = true;
  Duration timeout_ = std::chrono::seconds(10);
  std::uint64_t maxBodyBytes_ = 1 << 20;
};

struct CustomerConfig
{
  std::string name_;
  // Requests per second over all hosts together.
  double ratePerSecond_ = 0;
  // Requests above the rate that may come at once.
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
  // The route with the longest matching prefix, or null. aPath has no query.
  const RouteConfig* FindRoute(std::string_view aPath) const;
  const ShiftCapConfig* FindShiftCap(std::string_view aFrom,
                                     std::string_view aTo) const;
  bool IsDraining(DrainKind aKind, std::string_view aName) const;
  // The number of host slots of all regions together.
  int TotalSlots() const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

std::string_view
NameOf(DrainKind aKind);

}
