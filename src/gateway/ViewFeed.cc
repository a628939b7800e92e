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
constexpr const char* kAfter = "after";
constexpr const char* kWait = "wait_ms";
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

}

struct ViewFeed::Impl : public std::enable_shared_from_this<Impl>
{
  struct PendingRequest
  {
    std::uint64_t after_ = 0;
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
  bool HasUpdates(const PendingRequest& aPending) const;
  void Respond(const PendingRequest& aPending);
  void RespondToAll();
  void ScheduleTimer();
  void OnTimer();
  void OnResponse(const std::string& aAddress,
                  const std::optional<HttpResponse>& aResponse,
                  const Error& aError,
                  const HttpTransfer& aTransfer,
                  const Callback& aCallback);

  ViewFeedOptions options_;
  HttpClient client_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerDueAt_;
  // Keyed by the end of their wait.
  std::multimap<TimePoint, PendingRequest> waiting_;
  const ViewCache* cache_ = nullptr;
  ViewConfirmation confirmation_;
  // The cache's revision when it was last published.
  std::uint64_t publishedRevision_ = 0;
  std::unique_ptr<HttpServer> server_;
};

void
ViewFeed::Impl::OnRequest(const HttpRequest& aRequest,
                          const std::shared_ptr<HttpReply>& aReply)
{
  const auto after =
    ToNumber(QueryParameter(aRequest.target_, kAfter).value_or(""));
  const auto wait =
    ToNumber(QueryParameter(aRequest.target_, kWait).value_or(""));
  if (PathOf(aRequest.target_) != kPath || !after || !wait) {
    aReply->Send({ 404, {}, "" });
    return;
  }
  const auto maxWait =
    static_cast<std::uint64_t>(ToMilliseconds(options_.maxWait_));
  const TimePoint now = BootClock::now();
  const PendingRequest request{ *after,
                                now,
                                now + std::chrono::milliseconds(
                                        std::min(*wait, maxWait)),
                                aReply };
  if (HasUpdates(request) || waiting_.size() >= options_.maxWaiting_) {
    Respond(request);
    return;
  }
  waiting_.emplace(request.end_, request);
  ScheduleTimer();
}

bool
ViewFeed::Impl::HasUpdates(const PendingRequest& aPending) const
{
  return cache_ != nullptr && cache_->Revision() > aPending.after_;
}

void
ViewFeed::Impl::Respond(const PendingRequest& aPending)
{
  if (cache_ == nullptr || confirmation_.at_ == TimePoint::min()) {
    aPending.reply_->Send({ 503, {}, "" });
    return;
  }
  ViewResponse response;
  auto events = cache_->EventsSince(aPending.after_);
  response.status_ = events ? KvStatus::Done : KvStatus::Gone;
  response.events_ = std::move(events).value_or(std::vector<KvItem>());
  response.revision_ = cache_->Revision();
  response.source_ = confirmation_.source_;
  response.confirmedOffset_ = confirmation_.at_ - aPending.arrivedAt_;
  const TimePoint now = BootClock::now();
  const TimePoint recoveredAt = confirmation_.storeRecoveredAt_;
  if (recoveredAt != TimePoint::min() && now - recoveredAt < kMaxRecoveryAge) {
    response.storeRecoveredAgo_ = now - recoveredAt;
  }
  aPending.reply_->Send({ 200,
                          { { "Content-Type", "application/cbor" } },
                          EncodeViewResponse(response) });
}

void
ViewFeed::Impl::RespondToAll()
{
  std::multimap<TimePoint, PendingRequest> waiting;
  waiting.swap(waiting_);
  for (const auto& [end, request] : waiting) {
    Respond(request);
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
ViewFeed::Impl::OnResponse(const std::string& aAddress,
                           const std::optional<HttpResponse>& aResponse,
                           const Error& aError,
                           const HttpTransfer& aTransfer,
                           const Callback& aCallback)
{
  const int status = aResponse ? aResponse->status_ : 0;
  const auto response = status == 200 ? DecodeViewResponse(aResponse->body_)
                                      : std::optional<ViewResponse>();
  ReadReport report{ ReadSource::Neighbour, aAddress, status, "", aTransfer };
  if (!response) {
    report.failure_ = aResponse ? "unusable response" : aError.detail_;
  }
  if (options_.onRead_) {
    options_.onRead_(report);
  }
  aCallback(response.value_or(ViewResponse()));
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
                       aCache.Revision() > impl_->publishedRevision_;
  impl_->cache_ = &aCache;
  impl_->confirmation_ = std::move(aConfirmation);
  impl_->publishedRevision_ = aCache.Revision();
  if (updated) {
    impl_->RespondToAll();
  }
}

void
ViewFeed::Poll(const std::string& aAddress,
               std::uint64_t aAfterRevision,
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
                    std::to_string(aAfterRevision) + "&" + kWait + "=" +
                    std::to_string(ToMilliseconds(aWait));
  impl_->client_.Call(
    *address,
    request,
    HttpTimeouts{ aWait + impl_->options_.timeout_, impl_->options_.timeout_ },
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

}
