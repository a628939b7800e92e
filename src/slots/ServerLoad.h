#pragma once

// What the owner of a backend server's slots knows about the server: requests
// there that were not granted by the owner, the pace of its machine, and the
// service time of each route. Performs no I/O.
//
//   ServerLoad load;
//   load.Report(report, grants, now);
//   const int capacity = slots - load.Foreign(now);

#include "slots/QueueEstimate.h"

#include <cstdint>
#include <unordered_map>

namespace peridotsail {

struct ServerLoadOptions
{
  // A load report older than this is ignored.
  Duration reportLifetime_ = std::chrono::milliseconds(1000);
  // A reported pace older than this is ignored.
  Duration paceLifetime_ = std::chrono::milliseconds(300);
  // Smoothing factor of the service times: their mean over the first requests,
  // then an exponentially weighted moving average.
  double smoothing_ = 0.1;
};

class ServerLoad
{
public:
  explicit ServerLoad(ServerLoadOptions aOptions = {});

  // Uses a report of the server. aGranted is the number of requests there that
  // the owner granted.
  void Report(const ReportedLoad& aLoad, int aGranted, TimePoint aNow);
  // Returns whether a report may count the request in whose response it came.
  // Servers differ; a report of no requests shows that it does not.
  bool CountsAnswered() const { return countsAnswered_; }
  // Returns the number of requests at the server that the owner did not grant,
  // by the last two reports; 0 if these are too old. A single report can be
  // older than the end of a grant that the owner has already noted.
  int Foreign(TimePoint aNow) const;
  // Returns the reported pace, or 0 if none is known.
  int Pace(TimePoint aNow) const;
  // Sets the expected service time of a route that is not known yet.
  void AddRoute(std::uint64_t aRoute, Duration aExpected);
  void RecordServiceTime(std::uint64_t aRoute, Duration aTime, TimePoint aNow);
  // Returns the expected service time at the present pace.
  Duration ServiceTime(std::uint64_t aRoute, TimePoint aNow) const;

private:
  // The service time of a route at the usual pace.
  struct RouteTime
  {
    double seconds_ = 0;
    int samples_ = 0;
  };

  double PaceFactor(TimePoint aNow) const;

  ServerLoadOptions options_;
  int foreign_ = 0;
  int previousForeign_ = 0;
  TimePoint reportedAt_ = TimePoint::min();
  int pace_ = kUsualPace;
  TimePoint paceAt_ = TimePoint::min();
  bool countsAnswered_ = true;
  std::unordered_map<std::uint64_t, RouteTime> routes_;
};

}
