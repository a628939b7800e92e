#pragma once

// The active routing configuration on the members' platform: routes, services,
// customers and limits. Immutable after construction; shared between threads as
// RoutingTablePtr.
//
//   const GatewayRoute* route = table->FindRoute(host, path);
//   const GatewayCustomer* customer = table->FindCustomer(key);

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotsail {

// Whether a request may be repeated, and where its payload is large. Uploads
// are non-idempotent requests with large bodies; downloads are idempotent
// requests with large responses.
enum class RequestKind
{
  Safe,
  Unsafe,
  Upload,
  Download,
};

// Returns whether a request of this kind may be executed more than once.
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
  // The target latency: within it, a response has its full value for the
  // caller.
  Duration targetLatency_{};
  // 0 is the highest priority.
  int priority_ = 0;
  // Requires no key.
  bool open_ = false;
  // Responses are faster from a backend server that handled the object before.
  bool sticky_ = false;
  // One service, or several that share the requests by weight. If empty, the
  // route is unusable, and its requests must not match a route with a shorter
  // prefix instead.
  std::vector<WeightedService> services_;
  // The upper bound of a request's deadline; zero: no limit.
  Duration timeout_{};
  // The maximum number of attempts for one request, each at a different backend
  // server.
  int maxAttempts_ = 1;
  // Empty: any region.
  std::vector<std::string> homeRegions_;
};

struct GatewayService
{
  std::string name_;
  // Connections that one backend server accepts from all hosts together.
  int maxConnections_ = 0;
  // Requests per second that a cold backend server can handle from all hosts
  // together.
  double coldPerSecond_ = 0;
};

struct GatewayCustomer
{
  std::string name_;
  std::vector<std::string> keys_;
  // Takes precedence over the route's priority.
  std::optional<int> priority_;
  // Requests per second over all hosts; zero: no limit.
  double ratePerSecond_ = 0;
  double burst_ = 0;
  std::vector<std::string> homeRegions_;
};

// Limits on what a caller may send.
struct GatewayLimits
{
  std::size_t maxHeaderBytes_ = 16 << 10;
  std::size_t maxBodyBytes_ = 64 << 20;
  Duration headerTimeout_ = std::chrono::seconds(3);
  Duration idleTimeout_ = std::chrono::seconds(15);
};

// The data from which a table is built.
struct RoutingTableParts
{
  std::uint64_t version_ = 0;
  GatewayLimits limits_;
  // Keyed by the value of the Host header, in lower case.
  std::map<std::string, std::vector<GatewayRoute>> routes_;
  std::vector<GatewayService> services_;
  std::vector<GatewayCustomer> customers_;
  // Requests on routes that are not open require a key, even if no customer
  // entry is usable.
  bool keysRequired_ = false;
};

class RoutingTable
{
public:
  explicit RoutingTable(RoutingTableParts aParts);

  std::uint64_t Version() const { return parts_.version_; }
  const GatewayLimits& Limits() const { return parts_.limits_; }
  // Returns the route of the host with the longest matching path prefix, or
  // null.
  const GatewayRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;
  const GatewayService* FindService(const std::string& aName) const;
  const GatewayCustomer* FindCustomer(const std::string& aKey) const;
  // Returns whether requests of different priorities lead to the service.
  bool HasRanks(const std::string& aService) const;
  // Returns whether slow work can keep a backend server of the service busy
  // while urgent work of a higher priority waits.
  bool MixesUrgentAndSlowWork(const std::string& aService) const;
  // Returns the rank of a priority: the number of higher ones that routes and
  // customers of this configuration have.
  int RankOf(int aPriority) const;
  bool KeysRequired() const { return parts_.keysRequired_; }
  const std::vector<GatewayCustomer>& Customers() const
  {
    return parts_.customers_;
  }

private:
  // Fills mixedServices_.
  void FindMixedServices();

  RoutingTableParts parts_;
  std::unordered_map<std::string, std::size_t> customerOfKey_;
  // The priorities of the routes that lead to each service, and all.
  std::unordered_map<std::string, std::set<int>> priorities_;
  std::set<std::string> mixedServices_;
  std::set<int> allPriorities_;
  bool customersHavePriorities_ = false;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}
