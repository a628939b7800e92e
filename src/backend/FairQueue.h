#pragma once

// A short bounded queue of requests that wait for a free backend server,
// scheduled between customers by deficit round robin. No I/O and no clock:
// callers pass in the current time.
//
//   std::vector<QueueRefusal> refused;
//   queue.Push({ id, customer, deadline }, slots, now, refused);
//   while (server is free) {
//     std::optional<std::uint64_t> next = queue.Pop(now, refused);
//   }
//   for (const QueueRefusal& refusal : refused) { ... send the error ... }
//
// - A request that cannot meet its deadline is refused as early as possible:
//   in Push, based on the expected wait, or later in Pop and Expire.
// - When the queue is full, the newest request of the customer with the most
//   waiting requests is refused, so that a customer with many requests cannot
//   block the others.
// - Refused requests have not been run.

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
  // Maximum number of waiting requests of all customers together. 64 requests
  // of 50 ms each take about 0.1 s on 30 slots.
  std::size_t capacity_ = 64;
  // Added to a customer's deficit in each round.
  double quantum_ = 1;
  // Service time assumed until the first request completes.
  Duration initialServiceTime_ = std::chrono::milliseconds(20);
};

struct QueuedRequest
{
  std::uint64_t id_ = 0;
  std::string customer_;
  TimePoint deadline_;
  // In the same unit as FairQueueOptions::quantum_.
  double cost_ = 1;
};

struct QueueRefusal
{
  std::uint64_t id_ = 0;
  // QueueFull or DeadlineExceeded; the request has not been run in either case.
  ErrorKind kind_ = ErrorKind::QueueFull;
  int retryAfterSeconds_ = 1;
};

class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {});

  // aSlots is the number of requests that the pool can run concurrently.
  // Appends each refusal, of this or another request, to aRefused.
  void Push(const QueuedRequest& aRequest,
            int aSlots,
            TimePoint aNow,
            std::vector<QueueRefusal>& aRefused);
  // Requeues a request that a server shed, ahead of its customer's other
  // requests.
  void PushFront(const QueuedRequest& aRequest);
  // Removes and returns the next request whose deadline can still be met.
  std::optional<std::uint64_t> Pop(TimePoint aNow,
                                   std::vector<QueueRefusal>& aRefused);
  // Refuses the requests whose deadlines can no longer be met.
  void Expire(TimePoint aNow, std::vector<QueueRefusal>& aRefused);
  // Removes a request whose caller has disconnected.
  void Remove(std::uint64_t aId);
  // Updates the estimate of waiting times.
  void RecordServiceTime(Duration aTime);
  std::size_t size() const { return size_; }
  // Expected waiting time of a new request.
  Duration ExpectedWait(int aSlots) const;

private:
  struct CustomerQueue
  {
    std::string customer_;
    std::deque<QueuedRequest> waiting_;
    double deficit_ = 0;
  };

  CustomerQueue& QueueOf(const std::string& aCustomer);
  CustomerQueue& LongestQueue();
  bool CanMeetDeadline(const QueuedRequest& aRequest, TimePoint aNow) const;
  void RefuseExpired(CustomerQueue& aQueue,
                     TimePoint aNow,
                     std::vector<QueueRefusal>& aRefused);
  int RetryAfter(int aSlots) const;

  FairQueueOptions options_;
  // Customers with waiting requests; the front one is being served.
  std::list<CustomerQueue> customerQueues_;
  // Whether the front customer already received its quantum for this round.
  bool quantumGranted_ = false;
  std::size_t size_ = 0;
  double meanServiceSeconds_;
  // Shortest recent service time. A request with less time left than this
  // cannot complete before its deadline.
  double minServiceSeconds_ = 0;
  int poolSlots_ = 1;
};

}
