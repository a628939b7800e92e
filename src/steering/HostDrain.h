#pragma once

// The end of an entry host's service: from the moment at which it is to leave,
// look-ups no longer name it, and it serves until no caller can hold an answer
// that names it. Then it stops accepting and ends once its requests have ended.
// Pure.
//
//   HostDrain drain;
//   drain.Start(now);                       // a signal, or a drain is in force
//   if (drain.PhaseAt(now, inFlight) == HostPhase::Closing) { stop accepting }

#include "base/BootClock.h"

#include <cstddef>
#include <optional>

namespace peridotsail {

enum class HostPhase
{
  Serving,
  // Not named in look-ups, serves as before.
  Unlisted,
  // Accepts no new connection, finishes the requests in flight.
  Closing,
  Finished,
};

struct HostDrainOptions
{
  // Time in which all hosts learn that this one is leaving and name it no more.
  Duration propagationTime_ = std::chrono::seconds(2);
  // Time to live of look-up answers.
  Duration timeToLive_ = std::chrono::seconds(5);
};

class HostDrain
{
public:
  explicit HostDrain(HostDrainOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Begins the drain; has no effect while one runs.
  void Start(TimePoint aNow)
  {
    if (!startedAt_) {
      startedAt_ = aNow;
    }
  }
  // The drain was taken back before the host closed.
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
  // TimePoint::max() while no drain runs.
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
