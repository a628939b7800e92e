#pragma once

// Private implementation of BackendDispatcher, shared by its .cc files.

#include "backend/BackendDispatcher.h"
#include "backend/ConnectionHealth.h"
#include "backend/FairQueue.h"
#include "backend/Quarantine.h"
#include "backend/RetryBudget.h"
#include "http/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace peridotsail {

struct BackendDispatcher::Impl : public std::enable_shared_from_this<Impl>
{
  using Callback = std::function<void(const BackendDecision&)>;

  struct Pool
  {
    explicit Pool(std::uint64_t aSeed)
      : pool_(BackendPoolOptions{}, aSeed)
    {
    }
    BackendPool pool_;
    FairQueue queue_;
    RetryBudget retryBudget_;
    AdaptiveResponseTimeout responseTimeout_;
    PoolConfig config_;
    std::map<std::string, BackendServerConfig> servers_;
    std::set<std::string> listedLeaving_;
    std::map<std::string, std::string> loggedStates_;
  };

  struct Waiting
  {
    BackendRequest request_;
    Callback callback_;
    // Waits for a quarantine decision instead of a free server.
    bool awaitsQuarantine_ = false;
  };

  Impl(boost::asio::io_context& aContext,
       BackendDispatcherOptions aOptions,
       Metrics& aMetrics,
       std::function<void(std::string)> aSendNotice)
    : context_(aContext)
    , options_(std::move(aOptions))
    , sendNotice_(std::move(aSendNotice))
    , client_(aContext, {})
    , probeTimer_(aContext)
    , queueTimer_(aContext)
    , shed_(aMetrics.Counter("peridotsail_backend_shed_total",
                             "Requests that backend servers shed."))
    , retries_(aMetrics.Counter("peridotsail_backend_retries_total",
                                "Further attempts after a failure."))
    , quarantined_(aMetrics.Counter("peridotsail_quarantine_refused_total",
                                    "Requests refused by the quarantine."))
    , waitingGauge_(aMetrics.Gauge("peridotsail_backend_waiting",
                                   "Requests that wait for a backend server."))
  {
  }

  void Configure(Pool& aPool, const PoolConfig& aConfig, TimePoint aNow);
  void Choose(BackendRequest aRequest, Callback aCallback);
  // Returns false if the request was refused or waits for a quarantine
  // decision.
  bool PassesQuarantine(BackendRequest& aRequest, Callback& aCallback);
  bool Dispatch(const BackendRequest& aRequest, const Callback& aCallback);
  void Enqueue(Pool& aPool, BackendRequest aRequest, Callback aCallback);
  void Refuse(const std::vector<QueueRefusal>& aRefused);
  void DrainQueue(Pool& aPool);
  void RecheckQuarantine();
  void ArmQueueTimer();
  void ArmProbeTimer();
  void ProbeAll();
  void ProbeHealth(const std::string& aPool,
                   const BackendServerConfig& aServer);
  void ReadLoad(const std::string& aPool, const BackendServerConfig& aServer);
  // Tries to open a connection, which distinguishes a dead server from a slow
  // one.
  void ProbeConnection(const std::string& aPool,
                       const BackendServerConfig& aServer,
                       std::optional<ProbeResult> aResultIfOpen);
  // nullopt means that the server accepts connections and nothing else is
  // known.
  void OnProbeResult(const std::string& aPool,
                     const std::string& aServer,
                     std::optional<ProbeResult> aResult,
                     TimePoint aStartedAt);
  void LogStateChanges(Pool& aPool);

  boost::asio::io_context& context_;
  BackendDispatcherOptions options_;
  std::function<void(std::string)> sendNotice_;
  HttpClient client_;
  boost::asio::steady_timer probeTimer_;
  boost::asio::steady_timer queueTimer_;
  MetricCounter& shed_;
  MetricCounter& retries_;
  MetricCounter& quarantined_;
  MetricGauge& waitingGauge_;
  ConfigurationPtr configuration_;
  std::map<std::string, Pool> pools_;
  Quarantine quarantine_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t lastId_ = 0;
  int hostRank_ = 0;
  int hostCount_ = 1;
  bool queueTimerArmed_ = false;
  bool probing_ = false;
};

}
