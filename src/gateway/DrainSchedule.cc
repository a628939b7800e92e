#include "gateway/DrainSchedule.h"

#include <algorithm>
#include <array>

namespace peridotsail {

namespace {

struct StepName
{
  DrainStep step_;
  std::string_view name_;
};

constexpr std::array<StepName, 4> kStepNames{ {
  { DrainStep::Accept, "accept" },
  { DrainStep::Finish, "finish" },
  { DrainStep::AnswerRemaining, "answer-remaining" },
  { DrainStep::Exit, "exit" },
} };

// New connections are accepted for this fraction of the grace time, because
// callers still use cached lists of hosts.
constexpr double kAcceptFraction = 0.6;
// For this time all requests are accepted, since only few of them last until
// the end of the grace time. Later ones are accepted only if their deadline
// lies before it, however long their server takes.
constexpr Duration kAcceptAllTime = std::chrono::milliseconds(3000);
// Reserved at the end of the grace time for late requests to be answered at
// their deadline.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(1000);
// Reserved for the host's own answers to reach their callers.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(500);
// Reserved for the end of the process.
constexpr Duration kExitMargin = std::chrono::milliseconds(200);
// The margins together take at most this fraction of a short grace time.
constexpr double kMaxMarginFraction = 0.25;

// Shortens a margin in proportion if the grace time is short.
Duration
Scaled(Duration aMargin, Duration aGrace)
{
  const double longest = kMaxMarginFraction * ToSeconds(aGrace);
  const double factor = std::min(1.0, longest / ToSeconds(kDeadlineMargin));
  return FromSeconds(factor * ToSeconds(aMargin));
}

}

std::string_view
NameOf(DrainStep aStep)
{
  for (const StepName& row : kStepNames) {
    if (row.step_ == aStep) {
      return row.name_;
    }
  }
  return "";
}

DrainSchedule::DrainSchedule(Duration aGrace)
  : grace_(aGrace)
{
}

bool
DrainSchedule::AcceptsConnections(Duration aElapsed) const
{
  return aElapsed < FromSeconds(ToSeconds(grace_) * kAcceptFraction);
}

DrainStep
DrainSchedule::Next(Duration aElapsed, const DrainLoad& aLoad) const
{
  if (AcceptsConnections(aElapsed)) {
    return DrainStep::Accept;
  }
  const bool idle = aLoad.requests_ == 0 && aLoad.connections_ == 0;
  if (idle || TimeToExit(aElapsed) == Duration::zero()) {
    return DrainStep::Exit;
  }
  return aElapsed < grace_ - Scaled(kAnswerMargin, grace_)
           ? DrainStep::Finish
           : DrainStep::AnswerRemaining;
}

bool
DrainSchedule::AcceptsRequest(Duration aElapsed, Duration aDeadline) const
{
  return aElapsed < std::min(kAcceptAllTime, grace_ / 2) ||
         aDeadline <= grace_ - Scaled(kDeadlineMargin, grace_);
}

Duration
DrainSchedule::TimeToExit(Duration aElapsed) const
{
  const Duration exitAt = grace_ - Scaled(kExitMargin, grace_);
  return std::max(Duration::zero(), exitAt - aElapsed);
}

}
