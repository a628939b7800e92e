#pragma once

// Hands requests to backend servers of this host's region: choice, queue,
// retries, quarantine and probes. Joins the pure decision classes of this
// folder with the clock and the network. Used on the traffic thread only.
//
//   dispatcher.Choose(request, [](const BackendDecision& decision) { ... });
//   dispatcher.OnOutcome(request, server, outcome);  // once for each choice

#include "backend/BackendPool.h"
#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "config/Configuration.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace peridotsail {

struct BackendRequest
{
  std::string pool_;
  std::string customer_;
  // From MakeFingerprint.
  std::string fingerprint_;
  TimePoint deadline_;
  std::set<std::string> tried_;
  // The last attempt was shed.
  bool shed_ = false;
};

struct BackendDecision
{
  // Nothing: refused and not run.
  std::optional<BackendServerConfig> server_;
  ErrorKind refusal_ = ErrorKind::NoBackendServer;
  int retryAfterSeconds_ = 1;
};

struct BackendOutcome
{
  AttemptOutcome outcome_ = AttemptOutcome::Completed;
  // From the choice to the end of the attempt.
  Duration time_{};
  // The connection made no progress. The server is not blamed.
  bool silent_ = false;
};

struct BackendDispatcherOptions
{
  std::string region_;
  Duration probeInterval_ = std::chrono::seconds(1);
  Duration probeTimeout_ = std::chrono::seconds(1);
  // How often queues are looked at while requests wait.
  Duration queueInterval_ = std::chrono::milliseconds(5);
};

class BackendDispatcher
{
public:
  // aSendNotice sends an encoded QuarantineNotice to all peers.
  BackendDispatcher(boost::asio::io_context& aContext,
                    BackendDispatcherOptions aOptions,
                    Metrics& aMetrics,
                    std::function<void(std::string)> aSendNotice);
  ~BackendDispatcher();
  BackendDispatcher(const BackendDispatcher&) = delete;
  BackendDispatcher& operator=(const BackendDispatcher&) = delete;

  // Cheap when the configuration is the same as before.
  void SetConfiguration(const ConfigurationPtr& aConfiguration);
  // Names of servers that the host list shows as leaving.
  void SetLeaving(const std::string& aPool, std::set<std::string> aServers);
  // This host's position among the live hosts of the region.
  void SetHosts(int aRank, int aCount);
  // False: no server of the pool in this region may get work.
  bool HasServer(const std::string& aPool) const;
  // Concurrent requests that the pool's servers can run beyond this host's own
  // ones and those that wait here; negative when more wait.
  int FreeSlots(const std::string& aPool) const;
  // Calls back at once or when a server is free or the request is refused.
  void Choose(BackendRequest aRequest,
              std::function<void(const BackendDecision&)> aCallback);
  void OnOutcome(const BackendRequest& aRequest,
                 const std::string& aServer,
                 const BackendOutcome& aOutcome);
  // Takes a retry from the pool's budget. A shed request needs none: it waits
  // in the queue.
  bool MayRetry(const BackendRequest& aRequest);
  // The wait for a response after which the connection is suspected and the
  // request moved to a new one; nothing when the budget has no retry left.
  std::optional<Duration> ResponseLimit(const BackendRequest& aRequest) const;
  void OnNotice(const std::string& aPayload);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
