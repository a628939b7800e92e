#include "slots/QueueEstimate.h"

#include <algorithm>

namespace peridotsail {

QueueEstimate::QueueEstimate(int aSlots, QueueEstimateOptions aOptions)
  : slots_(aSlots)
  , options_(aOptions)
  , serviceSeconds_(ToSeconds(aOptions.initialServiceTime_))
{
}

void
QueueEstimate::Report(const ReportedLoad& aLoad)
{
  load_ = aLoad;
  sentSinceReport_ = 0;
  if (aLoad.pace_ > 0) {
    pace_ = aLoad.pace_;
    paceAt_ = aLoad.at_;
  }
}

void
QueueEstimate::OnRequestSent()
{
  ++inFlight_;
  ++sentSinceReport_;
}

void
QueueEstimate::OnRequestEnded()
{
  --inFlight_;
}

double
QueueEstimate::QueueLength(TimePoint aNow) const
{
  double own = inFlight_ * hostCount_ + 1 - slots_;
  double reported = 0;
  if (IsReportRecent(aNow)) {
    reported = RequestsAtServer() + 1 - slots_;
    own = load_.fromOwner_ ? 0 : own;
  }
  return std::max({ 0.0, own, reported });
}

bool
QueueEstimate::IsReportRecent(TimePoint aNow) const
{
  return load_.at_ != TimePoint::min() &&
         aNow - load_.at_ < options_.reportLifetime_;
}

double
QueueEstimate::PaceFactor(TimePoint aNow) const
{
  const bool recent =
    paceAt_ != TimePoint::min() && aNow - paceAt_ < options_.paceLifetime_;
  return recent ? static_cast<double>(pace_) / kUsualPace : 1;
}

int
QueueEstimate::RequestsAtServer() const
{
  return load_.running_ + load_.waiting_ +
         std::min(sentSinceReport_, inFlight_);
}

void
QueueEstimate::RecordServiceTime(Duration aElapsed,
                                 double aQueueLength,
                                 TimePoint aNow)
{
  lastServiceTimeAt_ = aNow;
  const double serviceTime =
    ToSeconds(aElapsed) / (1 + aQueueLength / slots_) / PaceFactor(aNow);
  serviceSeconds_ += options_.smoothing_ * (serviceTime - serviceSeconds_);
}

bool
QueueEstimate::IsServiceTimeRecent(TimePoint aNow) const
{
  return lastServiceTimeAt_ != TimePoint::min() &&
         aNow - lastServiceTimeAt_ < options_.serviceTimeLifetime_;
}

Duration
QueueEstimate::ExpectedLatency(TimePoint aNow) const
{
  return FromSeconds(serviceSeconds_ * PaceFactor(aNow) *
                     (1 + QueueLength(aNow) / slots_));
}

bool
QueueEstimate::IsHalfIdle(TimePoint aNow) const
{
  return IsReportRecent(aNow) && HasFreeSlot(aNow) &&
         2 * RequestsAtServer() <= slots_;
}

bool
QueueEstimate::MayHaveFreeSlot(TimePoint aNow) const
{
  return IsReportRecent(aNow) ? HasFreeSlot(aNow) : inFlight_ == 0;
}

bool
QueueEstimate::HasFreeSlot(TimePoint aNow) const
{
  return QueueLength(aNow) == 0;
}

}
