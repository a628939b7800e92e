#include "proxy/RequestHandler.h"

#include "backend/Quarantine.h"
#include "base/EventLog.h"

#include <algorithm>
#include <charconv>

namespace peridotsail::detail {

namespace {

// Encoding overhead of a header field in a relay message.
constexpr std::size_t kHeaderFieldOverhead = 8;

}

RequestHandler::RequestHandler(std::shared_ptr<RequestPipeline::Impl> aPipeline,
                               IncomingRequestPtr aRequest)
  : pipeline_(std::move(aPipeline))
  , incoming_(std::move(aRequest))
  , start_(BootClock::now())
{
  ++pipeline_->inFlight_;
  pipeline_->inFlightGauge_.Set(static_cast<double>(pipeline_->inFlight_));
  pipeline_->requests_.Add(1);
}

RequestHandler::~RequestHandler()
{
  --pipeline_->inFlight_;
  pipeline_->inFlightGauge_.Set(static_cast<double>(pipeline_->inFlight_));
}

void
RequestHandler::Start()
{
  if (PathOf(incoming_->Head().target_) == kLookupPath) {
    AnswerLookup();
    return;
  }
  query_.configuration_ = pipeline_->hooks_.configuration_();
  if (query_.configuration_ == nullptr) {
    Refuse(MakeRefusal(ErrorKind::ConfigurationMissing));
    return;
  }
  const bool accepted = CheckRoute() && CheckBody() && CheckKey() &&
                        CheckIdempotencyKey() && CheckRate();
  if (!accepted) {
    return;
  }
  SetDeadline();
  if (NeedsAtMostOnce()) {
    StartAtMostOnce();
  } else {
    Dispatch();
  }
}

void
RequestHandler::StartRelayed(const RelayedRequest& aRelayed)
{
  query_.configuration_ = pipeline_->hooks_.configuration_();
  query_.customer_ = aRelayed.customer_;
  query_.relayed_ = true;
  query_.forHolder_ = aRelayed.atMostOnce_;
  query_.deadline_ = aRelayed.deadline_;
  if (query_.configuration_ == nullptr) {
    Refuse(MakeRefusal(ErrorKind::ConfigurationMissing));
    return;
  }
  const bool accepted = CheckRoute() && CheckBody() && CheckIdempotencyKey() &&
                        CheckAdmission(aRelayed);
  if (!accepted) {
    return;
  }
  if (aRelayed.atMostOnce_ && NeedsAtMostOnce()) {
    StartAtMostOnce();
  } else {
    ChooseServer();
  }
}

bool
RequestHandler::CheckAdmission(const RelayedRequest& aRelayed)
{
  if (!pipeline_->hooks_.admitRelayed_) {
    return true;
  }
  RelayAdmission admission =
    pipeline_->hooks_.admitRelayed_(query_, aRelayed.fromRegion_);
  if (admission.refusal_) {
    pipeline_->CountRefusal(*admission.refusal_);
    aRelayed.refuse_(*admission.refusal_);
    return false;
  }
  aRelayed.setAllowance_(std::move(admission.allowance_));
  return true;
}

void
RequestHandler::AnswerLookup()
{
  if (incoming_->Head().method_ != "GET") {
    Refuse(MakeRefusal(ErrorKind::MethodNotAllowed));
    return;
  }
  const std::string block =
    QueryParameter(incoming_->Head().target_, "block").value_or("");
  ResponseHead head;
  head.headers_ = { { "Content-Type", "application/json" } };
  SendSmallResponse(incoming_,
                    std::move(head),
                    pipeline_->hooks_.lookup_(block),
                    [self = shared_from_this()] {});
}

bool
RequestHandler::CheckRoute()
{
  const RequestHead& head = incoming_->Head();
  query_.route_ = query_.configuration_->FindRoute(PathOf(head.target_));
  if (query_.route_ == nullptr) {
    Refuse(MakeRefusal(ErrorKind::RouteNotFound));
    return false;
  }
  const std::vector<std::string>& methods = query_.route_->methods_;
  const bool allowed =
    methods.empty() ||
    std::find(methods.begin(), methods.end(), head.method_) != methods.end();
  if (!allowed) {
    Refuse(MakeRefusal(ErrorKind::MethodNotAllowed));
  }
  return allowed;
}

bool
RequestHandler::CheckBody()
{
  const std::uint64_t length = incoming_->Head().contentLength_.value_or(0);
  if (length <= query_.route_->maxBodyBytes_) {
    return true;
  }
  Refuse(MakeRefusal(ErrorKind::BodyTooLarge));
  return false;
}

bool
RequestHandler::CheckKey()
{
  if (query_.route_->open_) {
    return true;
  }
  Error error;
  const auto customer = pipeline_->hooks_.authenticate_(
    FindHeader(incoming_->Head().headers_, "Authorization"), error);
  if (!customer) {
    LogEvent(Event::KeyRefused, { { "route", query_.route_->name_ } });
    Refuse(MakeRefusal(error.kind_, error.detail_));
    return false;
  }
  query_.customer_ = *customer;
  return true;
}

bool
RequestHandler::CheckIdempotencyKey()
{
  const bool present =
    FindHeader(incoming_->Head().headers_, "Idempotency-Key") != nullptr;
  if (query_.route_->idempotent_ || present) {
    return true;
  }
  Refuse(MakeRefusal(ErrorKind::IdempotencyKeyRequired));
  return false;
}

bool
RequestHandler::CheckRate()
{
  if (query_.customer_.empty()) {
    return true;
  }
  const auto refusal = pipeline_->hooks_.admit_(query_.customer_);
  if (refusal) {
    Refuse(*refusal);
  }
  return !refusal;
}

void
RequestHandler::SetDeadline()
{
  Duration limit = query_.route_->timeout_;
  const std::string* header =
    FindHeader(incoming_->Head().headers_, "Request-Timeout");
  if (header != nullptr) {
    std::uint32_t milliseconds = 0;
    const char* end = header->data() + header->size();
    const auto parsed = std::from_chars(header->data(), end, milliseconds);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      limit =
        std::min<Duration>(limit, std::chrono::milliseconds(milliseconds));
    }
  }
  query_.deadline_ = start_ + limit;
  const RequestHead& request = incoming_->Head();
  std::size_t bytes = request.target_.size();
  for (const HttpHeader& field : request.headers_) {
    bytes += field.name_.size() + field.value_.size() + kHeaderFieldOverhead;
  }
  query_.requestBytes_ =
    static_cast<double>(bytes + request.contentLength_.value_or(0));
}

void
RequestHandler::Dispatch()
{
  const auto target = pipeline_->hooks_.chooseRelay_(query_);
  if (!target) {
    ChooseServer();
  } else if (target->refusal_) {
    ReleaseClaim();
    Refuse(*target->refusal_);
  } else {
    StartRelay(*target);
  }
}

RequestHead
RequestHandler::ForwardedHead() const
{
  RequestHead head = incoming_->Head();
  head.headers_ = ForwardableHeaders(head.headers_);
  return head;
}

void
RequestHandler::RewindBody()
{
  if (buffered_) {
    buffered_->Rewind();
  }
}

void
RequestHandler::StartRelay(const RelayTarget& aTarget)
{
  if (hasClaim_ && !execution_.MayStart(BootClock::now())) {
    ReleaseClaim();
    Refusal refusal = MakeRefusal(ErrorKind::PeerUnreachable,
                                  "the lease of the slot has expired");
    refusal.execution_ = ExecutionState::Unknown;
    Refuse(refusal);
    return;
  }
  LogEvent(Event::RelayDecision,
           { { "route", query_.route_->name_ },
             { "customer", query_.customer_ },
             { "to_host", aTarget.host_ },
             { "to_region", aTarget.region_ } });
  RelayRequestHead head;
  head.head_ = ForwardedHead();
  head.customer_ = query_.customer_;
  head.route_ = query_.route_->name_;
  RewindBody();
  pipeline_->relays_.Start(
    incoming_,
    aTarget.host_,
    std::move(head),
    query_.deadline_,
    [self = shared_from_this(), region = aTarget.region_](
      const RelayResult& aResult) { self->OnRelayDone(region, aResult); },
    aTarget.allowance_);
}

bool
RequestHandler::MayTryOtherRegion(const RelayResult& aResult) const
{
  return aResult.execution_ == ExecutionState::NotRun &&
         !aResult.bodyConsumed_ && !aResult.callerDisconnected_ &&
         !incoming_->HeadSent() && BootClock::now() < query_.deadline_;
}

void
RequestHandler::OnRelayDone(const std::string& aRegion,
                            const RelayResult& aResult)
{
  if (aResult.refused_ && pipeline_->hooks_.onRelayRefused_) {
    pipeline_->hooks_.onRelayRefused_(aRegion);
  }
  if (aResult.error_ && MayTryOtherRegion(aResult)) {
    query_.triedRegions_.push_back(aRegion);
    Dispatch();
    return;
  }
  FinishClaim(aResult);
  if (!aResult.error_) {
    Finish(aResult.status_);
    return;
  }
  if (aResult.callerDisconnected_) {
    incoming_->Abort();
    return;
  }
  Refusal refusal = MakeRefusal(aResult.error_->kind_, aResult.error_->detail_);
  refusal.execution_ = aResult.execution_;
  Refuse(refusal);
}

void
RequestHandler::ChooseServer()
{
  if (query_.fingerprint_.empty()) {
    const RequestHead& head = incoming_->Head();
    query_.fingerprint_ = MakeFingerprint(query_.customer_,
                                          head.method_,
                                          head.target_,
                                          head.contentLength_.value_or(0),
                                          "");
  }
  pipeline_->hooks_.chooseServer_(
    query_, [self = shared_from_this()](const ServerChoice& aChoice) {
      if (aChoice.server_) {
        self->Execute(*aChoice.server_);
      } else {
        self->ReleaseClaim();
        self->Refuse(aChoice.refusal_);
      }
    });
}

void
RequestHandler::Execute(const BackendServerConfig& aServer)
{
  ++attempts_;
  query_.tried_.insert(aServer.name_);
  query_.chosenAt_ = BootClock::now();
  LogEvent(Event::RouteDecision,
           { { "route", query_.route_->name_ },
             { "customer", query_.customer_ },
             { "server", aServer.name_ },
             { "attempt", attempts_ },
             { "relayed", query_.relayed_ } });
  RewindBody();
  ExchangeOptions options;
  options.serverAddress_ = aServer.address_;
  options.deadline_ = query_.deadline_;
  options.progressTimeout_ = pipeline_->options_.progressTimeout_;
  options.maxBodyBytes_ = query_.route_->maxBodyBytes_;
  options.reuseConnection_ = query_.route_->idempotent_;
  if (hasClaim_) {
    options.mayStart_ = [self = shared_from_this()] {
      return self->execution_.MayStart(BootClock::now());
    };
  }
  if (query_.route_->idempotent_ && !incoming_->Head().hasBody_ &&
      pipeline_->hooks_.responseTimeout_) {
    options.responseTimeout_ = pipeline_->hooks_.responseTimeout_(query_);
  }
  std::make_shared<BackendExchange>(
    pipeline_->connections_,
    incoming_,
    ForwardedHead(),
    options,
    [self = shared_from_this(), server = aServer](
      const ExchangeResult& aResult) { self->OnExchangeDone(server, aResult); })
    ->Start();
}

void
RequestHandler::OnExchangeDone(const BackendServerConfig& aServer,
                               const ExchangeResult& aResult)
{
  pipeline_->hooks_.onExchange_(query_, aServer, aResult);
  query_.shed_ = aResult.shed_;
  shedAttempts_ += aResult.shed_ ? 1 : 0;
  if (aResult.stalledConnectionOpenedAt_) {
    LogEvent(Event::BackendConnectionSilent, { { "server", aServer.name_ } });
    pipeline_->connections_.CloseIdle(aServer.address_,
                                      *aResult.stalledConnectionOpenedAt_);
  }
  if (aResult.error_ && MayRetry(aResult)) {
    ChooseServer();
    return;
  }
  FinishClaim(aResult);
  if (!aResult.error_) {
    Finish(aResult.status_);
    return;
  }
  if (aResult.callerDisconnected_) {
    incoming_->Abort();
    return;
  }
  Refusal refusal = MakeRefusal(aResult.error_->kind_, aResult.error_->detail_);
  refusal.execution_ = aResult.execution_;
  Refuse(refusal);
}

bool
RequestHandler::MayRetry(const ExchangeResult& aResult) const
{
  const bool safe =
    query_.route_->idempotent_ || aResult.execution_ == ExecutionState::NotRun;
  const bool useful = aResult.connectFailed_ || aResult.shed_ ||
                      aResult.connectionLost_ ||
                      aResult.stalledConnectionOpenedAt_.has_value();
  return safe && useful && !aResult.callerDisconnected_ &&
         (!aResult.bodyConsumed_ || hasClaim_) && !incoming_->HeadSent() &&
         attempts_ - shedAttempts_ < pipeline_->options_.maxAttempts_ &&
         BootClock::now() < query_.deadline_ &&
         pipeline_->hooks_.mayRetry_(query_, aResult);
}

void
RequestHandler::Refuse(const Refusal& aRefusal)
{
  LogEvent(Event::RequestRefused,
           { { "kind", NameOf(aRefusal.error_.kind_) },
             { "execution", NameOf(aRefusal.execution_) },
             { "customer", query_.customer_ },
             { "detail", aRefusal.error_.detail_ } });
  pipeline_->CountRefusal(aRefusal.error_.kind_);
  SendRefusal(incoming_, aRefusal, [self = shared_from_this()] {});
}

void
RequestHandler::Finish(int aStatus)
{
  const Duration elapsed = BootClock::now() - start_;
  pipeline_->latency_.Observe(elapsed);
  LogEvent(Event::RequestFinished,
           { { "route", query_.route_->name_ },
             { "status", aStatus },
             { "seconds", ToSeconds(elapsed) } });
}

}
