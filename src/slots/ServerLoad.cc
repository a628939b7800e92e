#include "slots/ServerLoad.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr std::size_t kMaxRoutes = 64;
// The service time of routes beyond that number.
constexpr double kUnknownServiceSeconds = 0.3;
constexpr int kMaxSamples = 1000;

}

ServerLoad::ServerLoad(ServerLoadOptions aOptions)
  : options_(aOptions)
{
}

void
ServerLoad::Report(const ReportedLoad& aLoad, int aGranted, TimePoint aNow)
{
  const int reported = aLoad.running_ + aLoad.waiting_;
  countsAnswered_ = countsAnswered_ && reported > 0;
  const bool recent = reportedAt_ != TimePoint::min() &&
                      aNow - reportedAt_ < options_.reportLifetime_;
  previousForeign_ = recent ? foreign_ : 0;
  foreign_ = std::max(0, reported - aGranted);
  reportedAt_ = aNow;
  if (aLoad.pace_ > 0) {
    pace_ = aLoad.pace_;
    paceAt_ = aNow;
  }
}

int
ServerLoad::Foreign(TimePoint aNow) const
{
  const bool recent = reportedAt_ != TimePoint::min() &&
                      aNow - reportedAt_ < options_.reportLifetime_;
  return recent ? std::min(foreign_, previousForeign_) : 0;
}

int
ServerLoad::Pace(TimePoint aNow) const
{
  const bool recent =
    paceAt_ != TimePoint::min() && aNow - paceAt_ < options_.paceLifetime_;
  return recent ? pace_ : 0;
}

double
ServerLoad::PaceFactor(TimePoint aNow) const
{
  const int pace = Pace(aNow);
  return pace == 0 ? 1 : static_cast<double>(pace) / kUsualPace;
}

void
ServerLoad::AddRoute(std::uint64_t aRoute, Duration aExpected)
{
  if (routes_.size() < kMaxRoutes) {
    routes_.try_emplace(aRoute, RouteTime{ ToSeconds(aExpected), 0 });
  }
}

void
ServerLoad::RecordServiceTime(std::uint64_t aRoute,
                              Duration aTime,
                              TimePoint aNow)
{
  const auto found = routes_.find(aRoute);
  if (found == routes_.end()) {
    return;
  }
  RouteTime& time = found->second;
  time.samples_ = std::min(time.samples_ + 1, kMaxSamples);
  const double weight = std::max(options_.smoothing_, 1.0 / time.samples_);
  const double sample = ToSeconds(aTime) / PaceFactor(aNow);
  time.seconds_ += weight * (sample - time.seconds_);
}

Duration
ServerLoad::ServiceTime(std::uint64_t aRoute, TimePoint aNow) const
{
  const auto found = routes_.find(aRoute);
  const double seconds =
    found == routes_.end() ? kUnknownServiceSeconds : found->second.seconds_;
  return FromSeconds(seconds * PaceFactor(aNow));
}

}
