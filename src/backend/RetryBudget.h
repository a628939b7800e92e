#pragma once

// Limits retries on backend servers to a fraction of recent requests.
//
//   budget.RecordRequest(now);              // each first attempt
//   if (IsRetryable(attempt) && budget.TryTake(now)) { ... retry ... }
//
// Within the sliding window, retries are at most ratio * requests + floor, so
// retries increase the load on a failing pool by at most that ratio.

#include "base/BootClock.h"

#include <array>
#include <cstddef>

namespace peridotsail {

struct RetryBudgetOptions
{
  double ratio_ = 0.1;
  // Retries allowed per window regardless of the number of requests.
  double floor_ = 3;
};

class RetryBudget
{
public:
  static constexpr std::size_t kWindowSeconds = 10;

  explicit RetryBudget(RetryBudgetOptions aOptions = {});
  // Sets the retries allowed per window regardless of the number of requests.
  void SetFloor(double aFloor) { options_.floor_ = aFloor; }
  void RecordRequest(TimePoint aNow);
  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryTake(TimePoint aNow);
  // Returns whether TryTake would succeed.
  bool CanTake(TimePoint aNow);

private:
  struct Bucket
  {
    std::int64_t second_ = -1;
    double requests_ = 0;
    double retries_ = 0;
  };

  Bucket& CurrentBucket(TimePoint aNow);

  RetryBudgetOptions options_;
  std::array<Bucket, kWindowSeconds> buckets_{};
};

// Properties of a failed attempt that decide whether it can be retried.
struct FailedAttempt
{
  bool idempotent_ = false;
  // The server reported that it did not run the request, or no byte of the
  // request was written to it.
  bool notRun_ = false;
  // All body bytes sent so far are still buffered and can be sent again.
  bool bodyBuffered_ = true;
  // Part of the response has been sent to the caller.
  bool responseStarted_ = false;
  // Attempts so far, not counting those that a server shed: a shed request
  // returns to the queue until its deadline.
  int attemptsMade_ = 1;
};

constexpr int kMaxAttempts = 3;

// Returns whether another attempt is safe: it cannot run a non-idempotent
// request twice or mix two responses.
bool
IsRetryable(const FailedAttempt& aAttempt);

}
