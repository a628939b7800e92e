#include "backend/ConnectionHealth.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

constexpr double kSlowestFactor = 3;
// Below this, a pause of the scheduler or a lost packet looks like silence.
constexpr double kShortestLimitSeconds = 0.3;
// Before the first response nothing is known.
constexpr double kNoLimitSeconds = 3600;
constexpr double kSlowestHalfLifeSeconds = 60;

}

ConnectionHealth::ConnectionHealth(ConnectionHealthOptions aOptions)
  : options_(aOptions)
{
}

void
ConnectionHealth::Opened(std::uint64_t aId,
                         const std::string& aServer,
                         TimePoint aNow)
{
  Connection connection;
  connection.server_ = aServer;
  connection.opened_ = aNow;
  connection.lastProgress_ = aNow;
  connections_[aId] = connection;
}

void
ConnectionHealth::Progress(std::uint64_t aId,
                           ConnectionPhase aPhase,
                           TimePoint aNow,
                           std::optional<Duration> aResponseLimit)
{
  const auto it = connections_.find(aId);
  if (it != connections_.end()) {
    it->second.phase_ = aPhase;
    it->second.lastProgress_ = aNow;
    it->second.responseLimit_ = aResponseLimit;
  }
}

void
ConnectionHealth::Closed(std::uint64_t aId)
{
  connections_.erase(aId);
}

bool
ConnectionHealth::Stalled(const Connection& aConnection, TimePoint aNow) const
{
  const Duration silent = aNow - aConnection.lastProgress_;
  switch (aConnection.phase_) {
    case ConnectionPhase::Idle:
    case ConnectionPhase::AwaitingCaller:
      return false;
    case ConnectionPhase::AwaitingResponse:
      return aConnection.responseLimit_ &&
             silent >= *aConnection.responseLimit_;
    case ConnectionPhase::Sending:
    case ConnectionPhase::Receiving:
      return silent >= options_.stallLimit_;
  }
  return false;
}

bool
ConnectionHealth::Suspected(const Connection& aConnection) const
{
  const auto it = suspectedUpTo_.find(aConnection.server_);
  return it != suspectedUpTo_.end() && aConnection.opened_ <= it->second;
}

std::vector<ConnectionVerdict>
ConnectionHealth::Check(TimePoint aNow)
{
  std::vector<ConnectionVerdict> verdicts;
  for (const auto& [id, connection] : connections_) {
    if (Stalled(connection, aNow)) {
      verdicts.push_back({ id, connection.server_, true, connection.phase_ });
      TimePoint& upTo = suspectedUpTo_[connection.server_];
      upTo = std::max(upTo, connection.opened_);
    }
  }
  for (const auto& [id, connection] : connections_) {
    const bool tooOld = aNow - connection.lastProgress_ >= options_.idleLimit_;
    if (connection.phase_ == ConnectionPhase::Idle &&
        (tooOld || Suspected(connection))) {
      verdicts.push_back({ id, connection.server_, false, connection.phase_ });
    }
  }
  for (const ConnectionVerdict& verdict : verdicts) {
    connections_.erase(verdict.id_);
  }
  return verdicts;
}

bool
ConnectionHealth::TakeIfStalled(std::uint64_t aId, TimePoint aNow)
{
  const auto it = connections_.find(aId);
  if (it == connections_.end() || !Stalled(it->second, aNow)) {
    return false;
  }
  TimePoint& upTo = suspectedUpTo_[it->second.server_];
  upTo = std::max(upTo, it->second.opened_);
  connections_.erase(it);
  return true;
}

bool
ConnectionHealth::MayReuse(std::uint64_t aId, TimePoint aNow) const
{
  const auto it = connections_.find(aId);
  if (it == connections_.end() || Suspected(it->second)) {
    return false;
  }
  return aNow - it->second.lastProgress_ < options_.idleLimit_;
}

double
ResponseTimeLimit::Slowest(TimePoint aNow) const
{
  if (slowestSeconds_ == 0) {
    return kNoLimitSeconds;
  }
  const double age = std::max(0.0, ToSeconds(aNow - recorded_));
  return slowestSeconds_ * std::exp2(-age / kSlowestHalfLifeSeconds);
}

void
ResponseTimeLimit::Record(Duration aResponseTime, TimePoint aNow)
{
  const double seconds = ToSeconds(aResponseTime);
  if (slowestSeconds_ == 0 || seconds > Slowest(aNow)) {
    slowestSeconds_ = seconds;
    recorded_ = aNow;
  }
}

Duration
ResponseTimeLimit::Limit(TimePoint aNow) const
{
  return FromSeconds(
    std::max(kShortestLimitSeconds, Slowest(aNow) * kSlowestFactor));
}

}
