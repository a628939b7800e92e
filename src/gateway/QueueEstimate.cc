#include "gateway/QueueEstimate.h"

#include <algorithm>

namespace peridotsail {

QueueEstimate::QueueEstimate(int aSlots, QueueEstimateOptions aOptions)
  : slots_(aSlots)
  , options_(aOptions)
  , runSeconds_(ToSeconds(aOptions.firstRunTime_))
{
}

void
QueueEstimate::Report(const ReportedLoad& aLoad)
{
  load_ = aLoad;
  sentSinceReport_ = 0;
}

void
QueueEstimate::Sent()
{
  ++inFlight_;
  ++sentSinceReport_;
}

void
QueueEstimate::Ended()
{
  --inFlight_;
}

double
QueueEstimate::Waiting(TimePoint aNow) const
{
  const double own = inFlight_ * sharers_ + 1 - slots_;
  double reported = 0;
  if (IsReportRecent(aNow)) {
    reported = Present() + 1 - slots_;
  }
  return std::max({ 0.0, own, reported });
}

bool
QueueEstimate::IsReportRecent(TimePoint aNow) const
{
  return load_.at_ != TimePoint::min() &&
         aNow - load_.at_ < options_.reportLifetime_;
}

int
QueueEstimate::Present() const
{
  return load_.running_ + load_.waiting_ +
         std::min(sentSinceReport_, inFlight_);
}

void
QueueEstimate::RecordRun(Duration aElapsed, double aWaiting, TimePoint aNow)
{
  lastRunAt_ = aNow;
  const double run = ToSeconds(aElapsed) / (1 + aWaiting / slots_);
  runSeconds_ += options_.weight_ * (run - runSeconds_);
}

bool
QueueEstimate::IsRunTimeRecent(TimePoint aNow) const
{
  return lastRunAt_ != TimePoint::min() &&
         aNow - lastRunAt_ < options_.runTimeLifetime_;
}

Duration
QueueEstimate::Expected(TimePoint aNow) const
{
  return FromSeconds(runSeconds_ * (1 + Waiting(aNow) / slots_));
}

bool
QueueEstimate::IsHalfFree(TimePoint aNow) const
{
  return IsReportRecent(aNow) && HasFreeSlot(aNow) && 2 * Present() <= slots_;
}

bool
QueueEstimate::HasRoom(TimePoint aNow) const
{
  return IsReportRecent(aNow) ? HasFreeSlot(aNow) : inFlight_ == 0;
}

bool
QueueEstimate::HasFreeSlot(TimePoint aNow) const
{
  return Waiting(aNow) == 0;
}

}
