#pragma once

// Limits retries on backend servers to a part of recent requests.
//
//   budget.RecordRequest(now);              // each first attempt
//   if (MayRunAgain(attempt) && budget.TryTake(now)) { ... retry ... }
//
// In any window that ends now, retries are at most ratio · requests + floor,
// so a failing pool receives at most ratio more requests than without retries.

#include "base/BootClock.h"

#include <array>
#include <cstddef>

namespace peridotsail {

struct RetryBudgetOptions
{
  double ratio_ = 0.1;
  // Retries within the window that need no requests.
  double floor_ = 3;
};

class RetryBudget
{
public:
  static constexpr std::size_t kWindowSeconds = 10;

  explicit RetryBudget(RetryBudgetOptions aOptions = {});
  // Changes the retries within the window that need no requests.
  void SetFloor(double aFloor) { options_.floor_ = aFloor; }
  void RecordRequest(TimePoint aNow);
  // Takes a retry from the budget; false when it is used up.
  bool TryTake(TimePoint aNow);
  // Whether TryTake would succeed.
  bool Has(TimePoint aNow);

private:
  struct Second
  {
    std::int64_t number_ = -1;
    double requests_ = 0;
    double retries_ = 0;
  };

  Second& Current(TimePoint aNow);

  RetryBudgetOptions options_;
  std::array<Second, kWindowSeconds> seconds_{};
};

// What is known of a failed attempt.
struct FailedAttempt
{
  bool idempotent_ = false;
  // The server stated that it did not run the request, or no byte of the
  // request was written to it.
  bool notRun_ = false;
  // All body bytes that were sent are still at hand.
  bool bodyKept_ = true;
  // A part of the response went to the caller.
  bool responseStarted_ = false;
  // Attempts so far without those that a server shed: a shed request waits in
  // the queue again until its deadline.
  int attemptsMade_ = 1;
};

constexpr int kMostAttempts = 3;

// Whether another attempt can neither run a non-idempotent request twice nor
// mix two responses.
bool
MayRunAgain(const FailedAttempt& aAttempt);

}
