#pragma once

// The routing configuration in force on the members' platform: hosts' routes,
// services, customers and limits. Immutable once built; shared between threads
// as RoutingTablePtr.
//
//   const GatewayRoute* route = table->FindRoute(host, path);
//   const GatewayCustomer* customer = table->FindCustomer(key);

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotsail {

// What may be repeated. Uploads are non-idempotent requests with large bodies,
// downloads are idempotent requests with large answers.
enum class RequestKind
{
  Safe,
  Unsafe,
  Upload,
  Download,
};

// Whether a request of the kind may run more than once.
bool
IsIdempotent(RequestKind aKind);

std::string_view
NameOf(RequestKind aKind);

std::optional<RequestKind>
RequestKindFromName(std::string_view aName);

struct WeightedService
{
  std::string service_;
  double weight_ = 1;
};

struct GatewayRoute
{
  std::string name_;
  // Begins and ends with a slash.
  std::string prefix_;
  RequestKind kind_ = RequestKind::Unsafe;
  // The time within which an answer has its full worth for the caller.
  Duration targetLatency_{};
  // 0 is the most urgent.
  int priority_ = 0;
  // Needs no key.
  bool open_ = false;
  // Answers are faster from a backend server that handled the object before.
  bool sticky_ = false;
  // One service, or several that share the requests by weight. None: the route
  // cannot be used, and must not fall to one with a shorter prefix either.
  std::vector<WeightedService> services_;
  // The longest time for which a caller is kept waiting; zero: no limit.
  Duration timeout_{};
  // Backend servers to which one request may be sent.
  int maxAttempts_ = 1;
  // Empty: any region.
  std::vector<std::string> homeRegions_;
};

struct GatewayService
{
  std::string name_;
  // Connections that one backend server accepts from all hosts together.
  int maxConnections_ = 0;
  // Requests a second that a cold backend server bears from all hosts.
  double coldPerSecond_ = 0;
};

struct GatewayCustomer
{
  std::string name_;
  std::vector<std::string> keys_;
  // Takes precedence over the route's priority.
  std::optional<int> priority_;
  // Requests a second over all hosts; zero: no limit.
  double ratePerSecond_ = 0;
  double burst_ = 0;
  std::vector<std::string> homeRegions_;
};

// Bounds of what a caller may send.
struct GatewayLimits
{
  std::size_t maxHeaderBytes_ = 16 << 10;
  std::size_t maxBodyBytes_ = 64 << 20;
  Duration headerTimeout_ = std::chrono::seconds(3);
  Duration idleTimeout_ = std::chrono::seconds(15);
};

// The parts from which a table is built.
struct RoutingTableParts
{
  std::uint64_t version_ = 0;
  GatewayLimits limits_;
  // By the value of the Host header.
  std::map<std::string, std::vector<GatewayRoute>> routes_;
  std::vector<GatewayService> services_;
  std::vector<GatewayCustomer> customers_;
  // Requests on routes that are not open need a key. Holds also when no
  // customer can be used.
  bool keysRequired_ = false;
};

class RoutingTable
{
public:
  explicit RoutingTable(RoutingTableParts aParts);

  std::uint64_t Version() const { return parts_.version_; }
  const GatewayLimits& Limits() const { return parts_.limits_; }
  // The route of the host with the longest prefix of the path, or null.
  const GatewayRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;
  const GatewayService* FindService(const std::string& aName) const;
  const GatewayCustomer* FindCustomer(const std::string& aKey) const;
  bool KeysRequired() const { return parts_.keysRequired_; }
  const std::vector<GatewayCustomer>& Customers() const
  {
    return parts_.customers_;
  }

private:
  RoutingTableParts parts_;
  std::unordered_map<std::string, std::size_t> customerOfKey_;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}
