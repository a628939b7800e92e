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

RetryBudget::Bucket&
RetryBudget::CurrentBucket(TimePoint aNow)
{
  const std::int64_t second = SecondOf(aNow);
  Bucket& bucket = buckets_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (bucket.second_ != second) {
    bucket = Bucket{};
    bucket.second_ = second;
  }
  return bucket;
}

void
RetryBudget::RecordRequest(TimePoint aNow)
{
  ++CurrentBucket(aNow).requests_;
}

bool
RetryBudget::CanTake(TimePoint aNow)
{
  const Bucket& current = CurrentBucket(aNow);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (current.second_ - bucket.second_ <
        static_cast<std::int64_t>(kWindowSeconds)) {
      requests += bucket.requests_;
      retries += bucket.retries_;
    }
  }
  return retries + 1 <= options_.floor_ + options_.ratio_ * requests;
}

bool
RetryBudget::TryTake(TimePoint aNow)
{
  if (!CanTake(aNow)) {
    return false;
  }
  ++CurrentBucket(aNow).retries_;
  return true;
}

bool
IsRetryable(const FailedAttempt& aAttempt)
{
  const bool safe = aAttempt.idempotent_ || aAttempt.notRun_;
  return safe && aAttempt.bodyBuffered_ && !aAttempt.responseStarted_ &&
         aAttempt.attemptsMade_ < kMaxAttempts;
}

}
