#pragma once

// Estimates how long a backend server takes to respond to another request, from
// the service times of past requests and the queue length that the server
// reports. Performs no I/O.
//
// Prevents an overload from which a service does not recover: when queues are
// longer than a request's deadline, servers execute requests that are abandoned
// before they complete, and no object gets into a server's cache.
//
//   QueueEstimate estimate(slots);
//   const double queue = estimate.QueueLength(now);   // when sending
//   estimate.RecordServiceTime(elapsed, queue, now);  // at the end
//   if (estimate.ExpectedLatency(now) > timeLeft) { try another server }

#include "slots/ReportedLoad.h"

namespace peridotsail {

struct QueueEstimateOptions
{
  // The service time that is assumed before the first request has completed.
  Duration initialServiceTime_ = std::chrono::milliseconds(300);
  // Smoothing factor of the service time (exponentially weighted moving
  // average).
  double smoothing_ = 0.1;
  // A service time older than this is ignored, so that a slow server is tried
  // again.
  Duration serviceTimeLifetime_ = std::chrono::milliseconds(2000);
  // A load report older than this is ignored.
  Duration reportLifetime_ = std::chrono::milliseconds(1000);
  // A reported pace older than this is ignored, because it changes many times a
  // second.
  Duration paceLifetime_ = std::chrono::milliseconds(300);
};

class QueueEstimate
{
public:
  explicit QueueEstimate(int aSlots, QueueEstimateOptions aOptions = {});

  void SetSlots(int aSlots) { slots_ = aSlots; }
  // Sets the number of hosts, including this one, that are expected to send the
  // same load to the server.
  void SetHostCount(double aHosts) { hostCount_ = aHosts; }
  void Report(const ReportedLoad& aLoad);
  const ReportedLoad& LastReport() const { return load_; }
  // A request of this host is sent to the server, or has ended there.
  void OnRequestSent();
  void OnRequestEnded();
  int InFlight() const { return inFlight_; }
  // Returns the number of requests that a new one would wait for: the larger of
  // the requests that all hosts together are expected to have there beyond the
  // slots, and those in the last report or sent since then. The first estimate
  // is needed because a server whose requests all exceed their deadline sends
  // no reports.
  double QueueLength(TimePoint aNow) const;
  // aQueueLength is the value of QueueLength when the request was sent. For an
  // abandoned request, aElapsed is the time until it was abandoned.
  void RecordServiceTime(Duration aElapsed,
                         double aQueueLength,
                         TimePoint aNow);
  // Returns whether the service time is based on recent requests.
  bool IsServiceTimeRecent(TimePoint aNow) const;
  // Returns the expected time until a new request is answered.
  Duration ExpectedLatency(TimePoint aNow) const;
  // Returns whether a new request is expected to start immediately.
  bool HasFreeSlot(TimePoint aNow) const;
  // Returns whether a recent report shows a free slot, or there is neither a
  // recent report nor an outstanding request of this host that could bring one.
  bool MayHaveFreeSlot(TimePoint aNow) const;
  // Returns whether a recent report shows at most half of the slots in use, so
  // that the server has capacity for objects of other servers.
  bool IsHalfIdle(TimePoint aNow) const;
  Duration ServiceTime() const { return FromSeconds(serviceSeconds_); }

private:
  bool IsReportRecent(TimePoint aNow) const;
  // The reported pace relative to the usual one; 1 if none is known.
  double PaceFactor(TimePoint aNow) const;
  // Returns the number of requests at the server: those in the last report,
  // plus those sent since then that have not ended. A request that was shed
  // without a report no longer counts.
  int RequestsAtServer() const;

  int slots_;
  double hostCount_ = 1;
  QueueEstimateOptions options_;
  ReportedLoad load_;
  int inFlight_ = 0;
  int sentSinceReport_ = 0;
  // At the usual pace.
  double serviceSeconds_;
  // The last reported pace, and when it was reported.
  int pace_ = kUsualPace;
  TimePoint paceAt_ = TimePoint::min();
  TimePoint lastServiceTimeAt_ = TimePoint::min();
};

}
