#include "backend/ConnectionHealth.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

constexpr double kSlowestResponseFactor = 3;
// With less, a scheduling delay or a lost packet would look like a stall.
constexpr double kMinTimeoutSeconds = 0.3;
// Assumed slowest response time until the first response is recorded.
constexpr double kInitialSlowestSeconds = 3600;
constexpr double kSlowestResponseHalfLifeSeconds = 60;

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
                           std::optional<Duration> aResponseTimeout)
{
  const auto it = connections_.find(aId);
  if (it != connections_.end()) {
    it->second.phase_ = aPhase;
    it->second.lastProgress_ = aNow;
    it->second.responseTimeout_ = aResponseTimeout;
  }
}

void
ConnectionHealth::Closed(std::uint64_t aId)
{
  connections_.erase(aId);
}

bool
ConnectionHealth::IsStalled(const Connection& aConnection, TimePoint aNow) const
{
  const Duration stalledFor = aNow - aConnection.lastProgress_;
  switch (aConnection.phase_) {
    case ConnectionPhase::Idle:
    case ConnectionPhase::AwaitingCaller:
      return false;
    case ConnectionPhase::AwaitingResponse:
      return aConnection.responseTimeout_ &&
             stalledFor >= *aConnection.responseTimeout_;
    case ConnectionPhase::Sending:
    case ConnectionPhase::Receiving:
      return stalledFor >= options_.stallTimeout_;
  }
  return false;
}

bool
ConnectionHealth::IsSuspected(const Connection& aConnection) const
{
  const auto it = suspectCutoffs_.find(aConnection.server_);
  return it != suspectCutoffs_.end() && aConnection.opened_ <= it->second;
}

std::vector<AbandonedConnection>
ConnectionHealth::Check(TimePoint aNow)
{
  std::vector<AbandonedConnection> abandoned;
  for (const auto& [id, connection] : connections_) {
    if (IsStalled(connection, aNow)) {
      abandoned.push_back({ id, connection.server_, true, connection.phase_ });
      TimePoint& cutoff = suspectCutoffs_[connection.server_];
      cutoff = std::max(cutoff, connection.opened_);
    }
  }
  for (const auto& [id, connection] : connections_) {
    const bool expired =
      aNow - connection.lastProgress_ >= options_.idleTimeout_;
    if (connection.phase_ == ConnectionPhase::Idle &&
        (expired || IsSuspected(connection))) {
      abandoned.push_back({ id, connection.server_, false, connection.phase_ });
    }
  }
  for (const AbandonedConnection& connection : abandoned) {
    connections_.erase(connection.id_);
  }
  return abandoned;
}

bool
ConnectionHealth::RemoveIfStalled(std::uint64_t aId, TimePoint aNow)
{
  const auto it = connections_.find(aId);
  if (it == connections_.end() || !IsStalled(it->second, aNow)) {
    return false;
  }
  TimePoint& cutoff = suspectCutoffs_[it->second.server_];
  cutoff = std::max(cutoff, it->second.opened_);
  connections_.erase(it);
  return true;
}

bool
ConnectionHealth::MayReuse(std::uint64_t aId, TimePoint aNow) const
{
  const auto it = connections_.find(aId);
  if (it == connections_.end() || IsSuspected(it->second)) {
    return false;
  }
  return aNow - it->second.lastProgress_ < options_.idleTimeout_;
}

double
AdaptiveResponseTimeout::SlowestResponse(TimePoint aNow) const
{
  if (slowestSeconds_ == 0) {
    return kInitialSlowestSeconds;
  }
  const double age = std::max(0.0, ToSeconds(aNow - slowestRecordedAt_));
  return slowestSeconds_ * std::exp2(-age / kSlowestResponseHalfLifeSeconds);
}

void
AdaptiveResponseTimeout::Record(Duration aResponseTime, TimePoint aNow)
{
  const double seconds = ToSeconds(aResponseTime);
  if (slowestSeconds_ == 0 || seconds > SlowestResponse(aNow)) {
    slowestSeconds_ = seconds;
    slowestRecordedAt_ = aNow;
  }
}

Duration
AdaptiveResponseTimeout::Timeout(TimePoint aNow) const
{
  return FromSeconds(std::max(kMinTimeoutSeconds,
                              SlowestResponse(aNow) * kSlowestResponseFactor));
}

}
