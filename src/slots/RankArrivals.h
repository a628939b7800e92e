#pragma once

// The work of each rank that lately arrived for one backend server. Performs no
// I/O.
//
//   RankArrivals arrivals(window);
//   arrivals.Record(rank, serviceTime, slack, now);
//   const double slots = arrivals.BusySlots(rank, now);

#include "slots/ServedShares.h"
#include "slots/SlotRequest.h"

#include <array>

namespace peridotsail {

class RankArrivals
{
public:
  // aWindow is the time constant over which arrivals are counted.
  explicit RankArrivals(Duration aWindow);

  // aSlack is the time for which the request can wait and still be in time.
  void Record(int aRank,
              Duration aServiceTime,
              Duration aSlack,
              TimePoint aNow);
  // Returns the highest rank of which requests arrived lately; kLowestRank if
  // there is none.
  int Highest(TimePoint aNow) const;
  // Returns the requests of a rank per second, and their means.
  double PerSecond(int aRank, TimePoint aNow) const;
  Duration MeanServiceTime(int aRank, TimePoint aNow) const;
  Duration MeanSlack(int aRank, TimePoint aNow) const;
  // Returns the mean number of slots that the arriving requests of all ranks up
  // to this one keep busy.
  double BusySlots(int aRank, TimePoint aNow) const;

private:
  struct Rank
  {
    DecayedCount requests_;
    DecayedCount serviceSeconds_;
    DecayedCount slackSeconds_;
  };

  Duration Mean(const DecayedCount& aSeconds, int aRank, TimePoint aNow) const;

  Duration window_;
  std::array<Rank, kLowestRank + 1> ranks_;
};

}
