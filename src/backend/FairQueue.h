#pragma once

// A short bounded queue of requests that wait for a free backend server.
// Customers take turns by deficit round robin. Pure.
//
//   std::vector<QueueRefusal> refused;
//   queue.Push({ id, customer, deadline }, slots, now, refused);
//   while (server is free) {
//     std::optional<std::uint64_t> next = queue.Pop(now, refused);
//   }
//   for (const QueueRefusal& refusal : refused) { ... answer at once ... }
//
// - A request that cannot meet its deadline is refused when that is known: at
//   entry by the expected wait, later by Pop and Expire.
// - When the queue is full, the newest request of the customer with the most
//   waiting requests is refused, so a customer with many requests does not
//   close the queue for the others.
// - Refused requests were not run.

#include "base/BootClock.h"
#include "base/ErrorKind.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct FairQueueOptions
{
  // Waiting requests of all customers together. 64 requests of 50 ms on 30
  // slots wait about 0.1 s.
  std::size_t capacity_ = 64;
  // The deficit that a customer gains in a round.
  double quantum_ = 1;
  // Service time assumed before the first request has completed.
  Duration firstServiceTime_ = std::chrono::milliseconds(20);
};

struct QueuedRequest
{
  std::uint64_t id_ = 0;
  std::string customer_;
  TimePoint deadline_;
  // In units of the quantum.
  double cost_ = 1;
};

struct QueueRefusal
{
  std::uint64_t id_ = 0;
  // QueueFull or DeadlineExceeded; both not-run.
  ErrorKind kind_ = ErrorKind::QueueFull;
  int retryAfterSeconds_ = 1;
};

class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {});

  // aSlots is the number of concurrent requests that the pool can run. Any
  // refusal, of this request or of another one, is appended to aRefused.
  void Push(const QueuedRequest& aRequest,
            int aSlots,
            TimePoint aNow,
            std::vector<QueueRefusal>& aRefused);
  // Puts a request that a server shed before all others of its customer.
  void PushFront(const QueuedRequest& aRequest);
  // The next request in turn whose deadline can still be met.
  std::optional<std::uint64_t> Pop(TimePoint aNow,
                                   std::vector<QueueRefusal>& aRefused);
  // Refuses the requests whose deadlines can no longer be met.
  void Expire(TimePoint aNow, std::vector<QueueRefusal>& aRefused);
  // The caller left.
  void Remove(std::uint64_t aId);
  // Feeds the estimate of waiting times.
  void RecordServiceTime(Duration aTime);
  std::size_t size() const { return size_; }
  // The expected wait of a new request.
  Duration ExpectedWait(int aSlots) const;

private:
  struct Lane
  {
    std::string customer_;
    std::deque<QueuedRequest> waiting_;
    double deficit_ = 0;
  };

  Lane& LaneOf(const std::string& aCustomer);
  Lane& LongestLane();
  bool CanMeet(const QueuedRequest& aRequest, TimePoint aNow) const;
  void DropExpired(Lane& aLane,
                   TimePoint aNow,
                   std::vector<QueueRefusal>& aRefused);
  int RetryAfter(int aSlots) const;

  FairQueueOptions options_;
  // Customers with waiting requests, the one in turn first.
  std::list<Lane> lanes_;
  // Whether the first lane already received its quantum in this turn.
  bool turnStarted_ = false;
  std::size_t size_ = 0;
  double meanServiceSeconds_;
  // The shortest recent service time: a request with less time left cannot
  // succeed.
  double shortestServiceSeconds_ = 0;
  int lastSlots_ = 1;
};

}
