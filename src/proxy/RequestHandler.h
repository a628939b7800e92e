#pragma once

// Processes one request. Internal to RequestPipeline.

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

class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
  RequestHandler(std::shared_ptr<RequestPipeline::Impl> aPipeline,
                 IncomingRequestPtr aRequest);
  ~RequestHandler();
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void Start();
  void StartRelayed(const RelayedRequest& aRelayed);

private:
  void AnswerLookup();
  // Each check returns false and sends a refusal when it fails.
  bool CheckRoute();
  bool CheckBody();
  bool CheckKey();
  bool CheckIdempotencyKey();
  bool CheckRate();
  void SetDeadline();
  void Dispatch();
  // At-most-once execution, implemented in RequestHandlerAtMostOnce.cc. Whether
  // the request requires it and the host provides it.
  bool NeedsAtMostOnce() const;
  void StartAtMostOnce();
  void OnBodyRead(const std::optional<Error>& aError);
  void RelayToSlotHolder();
  void OnClaimDecision(const ClaimDecision& aDecision,
                       AtMostOnceExecution aExecution);
  void SendRecordedOutcome(const RecordedOutcome& aOutcome);
  void FinishClaim(const ExchangeResult& aResult);
  void FinishClaim(const RelayResult& aResult);
  // Finishes the claim of a request that was not sent to a backend server.
  void ReleaseClaim();
  // Lets the next attempt read a buffered body from its beginning.
  void RewindBody();
  void StartRelay(const RelayTarget& aTarget);
  void OnRelayDone(const std::string& aRegion, const RelayResult& aResult);
  // Called for a request that was relayed to the holder of its slot.
  void OnHolderRelayDone(const RelayResult& aResult);
  // Whether the request may still be served by another region or by this one.
  bool MayTryOtherRegion(const RelayResult& aResult) const;
  bool CheckAdmission(const RelayedRequest& aRelayed);
  void ChooseServer();
  void Execute(const BackendServerConfig& aServer);
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
  std::string claimKey_;
  bool hasClaim_ = false;
  int shedAttempts_ = 0;
};

}

}
