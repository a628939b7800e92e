#pragma once

// Processes requests on an entry host: lookup, routing, authentication, rate
// limiting, choice of region and backend server, execution, retries and
// response. Used on the traffic thread. Hooks make the decisions; this class
// applies them in order and ensures that a refusal reports correctly whether
// the request was executed.
//
//   RequestPipeline pipeline(ioContext, options, hooks, relays, metrics);
//   pipeline.Handle(request);          // from a caller
//   pipeline.HandleRelayed(relayed);   // from a peer

#include "base/Metrics.h"
#include "config/Configuration.h"
#include "memory/MemoryPool.h"
#include "once/AtMostOnceService.h"
#include "proxy/ExchangeResult.h"
#include "proxy/IncomingRequest.h"
#include "proxy/Refusal.h"
#include "proxy/RelayNode.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct PipelineOptions
{
  // An exchange without progress for longer fails.
  Duration progressTimeout_ = std::chrono::seconds(10);
  // Maximum attempts per request. Attempts that a backend server shed do not
  // count, because a shed request waits in the queue until its deadline.
  int maxAttempts_ = 3;
  // Accounts for bodies that are buffered. Null if nothing does.
  MemoryPool* memory_ = nullptr;
};

// The request for which a backend server or region is to be chosen.
struct ServerQuery
{
  ConfigurationPtr configuration_;
  const RouteConfig* route_ = nullptr;
  // Empty on an open route, which requires no key.
  std::string customer_;
  TimePoint deadline_;
  // Names of the backend servers that have been tried.
  std::set<std::string> tried_;
  bool relayed_ = false;
  // Relayed to this host because it holds the request's slot.
  bool forHolder_ = false;
  // A backend server shed the last attempt.
  bool shed_ = false;
  // Identifies equal requests, for the quarantine.
  std::string fingerprint_;
  // When the last backend server was chosen.
  TimePoint chosenAt_;
  // Size of the head, plus the body if its length is known.
  double requestBytes_ = 0;
  // Regions that the request was relayed to without being executed.
  std::vector<std::string> triedRegions_;
};

struct ServerChoice
{
  // Absent when the request is refused.
  std::optional<BackendServerConfig> server_;
  Refusal refusal_;
};

struct RelayTarget
{
  std::string host_;
  std::string region_;
  // Limits the bytes of the request; null without a shift cap.
  RelayAllowancePtr allowance_;
  // Set when no region can serve the request; the other fields are then empty.
  std::optional<Refusal> refusal_;
};

// The destination's decision whether to accept a relayed request.
struct RelayAdmission
{
  // Set when the request is refused.
  std::optional<ErrorKind> refusal_;
  // Limits the bytes of the response; null without a shift cap.
  RelayAllowancePtr allowance_;
};

// All hooks are called on the traffic thread.
struct PipelineHooks
{
  // Returns the configuration in force, or null.
  std::function<ConfigurationPtr()> configuration_;
  // Returns the response body of a lookup.
  std::function<std::string(const std::string& aBlock)> lookup_;
  // Returns the customer of the key in the Authorization header, or nothing and
  // sets the error. aAuthorization is null when the header is missing.
  std::function<std::optional<std::string>(const std::string* aAuthorization,
                                           Error& aError)>
    authenticate_;
  // Takes a token from the customer's budget, or returns a refusal.
  std::function<std::optional<Refusal>(const std::string& aCustomer)> admit_;
  // Calls back, possibly before it returns, with a backend server of this
  // region.
  std::function<void(const ServerQuery&, std::function<void(ServerChoice)>)>
    chooseServer_;
  // Reports the outcome on a chosen server; called once per choice.
  std::function<
    void(const ServerQuery&, const BackendServerConfig&, const ExchangeResult&)>
    onExchange_;
  // Returns a host in another region to relay the request to, a refusal, or
  // nothing when this region serves the request.
  std::function<std::optional<RelayTarget>(const ServerQuery&)> chooseRelay_;
  // Reserves bytes of the shift cap for a request that must be relayed to this
  // host. Returns false when the cap is reached; sets the allowance to null if
  // there is no cap. Optional.
  std::function<bool(const std::string& aHost,
                     double aBytes,
                     RelayAllowancePtr& aAllowance)>
    reserveRelay_;
  // Called when a region has refused a relayed request. Optional.
  std::function<void(const std::string& aRegion)> onRelayRefused_;
  // Decides whether to accept a request that a host of another region relays.
  // If empty, all are accepted.
  std::function<RelayAdmission(const ServerQuery&,
                               const std::string& aFromRegion)>
    admitRelayed_;
  // Whether another attempt may be made. Called only for requests that are
  // idempotent or were not executed.
  std::function<bool(const ServerQuery&, const ExchangeResult&)> mayRetry_;
  // Returns the service for at-most-once execution, or null as long as the host
  // has no source of slot leases. Without it the host retries a non-idempotent
  // request only if it was not executed and its body has not been read, and a
  // request that the caller repeats is executed again.
  std::function<AtMostOnceService*()> atMostOnce_;
  // This host's name.
  std::string hostName_;
  // Returns how long to wait for a response before the connection is suspected
  // and the request, if it may be retried, moves to a new connection. Optional.
  std::function<std::optional<Duration>(const ServerQuery&)> responseTimeout_;
};

class RequestPipeline
{
public:
  RequestPipeline(boost::asio::io_context& aContext,
                  PipelineOptions aOptions,
                  PipelineHooks aHooks,
                  RelayNode& aRelays,
                  Metrics& aMetrics);
  ~RequestPipeline();
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;

  void Handle(IncomingRequestPtr aRequest);
  void HandleRelayed(const RelayedRequest& aRelayed);
  // The number of unfinished requests.
  std::size_t InFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

// The path of the lookup API.
constexpr char kLookupPath[] = "/.well-known/peridotsail/hosts";

}
