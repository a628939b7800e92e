#include "backend/RetryBudget.h"

namespace peridotsail {

namespace {

std::int64_t
SecondOf(TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aNow.time_since_epoch())
    .count();
}

}

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : options_(aOptions)
{
}

RetryBudget::Second&
RetryBudget::Current(TimePoint aNow)
{
  const std::int64_t number = SecondOf(aNow);
  Second& second = seconds_[static_cast<std::size_t>(number) % kWindowSeconds];
  if (second.number_ != number) {
    second = Second{};
    second.number_ = number;
  }
  return second;
}

void
RetryBudget::RecordRequest(TimePoint aNow)
{
  ++Current(aNow).requests_;
}

bool
RetryBudget::Has(TimePoint aNow)
{
  const Second& current = Current(aNow);
  double requests = 0;
  double retries = 0;
  for (const Second& second : seconds_) {
    if (current.number_ - second.number_ <
        static_cast<std::int64_t>(kWindowSeconds)) {
      requests += second.requests_;
      retries += second.retries_;
    }
  }
  return retries + 1 <= options_.floor_ + options_.ratio_ * requests;
}

bool
RetryBudget::TryTake(TimePoint aNow)
{
  if (!Has(aNow)) {
    return false;
  }
  ++Current(aNow).retries_;
  return true;
}

bool
MayRunAgain(const FailedAttempt& aAttempt)
{
  const bool safe = aAttempt.idempotent_ || aAttempt.notRun_;
  return safe && aAttempt.bodyKept_ && !aAttempt.responseStarted_ &&
         aAttempt.attemptsMade_ < kMostAttempts;
}

}
