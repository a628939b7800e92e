#pragma once

// The path of a request through an entry host: look-up, route, key, rate,
// choice of region and backend server, execution, retry, answer. Runs on the
// traffic thread. Decisions are made by hooks; this class keeps their order and
// states truthfully whether a refused request was run.
//
//   RequestPipeline pipeline(ioContext, options, hooks, relays, metrics);
//   pipeline.Handle(request);          // from a caller
//   pipeline.HandleRelayed(relayed);   // from a peer

#include "base/Metrics.h"
#include "config/Configuration.h"
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
  // An exchange without progress for longer is ended.
  Duration progressLimit_ = std::chrono::seconds(10);
  // Attempts on backend servers for one request, without those that a server
  // shed: a shed request waits in the queue until its deadline.
  int maxAttempts_ = 3;
};

// What a choice of backend server is made for.
struct ServerQuery
{
  ConfigurationPtr configuration_;
  const RouteConfig* route_ = nullptr;
  // Empty on a route that is open to all.
  std::string customer_;
  TimePoint deadline_;
  // Names of the backend servers that were tried for this request.
  std::set<std::string> tried_;
  bool relayed_ = false;
  // Relayed to this host because it holds the request's slot.
  bool forHolder_ = false;
  // The last attempt was shed by a backend server.
  bool shed_ = false;
  // Identifies equal requests, for the quarantine.
  std::string fingerprint_;
  // The time of the last choice.
  TimePoint chosenAt_;
  // Bytes of the head and of the body as far as they are known.
  double requestBytes_ = 0;
  // Regions that refused this request.
  std::vector<std::string> triedRegions_;
};

struct ServerChoice
{
  // Nothing when the request is refused.
  std::optional<BackendServerConfig> server_;
  Refusal refusal_;
};

struct RelayTarget
{
  std::string host_;
  std::string region_;
  // For the bytes of the request; null without a shift cap.
  RelayAllowancePtr allowance_;
  // Set when no region can serve the request; the rest is then empty.
  std::optional<Refusal> refusal_;
};

// The destination's decision about a relayed request.
struct RelayAdmission
{
  // Set when it is refused before it runs.
  std::optional<ErrorKind> refusal_;
  // For the bytes of the response; null without a shift cap.
  RelayAllowancePtr allowance_;
};

// Each hook runs on the traffic thread.
struct PipelineHooks
{
  // The configuration in force; null when there is none.
  std::function<ConfigurationPtr()> configuration_;
  // The body of the answer to a look-up.
  std::function<std::string(const std::string& aBlock)> lookup_;
  // The customer of the key in the Authorization header (null when there is
  // none), or nothing and the error.
  std::function<std::optional<std::string>(const std::string* aAuthorization,
                                           Error& aError)>
    authenticate_;
  // Takes a token from the customer's budget; a refusal when there is none.
  std::function<std::optional<Refusal>(const std::string& aCustomer)> admit_;
  // Calls back, now or later, with a backend server of this region.
  std::function<void(const ServerQuery&, std::function<void(ServerChoice)>)>
    chooseServer_;
  // Tells the outcome on a chosen server; runs once for each choice.
  std::function<
    void(const ServerQuery&, const BackendServerConfig&, const ExchangeResult&)>
    onExchange_;
  // A host of another region when the request must go there, a refusal, or
  // nothing when this region serves it.
  std::function<std::optional<RelayTarget>(const ServerQuery&)> chooseRelay_;
  // Reserves room for a request that must go to this host. The allowance is
  // null without a shift cap. False: the cap is reached. May be empty.
  std::function<bool(const std::string& aHost,
                     double aBytes,
                     RelayAllowancePtr& aAllowance)>
    reserveRelay_;
  // The region of the target did not run the request. May be empty.
  std::function<void(const std::string& aRegion)> onRelayRefused_;
  // Admits a request that a host of another region relays. Empty: all.
  std::function<RelayAdmission(const ServerQuery&,
                               const std::string& aFromRegion)>
    admitRelayed_;
  // Whether a further attempt may be made for an idempotent request or one
  // that was not run.
  std::function<bool(const ServerQuery&, const ExchangeResult&)> mayRetry_;
  // At-most-once execution of non-idempotent requests; null until the host has
  // a source of slot tenures. Such requests are then run without retry, and a
  // repeated one runs again.
  std::function<AtMostOnceService*()> atMostOnce_;
  // This host's name.
  std::string hostName_;
  // May be empty. The wait for a response after which the connection is
  // suspected and the request, when it may be repeated, moved to a new one.
  std::function<std::optional<Duration>(const ServerQuery&)> responseLimit_;
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
  // Requests that are not finished.
  std::size_t InFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

// The path of the look-up API.
constexpr char kLookupPath[] = "/.well-known/peridotsail/hosts";

}
