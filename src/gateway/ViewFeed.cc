#include "gateway/ViewFeed.h"

#include "http/BeastTypes.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <charconv>
#include <map>

namespace peridotsail {

using namespace detail;

namespace {

constexpr std::string_view kPath = "/view";
constexpr std::string_view kValuePath = "/value";
constexpr const char* kAfter = "after";
constexpr const char* kWait = "wait_ms";
// Set to 1 by followers that fetch large values on their own.
constexpr const char* kDefer = "defer";
// Set to 1 by followers that accept compressed events.
constexpr const char* kDeflate = "deflate";
constexpr const char* kKey = "key";
constexpr const char* kRevision = "revision";
// The era of either. Followers of a build that does not know of eras omit it;
// they get all changes since this host's first era.
constexpr const char* kEra = "era";
// A recovery of the store is reported to followers only for this long; older
// ones are irrelevant to them.
constexpr Duration kMaxRecoveryAge = std::chrono::seconds(10);

std::optional<std::uint64_t>
ToNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

std::optional<std::uint64_t>
QueryNumber(const HttpRequest& aRequest, const char* aName)
{
  return ToNumber(QueryParameter(aRequest.target_, aName).value_or(""));
}

// Adds the large values that deferred events refer to. Returns false if one is
// not known.
bool
AddValues(const ViewCache& aCache, std::vector<KvItem>& aEvents)
{
  for (KvItem& event : aEvents) {
    if (!event.deferred_) {
      continue;
    }
    const KvItem* value = aCache.ValueOf(event.key_, event.Position());
    if (value == nullptr) {
      return false;
    }
    event = *value;
  }
  return true;
}

}

struct ViewFeed::Impl : public std::enable_shared_from_this<Impl>
{
  enum class RequestKind
  {
    // For the events after a position.
    Poll,
    // For a large value of at least a position.
    Value,
  };
  struct PendingRequest
  {
    RequestKind kind_ = RequestKind::Poll;
    StorePosition position_;
    // Of a value.
    std::string key_;
    // Whether the follower fetches large values on its own.
    bool defersValues_ = false;
    // Whether the follower accepts compressed events.
    bool acceptsDeflated_ = false;
    TimePoint arrivedAt_;
    TimePoint end_;
    std::shared_ptr<HttpReply> reply_;
  };

  Impl(asio::io_context& aContext, ViewFeedOptions aOptions)
    : options_(std::move(aOptions))
    , client_(aContext, {})
    , timer_(aContext)
  {
  }

  void OnRequest(const HttpRequest& aRequest,
                 const std::shared_ptr<HttpReply>& aReply);
  // Returns nullopt for a malformed request.
  std::optional<PendingRequest> ParsePoll(const HttpRequest& aRequest) const;
  std::optional<PendingRequest> ParseValue(const HttpRequest& aRequest) const;
  std::uint64_t ReadEra(const HttpRequest& aRequest) const;
  bool HasUpdates(const PendingRequest& aPending) const;
  void Respond(const PendingRequest& aPending);
  void RespondToPoll(const PendingRequest& aPending);
  void RespondToValue(const PendingRequest& aPending);
  // Responds to all polls if aUpdated, and to the requests for known values.
  void RespondToWaiting(bool aUpdated);
  void ScheduleTimer();
  void OnTimer();
  void OnResponse(const std::string& aAddress,
                  const std::optional<HttpResponse>& aResponse,
                  const Error& aError,
                  const HttpTransfer& aTransfer,
                  const Callback& aCallback);
  void OnValue(const std::string& aAddress,
               const std::optional<HttpResponse>& aResponse,
               const Error& aError,
               const HttpTransfer& aTransfer,
               const ValueCallback& aCallback);
  // Reports a call to a host; aUsable states whether it had a usable response.
  void Report(ReadSource aSource,
              const std::string& aAddress,
              int aStatus,
              bool aUsable,
              const Error& aError,
              const HttpTransfer& aTransfer) const;

  ViewFeedOptions options_;
  HttpClient client_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerDueAt_;
  // Keyed by the end of their wait.
  std::multimap<TimePoint, PendingRequest> waiting_;
  const ViewCache* cache_ = nullptr;
  ViewConfirmation confirmation_;
  // The cache's position when it was last published.
  StorePosition publishedPosition_;
  // The last response to a request for a value. All followers request the same
  // one after a change.
  struct EncodedValue
  {
    std::string key_;
    StorePosition position_;
    std::string bytes_;
  };
  EncodedValue encoded_;
  std::unique_ptr<HttpServer> server_;
};

std::optional<ViewFeed::Impl::PendingRequest>
ViewFeed::Impl::ParsePoll(const HttpRequest& aRequest) const
{
  const auto after = QueryNumber(aRequest, kAfter);
  const auto wait = QueryNumber(aRequest, kWait);
  if (!after || !wait) {
    return std::nullopt;
  }
  const auto maxWait =
    static_cast<std::uint64_t>(ToMilliseconds(options_.maxWait_));
  PendingRequest request;
  request.position_ = { *after, ReadEra(aRequest) };
  request.defersValues_ =
    QueryParameter(aRequest.target_, kDefer).value_or("") == "1";
  request.acceptsDeflated_ =
    QueryParameter(aRequest.target_, kDeflate).value_or("") == "1";
  request.arrivedAt_ = BootClock::now();
  request.end_ =
    request.arrivedAt_ + std::chrono::milliseconds(std::min(*wait, maxWait));
  return request;
}

std::optional<ViewFeed::Impl::PendingRequest>
ViewFeed::Impl::ParseValue(const HttpRequest& aRequest) const
{
  const auto revision = QueryNumber(aRequest, kRevision);
  const auto key = QueryParameter(aRequest.target_, kKey);
  if (!revision || !key) {
    return std::nullopt;
  }
  PendingRequest request;
  request.kind_ = RequestKind::Value;
  request.position_ = { *revision, ReadEra(aRequest) };
  request.key_ = *key;
  request.arrivedAt_ = BootClock::now();
  request.end_ = request.arrivedAt_ + options_.valueWait_;
  return request;
}

std::uint64_t
ViewFeed::Impl::ReadEra(const HttpRequest& aRequest) const
{
  const std::uint64_t firstEra = cache_ == nullptr ? 0 : cache_->FirstEra();
  return QueryNumber(aRequest, kEra).value_or(firstEra);
}

void
ViewFeed::Impl::OnRequest(const HttpRequest& aRequest,
                          const std::shared_ptr<HttpReply>& aReply)
{
  const std::string_view path = PathOf(aRequest.target_);
  std::optional<PendingRequest> request;
  if (path == kPath) {
    request = ParsePoll(aRequest);
  } else if (path == kValuePath) {
    request = ParseValue(aRequest);
  }
  if (!request) {
    aReply->Send({ 404, {}, "" });
    return;
  }
  request->reply_ = aReply;
  if (HasUpdates(*request) || waiting_.size() >= options_.maxWaiting_) {
    Respond(*request);
    return;
  }
  waiting_.emplace(request->end_, *request);
  ScheduleTimer();
}

bool
ViewFeed::Impl::HasUpdates(const PendingRequest& aPending) const
{
  if (cache_ == nullptr) {
    return false;
  }
  return aPending.kind_ == RequestKind::Poll
           ? cache_->Position() > aPending.position_
           : cache_->ValueOf(aPending.key_, aPending.position_) != nullptr;
}

void
ViewFeed::Impl::Respond(const PendingRequest& aPending)
{
  if (cache_ == nullptr || confirmation_.at_ == TimePoint::min()) {
    aPending.reply_->Send({ 503, {}, "" });
  } else if (aPending.kind_ == RequestKind::Poll) {
    RespondToPoll(aPending);
  } else {
    RespondToValue(aPending);
  }
}

void
ViewFeed::Impl::RespondToPoll(const PendingRequest& aPending)
{
  ViewResponse response;
  auto events = cache_->EventsSince(aPending.position_);
  if (events && !aPending.defersValues_ && !AddValues(*cache_, *events)) {
    aPending.reply_->Send({ 503, {}, "" });
    return;
  }
  response.status_ = events ? KvStatus::Done : KvStatus::Gone;
  response.events_ = std::move(events).value_or(std::vector<KvItem>());
  response.position_ = cache_->Position();
  response.source_ = confirmation_.source_;
  response.version_ = confirmation_.version_;
  response.unstored_ = confirmation_.unstored_;
  response.confirmedOffset_ = confirmation_.at_ - aPending.arrivedAt_;
  const TimePoint now = BootClock::now();
  const TimePoint recoveredAt = confirmation_.storeRecoveredAt_;
  if (recoveredAt != TimePoint::min() && now - recoveredAt < kMaxRecoveryAge) {
    response.storeRecoveredAgo_ = now - recoveredAt;
  }
  aPending.reply_->Send(
    { 200,
      { { "Content-Type", "application/cbor" } },
      EncodeViewResponse(response, aPending.acceptsDeflated_) });
}

void
ViewFeed::Impl::RespondToValue(const PendingRequest& aPending)
{
  const KvItem* value = cache_->ValueOf(aPending.key_, aPending.position_);
  if (value == nullptr) {
    aPending.reply_->Send({ 404, {}, "" });
    return;
  }
  const bool encoded =
    encoded_.key_ == value->key_ && encoded_.position_ == value->Position();
  if (!encoded) {
    encoded_ = { value->key_, value->Position(), EncodeViewValue(*value) };
  }
  aPending.reply_->Send(
    { 200, { { "Content-Type", "application/cbor" } }, encoded_.bytes_ });
}

void
ViewFeed::Impl::RespondToWaiting(bool aUpdated)
{
  std::multimap<TimePoint, PendingRequest> waiting;
  waiting.swap(waiting_);
  for (const auto& [end, request] : waiting) {
    const bool due =
      request.kind_ == RequestKind::Poll ? aUpdated : HasUpdates(request);
    if (due) {
      Respond(request);
    } else {
      waiting_.emplace(end, request);
    }
  }
}

// Sets the timer for the request whose wait ends first.
void
ViewFeed::Impl::ScheduleTimer()
{
  const bool set = timerDueAt_ && (waiting_.empty() ||
                                   *timerDueAt_ <= waiting_.begin()->first);
  if (waiting_.empty() || set) {
    return;
  }
  timerDueAt_ = waiting_.begin()->first;
  timer_.expires_after(
    ToSteady(std::max(Duration::zero(), *timerDueAt_ - BootClock::now())));
  timer_.async_wait([weak = weak_from_this()](ErrorCode aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->timerDueAt_.reset();
      self->OnTimer();
    }
  });
}

void
ViewFeed::Impl::OnTimer()
{
  const TimePoint now = BootClock::now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const PendingRequest request = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    Respond(request);
  }
  ScheduleTimer();
}

void
ViewFeed::Impl::Report(ReadSource aSource,
                       const std::string& aAddress,
                       int aStatus,
                       bool aUsable,
                       const Error& aError,
                       const HttpTransfer& aTransfer) const
{
  if (!options_.onRead_) {
    return;
  }
  ReadReport report{ aSource, aAddress, aStatus, "", aTransfer };
  if (!aUsable) {
    report.failure_ = aStatus == 0 ? aError.detail_ : "unusable response";
  }
  options_.onRead_(report);
}

void
ViewFeed::Impl::OnResponse(const std::string& aAddress,
                           const std::optional<HttpResponse>& aResponse,
                           const Error& aError,
                           const HttpTransfer& aTransfer,
                           const Callback& aCallback)
{
  const int status = aResponse ? aResponse->status_ : 0;
  const auto response = status == 200 ? DecodeViewResponse(aResponse->body_)
                                      : std::optional<ViewResponse>();
  Report(ReadSource::Neighbour,
         aAddress,
         status,
         response.has_value(),
         aError,
         aTransfer);
  aCallback(response.value_or(ViewResponse()));
}

void
ViewFeed::Impl::OnValue(const std::string& aAddress,
                        const std::optional<HttpResponse>& aResponse,
                        const Error& aError,
                        const HttpTransfer& aTransfer,
                        const ValueCallback& aCallback)
{
  const int status = aResponse ? aResponse->status_ : 0;
  auto value =
    status == 200 ? DecodeViewValue(aResponse->body_) : std::optional<KvItem>();
  Report(ReadSource::NeighbourValue,
         aAddress,
         status,
         value.has_value(),
         aError,
         aTransfer);
  aCallback(std::move(value));
}

ViewFeed::ViewFeed(asio::io_context& aContext, ViewFeedOptions aOptions)
  : impl_(std::make_shared<Impl>(aContext, std::move(aOptions)))
{
  // Connections from followers can outlive the feed.
  impl_->server_ = std::make_unique<HttpServer>(
    aContext,
    HttpServerOptions(),
    [weak = std::weak_ptr<Impl>(impl_)](
      const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      if (const auto self = weak.lock()) {
        self->OnRequest(aRequest, aReply);
      } else {
        aReply->Abort();
      }
    });
}

ViewFeed::~ViewFeed() = default;

bool
ViewFeed::Listen(const Address& aAddress, Error& aError)
{
  return impl_->server_->Listen(aAddress, aError);
}

std::uint16_t
ViewFeed::Port() const
{
  return impl_->server_->Port();
}

void
ViewFeed::Publish(const ViewCache& aCache, ViewConfirmation aConfirmation)
{
  const bool updated = impl_->cache_ == nullptr ||
                       aConfirmation.at_ > impl_->confirmation_.at_ ||
                       aCache.Position() > impl_->publishedPosition_;
  impl_->cache_ = &aCache;
  impl_->confirmation_ = std::move(aConfirmation);
  impl_->publishedPosition_ = aCache.Position();
  impl_->RespondToWaiting(updated);
}

void
ViewFeed::Poll(const std::string& aAddress,
               const StorePosition& aAfter,
               Duration aWait,
               Callback aCallback)
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    impl_->OnResponse(aAddress,
                      std::nullopt,
                      { ErrorKind::PeerUnreachable, "malformed address" },
                      {},
                      aCallback);
    return;
  }
  HttpRequest request;
  request.target_ = std::string(kPath) + "?" + kAfter + "=" +
                    std::to_string(aAfter.revision_) + "&" + kEra + "=" +
                    std::to_string(aAfter.era_) + "&" + kWait + "=" +
                    std::to_string(ToMilliseconds(aWait)) + "&" + kDefer +
                    "=1&" + kDeflate + "=1";
  const Duration timeout = impl_->options_.timeout_;
  impl_->client_.Call(
    *address,
    request,
    HttpTimeouts{ aWait + timeout, timeout },
    [weak = std::weak_ptr<Impl>(impl_),
     aAddress,
     callback =
       std::move(aCallback)](const std::optional<HttpResponse>& aResponse,
                             const Error& aError,
                             const HttpTransfer& aTransfer) {
      if (const auto self = weak.lock()) {
        self->OnResponse(aAddress, aResponse, aError, aTransfer, callback);
      }
    });
}

void
ViewFeed::FetchValue(const std::string& aAddress,
                     const std::string& aKey,
                     const StorePosition& aPosition,
                     ValueCallback aCallback)
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    impl_->OnValue(aAddress,
                   std::nullopt,
                   { ErrorKind::PeerUnreachable, "malformed address" },
                   {},
                   aCallback);
    return;
  }
  HttpRequest request;
  request.target_ = std::string(kValuePath) + "?" + kKey + "=" +
                    EncodeQueryValue(aKey) + "&" + kRevision + "=" +
                    std::to_string(aPosition.revision_) + "&" + kEra + "=" +
                    std::to_string(aPosition.era_);
  const Duration timeout = impl_->options_.timeout_;
  impl_->client_.Call(
    *address,
    request,
    HttpTimeouts{ impl_->options_.valueWait_ + timeout, timeout },
    [weak = std::weak_ptr<Impl>(impl_),
     aAddress,
     callback =
       std::move(aCallback)](const std::optional<HttpResponse>& aResponse,
                             const Error& aError,
                             const HttpTransfer& aTransfer) {
      if (const auto self = weak.lock()) {
        self->OnValue(aAddress, aResponse, aError, aTransfer, callback);
      }
    });
}

}
