#include "slots/SlotQueue.h"

#include <algorithm>

namespace peridotsail {

namespace {

// The number of ended requests that are remembered.
constexpr std::size_t kMaxEnded = 256;
// A queue that was not used for this long is idle.
constexpr Duration kIdleTime = std::chrono::seconds(30);
// A longer wait is not announced, since the load will have changed by then.
constexpr Duration kMaxWait = std::chrono::seconds(10);

Duration
Clamp(Duration aWait)
{
  return std::clamp<Duration>(aWait, Duration::zero(), kMaxWait);
}

}

SlotQueue::SlotQueue(std::string aServer, const SlotQueueOptions& aOptions)
  : server_(std::move(aServer))
  , options_(aOptions)
  , load_(aOptions.load_)
  , arrivals_(aOptions.arrivalWindow_)
{
}

void
SlotQueue::Ask(const std::string& aHost,
               const SlotAsk& aAsk,
               TimePoint aNow,
               SlotReplies& aReplies)
{
  usedAt_ = aNow;
  slots_ = std::max(1, aAsk.slots_);
  load_.AddRoute(aAsk.route_, aAsk.serviceTime_);
  const SlotKey key{ aHost, aAsk.id_ };
  if (AnswerRepeated(key, aNow, aReplies)) {
    return;
  }
  if (aAsk.mode_ != SlotMode::Wait) {
    AskIfFree(key, aAsk, aNow, aReplies);
    return;
  }
  Enqueue(key, aAsk, aNow);
  Advance(aNow, aReplies);
}

bool
SlotQueue::AnswerRepeated(const SlotKey& aKey,
                          TimePoint aNow,
                          SlotReplies& aReplies)
{
  if (grants_.count(aKey) > 0) {
    AnswerGranted(aKey, aNow, aReplies);
    return true;
  }
  const auto waiting = std::find_if(
    waiting_.begin(), waiting_.end(), [&](const WaitingRequest& aRequest) {
      return aRequest.key_ == aKey;
    });
  if (waiting != waiting_.end()) {
    waiting->needsAnswer_ = true;
    waiting->askedAt_ = aNow;
    Advance(aNow, aReplies);
    return true;
  }
  if (std::find(ended_.begin(), ended_.end(), aKey) == ended_.end()) {
    return false;
  }
  // The refusal was lost, or this is a late copy of an ask that has ended.
  aReplies.push_back(
    { aKey.host_, MakeAnswer(aKey, SlotState::Refused, aNow) });
  return true;
}

void
SlotQueue::AskIfFree(const SlotKey& aKey,
                     const SlotAsk& aAsk,
                     TimePoint aNow,
                     SlotReplies& aReplies)
{
  Advance(aNow, aReplies);
  const int free = Free(aNow);
  const bool spare = aAsk.mode_ == SlotMode::IfFree ||
                     2 * (Capacity(aNow) - free) <= Capacity(aNow);
  // Requests of lower ranks may wait for a slot that is kept back.
  const bool first =
    std::all_of(waiting_.begin(), waiting_.end(), [&](const auto& aWaiting) {
      return aWaiting.ask_.rank_ > aAsk.rank_;
    });
  const bool fits = free > KeptBack(aAsk.rank_, aAsk.route_, aNow) && spare &&
                    first &&
                    (!options_.mayStart_ || options_.mayStart_(server_, aNow));
  if (fits) {
    RecordOutcome(aAsk, true, aNow);
    StartGrant(aKey, aAsk, aNow + aAsk.timeLeft_, aNow);
    AnswerGranted(aKey, aNow, aReplies);
    return;
  }
  SlotAnswer answer = MakeAnswer(aKey, SlotState::Refused, aNow);
  answer.ahead_ = static_cast<int>(waiting_.size());
  answer.wait_ = Clamp(SlotTimes(aNow).front() - aNow);
  aReplies.push_back({ aKey.host_, answer });
}

void
SlotQueue::Enqueue(const SlotKey& aKey, const SlotAsk& aAsk, TimePoint aNow)
{
  const Duration service = ServiceTime(aAsk.route_, aNow);
  const Duration toStart =
    std::max(aAsk.toAim_ - service,
             FromSeconds(ToSeconds(aAsk.toAim_) * options_.minStartFraction_));
  arrivals_.Record(aAsk.rank_, service, toStart, aNow);
  const Duration usable =
    FromSeconds(ToSeconds(aAsk.timeLeft_) * options_.timeLeftFraction_);
  WaitingRequest request;
  request.key_ = aKey;
  request.ask_ = aAsk;
  request.askedAt_ = aNow;
  request.startBy_ = aNow + toStart;
  request.latestStart_ = aNow + usable - service;
  request.deadline_ = aNow + aAsk.timeLeft_;
  waiting_.push_back(std::move(request));
}

void
SlotQueue::Release(const std::string& aHost,
                   const SlotRelease& aRelease,
                   TimePoint aNow,
                   SlotReplies& aReplies)
{
  usedAt_ = aNow;
  const SlotKey key{ aHost, aRelease.id_ };
  Remember(key);
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    if (waiting_[i].key_ == key) {
      RecordOutcome(waiting_[i].ask_, false, aNow);
      EraseWaiting({ i });
      break;
    }
  }
  const bool countsAnswered = load_.CountsAnswered();
  if (aRelease.load_ && countsAnswered) {
    Report(*aRelease.load_, aNow);
  }
  const auto grant = grants_.find(key);
  if (grant != grants_.end()) {
    if (aRelease.executed_) {
      load_.RecordServiceTime(
        grant->second.route_, aRelease.serviceTime_, aNow);
    }
    grants_.erase(grant);
  }
  if (aRelease.load_ && !countsAnswered) {
    Report(*aRelease.load_, aNow);
  }
  Advance(aNow, aReplies);
}

void
SlotQueue::RemoveHosts(
  const std::function<bool(const std::string& aHost)>& aIsGone,
  TimePoint aNow,
  SlotReplies& aReplies)
{
  for (auto it = grants_.begin(); it != grants_.end();) {
    it = aIsGone(it->first.host_) ? grants_.erase(it) : std::next(it);
  }
  std::vector<std::size_t> gone;
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    if (aIsGone(waiting_[i].key_.host_)) {
      gone.push_back(i);
    }
  }
  EraseWaiting(std::move(gone));
  Advance(aNow, aReplies);
}

void
SlotQueue::OnTimer(TimePoint aNow, SlotReplies& aReplies)
{
  Advance(aNow, aReplies);
}

void
SlotQueue::Report(const ReportedLoad& aLoad, TimePoint aNow)
{
  const int reported = aLoad.running_ + aLoad.waiting_;
  // The report may lack the answered request, which is still among the grants.
  const bool maybeLacksOne = load_.CountsAnswered() && reported > 0;
  EndLostGrants(reported + (maybeLacksOne ? 1 : 0), aNow);
  load_.Report(aLoad, static_cast<int>(grants_.size()), aNow);
}

bool
SlotQueue::IsIdle(TimePoint aNow) const
{
  return grants_.empty() && waiting_.empty() && aNow - usedAt_ > kIdleTime;
}

void
SlotQueue::Advance(TimePoint aNow, SlotReplies& aReplies)
{
  EndExpiredGrants(aNow);
  RemoveSilent(aNow);
  if (waiting_.empty()) {
    return;
  }
  GrantFreeSlots(aNow, aReplies);
  MarkLate(aNow);
  AnswerWaiting(aNow, aReplies);
}

void
SlotQueue::EndExpiredGrants(TimePoint aNow)
{
  for (auto it = grants_.begin(); it != grants_.end();) {
    it = aNow >= it->second.expiresAt_ ? grants_.erase(it) : std::next(it);
  }
}

void
SlotQueue::RemoveSilent(TimePoint aNow)
{
  std::vector<std::size_t> silent;
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    const WaitingRequest& request = waiting_[i];
    if (!request.key_.host_.empty() &&
        aNow - request.askedAt_ > options_.renewTimeout_) {
      silent.push_back(i);
    }
  }
  EraseWaiting(std::move(silent));
}

// A server that runs fewer requests than were granted has ended some whose
// release was lost; these are the oldest.
void
SlotQueue::EndLostGrants(int aReported, TimePoint aNow)
{
  while (static_cast<int>(grants_.size()) > aReported) {
    const auto oldest =
      std::min_element(grants_.begin(),
                       grants_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.at_ < aRight.second.at_;
                       });
    const Duration service = ServiceTime(oldest->second.route_, aNow);
    const Duration overdue =
      FromSeconds(ToSeconds(service) * options_.overdueFactor_) +
      options_.overdueMargin_;
    if (aNow - oldest->second.at_ < overdue) {
      return;
    }
    Remember(oldest->first);
    grants_.erase(oldest);
  }
}

void
SlotQueue::GrantFreeSlots(TimePoint aNow, SlotReplies& aReplies)
{
  int free = Free(aNow);
  if (free <= 0) {
    return;
  }
  std::vector<std::size_t> granted;
  for (const Position& position : Order(aNow)) {
    if (free <= 0) {
      break;
    }
    const WaitingRequest& request = waiting_[position.index_];
    if (!MayTake(request, position.belowFloor_, free, aNow)) {
      continue;
    }
    if (options_.mayStart_ && !options_.mayStart_(server_, aNow)) {
      break;
    }
    RecordOutcome(request.ask_, true, aNow);
    StartGrant(request.key_, request.ask_, request.deadline_, aNow);
    AnswerGranted(request.key_, aNow, aReplies);
    granted.push_back(position.index_);
    --free;
  }
  EraseWaiting(std::move(granted));
}

void
SlotQueue::StartGrant(const SlotKey& aKey,
                      const SlotAsk& aAsk,
                      TimePoint aDeadline,
                      TimePoint aNow)
{
  grants_[aKey] = { aAsk.route_, aAsk.rank_, aNow, aDeadline };
  customerWork_.Grant(aAsk.customer_,
                      customerWork_.StartTag(aAsk.customer_),
                      ToSeconds(ServiceTime(aAsk.route_, aNow)));
}

SlotAnswer
SlotQueue::MakeAnswer(const SlotKey& aKey,
                      SlotState aState,
                      TimePoint aNow) const
{
  SlotAnswer answer;
  answer.id_ = aKey.id_;
  answer.server_ = server_;
  answer.state_ = aState;
  answer.load_ = KnownLoad(aNow);
  return answer;
}

void
SlotQueue::AnswerGranted(const SlotKey& aKey,
                         TimePoint aNow,
                         SlotReplies& aReplies)
{
  SlotAnswer answer = MakeAnswer(aKey, SlotState::Granted, aNow);
  // The host counts its own request when it sends it.
  answer.load_.running_ = std::max(0, answer.load_.running_ - 1);
  aReplies.push_back({ aKey.host_, answer });
}

void
SlotQueue::AnswerWaiting(TimePoint aNow, SlotReplies& aReplies)
{
  std::vector<std::size_t> refused;
  for (const Forecast& forecast : ForecastStarts(aNow)) {
    WaitingRequest& request = waiting_[forecast.index_];
    request.isJudged_ = false;
    const bool fits =
      forecast.inTime_ &&
      static_cast<std::size_t>(forecast.ahead_) < options_.maxWaiting_;
    if (!fits) {
      Refuse(forecast, aNow, aReplies);
      refused.push_back(forecast.index_);
    } else if (request.needsAnswer_) {
      request.needsAnswer_ = false;
      SlotAnswer answer = MakeAnswer(request.key_, SlotState::Queued, aNow);
      answer.wait_ = Clamp(forecast.start_ - aNow);
      answer.ahead_ = forecast.ahead_;
      aReplies.push_back({ request.key_.host_, answer });
    }
  }
  EraseWaiting(std::move(refused));
}

void
SlotQueue::Refuse(const Forecast& aForecast,
                  TimePoint aNow,
                  SlotReplies& aReplies)
{
  const WaitingRequest& request = waiting_[aForecast.index_];
  RecordOutcome(request.ask_, false, aNow);
  Remember(request.key_);
  SlotAnswer answer = MakeAnswer(request.key_, SlotState::Refused, aNow);
  answer.wait_ = Clamp(aForecast.start_ - request.latestStart_);
  answer.ahead_ = aForecast.ahead_;
  aReplies.push_back({ request.key_.host_, answer });
}

void
SlotQueue::EraseWaiting(std::vector<std::size_t> aIndices)
{
  std::sort(aIndices.rbegin(), aIndices.rend());
  for (const std::size_t index : aIndices) {
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void
SlotQueue::Remember(const SlotKey& aKey)
{
  ended_.push_back(aKey);
  if (ended_.size() > kMaxEnded) {
    ended_.pop_front();
  }
}

ReportedLoad
SlotQueue::KnownLoad(TimePoint aNow) const
{
  ReportedLoad load;
  load.running_ = static_cast<int>(grants_.size()) + load_.Foreign(aNow);
  load.waiting_ = static_cast<int>(waiting_.size());
  load.pace_ = load_.Pace(aNow);
  load.fromOwner_ = true;
  load.at_ = aNow;
  return load;
}

}
