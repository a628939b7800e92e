#pragma once

// Dispatches requests to the backend servers of this host's region: server
// selection, queueing, retries, quarantine and probes. Connects the decision
// classes of this folder to the clock and the network. Must be used on the
// traffic thread only.
//
//   dispatcher.Choose(request, [](const BackendDecision& decision) { ... });
//   dispatcher.OnOutcome(request, server, outcome);  // once per selection

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
  // Computed by MakeFingerprint.
  std::string fingerprint_;
  TimePoint deadline_;
  std::set<std::string> tried_;
  // Whether the server shed the last attempt.
  bool shed_ = false;
};

struct BackendDecision
{
  // nullopt if the request was refused; it has then not been run.
  std::optional<BackendServerConfig> server_;
  ErrorKind refusal_ = ErrorKind::NoBackendServer;
  int retryAfterSeconds_ = 1;
};

struct BackendOutcome
{
  AttemptOutcome outcome_ = AttemptOutcome::Completed;
  // From the selection of the server to the end of the attempt.
  Duration time_{};
  // The connection made no progress. Not counted as a failure of the server.
  bool stalled_ = false;
};

struct BackendDispatcherOptions
{
  std::string region_;
  Duration probeInterval_ = std::chrono::seconds(1);
  Duration probeTimeout_ = std::chrono::seconds(1);
  // Interval between queue checks while requests are waiting.
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

  // Does nothing if the configuration is unchanged.
  void SetConfiguration(const ConfigurationPtr& aConfiguration);
  // Sets the names of the servers that the host list marks as leaving.
  void SetLeaving(const std::string& aPool, std::set<std::string> aServers);
  // Sets this host's position among the live hosts of the region.
  void SetHosts(int aRank, int aCount);
  // Whether the pool has an available server in this region.
  bool HasServer(const std::string& aPool) const;
  // Slots of the pool's available servers minus this host's running and queued
  // requests; negative if the queue is longer than the free slots.
  int FreeSlots(const std::string& aPool) const;
  // Calls back immediately, or once a server is free or the request is refused.
  void Choose(BackendRequest aRequest,
              std::function<void(const BackendDecision&)> aCallback);
  void OnOutcome(const BackendRequest& aRequest,
                 const std::string& aServer,
                 const BackendOutcome& aOutcome);
  // Takes a retry from the pool's budget and returns whether there was one. A
  // shed request needs none, because it returns to the queue.
  bool MayRetry(const BackendRequest& aRequest);
  // How long to wait for a response before the connection is treated as stalled
  // and the request moves to a new one. Returns nullopt if the request was
  // already tried on another server or the retry budget is exhausted.
  std::optional<Duration> ResponseTimeout(const BackendRequest& aRequest) const;
  void OnQuarantineNotice(const std::string& aPayload);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
