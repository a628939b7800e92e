#include "backend/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// Weight of a new sample in the moving average of service times.
constexpr double kMeanServiceTimeWeight = 0.05;
// Fraction by which the shortest service time approaches each larger sample, so
// that it adapts when a pool slows down.
constexpr double kMinServiceTimeGrowth = 0.01;
// A longer Retry-After would keep callers waiting long after a queue of this
// length has drained.
constexpr int kMaxRetryAfterSeconds = 10;

}

FairQueue::FairQueue(FairQueueOptions aOptions)
  : options_(aOptions)
  , meanServiceSeconds_(ToSeconds(aOptions.initialServiceTime_))
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
  return std::clamp(
    static_cast<int>(std::ceil(wait)), 1, kMaxRetryAfterSeconds);
}

void
FairQueue::RecordServiceTime(Duration aTime)
{
  const double seconds = ToSeconds(aTime);
  meanServiceSeconds_ +=
    kMeanServiceTimeWeight * (seconds - meanServiceSeconds_);
  if (minServiceSeconds_ == 0 || seconds < minServiceSeconds_) {
    minServiceSeconds_ = seconds;
  } else {
    minServiceSeconds_ +=
      kMinServiceTimeGrowth * (seconds - minServiceSeconds_);
  }
}

bool
FairQueue::CanMeetDeadline(const QueuedRequest& aRequest, TimePoint aNow) const
{
  return aNow + FromSeconds(minServiceSeconds_) < aRequest.deadline_;
}

FairQueue::CustomerQueue&
FairQueue::QueueOf(const std::string& aCustomer)
{
  for (CustomerQueue& queue : customerQueues_) {
    if (queue.customer_ == aCustomer) {
      return queue;
    }
  }
  customerQueues_.push_back(CustomerQueue{ aCustomer, {}, 0 });
  return customerQueues_.back();
}

FairQueue::CustomerQueue&
FairQueue::LongestQueue()
{
  return *std::max_element(
    customerQueues_.begin(),
    customerQueues_.end(),
    [](const CustomerQueue& aLeft, const CustomerQueue& aRight) {
      return aLeft.waiting_.size() < aRight.waiting_.size();
    });
}

void
FairQueue::Push(const QueuedRequest& aRequest,
                int aSlots,
                TimePoint aNow,
                std::vector<QueueRefusal>& aRefused)
{
  poolSlots_ = std::max(1, aSlots);
  CustomerQueue& queue = QueueOf(aRequest.customer_);
  // Under round robin, a new request waits for its customer's earlier requests
  // and for up to one more than that many of each other customer.
  std::size_t ahead = 0;
  for (const CustomerQueue& other : customerQueues_) {
    ahead += std::min(other.waiting_.size(), queue.waiting_.size() + 1);
  }
  const double wait =
    static_cast<double>(ahead) / poolSlots_ * meanServiceSeconds_;
  if (!CanMeetDeadline(aRequest, aNow + FromSeconds(wait))) {
    const bool full = CanMeetDeadline(aRequest, aNow);
    aRefused.push_back(
      { aRequest.id_,
        full ? ErrorKind::QueueFull : ErrorKind::DeadlineExceeded,
        RetryAfter(aSlots) });
  } else {
    queue.waiting_.push_back(aRequest);
    ++size_;
  }
  if (size_ > options_.capacity_) {
    CustomerQueue& longest = LongestQueue();
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
  QueueOf(aRequest.customer_).waiting_.push_front(aRequest);
  ++size_;
}

void
FairQueue::RefuseExpired(CustomerQueue& aQueue,
                         TimePoint aNow,
                         std::vector<QueueRefusal>& aRefused)
{
  auto& waiting = aQueue.waiting_;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (CanMeetDeadline(*it, aNow)) {
      ++it;
      continue;
    }
    aRefused.push_back(
      { it->id_, ErrorKind::DeadlineExceeded, RetryAfter(poolSlots_) });
    it = waiting.erase(it);
    --size_;
  }
}

std::optional<std::uint64_t>
FairQueue::Pop(TimePoint aNow, std::vector<QueueRefusal>& aRefused)
{
  while (!customerQueues_.empty()) {
    CustomerQueue& queue = customerQueues_.front();
    RefuseExpired(queue, aNow, aRefused);
    if (queue.waiting_.empty()) {
      // A customer without waiting requests loses its deficit.
      customerQueues_.pop_front();
      quantumGranted_ = false;
      continue;
    }
    if (!quantumGranted_) {
      queue.deficit_ += options_.quantum_;
      quantumGranted_ = true;
    }
    const QueuedRequest& next = queue.waiting_.front();
    if (next.cost_ > queue.deficit_) {
      customerQueues_.splice(
        customerQueues_.end(), customerQueues_, customerQueues_.begin());
      quantumGranted_ = false;
      continue;
    }
    queue.deficit_ -= next.cost_;
    const std::uint64_t id = next.id_;
    queue.waiting_.pop_front();
    --size_;
    return id;
  }
  return std::nullopt;
}

void
FairQueue::Expire(TimePoint aNow, std::vector<QueueRefusal>& aRefused)
{
  for (CustomerQueue& queue : customerQueues_) {
    RefuseExpired(queue, aNow, aRefused);
  }
}

void
FairQueue::Remove(std::uint64_t aId)
{
  for (CustomerQueue& queue : customerQueues_) {
    const auto it = std::find_if(
      queue.waiting_.begin(),
      queue.waiting_.end(),
      [aId](const QueuedRequest& aRequest) { return aRequest.id_ == aId; });
    if (it != queue.waiting_.end()) {
      queue.waiting_.erase(it);
      --size_;
      return;
    }
  }
}

}
