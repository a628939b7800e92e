#pragma once

// One request on its way through the pipeline. A part of RequestPipeline;
// included by its .cc files.

#include "proxy/BackendConnections.h"
#include "proxy/BackendExchange.h"
#include "proxy/BufferedRequest.h"
#include "proxy/RequestPipeline.h"

#include <memory>

namespace peridotsail {

struct RequestPipeline::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(boost::asio::io_context& aContext,
       PipelineOptions aOptions,
       PipelineHooks aHooks,
       RelayNode& aRelays,
       Metrics& aMetrics);

  void CountRefusal(ErrorKind aKind);

  detail::BackendConnections connections_;
  PipelineOptions options_;
  PipelineHooks hooks_;
  RelayNode& relays_;
  Metrics& metrics_;
  MetricCounter& requests_;
  MetricGauge& inFlightGauge_;
  MetricLatency& latency_;
  std::size_t inFlight_ = 0;
};

namespace detail {

class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(std::shared_ptr<RequestPipeline::Impl> aPipeline,
             IncomingRequestPtr aRequest);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void Start();
  void StartRelayed(const RelayedRequest& aRelayed);

private:
  void AnswerLookup();
  // Each check sends the refusal and returns false when it fails.
  bool CheckRoute();
  bool CheckBody();
  bool CheckKey();
  bool CheckIdempotencyKey();
  bool CheckRate();
  void SetDeadline();
  void Dispatch();
  // At-most-once execution, in OnceRun.cc. NeedsOnce is true when the request
  // takes that path.
  bool NeedsOnce() const;
  void StartOnce();
  void OnBodyRead(const std::optional<Error>& aError);
  void RelayToHolder();
  void OnClaimDecision(const ClaimDecision& aDecision,
                       AtMostOnceExecution aExecution);
  void SendRecorded(const RecordedOutcome& aOutcome);
  void FinishClaim(const ExchangeResult& aResult);
  void FinishClaim(const RelayResult& aResult);
  // Ends the claim of a request that reached no backend server.
  void AbandonClaim();
  void StartRelay(const RelayTarget& aTarget);
  void OnRelayDone(const std::string& aRegion, const RelayResult& aResult);
  // For a request that was relayed to the holder of its slot.
  void OnOnceRelayDone(const RelayResult& aResult);
  // Whether another region or this one may serve the request instead.
  bool MaySteerAgain(const RelayResult& aResult) const;
  bool CheckAdmission(const RelayedRequest& aRelayed);
  void ChooseServer();
  void Run(const BackendServerConfig& aServer);
  void OnExchangeDone(const BackendServerConfig& aServer,
                      const ExchangeResult& aResult);
  bool MayRetry(const ExchangeResult& aResult) const;
  void Refuse(const Refusal& aRefusal);
  void Finish(int aStatus);
  RequestHead ForwardedHead() const;

  std::shared_ptr<RequestPipeline::Impl> pipeline_;
  IncomingRequestPtr incoming_;
  ServerQuery query_;
  TimePoint start_;
  int attempts_ = 0;
  std::shared_ptr<BufferedRequest> buffered_;
  AtMostOnceExecution execution_;
  std::string onceKey_;
  bool once_ = false;
  int shedAttempts_ = 0;
};

}

}
