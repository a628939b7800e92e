// The order of the waiting requests of a server, when they are expected to
// start, and the slots that are kept back.

#include "slots/SlotQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

namespace peridotsail {

namespace {

// A request that has run for its service time is expected to take at least
// another quarter of that.
constexpr double kOverdueFraction = 0.25;
// The smallest capacity that is left for a rank in forecasts, as a fraction.
constexpr double kMinCapacityFraction = 0.1;

}

std::vector<SlotQueue::Position>
SlotQueue::Order(TimePoint aNow) const
{
  std::vector<Position> order;
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    const WaitingRequest& request = waiting_[i];
    order.push_back({ i, IsBelowFloor(request.ask_, aNow), 0 });
  }
  const auto group = [this](const Position& aPosition) {
    return std::make_tuple(!aPosition.belowFloor_,
                           waiting_[aPosition.index_].ask_.rank_,
                           waiting_[aPosition.index_].late_);
  };
  std::stable_sort(order.begin(),
                   order.end(),
                   [&](const Position& aLeft, const Position& aRight) {
                     const TimePoint left = waiting_[aLeft.index_].startBy_;
                     const TimePoint right = waiting_[aRight.index_].startBy_;
                     return std::make_pair(group(aLeft), left) <
                            std::make_pair(group(aRight), right);
                   });
  std::unordered_map<std::uint64_t, double> work;
  for (Position& position : order) {
    const SlotAsk& ask = waiting_[position.index_].ask_;
    const auto [it, added] =
      work.try_emplace(ask.customer_, customerWork_.StartTag(ask.customer_));
    position.startTag_ = it->second;
    it->second = position.startTag_ + ToSeconds(ServiceTime(ask.route_, aNow));
  }
  std::stable_sort(order.begin(),
                   order.end(),
                   [&](const Position& aLeft, const Position& aRight) {
                     return std::make_pair(group(aLeft), aLeft.startTag_) <
                            std::make_pair(group(aRight), aRight.startTag_);
                   });
  return order;
}

std::vector<SlotQueue::Forecast>
SlotQueue::ForecastStarts(TimePoint aNow) const
{
  std::vector<Forecast> forecasts;
  std::vector<TimePoint> times = SlotTimes(aNow);
  for (const Position& position : Order(aNow)) {
    const WaitingRequest& request = waiting_[position.index_];
    const SlotAsk& ask = request.ask_;
    const auto keptBack =
      std::min(static_cast<std::size_t>(KeptBack(ask.rank_, ask.route_, aNow)),
               times.size() - 1);
    const auto slot = times.begin() + static_cast<std::ptrdiff_t>(
                                        position.belowFloor_ ? 0 : keptBack);
    std::nth_element(times.begin(), slot, times.end());
    TimePoint start = *slot;
    // Requests that arrive meanwhile go ahead of a request of lower rank, or of
    // one that is late already.
    if (request.isJudged_ && !position.belowFloor_) {
      const int rank = request.late_ ? ask.rank_ : ask.rank_ - 1;
      const double load = arrivals_.BusySlots(rank, aNow) / Capacity(aNow);
      start = aNow + FromSeconds(ToSeconds(start - aNow) /
                                 std::max(kMinCapacityFraction, 1 - load));
    }
    const bool inTime = start <= request.latestStart_;
    forecasts.push_back(
      { position.index_, static_cast<int>(forecasts.size()), start, inTime });
    if (inTime) {
      *slot += ServiceTime(ask.route_, aNow);
    }
  }
  return forecasts;
}

std::vector<TimePoint>
SlotQueue::SlotTimes(TimePoint aNow) const
{
  std::vector<TimePoint> times;
  for (const auto& [key, grant] : grants_) {
    const Duration service = ServiceTime(grant.route_, aNow);
    const Duration least = FromSeconds(ToSeconds(service) * kOverdueFraction);
    // The longer a request is overdue, the longer it is expected to take: the
    // server may have stopped.
    const Duration overdue = aNow - grant.at_ - service;
    times.push_back(aNow + std::max({ -overdue, least, overdue }));
  }
  const auto capacity = static_cast<std::size_t>(Capacity(aNow));
  while (times.size() < capacity) {
    times.push_back(aNow);
  }
  // The first grants that end beyond the capacity free no slot.
  std::sort(times.begin(), times.end());
  times.erase(times.begin(),
              times.begin() +
                static_cast<std::ptrdiff_t>(times.size() - capacity));
  return times;
}

bool
SlotQueue::MayTake(const WaitingRequest& aRequest,
                   bool aBelowFloor,
                   int aFree,
                   TimePoint aNow) const
{
  const SlotAsk& ask = aRequest.ask_;
  return aBelowFloor || aFree > KeptBack(ask.rank_, ask.route_, aNow) ||
         aNow + options_.lastChance_ >= aRequest.latestStart_;
}

// A slot of lower rank that ends soon does no harm to requests which can wait
// that long.
int
SlotQueue::KeptBack(int aRank, std::uint64_t aRoute, TimePoint aNow) const
{
  const int highest = arrivals_.Highest(aNow);
  if (aRank <= highest) {
    return 0;
  }
  const int capacity = Capacity(aNow);
  const Duration service = ServiceTime(aRoute, aNow);
  const Duration slack = arrivals_.MeanSlack(highest, aNow);
  const auto slow =
    std::count_if(grants_.begin(), grants_.end(), [&](const auto& aGrant) {
      return ServiceTime(aGrant.second.route_, aNow) > slack;
    });
  const int quick = std::max(1, capacity - static_cast<int>(slow));
  const double perSecond = arrivals_.PerSecond(highest, aNow);
  if (perSecond * ToSeconds(service / quick - slack) < options_.minDelayed_) {
    return 0;
  }
  // The slots that arrivals use while the lower request is busy.
  const Duration overlap =
    std::min(service, arrivals_.MeanServiceTime(highest, aNow));
  const double expected = perSecond * ToSeconds(overlap);
  const auto running =
    std::count_if(grants_.begin(), grants_.end(), [&](const auto& aGrant) {
      return aGrant.second.rank_ == highest;
    });
  const int needed = std::max(1, static_cast<int>(std::lround(expected)));
  return std::clamp(needed - static_cast<int>(running), 0, capacity / 2);
}

// One slot is granted even if the server is full of other requests, so that
// reports of its load keep arriving.
int
SlotQueue::Capacity(TimePoint aNow) const
{
  int capacity = slots_;
  if (options_.limit_) {
    const double limit = options_.limit_(server_, aNow);
    capacity = static_cast<int>(std::min(static_cast<double>(capacity), limit));
  }
  return std::max(1, capacity - load_.Foreign(aNow));
}

int
SlotQueue::Free(TimePoint aNow) const
{
  return Capacity(aNow) - static_cast<int>(grants_.size());
}

void
SlotQueue::RecordOutcome(const SlotAsk& aAsk, bool aGranted, TimePoint aNow)
{
  routes_.Record(aAsk.route_, aGranted, aNow);
  customers_.Record(aAsk.customer_, aGranted, aNow);
}

bool
SlotQueue::IsBelowFloor(const SlotAsk& aAsk, TimePoint aNow) const
{
  return routes_.IsBelowFloor(aAsk.route_, aNow) ||
         customers_.IsBelowFloor(aAsk.customer_, aNow);
}

void
SlotQueue::MarkLate(TimePoint aNow)
{
  for (const Forecast& forecast : ForecastStarts(aNow)) {
    WaitingRequest& request = waiting_[forecast.index_];
    const bool missed = request.isJudged_ ? forecast.start_ > request.startBy_
                                          : aNow > request.startBy_;
    request.isJudged_ = request.isJudged_ || (missed && !request.late_);
    request.late_ = request.late_ || missed;
  }
}

}
