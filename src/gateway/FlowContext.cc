#include "gateway/FlowContext.h"

namespace peridotsail::detail {

FlowMetrics::FlowMetrics(Metrics& aMetrics)
  : requests_(
      aMetrics.Counter("peridotsail_requests_total", "Requests of callers."))
  , attempts_(aMetrics.Counter("peridotsail_attempts_total",
                               "Requests sent to backend servers."))
  , retries_(aMetrics.Counter("peridotsail_retries_total",
                              "Attempts beyond the first of a request."))
  , abandoned_(aMetrics.Counter("peridotsail_abandoned_total",
                                "Requests whose caller left."))
  , latency_(aMetrics.Latency("peridotsail_request_seconds",
                              "Time from a request's arrival to its answer."))
  , all_(aMetrics)
{
}

FlowContext::FlowContext(asio::io_context& aContext,
                         FlowOptions aOptions,
                         InstanceTable& aInstances,
                         Metrics& aMetrics,
                         AllowanceOptions aAllowances,
                         ColdStartOptions aColdStart,
                         FleetRetryBudgetOptions aRetries)
  : context_(aContext)
  , options_(std::move(aOptions))
  , instances_(aInstances)
  , connections_(aContext, {})
  , allowances_(aAllowances)
  , loans_(allowances_, {}, std::random_device()())
  , loanChannel_(aContext,
                 loans_,
                 [this] { return table_ ? table_->Version() : 0; })
  , ways_(options_.region_)
  , coldStarts_(aColdStart)
  , retries_(aRetries)
  , metrics_(aMetrics)
  , random_(std::random_device()())
{
  connections_.SetOnConnected(
    [this](const Instance& aInstance, Duration aElapsed) {
      ways_.Measured(aInstance.Region(), aElapsed);
    });
}

void
FlowContext::SetTable(RoutingTablePtr aTable)
{
  table_ = std::move(aTable);
  if (!table_) {
    return;
  }
  std::vector<std::function<void()>> waiting;
  waiting.swap(waiting_);
  for (const auto& begin : waiting) {
    begin();
  }
}

}
