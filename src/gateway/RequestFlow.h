#pragma once

// The way of one request through an entry host: route, key, allowance, choice
// of a backend server, attempts, answer. Traffic thread only; included by .cc
// files.
//
// A refusal (429, 503) is only given when no backend server ran the request:
// either none was asked, or each one that was asked stated that it did not run
// it. All other failures are 502 or 504, which promise nothing.

#include "gateway/CallerConnection.h"
#include "gateway/FlowContext.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace peridotsail::detail {

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(FlowContext& aContext, std::shared_ptr<CallerExchange> aCaller);
  ~RequestFlow();
  // Begins, or waits for the first view, and returns how the
  // connection tells of its changes.
  CallerHooks::Handling Start();

private:
  void Admit();
  void WaitForView();
  void Begin();
  bool FindRoute();
  bool CheckKey();
  void MakeRequestFingerprint();
  // Goes on with aNext once the request is not suspected of crashing servers,
  // or has waited long enough for a decision; refuses a quarantined one.
  void PassQuarantine(std::function<void()> aNext);
  // Asks for a token of the customer's allowance.
  void AskAllowance();
  void OnAdmission(const Admission& aAdmission);
  // Begins with the attempts at backend servers.
  void Proceed();
  void ChooseService();
  void SetDeadline();
  void Attempt();
  Choice Choose();
  bool AdmitCold(const Instance& aInstance);
  void OnExchange(const InstancePtr& aInstance, ServerExchangeResult aResult);
  void Learn(const InstancePtr& aInstance, const ServerExchangeResult& aResult);
  bool MayTryAgain(const ServerExchangeResult& aResult) const;
  void TryAgain(const ServerExchangeResult& aResult);
  // The last attempt's result is the caller's answer.
  void Conclude(ServerExchangeResult aResult);
  void Deliver(ServerAnswer aAnswer);
  void FailAfter(const ServerExchangeResult& aResult);
  void OnTimeout();
  void OnCallerGone();
  // No attempt and no timer goes on after this.
  void EndWork();
  void Refuse(int aStatus, const std::string& aReason, Duration aRetryAfter);
  void Finish(CallerAnswer aAnswer, const std::string& aReason);
  Duration TimeLeft() const;

  FlowContext& flow_;
  std::shared_ptr<CallerExchange> caller_;
  // The configuration at the start of the request; keeps route_ alive.
  RoutingTablePtr table_;
  const GatewayRoute* route_ = nullptr;
  const GatewayCustomer* customer_ = nullptr;
  // The request took its part of the customer's allowance.
  bool charged_ = false;
  std::string requestId_;
  std::string service_;
  std::string fingerprint_;
  std::string object_;
  std::set<std::string> tried_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<ServerExchange> exchange_;
  asio::steady_timer timer_;
  asio::steady_timer holdTimer_;
  TimePoint heldUntil_ = TimePoint::min();
  TimePoint attemptedAt_;
  TimePoint deadline_;
  int attempts_ = 0;
  // Some backend server may have run the request.
  bool mayHaveRun_ = false;
  bool begun_ = false;
  bool first_ = false;
  bool finished_ = false;
};

}
