// The attempts of a request: selection of a backend server, a slot from the
// server's owner if the service needs one, the exchange, and retries.

#include "gateway/RequestFlow.h"

#include "base/EventLog.h"
#include "base/Hash.h"
#include "gateway/ServerHead.h"

#include <algorithm>
#include <set>

namespace peridotsail::detail {

void
RequestFlow::Attempt()
{
  ServerFilter filter;
  filter.slotsGranted_ = flow_.GrantsSlots(service_);
  const Choice choice = ChooseServer(filter);
  // The token for a cold server was taken now, so the request must not wait.
  const bool asks = filter.slotsGranted_ && choice.instance_ &&
                    choice.instance_->Region() == flow_.options_.region_ &&
                    !choice.instance_->IsCold(BootClock::now());
  if (asks) {
    AcquireSlot(choice.instance_);
  } else {
    AttemptAt(choice);
  }
}

void
RequestFlow::AttemptAt(const Choice& aChoice)
{
  if (aChoice.instance_) {
    SendTo(aChoice.instance_);
  } else {
    RefuseWithoutServer(aChoice);
  }
}

void
RequestFlow::RefuseWithoutServer(const Choice& aChoice)
{
  const bool overloaded = aChoice.overloaded_ != nullptr;
  if (overloaded) {
    const QueueEstimate& queue = aChoice.overloaded_->queue_;
    LogEvent(Event::ServerFull,
             { { "request", requestId_ },
               { "service", service_ },
               { "server", aChoice.overloaded_->Record().id_ },
               { "waiting", queue.QueueLength(BootClock::now()) },
               { "run_ms", ToMilliseconds(queue.ServiceTime()) },
               { "left_ms", ToMilliseconds(TimeLeft()) } });
  }
  RefuseNotRun(overloaded ? "service-full" : "no-server", aChoice.wait_);
}

void
RequestFlow::RefuseNotRun(const std::string& aReason, Duration aWait)
{
  if (mayHaveExecuted_) {
    Refuse(502, "no-further-server", Duration::zero());
  } else {
    Refuse(503, aReason, std::max(aWait, flow_.options_.retryAfter_));
  }
}

int
RequestFlow::Rank() const
{
  const auto ofCustomer =
    customer_ == nullptr ? std::optional<int>() : customer_->priority_;
  const int rank = table_->RankOf(ofCustomer.value_or(route_->priority_));
  return std::min(rank, kLowestRank);
}

void
RequestFlow::AcquireSlot(const InstancePtr& aInstance)
{
  const auto toServer = [](const Instance& aCandidate) {
    return SlotServer{ aCandidate.Record().id_,
                       aCandidate.Record().slots_,
                       aCandidate.queue_.ServiceTime() };
  };
  SlotQuery query;
  query.server_ = toServer(*aInstance);
  query.rank_ = Rank();
  query.customer_ = customer_ == nullptr ? 0 : StableHash(customer_->name_);
  query.route_ = StableHash(route_->name_);
  query.aim_ = caller_->Request().arrivedAt_ + TargetLatency();
  query.deadline_ = deadline_;
  query.next_ = [this, toServer](const std::set<std::string>& aSeen) {
    ServerFilter filter;
    filter.slotsGranted_ = true;
    filter.excluded_ = aSeen;
    filter.regions_ = { flow_.options_.region_ };
    const Choice choice = ChooseServer(filter);
    const bool usable =
      choice.instance_ && !choice.instance_->IsCold(BootClock::now());
    return usable ? std::optional(toServer(*choice.instance_)) : std::nullopt;
  };
  slotTicket_ = flow_.slots_.NewTicket();
  flow_.slots_.Acquire(
    slotTicket_,
    std::move(query),
    [self = shared_from_this(), aInstance](const SlotOutcome& aOutcome) {
      self->OnSlot(aInstance, aOutcome);
    });
}

void
RequestFlow::OnSlot(const InstancePtr& aFirst, const SlotOutcome& aOutcome)
{
  if (aOutcome.result_ == SlotResult::NoOwner) {
    AttemptAt(ChooseServer({}));
    return;
  }
  if (aOutcome.result_ == SlotResult::Refused) {
    OnSlotRefused(*aFirst, aOutcome);
    return;
  }
  slot_ = aOutcome.grant_;
  slotWait_ = aOutcome.waited_;
  const InstancePtr instance = flow_.instances_.Find(slot_->server_);
  // The request may have been quarantined, and the server may have failed,
  // while the request waited.
  const QuarantineVerdict verdict = flow_.quarantine_.Check(fingerprint_);
  const bool suspected =
    verdict == QuarantineVerdict::Refuse ||
    (verdict == QuarantineVerdict::Wait && heldUntil_ == TimePoint::min());
  const TimePoint now = BootClock::now();
  // The server may have become cold meanwhile.
  const bool usable = instance && instance->IsUsable(now) &&
                      (!instance->IsCold(now) || TakeColdToken(*instance));
  if (!suspected && usable) {
    SendTo(instance);
    return;
  }
  ReleaseSlot({});
  AwaitQuarantine([self = shared_from_this()] { self->Attempt(); });
}

// A server of another region may still have a free slot. Its slots are not
// granted to hosts of this region.
void
RequestFlow::OnSlotRefused(const Instance& aFirst, const SlotOutcome& aOutcome)
{
  ServerFilter filter;
  filter.regions_.emplace();
  for (const auto& [domain, region] : flow_.options_.regions_) {
    const bool allowed =
      IsHomeRegion(route_->homeRegions_, region) &&
      (customer_ == nullptr || IsHomeRegion(customer_->homeRegions_, region));
    if (allowed && region != flow_.options_.region_) {
      filter.regions_->push_back(region);
    }
  }
  const Choice choice =
    filter.regions_->empty() ? Choice() : ChooseServer(filter);
  const bool remote =
    choice.instance_ &&
    choice.instance_->queue_.MayHaveFreeSlot(BootClock::now()) &&
    flow_.remoteBudget_.TryTake();
  if (remote) {
    SendTo(choice.instance_);
    return;
  }
  LogEvent(Event::SlotRefused,
           { { "request", requestId_ },
             { "server", aFirst.Record().id_ },
             { "rank", Rank() },
             { "ahead", aOutcome.ahead_ },
             { "wait_ms", ToMilliseconds(aOutcome.retryAfter_) } });
  RefuseNotRun("service-full", aOutcome.retryAfter_);
}

void
RequestFlow::ReleaseSlot(const SlotUsage& aUsage)
{
  if (slot_) {
    const SlotGrant grant = *slot_;
    slot_.reset();
    flow_.slots_.Release(grant, aUsage);
  }
}

SlotUsage
RequestFlow::SlotUsageOf(const Instance& aInstance,
                         const ServerExchangeResult& aResult) const
{
  SlotUsage usage;
  usage.executed_ = aResult.outcome_ == ExchangeOutcome::Answered;
  usage.duration_ = BootClock::now() - attemptedAt_;
  const ReportedLoad& load = aInstance.queue_.LastReport();
  if (load.at_ >= attemptedAt_ && !load.fromOwner_) {
    usage.load_ = load;
  }
  return usage;
}

void
RequestFlow::SendTo(const InstancePtr& aInstance)
{
  ++attempts_;
  attemptedAt_ = BootClock::now();
  tried_.insert(aInstance->Record().id_);
  flow_.metrics_.attempts_.Add(1);
  LogEvent(Event::RouteDecision,
           { { "request", requestId_ },
             { "route", route_->name_ },
             { "version", table_->Version() },
             { "customer", customer_ == nullptr ? "" : customer_->name_ },
             { "object", object_ },
             { "service", service_ },
             { "server", aInstance->Record().id_ },
             { "server_region", aInstance->Region() },
             { "in_flight", aInstance->queue_.InFlight() },
             { "waiting", aInstance->queue_.QueueLength(BootClock::now()) },
             { "run_ms", ToMilliseconds(aInstance->queue_.ServiceTime()) },
             { "rank", Rank() },
             { "slot_wait_ms", ToMilliseconds(slotWait_) },
             { "attempt", attempts_ },
             { "left_ms", ToMilliseconds(TimeLeft()) } });
  ServerRequest request;
  request.instance_ = aInstance;
  request.requestId_ = requestId_;
  request.head_ = MakeServerHead(caller_->Request(),
                                 flow_.options_.headers_,
                                 { aInstance->Record().id_,
                                   customer_ == nullptr ? "" : customer_->name_,
                                   TimeLeft(),
                                   caller_->Request().body_->Size() });
  request.body_ = caller_->Request().body_;
  request.granted_ = slot_.has_value();
  request.isHeadMethod_ = caller_->Request().method_ == "HEAD";
  flow_.quarantine_.Started(fingerprint_);
  exchange_ = std::make_shared<ServerExchange>(
    flow_.connections_,
    flow_.options_.headers_,
    std::move(request),
    [self = shared_from_this(), aInstance](ServerExchangeResult aResult) {
      self->OnAttemptDone(aInstance, std::move(aResult));
    });
  exchange_->Start();
}

void
RequestFlow::RecordOutcome(const InstancePtr& aInstance,
                           const ServerExchangeResult& aResult)
{
  if (aResult.noConnection_) {
    // Says nothing about the server.
    flow_.quarantine_.Ended(fingerprint_);
    return;
  }
  const TimePoint now = BootClock::now();
  InstanceOutcome outcome = InstanceOutcome::Success;
  if (aResult.unreachable_) {
    outcome = InstanceOutcome::Unreachable;
  } else if (aResult.outcome_ == ExchangeOutcome::NotExecuted) {
    outcome = InstanceOutcome::Shed;
  } else if (aResult.outcome_ == ExchangeOutcome::ConnectionLost) {
    outcome = InstanceOutcome::ConnectionLost;
  } else if (aResult.noMemory_) {
    // Says nothing about the server.
    outcome = InstanceOutcome::Success;
  } else if (aResult.outcome_ == ExchangeOutcome::InvalidResponse ||
             aResult.response_.status_ / 100 == 5) {
    outcome = InstanceOutcome::Failure;
  }
  flow_.instances_.RecordOutcome(
    *aInstance, outcome, now, flow_.options_.health_);
  if (outcome == InstanceOutcome::Success && !aResult.noMemory_) {
    flow_.regionPlan_.RecordServed(
      *aInstance, route_->name_, attemptedAt_, now);
  }
  if (aResult.outcome_ == ExchangeOutcome::Answered) {
    flow_.quarantine_.Completed(fingerprint_);
  } else if (outcome == InstanceOutcome::ConnectionLost) {
    LogEvent(Event::ServerLostInRequest,
             { { "request", requestId_ },
               { "fingerprint", fingerprint_ },
               { "server", aInstance->Record().id_ } });
    flow_.connections_.CloseIdle(aInstance);
    flow_.quarantine_.ConnectionLost(fingerprint_, aInstance);
  }
  if (outcome == InstanceOutcome::Unreachable ||
      outcome == InstanceOutcome::Success) {
    flow_.quarantine_.ServerSeen(
      *aInstance, outcome == InstanceOutcome::Success, attemptedAt_);
  }
  flow_.quarantine_.Ended(fingerprint_);
}

void
RequestFlow::OnAttemptDone(const InstancePtr& aInstance,
                           ServerExchangeResult aResult)
{
  exchange_.reset();
  ReleaseSlot(SlotUsageOf(*aInstance, aResult));
  RecordOutcome(aInstance, aResult);
  const bool notExecuted = aResult.outcome_ == ExchangeOutcome::NotExecuted;
  mayHaveExecuted_ = mayHaveExecuted_ || !notExecuted;
  if (aResult.outcome_ != ExchangeOutcome::Answered) {
    LogEvent(Event::AttemptFailed,
             { { "request", requestId_ },
               { "server", aInstance->Record().id_ },
               { "outcome", NameOf(aResult.outcome_) },
               { "reason", aResult.reason_ },
               { "attempt", attempts_ } });
  }
  if (aResult.noConnection_) {
    flow_.metrics_.connectionsRefused_.Add(1);
    RefuseNotRun("no-connection", flow_.options_.retryAfter_);
    return;
  }
  if (!CanRetry(aResult)) {
    RespondWithResult(std::move(aResult));
    return;
  }
  if (aResult.outcome_ != ExchangeOutcome::ConnectionLost) {
    Retry(aResult);
    return;
  }
  // The request may have crashed this server, and others at other hosts; waits
  // for the evidence of the fleet before the retry.
  flow_.quarantine_.AwaitVerdict(
    fingerprint_,
    aInstance,
    [self = shared_from_this(), result = std::move(aResult)] {
      self->Retry(result);
    });
}

bool
RequestFlow::CanRetry(const ServerExchangeResult& aResult) const
{
  const bool failed = aResult.outcome_ != ExchangeOutcome::Answered ||
                      aResult.response_.status_ / 100 == 5;
  const bool repeatable = aResult.outcome_ == ExchangeOutcome::NotExecuted ||
                          IsIdempotent(route_->kind_);
  return failed && repeatable && attempts_ < route_->maxAttempts_ &&
         TimeLeft() >= flow_.options_.minTimeLeft_;
}

void
RequestFlow::Retry(const ServerExchangeResult& aResult)
{
  AwaitQuarantine([self = shared_from_this(), result = aResult] {
    FlowContext& flow = self->flow_;
    // An attempt that never reached a server adds no load, so its retry does
    // not count against the retry budget.
    const bool allowed =
      self->CanRetry(result) &&
      (result.unreachable_ ||
       flow.retries_.TryTake(self->service_, BootClock::now()));
    if (!allowed) {
      self->RespondWithResult(result);
      return;
    }
    flow.metrics_.retries_.Add(1);
    self->Attempt();
  });
}

}
