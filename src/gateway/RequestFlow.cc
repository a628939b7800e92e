#include "gateway/RequestFlow.h"

#include "base/EventLog.h"
#include "base/Hash.h"
#include "gateway/RequestHeaders.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>

namespace peridotsail::detail {

namespace {

// The deadline of requests that state none.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
// Longer deadlines are shortened; durations count in nanoseconds.
constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::hours(24);
// The target latency of routes that configure none.
constexpr Duration kDefaultTargetLatency = std::chrono::milliseconds(500);
// The number of leading body bytes that enter the fingerprint.
constexpr std::size_t kFingerprintBodyBytes = 256;
// Retry-After of quarantined requests; long, because they should not be
// repeated soon.
constexpr Duration kQuarantineRetryAfter = std::chrono::seconds(60);
// Callers honour Retry-After up to a third of their remaining time; a longer
// value would not be honoured.
constexpr double kRetryAfterFraction = 0.3;
// A refused caller gets a place in line only if its time is within this
// fraction of the target latency.
constexpr double kMaxWaitFraction = 0.5;

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

CallerHooks::RequestCallbacks
RequestFlow::Start()
{
  flow_.metrics_.requests_.Add(1);
  const CallerRequest& request = caller_->Request();
  requestId_ = request.headers_.Value(flow_.options_.headers_.requestId_);
  CallerHooks::RequestCallbacks callbacks;
  callbacks.onDisconnect_ = [self = shared_from_this()] {
    self->OnCallerDisconnected();
  };
  callbacks.onHostExit_ = [self = shared_from_this()] { self->OnHostExit(); };
  callbacks.onFront_ = [self = shared_from_this()] {
    self->atFront_ = true;
    self->StartIfAllowed();
  };
  atFront_ = caller_->IsFront();
  if (flow_.IsReady()) {
    StartIfAllowed();
  } else {
    WaitForView();
  }
  return callbacks;
}

void
RequestFlow::WaitForView()
{
  flow_.waitingForView_.push_back([self = shared_from_this()] {
    self->timer_.cancel();
    self->StartIfAllowed();
  });
  timer_.expires_after(ToSteady(flow_.options_.firstViewTimeout_));
  timer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && !self->started_) {
      self->Refuse(503, "no-view", self->flow_.options_.retryAfter_);
    }
  });
}

// A non-idempotent request waits until all earlier requests of its connection
// are answered: one of the responses may close the connection, and the caller
// would then send the request again.
void
RequestFlow::StartIfAllowed()
{
  if (started_ || finished_ || !flow_.IsReady() || !FindRoute()) {
    return;
  }
  if (IsIdempotent(route_->kind_) || atFront_) {
    Process();
  }
}

void
RequestFlow::Process()
{
  if (started_ || finished_) {
    return;
  }
  started_ = true;
  if (!FindRoute() || !CheckKey()) {
    return;
  }
  ComputeFingerprint();
  SetDeadline();
  if (!flow_.options_.canFinish_(deadline_)) {
    Refuse(503, "host-ends", flow_.options_.retryAfter_);
    return;
  }
  AwaitQuarantine([self = shared_from_this()] { self->RequestAdmission(); });
}

bool
RequestFlow::FindRoute()
{
  table_ = flow_.table_;
  const CallerRequest& request = caller_->Request();
  route_ =
    table_->FindRoute(HostWithoutPort(request.host_), PathOf(request.target_));
  if (route_ == nullptr) {
    Deny(404, "no-route");
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
  if (age >= flow_.options_.maxViewAge_) {
    LogEvent(Event::ViewNotConfirmed,
             { { "request", requestId_ },
               { "age_ms", ToMilliseconds(age) },
               { "limit_ms", ToMilliseconds(flow_.options_.maxViewAge_) },
               { "version", table_->Version() } });
    // Another host may still be able to reach the store, so the caller should
    // retry.
    Refuse(503, "keys-not-fresh", flow_.options_.retryAfter_);
    return false;
  }
  const std::string text(caller_->Request().headers_.Value("Authorization"));
  const std::string scheme = flow_.options_.headers_.keyScheme_ + " ";
  if (text.compare(0, scheme.size(), scheme) == 0) {
    customer_ = table_->FindCustomer(text.substr(scheme.size()));
  }
  if (customer_ == nullptr) {
    Deny(401, "unknown-key");
    return false;
  }
  return true;
}

// Refuses a request that the configuration does not allow, unless the view may
// lack a newer configuration that does.
void
RequestFlow::Deny(int aStatus, const std::string& aReason)
{
  const Duration age = flow_.options_.viewAge_(BootClock::now());
  if (age > flow_.options_.maxChangeDelay_) {
    Refuse(503, "view-late", flow_.options_.retryAfter_);
  } else {
    Refuse(aStatus, aReason, Duration::zero());
  }
}

void
RequestFlow::ComputeFingerprint()
{
  const CallerRequest& request = caller_->Request();
  fingerprint_ = MakeFingerprint(customer_ == nullptr ? "" : customer_->name_,
                                 request.method_,
                                 request.target_,
                                 request.body_->Size(),
                                 request.body_->Prefix(kFingerprintBodyBytes));
}

void
RequestFlow::AwaitQuarantine(std::function<void()> aNext)
{
  if (finished_) {
    return;
  }
  const QuarantineVerdict verdict = flow_.quarantine_.Check(fingerprint_);
  if (verdict == QuarantineVerdict::Refuse) {
    if (mayHaveExecuted_) {
      Refuse(502, "quarantined", Duration::zero());
    } else {
      Refuse(503, "quarantined", kQuarantineRetryAfter);
    }
    return;
  }
  const TimePoint now = BootClock::now();
  if (heldUntil_ == TimePoint::min() && verdict == QuarantineVerdict::Wait) {
    heldUntil_ = now + flow_.options_.maxHold_;
    LogEvent(Event::SuspectHeld,
             { { "request", requestId_ }, { "fingerprint", fingerprint_ } });
  }
  if (verdict == QuarantineVerdict::Run || now >= heldUntil_) {
    aNext();
    return;
  }
  holdTimer_.expires_after(ToSteady(flow_.options_.holdPollInterval_));
  holdTimer_.async_wait(
    [self = shared_from_this(), next = std::move(aNext)](ErrorCode aError) {
      if (!aError) {
        self->AwaitQuarantine(next);
      }
    });
}

void
RequestFlow::RequestAdmission()
{
  if (customer_ == nullptr) {
    StartAttempts();
    return;
  }
  flow_.allowanceChannel_.Admit(
    *customer_,
    Caller(),
    [self = shared_from_this()](const Admission& aAdmission) {
      self->OnAdmission(aAdmission);
    });
}

ReturningCaller
RequestFlow::Caller() const
{
  const std::string object = CookieValue(caller_->Request().headers_,
                                         flow_.options_.headers_.objectCookie_);
  // Zero stands for a caller that cannot be recognized.
  const std::uint64_t hash = StableHash(fingerprint_ + '\n' + object) | 1;
  // A place in line that is further away leads to an answer that is late.
  const Duration limit =
    FromSeconds(ToSeconds(TargetLatency()) * kMaxWaitFraction);
  return { hash, std::min(limit, MaxRetryAfter()) };
}

Duration
RequestFlow::MaxRetryAfter() const
{
  return FromSeconds(ToSeconds(TimeLeft()) * kRetryAfterFraction);
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
    StartAttempts();
    return;
  }
  LogEvent(Event::AllowanceUsedUp,
           { { "request", requestId_ },
             { "customer", customer_->name_ },
             { "customer_rate", customer_->ratePerSecond_ },
             { "customer_burst", customer_->burst_ },
             { "result", NameOf(aAdmission.result_) },
             { "wait_ms", ToMilliseconds(aAdmission.retryAfter_) },
             { "place", aAdmission.place_ },
             { "version", table_->Version() } });
  if (aAdmission.result_ == AdmissionResult::UsedUp) {
    Refuse(429, "allowance-used-up", aAdmission.retryAfter_);
  } else {
    Refuse(503, "no-allowance-owner", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::StartAttempts()
{
  ChooseService();
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
  const std::string_view text =
    request.headers_.Value(flow_.options_.headers_.deadline_);
  std::int64_t milliseconds = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (!text.empty() && parsed.ec == std::errc()) {
    limit = std::min(std::chrono::milliseconds(milliseconds), kMaxDeadline);
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

Duration
RequestFlow::TargetLatency() const
{
  return route_->targetLatency_ > Duration::zero() ? route_->targetLatency_
                                                   : kDefaultTargetLatency;
}

Choice
RequestFlow::ChooseServer(const ServerFilter& aFilter)
{
  ChoiceQuery query;
  query.hasObject_ = !object_.empty();
  query.objectHash_ = std::hash<std::string>()(route_->name_ + '\n' + object_);
  query.region_ = flow_.options_.region_;
  const Duration targetLatency = TargetLatency();
  const Duration roundTrip = flow_.roundTrips_.Mean();
  RegionShareOptions share;
  share.minRemoteWeight_ = LatencyWeight(roundTrip, targetLatency);
  query.remoteWeight_ =
    RemoteSlotWeight(flow_.instances_.Capacity(service_), share);
  const auto homeRegions =
    IntersectHomeRegions(route_->homeRegions_,
                         customer_ == nullptr ? std::vector<std::string>()
                                              : customer_->homeRegions_);
  if (!homeRegions) {
    return {};
  }
  query.homeRegions_ = aFilter.regions_ ? *aFilter.regions_ : *homeRegions;
  query.tried_ = tried_;
  query.tried_.insert(aFilter.excluded_.begin(), aFilter.excluded_.end());
  query.slotsGranted_ = aFilter.slotsGranted_;
  query.timeLeft_ = TimeLeft();
  query.targetLatency_ = targetLatency;
  query.roundTrip_ = roundTrip;
  if (!aFilter.regions_) {
    flow_.remoteBudget_.OnRequest();
  }
  query.takeRemoteToken_ = [this] { return flow_.remoteBudget_.TryTake(); };
  query.takeColdToken_ = [this](const Instance& aInstance) {
    return TakeColdToken(aInstance);
  };
  const RegionRequest request{ service_,
                               route_->name_,
                               query.hasObject_ ? query.objectHash_
                                                : flow_.random_(),
                               !homeRegions->empty(),
                               targetLatency };
  const bool isFirst = !demandRecorded_;
  demandRecorded_ = true;
  return flow_.regionPlan_.ChooseServer(
    flow_.instances_, request, isFirst, query, flow_.options_.chooser_);
}

bool
RequestFlow::TakeColdToken(const Instance& aInstance)
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
RequestFlow::RespondWithResult(ServerExchangeResult aResult)
{
  if (aResult.outcome_ == ExchangeOutcome::Answered) {
    ForwardResponse(std::move(aResult.response_));
  } else {
    RespondWithFailure(aResult);
  }
}

void
RequestFlow::RespondWithFailure(const ServerExchangeResult& aResult)
{
  if (mayHaveExecuted_) {
    Refuse(502, std::string(NameOf(aResult.outcome_)), Duration::zero());
  } else {
    Refuse(503, "not-run", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::ForwardResponse(ServerResponse aResponse)
{
  CallerResponse response;
  response.status_ = aResponse.status_;
  // These statuses promise that the request was not executed, but the server
  // executed this one.
  const bool claimsNotExecuted = aResponse.status_ == 429 ||
                                 aResponse.status_ == 503 ||
                                 aResponse.status_ == 408;
  if (claimsNotExecuted) {
    Refuse(502, "false-promise-of-the-server", Duration::zero());
    return;
  }
  response.headers_ = EndToEndHeaders(aResponse.headers_);
  response.body_ = std::move(aResponse.body_);
  response.hold_ = std::move(aResponse.hold_);
  Finish(std::move(response), "");
}

bool
RequestFlow::MayExecute() const
{
  return mayHaveExecuted_ || (exchange_ && exchange_->WasSent());
}

void
RequestFlow::OnTimeout()
{
  if (finished_) {
    return;
  }
  if (MayExecute()) {
    Refuse(504, "timeout", Duration::zero());
  } else {
    Refuse(503, "timeout-before-sending", flow_.options_.retryAfter_);
  }
}

// The caller gets an answer in place of a connection that ends.
void
RequestFlow::OnHostExit()
{
  if (finished_) {
    return;
  }
  if (MayExecute()) {
    Refuse(502, "host-ends", Duration::zero());
  } else {
    Refuse(503, "host-ends", flow_.options_.retryAfter_);
  }
}

void
RequestFlow::OnCallerDisconnected()
{
  if (finished_) {
    return;
  }
  CancelWork();
  flow_.metrics_.abandoned_.Add(1);
  LogEvent(Event::CallerLeft, { { "request", requestId_ } });
}

void
RequestFlow::CancelWork()
{
  finished_ = true;
  timer_.cancel();
  holdTimer_.cancel();
  flow_.slots_.Cancel(slotTicket_);
  ReleaseSlot({});
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
  CallerResponse response;
  response.status_ = aStatus;
  if (!requestId_.empty()) {
    response.headers_.Add(flow_.options_.headers_.requestId_, requestId_);
  }
  if (aRetryAfter > Duration::zero()) {
    Duration wait = aRetryAfter;
    if (aStatus == 503) {
      // Callers that are refused for the same reason get different waits.
      wait = flow_.refusals_.Next(aReason + '/' + service_, wait);
    }
    if (deadline_ != TimePoint()) {
      wait = std::min(wait, MaxRetryAfter());
    }
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", ToSeconds(wait));
    response.headers_.Add("Retry-After", text);
  }
  Finish(std::move(response), aReason);
}

void
RequestFlow::Finish(CallerResponse aResponse, const std::string& aReason)
{
  if (finished_) {
    return;
  }
  CancelWork();
  const TimePoint now = BootClock::now();
  // A request that was not executed is not charged to its customer.
  if (charged_ && aResponse.status_ == 503) {
    flow_.allowanceChannel_.ReturnToken(customer_->name_);
  }
  const Duration elapsed = now - caller_->Request().arrivedAt_;
  flow_.metrics_.latency_.Observe(elapsed);
  flow_.metrics_.registry_
    .Counter("peridotsail_answers_total",
             "Answers by status.",
             "status=\"" + std::to_string(aResponse.status_) + "\"")
    .Add(1);
  LogEvent(aReason.empty() ? Event::RequestFinished : Event::RequestRefused,
           { { "request", requestId_ },
             { "status", aResponse.status_ },
             { "reason", aReason },
             { "customer", customer_ == nullptr ? "" : customer_->name_ },
             { "attempts", attempts_ },
             { "elapsed_ms", ToMilliseconds(elapsed) },
             { "version", table_ ? table_->Version() : 0 },
             { "view_age_ms", ToMilliseconds(flow_.options_.viewAge_(now)) } });
  caller_->Respond(std::move(aResponse));
}

}
