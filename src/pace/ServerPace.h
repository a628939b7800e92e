#pragma once

// Limits the number of concurrent requests at one backend server after it has
// started, restarted, recovered from an ejection or become cold, until its
// answers show that it handles its full number of slots. The limit starts low
// and doubles with each round of good answers, from the last reduction's
// threshold on by one per round. It is reduced when the server sheds or fails
// requests, loses connections, or when its service times grow with the number
// of requests at the server. Service times are compared with the server's own
// at low concurrency, because a server that has just started is slower than the
// others whatever its load is.
//
// One instance decides for all hosts, at the host that sends or grants all
// requests to the server. Performs no I/O. Not thread-safe.
//
//   ServerPace pace(slots);
//   pace.Begin(PaceCause::Started, now);
//   if (atServer < pace.Limit(now)) {
//     const PaceTicket ticket = pace.OnSent(atServer + 1, now);
//     ...
//     pace.OnEnded(ticket, { PaceOutcome::Success, serviceTime }, now);
//   }

#include "base/BootClock.h"

#include <optional>
#include <string_view>

namespace peridotsail {

struct ServerPaceOptions
{
  // Concurrent requests at the start and after a lost connection.
  int startLimit_ = 1;
  // An answer lets the limit grow if its service time is at most this multiple
  // of the server's own at low concurrency, or of the service's settled
  // servers.
  double flatRatio_ = 1.5;
  // The limit is reduced if the smoothed service time exceeds this multiple of
  // the server's own at low concurrency.
  double steepRatio_ = 2;
  // Answers at higher concurrency that are needed for that comparison.
  int minSamples_ = 3;
  // Factor of a reduction after a shed, a failure or growing service times.
  double reduceFactor_ = 0.5;
  // Smoothing factor of service times (exponentially weighted moving average).
  double smoothing_ = 0.3;
  // One request more than the limit may be sent if none was for this long, so
  // that lost answers do not leave the server idle.
  Duration probeInterval_ = std::chrono::milliseconds(500);
  // A server that had no reduction for this long is settled, although too few
  // requests were sent to it to use its slots.
  Duration quietTime_ = std::chrono::seconds(10);
  // Without an answer for this long, the limit returns to the start value.
  Duration holdTime_ = std::chrono::seconds(2);
};

enum class PacePhase
{
  // The limit does not apply.
  Settled,
  // The limit grows from the start value.
  Started,
  // The limit was reduced at least once since the start.
  Reduced,
};

// What led to a phase.
enum class PaceCause
{
  Started,
  Restarted,
  Recovered,
  Cold,
  Shed,
  Failure,
  ConnectionLost,
  ServiceTime,
  FullPace,
};

std::string_view
NameOf(PacePhase aPhase);
std::string_view
NameOf(PaceCause aCause);

enum class PaceOutcome
{
  Success,
  Shed,
  Failure,
  ConnectionLost,
  // The answer or the report of it was lost.
  Unknown,
};

// Returned when a request is sent, and passed when it has ended.
struct PaceTicket
{
  TimePoint sentAt_;
  // Requests at the server, including this one.
  int concurrency_ = 0;
};

struct PaceAnswer
{
  PaceOutcome outcome_ = PaceOutcome::Success;
  // Time from sending the request to the server until its answer.
  Duration serviceTime_{};
  // Mean service time of the service's settled servers; zero if unknown.
  Duration settledTime_{};
};

struct PaceChange
{
  PacePhase phase_ = PacePhase::Settled;
  PaceCause cause_ = PaceCause::FullPace;
};

class ServerPace
{
public:
  explicit ServerPace(int aSlots, ServerPaceOptions aOptions = {});

  void SetSlots(int aSlots);
  // Starts again at the start value. Answers to earlier requests are ignored.
  PaceChange Begin(PaceCause aCause, TimePoint aNow);
  PacePhase Phase() const { return phase_; }
  // The number of requests that may be at the server at once, at least one.
  // Empty if the server is settled, so that only other limits apply.
  std::optional<int> Limit(TimePoint aNow) const;
  // aConcurrency: requests at the server, including this one.
  PaceTicket OnSent(int aConcurrency, TimePoint aNow);
  // Call once for each ticket. Returns the change of phase, if any.
  std::optional<PaceChange> OnEnded(const PaceTicket& aTicket,
                                    const PaceAnswer& aAnswer,
                                    TimePoint aNow);

private:
  bool IsStale(TimePoint aNow) const;
  void RecordServiceTime(int aConcurrency, double aSeconds);
  bool IsSteep() const;
  bool IsFlat(const PaceAnswer& aAnswer) const;
  std::optional<PaceChange> OnSuccess(const PaceTicket& aTicket,
                                      const PaceAnswer& aAnswer,
                                      TimePoint aNow);
  std::optional<PaceChange> Grow(int aConcurrency, TimePoint aNow);
  PaceChange Settle();
  // At most one reduction for the requests that were in flight together.
  std::optional<PaceChange> Reduce(const PaceTicket& aTicket,
                                   PaceCause aCause,
                                   TimePoint aNow);

  ServerPaceOptions options_;
  int slots_;
  PacePhase phase_ = PacePhase::Settled;
  double limit_;
  // The limit doubles below this, and grows by one per round above it.
  double threshold_;
  // Good answers since the limit reached the slots.
  int answersAtFullPace_ = 0;
  // Smoothed service times at low concurrency, and at higher concurrency since
  // the last reduction; zero if unknown.
  double lowSeconds_ = 0;
  double highSeconds_ = 0;
  int highSamples_ = 0;
  // Requests at the server.
  int atServer_ = 0;
  TimePoint begunAt_;
  TimePoint lastSentAt_;
  TimePoint lastAnswerAt_;
  TimePoint reducedAt_;
  // Neither a reduction nor silence since then.
  TimePoint quietSince_;
};

}
