#pragma once

// Graceful shutdown of an entry host. When a drain starts, lookups stop listing
// the host, and it keeps serving until every cached lookup answer that lists it
// has expired. It then stops accepting connections and finishes when its
// requests have completed. No I/O, no clock, no threads.
//
//   HostDrain drain;
//   drain.Start(now);  // on a signal or a configured drain
//   if (drain.PhaseAt(now, inFlight) == HostPhase::Closing) { stop accepting }

#include "base/BootClock.h"

#include <cstddef>
#include <optional>

namespace peridotsail {

enum class HostPhase
{
  Serving,
  // No longer listed in lookup answers, but still serving.
  Unlisted,
  // Accepts no new connections and completes the requests in flight.
  Closing,
  Finished,
};

struct HostDrainOptions
{
  // Time until all hosts know about the drain and stop listing this host.
  Duration propagationTime_ = std::chrono::seconds(2);
  // Time to live of lookup answers.
  Duration timeToLive_ = std::chrono::seconds(5);
};

class HostDrain
{
public:
  explicit HostDrain(HostDrainOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Starts the drain. No effect if a drain is already running.
  void Start(TimePoint aNow)
  {
    if (!startedAt_) {
      startedAt_ = aNow;
    }
  }
  // Cancels the drain.
  void Cancel() { startedAt_.reset(); }

  HostPhase PhaseAt(TimePoint aNow, std::size_t aInFlight) const
  {
    if (!startedAt_) {
      return HostPhase::Serving;
    }
    if (aNow < ServesUntil()) {
      return HostPhase::Unlisted;
    }
    return aInFlight > 0 ? HostPhase::Closing : HostPhase::Finished;
  }
  // Returns TimePoint::max() when no drain is running.
  TimePoint ServesUntil() const
  {
    return startedAt_
             ? *startedAt_ + options_.propagationTime_ + options_.timeToLive_
             : TimePoint::max();
  }

private:
  HostDrainOptions options_;
  std::optional<TimePoint> startedAt_;
};

}
