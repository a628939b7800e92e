#include "gateway/RequestFlow.h"

#include "base/EventLog.h"
#include "gateway/RequestHeaders.h"
#include "gateway/ServerHead.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>

namespace peridotsail::detail {

namespace {

// The wait of a caller that states none.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
// When a route states no time within which its callers want answers.
constexpr Duration kDefaultTarget = std::chrono::milliseconds(500);
// Body bytes that distinguish requests with the same target.
constexpr std::size_t kFingerprintBody = 256;
// A request that crashes servers is not wanted again soon.
constexpr Duration kQuarantineRetryAfter = std::chrono::seconds(60);
// A caller honours Retry-After up to a third of the time that it has left.
constexpr double kRetryAfterPart = 0.3;

}

RequestFlow::RequestFlow(FlowContext& aContext,
                         std::shared_ptr<CallerExchange> aCaller)
  : flow_(aContext)
  , caller_(std::move(aCaller))
  , timer_(aContext.context_)
  , holdTimer_(aContext.context_)
{
  ++flow_.inFlight_;
}

RequestFlow::~RequestFlow()
{
  --flow_.inFlight_;
}

CallerHooks::Handling
RequestFlow::Start()
{
  flow_.metrics_.requests_.Add(1);
  const CallerRequest& request = caller_->Request();
  requestId_ = HeaderOr(request.headers_, flow_.options_.headers_.requestId_);
  CallerHooks::Handling handling;
  handling.onGone_ = [self = shared_from_this()] { self->OnCallerGone(); };
  handling.onFirst_ = [self = shared_from_this()] {
    self->first_ = true;
    self->Admit();
  };
  first_ = caller_->IsFirst();
  if (flow_.Ready()) {
    Admit();
  } else {
    WaitForView();
  }
  return handling;
}

void
RequestFlow::WaitForView()
{
  flow_.waiting_.push_back([self = shared_from_this()] {
    self->timer_.cancel();
    self->Admit();
  });
  timer_.expires_after(ToSteady(flow_.options_.startWait_));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && !self->begun_) {
      self->Refuse(503, "no-view", self->flow_.options_.retryAfter_);
    }
  });
}

// A non-idempotent request behind others waits for their answers: one of them
// may end the connection, and the caller would send it again.
void
RequestFlow::Admit()
{
  if (begun_ || finished_ || !flow_.Ready() || !FindRoute()) {
    return;
  }
  if (IsIdempotent(route_->kind_) || first_) {
    Begin();
  }
}

void
RequestFlow::Begin()
{
  if (begun_ || finished_) {
    return;
  }
  begun_ = true;
  if (!FindRoute() || !CheckKey()) {
    return;
  }
  MakeRequestFingerprint();
  SetDeadline();
  if (!flow_.options_.mayFinish_(deadline_)) {
    Refuse(503, "host-ends", flow_.options_.retryAfter_);
    return;
  }
  PassQuarantine([self = shared_from_this()] { self->AskAllowance(); });
}

bool
RequestFlow::FindRoute()
{
  table_ = flow_.table_;
  const CallerRequest& request = caller_->Request();
  route_ =
    table_->FindRoute(HostWithoutPort(request.host_), PathOf(request.target_));
  if (route_ == nullptr) {
    Refuse(404, "no-route", Duration::zero());
    return false;
  }
  if (route_->services_.empty()) {
    Refuse(503, "unusable-route", flow_.options_.retryAfter_);
    return false;
  }
  return true;
}

bool
RequestFlow::CheckKey()
{
  if (!table_->KeysRequired() || route_->open_) {
    return true;
  }
  const Duration age = flow_.options_.viewAge_(BootClock::now());
  if (age >= flow_.options_.mostViewAge_) {
    LogEvent(Event::ViewNotConfirmed,
             { { "request", requestId_ },
               { "age_ms", ToMilliseconds(age) },
               { "limit_ms", ToMilliseconds(flow_.options_.mostViewAge_) },
               { "version", table_->Version() } });
    // Another host may still reach the store.
    Refuse(503, "keys-not-fresh", flow_.options_.retryAfter_);
    return false;
  }
  const std::string text =
    HeaderOr(caller_->Request().headers_, "Authorization");
  const std::string scheme = flow_.options_.headers_.keyScheme_ + " ";
  if (text.compare(0, scheme.size(), scheme) == 0) {
    customer_ = table_->FindCustomer(text.substr(scheme.size()));
  }
  if (customer_ == nullptr) {
    Refuse(401, "unknown-key", Duration::zero());
    return false;
  }
  return true;
}

void
RequestFlow::MakeRequestFingerprint()
{
  const CallerRequest& request = caller_->Request();
  fingerprint_ = MakeFingerprint(customer_ == nullptr ? "" : customer_->name_,
                                 request.method_,
                                 request.target_,
                                 request.body_.size(),
                                 request.body_.substr(0, kFingerprintBody));
}

void
RequestFlow::PassQuarantine(std::function<void()> aNext)
{
  if (finished_) {
    return;
  }
  const QuarantineVerdict verdict = flow_.quarantine_.Check(fingerprint_);
  if (verdict == QuarantineVerdict::Refuse) {
    if (mayHaveRun_) {
      Refuse(502, "quarantined", Duration::zero());
    } else {
      Refuse(503, "quarantined", kQuarantineRetryAfter);
    }
    return;
  }
  const TimePoint now = BootClock::now();
  if (heldUntil_ == TimePoint::min() && verdict == QuarantineVerdict::Wait) {
    heldUntil_ = now + flow_.options_.longestHold_;
    LogEvent(Event::SuspectHeld,
             { { "request", requestId_ }, { "fingerprint", fingerprint_ } });
  }
  if (verdict == QuarantineVerdict::Run || now >= heldUntil_) {
    aNext();
    return;
  }
  holdTimer_.expires_after(ToSteady(flow_.options_.holdCheck_));
  holdTimer_.async_wait(
    [self = shared_from_this(), next = std::move(aNext)](ErrorCode aError) {
      if (!aError) {
        self->PassQuarantine(next);
      }
    });
}

void
RequestFlow::AskAllowance()
{
  if (customer_ == nullptr) {
    Proceed();
    return;
  }
  flow_.allowanceChannel_.Admit(
    *customer_, [self = shared_from_this()](const Admission& aAdmission) {
      self->OnAdmission(aAdmission);
    });
}

void
RequestFlow::OnAdmission(const Admission& aAdmission)
{
  const bool admitted = aAdmission.result_ == AdmissionResult::Admitted;
  if (finished_) {
    if (admitted) {
      flow_.allowanceChannel_.ReturnToken(customer_->name_);
    }
    return;
  }
  if (admitted) {
    charged_ = true;
    Proceed();
    return;
  }
  LogEvent(Event::AllowanceUsedUp,
           { { "request", requestId_ },
             { "customer", customer_->name_ },
             { "customer_rate", customer_->ratePerSecond_ },
             { "customer_burst", customer_->burst_ },
             { "result", NameOf(aAdmission.result_) },
             { "wait_ms", ToMilliseconds(aAdmission.retryAfter_) },
             { "version", table_->Version() } });
  if (aAdmission.result_ == AdmissionResult::UsedUp) {
    Refuse(429, "allowance-used-up", aAdmission.retryAfter_);
  } else {
    Refuse(503, "no-allowance-owner", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::Proceed()
{
  ChooseService();
  body_ = std::make_shared<const std::string>(caller_->Request().body_);
  flow_.retries_.RecordRequest(service_, BootClock::now());
  Attempt();
}

void
RequestFlow::ChooseService()
{
  object_ = CookieValue(caller_->Request().headers_,
                        flow_.options_.headers_.objectCookie_);
  double total = 0;
  for (const WeightedService& service : route_->services_) {
    total += service.weight_;
  }
  double point =
    std::uniform_real_distribution<double>(0, total)(flow_.random_);
  service_ = route_->services_.back().service_;
  for (const WeightedService& service : route_->services_) {
    point -= service.weight_;
    if (point < 0) {
      service_ = service.service_;
      break;
    }
  }
}

void
RequestFlow::SetDeadline()
{
  const CallerRequest& request = caller_->Request();
  Duration limit = kDefaultDeadline;
  const std::string text =
    HeaderOr(request.headers_, flow_.options_.headers_.deadline_);
  std::int64_t milliseconds = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (!text.empty() && parsed.ec == std::errc()) {
    limit = std::chrono::milliseconds(milliseconds);
  }
  if (route_->timeout_ > Duration::zero()) {
    limit = std::min(limit, route_->timeout_);
  }
  deadline_ = request.arrivedAt_ + limit;
  timer_.expires_after(ToSteady(TimeLeft()));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError) {
      self->OnTimeout();
    }
  });
}

Duration
RequestFlow::TimeLeft() const
{
  return std::max(Duration::zero(), deadline_ - BootClock::now());
}

Choice
RequestFlow::Choose()
{
  ChoiceQuery query;
  query.hasObject_ = !object_.empty();
  query.objectHash_ = std::hash<std::string>()(route_->name_ + '\n' + object_);
  query.region_ = flow_.options_.region_;
  const Duration target = route_->targetLatency_ > Duration::zero()
                            ? route_->targetLatency_
                            : kDefaultTarget;
  const Duration way = flow_.ways_.Mean();
  RegionShareOptions share;
  share.minRemoteWeight_ = LatencyWeight(way, target);
  query.remoteWeight_ =
    RemoteSlotWeight(flow_.instances_.Room(service_), share);
  const auto homes =
    CommonHomes(route_->homeRegions_,
                customer_ == nullptr ? std::vector<std::string>()
                                     : customer_->homeRegions_);
  if (!homes) {
    return {};
  }
  query.homeRegions_ = *homes;
  query.tried_ = tried_;
  query.timeLeft_ = TimeLeft();
  query.target_ = target;
  query.way_ = way;
  flow_.remoteBudget_.OnRequest();
  query.admitRemote_ = [this] { return flow_.remoteBudget_.TryTake(); };
  query.admitCold_ = [this](const Instance& aInstance) {
    return AdmitCold(aInstance);
  };
  return ChooseInstance(flow_.instances_.OfService(service_),
                        query,
                        BootClock::now(),
                        flow_.options_.chooser_);
}

bool
RequestFlow::AdmitCold(const Instance& aInstance)
{
  if (aInstance.Region() != flow_.options_.region_) {
    return false;
  }
  const GatewayService* service = table_->FindService(service_);
  const double perSecond = service == nullptr ? 0 : service->coldPerSecond_;
  const TimePoint now = BootClock::now();
  return flow_.coldStarts_.TryTake(
    aInstance.Record().id_, perSecond, flow_.options_.viewAge_(now), now);
}

void
RequestFlow::Attempt()
{
  const Choice choice = Choose();
  const InstancePtr& instance = choice.instance_;
  if (!instance) {
    const bool full = choice.full_ != nullptr;
    if (full) {
      LogEvent(Event::ServerFull,
               { { "request", requestId_ },
                 { "service", service_ },
                 { "server", choice.full_->Record().id_ },
                 { "waiting", choice.full_->queue_.Waiting(BootClock::now()) },
                 { "run_ms", ToMilliseconds(choice.full_->queue_.RunTime()) },
                 { "left_ms", ToMilliseconds(TimeLeft()) } });
    }
    if (mayHaveRun_) {
      Refuse(502, "no-further-server", Duration::zero());
    } else {
      Refuse(503,
             full ? "service-full" : "no-server",
             std::max(choice.wait_, flow_.options_.retryAfter_));
    }
    return;
  }
  ++attempts_;
  attemptedAt_ = BootClock::now();
  tried_.insert(instance->Record().id_);
  flow_.metrics_.attempts_.Add(1);
  LogEvent(Event::RouteDecision,
           { { "request", requestId_ },
             { "route", route_->name_ },
             { "version", table_->Version() },
             { "customer", customer_ == nullptr ? "" : customer_->name_ },
             { "object", object_ },
             { "service", service_ },
             { "server", instance->Record().id_ },
             { "server_region", instance->Region() },
             { "in_flight", instance->queue_.InFlight() },
             { "waiting", instance->queue_.Waiting(BootClock::now()) },
             { "run_ms", ToMilliseconds(instance->queue_.RunTime()) },
             { "attempt", attempts_ },
             { "left_ms", ToMilliseconds(TimeLeft()) } });
  ServerRequest request;
  request.instance_ = instance;
  request.requestId_ = requestId_;
  request.head_ = MakeServerHead(caller_->Request(),
                                 flow_.options_.headers_,
                                 { instance->Record().id_,
                                   customer_ == nullptr ? "" : customer_->name_,
                                   TimeLeft(),
                                   body_->size() });
  request.body_ = body_;
  request.isHead_ = caller_->Request().method_ == "HEAD";
  flow_.quarantine_.Started(fingerprint_);
  exchange_ = std::make_shared<ServerExchange>(
    flow_.connections_,
    flow_.options_.headers_,
    std::move(request),
    [self = shared_from_this(), instance](ServerExchangeResult aResult) {
      self->OnExchange(instance, std::move(aResult));
    });
  exchange_->Start();
}

void
RequestFlow::Learn(const InstancePtr& aInstance,
                   const ServerExchangeResult& aResult)
{
  const TimePoint now = BootClock::now();
  InstanceSignal signal = InstanceSignal::Success;
  if (aResult.unreachable_) {
    signal = InstanceSignal::Unreachable;
  } else if (aResult.outcome_ == ExchangeOutcome::NotRun) {
    signal = InstanceSignal::Shed;
  } else if (aResult.outcome_ == ExchangeOutcome::ConnectionLost) {
    signal = InstanceSignal::ConnectionLost;
  } else if (aResult.outcome_ == ExchangeOutcome::BrokenAnswer ||
             aResult.answer_.status_ / 100 == 5) {
    signal = InstanceSignal::Failure;
  }
  flow_.instances_.Learn(*aInstance, signal, now, flow_.options_.health_);
  if (aResult.outcome_ == ExchangeOutcome::Answered) {
    flow_.quarantine_.Completed(fingerprint_);
  } else if (signal == InstanceSignal::ConnectionLost) {
    LogEvent(Event::ServerLostInRequest,
             { { "request", requestId_ },
               { "fingerprint", fingerprint_ },
               { "server", aInstance->Record().id_ } });
    flow_.connections_.CloseIdle(aInstance);
    flow_.quarantine_.ConnectionLost(fingerprint_, aInstance);
  }
  if (signal == InstanceSignal::Unreachable ||
      signal == InstanceSignal::Success) {
    flow_.quarantine_.ServerSeen(
      *aInstance, signal == InstanceSignal::Success, attemptedAt_);
  }
  flow_.quarantine_.Ended(fingerprint_);
}

void
RequestFlow::OnExchange(const InstancePtr& aInstance,
                        ServerExchangeResult aResult)
{
  exchange_.reset();
  Learn(aInstance, aResult);
  const bool notRun = aResult.outcome_ == ExchangeOutcome::NotRun;
  mayHaveRun_ = mayHaveRun_ || !notRun;
  if (aResult.outcome_ != ExchangeOutcome::Answered) {
    LogEvent(Event::AttemptFailed,
             { { "request", requestId_ },
               { "server", aInstance->Record().id_ },
               { "outcome", NameOf(aResult.outcome_) },
               { "reason", aResult.reason_ },
               { "attempt", attempts_ } });
  }
  if (!MayTryAgain(aResult)) {
    Conclude(std::move(aResult));
    return;
  }
  if (aResult.outcome_ != ExchangeOutcome::ConnectionLost) {
    TryAgain(aResult);
    return;
  }
  // The request may have crashed the server, and others elsewhere.
  flow_.quarantine_.AwaitVerdict(
    fingerprint_,
    aInstance,
    [self = shared_from_this(), result = std::move(aResult)] {
      self->TryAgain(result);
    });
}

bool
RequestFlow::MayTryAgain(const ServerExchangeResult& aResult) const
{
  const bool failed = aResult.outcome_ != ExchangeOutcome::Answered ||
                      aResult.answer_.status_ / 100 == 5;
  const bool repeatable =
    aResult.outcome_ == ExchangeOutcome::NotRun || IsIdempotent(route_->kind_);
  return failed && repeatable && attempts_ < route_->maxAttempts_ &&
         TimeLeft() >= flow_.options_.leastTimeLeft_;
}

void
RequestFlow::TryAgain(const ServerExchangeResult& aResult)
{
  PassQuarantine([self = shared_from_this(), result = aResult] {
    FlowContext& flow = self->flow_;
    // An attempt that never reached a server is no repeat there.
    const bool allowed =
      self->MayTryAgain(result) &&
      (result.unreachable_ ||
       flow.retries_.TryTake(self->service_, BootClock::now()));
    if (!allowed) {
      self->Conclude(result);
      return;
    }
    flow.metrics_.retries_.Add(1);
    self->Attempt();
  });
}

void
RequestFlow::Conclude(ServerExchangeResult aResult)
{
  if (aResult.outcome_ == ExchangeOutcome::Answered) {
    Deliver(std::move(aResult.answer_));
  } else {
    FailAfter(aResult);
  }
}

void
RequestFlow::FailAfter(const ServerExchangeResult& aResult)
{
  if (mayHaveRun_) {
    Refuse(502, std::string(NameOf(aResult.outcome_)), Duration::zero());
  } else {
    Refuse(503, "not-run", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::Deliver(ServerAnswer aAnswer)
{
  CallerAnswer answer;
  answer.status_ = aAnswer.status_;
  // These statuses promise that the request was not run; this one was.
  const bool promises =
    aAnswer.status_ == 429 || aAnswer.status_ == 503 || aAnswer.status_ == 408;
  if (promises) {
    Refuse(502, "false-promise-of-the-server", Duration::zero());
    return;
  }
  answer.headers_ = EndToEndHeaders(aAnswer.headers_);
  answer.body_ = std::move(aAnswer.body_);
  Finish(std::move(answer), "");
}

void
RequestFlow::OnTimeout()
{
  if (finished_) {
    return;
  }
  const bool sent = exchange_ && exchange_->Sent();
  if (mayHaveRun_ || sent) {
    Refuse(504, "timeout", Duration::zero());
  } else {
    Refuse(503, "timeout-before-sending", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::OnCallerGone()
{
  if (finished_) {
    return;
  }
  EndWork();
  flow_.metrics_.abandoned_.Add(1);
  LogEvent(Event::CallerLeft, { { "request", requestId_ } });
}

void
RequestFlow::EndWork()
{
  finished_ = true;
  timer_.cancel();
  holdTimer_.cancel();
  if (exchange_) {
    exchange_->Cancel();
    flow_.quarantine_.Ended(fingerprint_);
    exchange_.reset();
  }
}

void
RequestFlow::Refuse(int aStatus,
                    const std::string& aReason,
                    Duration aRetryAfter)
{
  CallerAnswer answer;
  answer.status_ = aStatus;
  if (!requestId_.empty()) {
    answer.headers_.push_back(
      { flow_.options_.headers_.requestId_, requestId_ });
  }
  if (aRetryAfter > Duration::zero()) {
    Duration wait = aRetryAfter;
    if (deadline_ != TimePoint()) {
      wait =
        std::min(wait, FromSeconds(ToSeconds(TimeLeft()) * kRetryAfterPart));
    }
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", ToSeconds(wait));
    answer.headers_.push_back({ "Retry-After", text });
  }
  Finish(std::move(answer), aReason);
}

void
RequestFlow::Finish(CallerAnswer aAnswer, const std::string& aReason)
{
  if (finished_) {
    return;
  }
  EndWork();
  const TimePoint now = BootClock::now();
  // A request that did not run takes nothing from its customer.
  if (charged_ && aAnswer.status_ == 503) {
    flow_.allowanceChannel_.ReturnToken(customer_->name_);
  }
  const Duration elapsed = now - caller_->Request().arrivedAt_;
  flow_.metrics_.latency_.Observe(elapsed);
  flow_.metrics_.all_
    .Counter("peridotsail_answers_total",
             "Answers by status.",
             "status=\"" + std::to_string(aAnswer.status_) + "\"")
    .Add(1);
  LogEvent(aReason.empty() ? Event::RequestFinished : Event::RequestRefused,
           { { "request", requestId_ },
             { "status", aAnswer.status_ },
             { "reason", aReason },
             { "customer", customer_ == nullptr ? "" : customer_->name_ },
             { "attempts", attempts_ },
             { "elapsed_ms", ToMilliseconds(elapsed) } });
  caller_->Answer(std::move(aAnswer));
}

}
