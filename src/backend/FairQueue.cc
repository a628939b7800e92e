#include "backend/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// The weight of a new service time in the mean.
constexpr double kServiceWeight = 0.05;
// The shortest service time is forgotten at this rate per sample, so that it
// follows a pool that becomes slower.
constexpr double kShortestGrowth = 0.01;
// A Retry-After beyond this would keep callers away long after a queue of
// this length is empty.
constexpr int kLongestRetryAfter = 10;

}

FairQueue::FairQueue(FairQueueOptions aOptions)
  : options_(aOptions)
  , meanServiceSeconds_(ToSeconds(aOptions.firstServiceTime_))
{
}

Duration
FairQueue::ExpectedWait(int aSlots) const
{
  const double rounds = static_cast<double>(size_ + 1) / std::max(1, aSlots);
  return FromSeconds(rounds * meanServiceSeconds_);
}

int
FairQueue::RetryAfter(int aSlots) const
{
  const double wait = ToSeconds(ExpectedWait(aSlots));
  return std::clamp(static_cast<int>(std::ceil(wait)), 1, kLongestRetryAfter);
}

void
FairQueue::RecordServiceTime(Duration aTime)
{
  const double seconds = ToSeconds(aTime);
  meanServiceSeconds_ += kServiceWeight * (seconds - meanServiceSeconds_);
  if (shortestServiceSeconds_ == 0 || seconds < shortestServiceSeconds_) {
    shortestServiceSeconds_ = seconds;
  } else {
    shortestServiceSeconds_ +=
      kShortestGrowth * (seconds - shortestServiceSeconds_);
  }
}

bool
FairQueue::CanMeet(const QueuedRequest& aRequest, TimePoint aNow) const
{
  return aNow + FromSeconds(shortestServiceSeconds_) < aRequest.deadline_;
}

FairQueue::Lane&
FairQueue::LaneOf(const std::string& aCustomer)
{
  for (Lane& lane : lanes_) {
    if (lane.customer_ == aCustomer) {
      return lane;
    }
  }
  lanes_.push_back(Lane{ aCustomer, {}, 0 });
  return lanes_.back();
}

FairQueue::Lane&
FairQueue::LongestLane()
{
  return *std::max_element(
    lanes_.begin(), lanes_.end(), [](const Lane& aLeft, const Lane& aRight) {
      return aLeft.waiting_.size() < aRight.waiting_.size();
    });
}

void
FairQueue::Push(const QueuedRequest& aRequest,
                int aSlots,
                TimePoint aNow,
                std::vector<QueueRefusal>& aRefused)
{
  lastSlots_ = std::max(1, aSlots);
  Lane& lane = LaneOf(aRequest.customer_);
  // By turns, a customer waits for its own requests and for as many of each
  // other customer.
  std::size_t ahead = 0;
  for (const Lane& other : lanes_) {
    ahead += std::min(other.waiting_.size(), lane.waiting_.size() + 1);
  }
  const double wait =
    static_cast<double>(ahead) / lastSlots_ * meanServiceSeconds_;
  if (!CanMeet(aRequest, aNow + FromSeconds(wait))) {
    const bool full = CanMeet(aRequest, aNow);
    aRefused.push_back(
      { aRequest.id_,
        full ? ErrorKind::QueueFull : ErrorKind::DeadlineExceeded,
        RetryAfter(aSlots) });
  } else {
    lane.waiting_.push_back(aRequest);
    ++size_;
  }
  if (size_ > options_.capacity_) {
    Lane& longest = LongestLane();
    aRefused.push_back({ longest.waiting_.back().id_,
                         ErrorKind::QueueFull,
                         RetryAfter(aSlots) });
    longest.waiting_.pop_back();
    --size_;
  }
}

void
FairQueue::PushFront(const QueuedRequest& aRequest)
{
  LaneOf(aRequest.customer_).waiting_.push_front(aRequest);
  ++size_;
}

void
FairQueue::DropExpired(Lane& aLane,
                       TimePoint aNow,
                       std::vector<QueueRefusal>& aRefused)
{
  auto& waiting = aLane.waiting_;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (CanMeet(*it, aNow)) {
      ++it;
      continue;
    }
    aRefused.push_back(
      { it->id_, ErrorKind::DeadlineExceeded, RetryAfter(lastSlots_) });
    it = waiting.erase(it);
    --size_;
  }
}

std::optional<std::uint64_t>
FairQueue::Pop(TimePoint aNow, std::vector<QueueRefusal>& aRefused)
{
  while (!lanes_.empty()) {
    Lane& lane = lanes_.front();
    DropExpired(lane, aNow, aRefused);
    if (lane.waiting_.empty()) {
      // A customer without waiting requests keeps no deficit.
      lanes_.pop_front();
      turnStarted_ = false;
      continue;
    }
    if (!turnStarted_) {
      lane.deficit_ += options_.quantum_;
      turnStarted_ = true;
    }
    const QueuedRequest& next = lane.waiting_.front();
    if (next.cost_ > lane.deficit_) {
      lanes_.splice(lanes_.end(), lanes_, lanes_.begin());
      turnStarted_ = false;
      continue;
    }
    lane.deficit_ -= next.cost_;
    const std::uint64_t id = next.id_;
    lane.waiting_.pop_front();
    --size_;
    return id;
  }
  return std::nullopt;
}

void
FairQueue::Expire(TimePoint aNow, std::vector<QueueRefusal>& aRefused)
{
  for (Lane& lane : lanes_) {
    DropExpired(lane, aNow, aRefused);
  }
}

void
FairQueue::Remove(std::uint64_t aId)
{
  for (Lane& lane : lanes_) {
    const auto it = std::find_if(
      lane.waiting_.begin(),
      lane.waiting_.end(),
      [aId](const QueuedRequest& aRequest) { return aRequest.id_ == aId; });
    if (it != lane.waiting_.end()) {
      lane.waiting_.erase(it);
      --size_;
      return;
    }
  }
}

}
