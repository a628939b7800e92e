#pragma once

// Estimates how long a backend server takes for one more request, from the
// requests that it has finished and the queue that it reports. Pure.
//
// Guards against the overload in which a service does not recover: with queues
// longer than a request's time limit, servers run requests that are given up
// before their end, and no object gets warm.
//
//   QueueEstimate estimate(slots);
//   const double queue = estimate.Waiting(now);      // when sending
//   estimate.RecordRun(elapsed, queue, now);            // at the end
//   if (estimate.Expected(now) > timeLeft) { look elsewhere }

#include "base/BootClock.h"

namespace peridotsail {

// The load that a backend server reports with its answers.
struct ReportedLoad
{
  int running_ = 0;
  int waiting_ = 0;
  TimePoint at_ = TimePoint::min();
};

struct QueueEstimateOptions
{
  // The run time before the first request has ended.
  Duration firstRunTime_ = std::chrono::milliseconds(300);
  // Weight of the newest run.
  double weight_ = 0.1;
  // After this time without a run the server is tried again, however slow it
  // was.
  Duration runTimeLifetime_ = std::chrono::milliseconds(2000);
  // An older report of the load says nothing about the queue now.
  Duration reportLifetime_ = std::chrono::milliseconds(1000);
};

class QueueEstimate
{
public:
  explicit QueueEstimate(int aSlots, QueueEstimateOptions aOptions = {});

  void SetSlots(int aSlots) { slots_ = aSlots; }
  // The hosts that are expected to send as much to the server as this one.
  void SetSharers(double aHosts) { sharers_ = aHosts; }
  void Report(const ReportedLoad& aLoad);
  // A request of this host goes to the server, or ends there.
  void Sent();
  void Ended();
  int InFlight() const { return inFlight_; }
  // Requests that a new one would wait for: those that all hosts together are
  // expected to have there beyond the slots, or those in the last report and
  // sent since, whichever is more. A server whose requests all run into their
  // time limit reports nothing.
  double Waiting(TimePoint aNow) const;
  // aWaiting is what Waiting returned when the request was sent. A request that
  // was given up counts with the time until then.
  void RecordRun(Duration aElapsed, double aWaiting, TimePoint aNow);
  // The run time is known from runs of the last seconds.
  bool IsRunTimeRecent(TimePoint aNow) const;
  // The time until a new request is answered.
  Duration Expected(TimePoint aNow) const;
  // A new request would start at once, as far as this host knows.
  bool HasFreeSlot(TimePoint aNow) const;
  // A recent report shows a free slot, or no request of this host is there to
  // bring a report.
  bool HasRoom(TimePoint aNow) const;
  // A recent report shows at most half of the slots in use: the server has room
  // for objects that are not its own.
  bool IsHalfFree(TimePoint aNow) const;
  Duration RunTime() const { return FromSeconds(runSeconds_); }

private:
  bool IsReportRecent(TimePoint aNow) const;
  // Requests at the server: those of the last report, and those sent since that
  // have not ended. One that was shed without a report is not there any more.
  int Present() const;

  int slots_;
  double sharers_ = 1;
  QueueEstimateOptions options_;
  ReportedLoad load_;
  int inFlight_ = 0;
  int sentSinceReport_ = 0;
  double runSeconds_;
  TimePoint lastRunAt_ = TimePoint::min();
};

}
