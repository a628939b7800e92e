#pragma once

// Handles one request on an entry host: routing, authentication, quarantine,
// admission by the customer's allowance, selection of a backend server,
// attempts and retries, response. Used on the traffic thread only; included by
// .cc files.
//
// Responses 429 and 503 promise that no backend server executed the request:
// either none was contacted, or each one that was contacted stated that it did
// not execute it. All other failures are 502 or 504, which promise nothing.

#include "gateway/CallerConnection.h"
#include "gateway/FlowContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail::detail {

// Restricts the selection of a server.
struct ServerFilter
{
  // See ChoiceQuery.
  bool slotsGranted_ = false;
  std::set<std::string> excluded_;
  // If set, only servers of these regions.
  std::optional<std::vector<std::string>> regions_;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(FlowContext& aContext, std::shared_ptr<CallerExchange> aCaller);
  ~RequestFlow();
  // Starts the request, or waits for the first view. Returns the callbacks that
  // the connection calls on changes of its state.
  CallerHooks::RequestCallbacks Start();

private:
  void StartIfAllowed();
  void WaitForView();
  void Process();
  bool FindRoute();
  bool CheckKey();
  void Deny(int aStatus, const std::string& aReason);
  void ComputeFingerprint();
  // Calls aNext once the request is not suspected of crashing servers, or has
  // waited long enough for a decision. Refuses a quarantined request.
  void AwaitQuarantine(std::function<void()> aNext);
  // Requests a token of the customer's allowance.
  void RequestAdmission();
  // Recognizes the request when the caller sends it again.
  ReturningCaller Caller() const;
  void OnAdmission(const Admission& aAdmission);
  // Starts the attempts at backend servers.
  void StartAttempts();
  void ChooseService();
  void SetDeadline();
  void Attempt();
  // Sends the request to the chosen server, or refuses it if there is none.
  void AttemptAt(const Choice& aChoice);
  void SendTo(const InstancePtr& aInstance);
  void RefuseWithoutServer(const Choice& aChoice);
  // Refuses a request for which no server is available now.
  void RefuseNotRun(const std::string& aReason, Duration aWait);
  Choice ChooseServer(const ServerFilter& aFilter);
  // The rank of the customer's priority, or else of the route's.
  int Rank() const;
  // Waits for a slot of the server or of one of the next candidates.
  void AcquireSlot(const InstancePtr& aInstance);
  void OnSlot(const InstancePtr& aFirst, const SlotOutcome& aOutcome);
  void OnSlotRefused(const Instance& aFirst, const SlotOutcome& aOutcome);
  void ReleaseSlot(const SlotUsage& aUsage);
  SlotUsage SlotUsageOf(const Instance& aInstance,
                        const ServerExchangeResult& aResult) const;
  bool TakeColdToken(const Instance& aInstance);
  void OnAttemptDone(const InstancePtr& aInstance,
                     ServerExchangeResult aResult);
  void RecordOutcome(const InstancePtr& aInstance,
                     const ServerExchangeResult& aResult);
  bool CanRetry(const ServerExchangeResult& aResult) const;
  void Retry(const ServerExchangeResult& aResult);
  // Answers the caller with the result of the last attempt.
  void RespondWithResult(ServerExchangeResult aResult);
  void ForwardResponse(ServerResponse aResponse);
  void RespondWithFailure(const ServerExchangeResult& aResult);
  void OnTimeout();
  void OnHostExit();
  void OnCallerDisconnected();
  // Returns whether a backend server may have executed the request or may still
  // execute it.
  bool MayExecute() const;
  // Cancels the current attempt and all timers.
  void CancelWork();
  void Refuse(int aStatus, const std::string& aReason, Duration aRetryAfter);
  void Finish(CallerResponse aResponse, const std::string& aReason);
  Duration TimeLeft() const;
  // Callers honour a longer wait only up to this.
  Duration MaxRetryAfter() const;
  Duration TargetLatency() const;

  FlowContext& flow_;
  std::shared_ptr<CallerExchange> caller_;
  // The configuration when the request started; keeps route_ valid.
  RoutingTablePtr table_;
  const GatewayRoute* route_ = nullptr;
  const GatewayCustomer* customer_ = nullptr;
  // The request took a token of the customer's allowance.
  bool charged_ = false;
  std::string requestId_;
  std::string service_;
  std::string fingerprint_;
  std::string object_;
  std::set<std::string> tried_;
  std::shared_ptr<ServerExchange> exchange_;
  asio::steady_timer timer_;
  asio::steady_timer holdTimer_;
  TimePoint heldUntil_ = TimePoint::min();
  TimePoint attemptedAt_;
  // The wait for a slot, and the slot that the current attempt uses.
  std::uint64_t slotTicket_ = 0;
  std::optional<SlotGrant> slot_;
  Duration slotWait_{};
  TimePoint deadline_;
  int attempts_ = 0;
  // The request was counted in the demand of its region.
  bool demandRecorded_ = false;
  // A backend server may have executed the request.
  bool mayHaveExecuted_ = false;
  bool started_ = false;
  bool atFront_ = false;
  bool finished_ = false;
};

}
