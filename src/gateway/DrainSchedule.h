#pragma once

// The steps of a planned stop, from SIGTERM to the exit of the process. The
// platform sends SIGKILL at the end of the grace time.
//
//   DrainSchedule schedule(grace);
//   switch (schedule.Next(elapsed, load)) { ... }
//
// Requests are waited for as long as possible: a response of a server in
// another region may still be in transit shortly before the end. What is left
// then is answered by the host, so that no caller sees a connection that ends
// without a response.

#include "base/BootClock.h"

#include <cstddef>
#include <string_view>

namespace peridotsail {

enum class DrainStep
{
  // Requests and new connections are accepted.
  Accept,
  // No new connections; idle ones are closed.
  Finish,
  // The host answers the requests that are still in progress.
  AnswerRemaining,
  // The process exits.
  Exit,
};

std::string_view
NameOf(DrainStep aStep);

// What keeps a stopping host from exiting.
struct DrainLoad
{
  int requests_ = 0;
  std::size_t connections_ = 0;
};

class DrainSchedule
{
public:
  explicit DrainSchedule(Duration aGrace);

  // All times are relative to SIGTERM.
  bool AcceptsConnections(Duration aElapsed) const;
  DrainStep Next(Duration aElapsed, const DrainLoad& aLoad) const;
  // Returns whether a request that arrives now is accepted.
  bool AcceptsRequest(Duration aElapsed, Duration aDeadline) const;
  // Returns how long the process may still run; zero once it must exit.
  Duration TimeToExit(Duration aElapsed) const;

private:
  Duration grace_;
};

}
