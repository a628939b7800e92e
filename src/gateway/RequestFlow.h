#pragma once

// The way of one request through an entry host: route, key, allowance, choice
// of a backend server, attempts, answer. Traffic thread only; included by .cc
// files.
//
// A refusal (429, 503) is only given when no backend server ran the request:
// either none was asked, or each one that was asked stated that it did not run
// it. All other failures are 502 or 504, which promise nothing.

#include "backend/Quarantine.h"
#include "base/Metrics.h"
#include "gateway/CallerConnection.h"
#include "gateway/ColdStartLimit.h"
#include "gateway/CustomerAllowances.h"
#include "gateway/FleetRetryBudget.h"
#include "gateway/InstanceChooser.h"
#include "gateway/ServerExchange.h"

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace peridotsail::detail {

struct FlowOptions
{
  // This host.
  std::string name_;
  std::string region_;
  GatewayHeaders headers_;
  // Time since the view of the store was last confirmed; keys may have been
  // withdrawn since.
  std::function<Duration(TimePoint)> viewAge_;
  // Keys are refused at a greater age.
  Duration mostViewAge_{};
  // When a refusal gives no better time.
  Duration retryAfter_ = std::chrono::milliseconds(300);
  // The longest wait for the first configuration after the start.
  Duration startWait_ = std::chrono::milliseconds(600);
  // An attempt with less time left is not made.
  Duration leastTimeLeft_ = std::chrono::milliseconds(30);
  ChooserOptions chooser_;
  InstanceHealthOptions health_;
};

struct FlowMetrics
{
  explicit FlowMetrics(Metrics& aMetrics);
  MetricCounter& requests_;
  MetricCounter& attempts_;
  MetricCounter& retries_;
  MetricCounter& abandoned_;
  MetricLatency& latency_;
  Metrics& all_;
};

// State that the requests of a host share.
struct FlowContext
{
  FlowContext(asio::io_context& aContext,
              FlowOptions aOptions,
              InstanceTable& aInstances,
              Metrics& aMetrics,
              AllowanceOptions aAllowances,
              ColdStartOptions aColdStart,
              FleetRetryBudgetOptions aRetries);
  // Takes over a configuration and begins the requests that waited for the
  // first one.
  void SetTable(RoutingTablePtr aTable);

  asio::io_context& context_;
  FlowOptions options_;
  InstanceTable& instances_;
  ServerConnections connections_;
  CustomerAllowances allowances_;
  ColdStartLimit coldStarts_;
  FleetRetryBudget retries_;
  Quarantine quarantine_;
  FlowMetrics metrics_;
  RoutingTablePtr table_;
  // Requests that came before the first configuration, soon after the start.
  std::vector<std::function<void()>> waiting_;
  // Registered hosts of this host's region, itself included.
  std::size_t hostsInRegion_ = 1;
  std::mt19937_64 random_;
  int inFlight_ = 0;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(FlowContext& aContext, std::shared_ptr<CallerExchange> aCaller);
  ~RequestFlow();
  // Begins, or waits for the first configuration, and returns how the
  // connection tells of its changes.
  CallerHooks::Handling Start();

private:
  void Admit();
  void WaitForTable();
  void Begin();
  bool FindRoute();
  bool CheckKey();
  bool CheckAllowance();
  bool CheckQuarantine();
  void ChooseService();
  void SetDeadline();
  void Attempt();
  Choice Choose();
  bool AdmitCold(const Instance& aInstance);
  std::string MakeHead(const Instance& aInstance) const;
  void OnExchange(const InstancePtr& aInstance, ServerExchangeResult aResult);
  void Learn(const InstancePtr& aInstance, const ServerExchangeResult& aResult);
  bool MayTryAgain(const ServerExchangeResult& aResult);
  void Deliver(ServerAnswer aAnswer);
  void FailAfter(const ServerExchangeResult& aResult);
  void OnTimeout();
  void OnCallerGone();
  void Refuse(int aStatus, const std::string& aReason, Duration aRetryAfter);
  void Finish(CallerAnswer aAnswer, const std::string& aReason);
  Duration TimeLeft() const;

  FlowContext& flow_;
  std::shared_ptr<CallerExchange> caller_;
  // The configuration at the start of the request; keeps route_ alive.
  RoutingTablePtr table_;
  const GatewayRoute* route_ = nullptr;
  const GatewayCustomer* customer_ = nullptr;
  std::string requestId_;
  std::string service_;
  std::string fingerprint_;
  std::string object_;
  std::set<std::string> tried_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<ServerExchange> exchange_;
  asio::steady_timer timer_;
  TimePoint deadline_;
  int attempts_ = 0;
  // Some backend server may have run the request.
  bool mayHaveRun_ = false;
  bool begun_ = false;
  bool first_ = false;
  bool finished_ = false;
};

}
