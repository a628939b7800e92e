#include "gateway/ViewFeed.h"

#include "base/EventLog.h"
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
// A store that came back longer ago is of no interest to a follower.
constexpr Duration kStoreBackLife = std::chrono::seconds(10);

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
  struct Question
  {
    std::uint64_t after_ = 0;
    TimePoint arrivedAt_;
    TimePoint end_;
    std::shared_ptr<HttpReply> reply_;
  };

  Impl(asio::io_context& aContext, ViewFeedOptions aOptions)
    : options_(aOptions)
    , client_(aContext, {})
    , timer_(aContext)
  {
  }

  void OnQuestion(const HttpRequest& aRequest,
                  const std::shared_ptr<HttpReply>& aReply);
  bool HasNews(const Question& aQuestion) const;
  void Answer(const Question& aQuestion);
  void AnswerAll();
  void SetTimer();
  void OnTimer();
  void OnAnswer(const std::string& aAddress,
                const std::optional<HttpResponse>& aResponse,
                const Error& aError,
                const Callback& aCallback);

  ViewFeedOptions options_;
  HttpClient client_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerAt_;
  // By the end of their wait.
  std::multimap<TimePoint, Question> waiting_;
  const ViewCache* cache_ = nullptr;
  ViewConfirmation confirmation_;
  // Of the cache when waiting questions were last answered.
  std::uint64_t answeredRevision_ = 0;
  std::unique_ptr<HttpServer> server_;
};

void
ViewFeed::Impl::OnQuestion(const HttpRequest& aRequest,
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
  const auto most =
    static_cast<std::uint64_t>(ToMilliseconds(options_.mostWait_));
  const TimePoint now = BootClock::now();
  const Question question{
    *after, now, now + std::chrono::milliseconds(std::min(*wait, most)), aReply
  };
  if (HasNews(question) || waiting_.size() >= options_.mostWaiting_) {
    Answer(question);
    return;
  }
  waiting_.emplace(question.end_, question);
  SetTimer();
}

bool
ViewFeed::Impl::HasNews(const Question& aQuestion) const
{
  return cache_ != nullptr && cache_->Revision() > aQuestion.after_;
}

void
ViewFeed::Impl::Answer(const Question& aQuestion)
{
  if (cache_ == nullptr || confirmation_.at_ == TimePoint::min()) {
    aQuestion.reply_->Send({ 503, {}, "" });
    return;
  }
  ViewResponse answer;
  auto events = cache_->Since(aQuestion.after_);
  answer.status_ = events ? KvStatus::Done : KvStatus::Gone;
  answer.events_ = std::move(events).value_or(std::vector<KvItem>());
  answer.revision_ = cache_->Revision();
  answer.source_ = confirmation_.source_;
  answer.confirmedAfter_ = confirmation_.at_ - aQuestion.arrivedAt_;
  const TimePoint now = BootClock::now();
  const TimePoint back = confirmation_.storeBackAt_;
  if (back != TimePoint::min() && now - back < kStoreBackLife) {
    answer.storeBack_ = now - back;
  }
  aQuestion.reply_->Send({ 200,
                           { { "Content-Type", "application/cbor" } },
                           EncodeViewResponse(answer) });
}

void
ViewFeed::Impl::AnswerAll()
{
  std::multimap<TimePoint, Question> waiting;
  waiting.swap(waiting_);
  for (const auto& [end, question] : waiting) {
    Answer(question);
  }
}

// One timer for the question whose wait ends first.
void
ViewFeed::Impl::SetTimer()
{
  const bool set =
    timerAt_ && (waiting_.empty() || *timerAt_ <= waiting_.begin()->first);
  if (waiting_.empty() || set) {
    return;
  }
  timerAt_ = waiting_.begin()->first;
  timer_.expires_after(
    ToSteady(std::max(Duration::zero(), *timerAt_ - BootClock::now())));
  timer_.async_wait([weak = weak_from_this()](ErrorCode aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->timerAt_.reset();
      self->OnTimer();
    }
  });
}

void
ViewFeed::Impl::OnTimer()
{
  const TimePoint now = BootClock::now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const Question question = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    Answer(question);
  }
  SetTimer();
}

void
ViewFeed::Impl::OnAnswer(const std::string& aAddress,
                         const std::optional<HttpResponse>& aResponse,
                         const Error& aError,
                         const Callback& aCallback)
{
  const int status = aResponse ? aResponse->status_ : 0;
  const auto answer = status == 200 ? DecodeViewResponse(aResponse->body_)
                                    : std::optional<ViewResponse>();
  if (!answer) {
    LogEvent(
      Event::ViewNeighbourFailed,
      { { "neighbour", aAddress },
        { "status", status },
        { "reason", aResponse ? "not a usable answer" : aError.detail_ } });
  }
  aCallback(answer.value_or(ViewResponse()));
}

ViewFeed::ViewFeed(asio::io_context& aContext, ViewFeedOptions aOptions)
  : impl_(std::make_shared<Impl>(aContext, aOptions))
{
  // Connections of followers may outlive the feed.
  impl_->server_ = std::make_unique<HttpServer>(
    aContext,
    HttpServerOptions(),
    [weak = std::weak_ptr<Impl>(impl_)](
      const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
      if (const auto self = weak.lock()) {
        self->OnQuestion(aRequest, aReply);
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
  const bool news = impl_->cache_ == nullptr ||
                    aConfirmation.at_ > impl_->confirmation_.at_ ||
                    aCache.Revision() > impl_->answeredRevision_;
  impl_->cache_ = &aCache;
  impl_->confirmation_ = std::move(aConfirmation);
  impl_->answeredRevision_ = aCache.Revision();
  if (news) {
    impl_->AnswerAll();
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
    impl_->OnAnswer(aAddress,
                    std::nullopt,
                    { ErrorKind::PeerUnreachable, "not an address" },
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
    aWait + impl_->options_.timeout_,
    [weak = std::weak_ptr<Impl>(impl_),
     aAddress,
     callback = std::move(aCallback)](
      const std::optional<HttpResponse>& aResponse, const Error& aError) {
      if (const auto self = weak.lock()) {
        self->OnAnswer(aAddress, aResponse, aError, callback);
      }
    });
}

}
