#include "slots/RankArrivals.h"

namespace peridotsail {

namespace {

// A rank with fewer requests in the window does not count as arriving.
constexpr double kMinArrivals = 0.5;

}

RankArrivals::RankArrivals(Duration aWindow)
  : window_(aWindow)
{
}

void
RankArrivals::Record(int aRank,
                     Duration aServiceTime,
                     Duration aSlack,
                     TimePoint aNow)
{
  Rank& rank = ranks_.at(static_cast<std::size_t>(aRank));
  rank.requests_.Add(1, aNow, window_);
  rank.serviceSeconds_.Add(ToSeconds(aServiceTime), aNow, window_);
  rank.slackSeconds_.Add(ToSeconds(aSlack), aNow, window_);
}

int
RankArrivals::Highest(TimePoint aNow) const
{
  int rank = 0;
  while (
    rank < kLowestRank &&
    ranks_.at(static_cast<std::size_t>(rank)).requests_.Value(aNow, window_) <
      kMinArrivals) {
    ++rank;
  }
  return rank;
}

double
RankArrivals::PerSecond(int aRank, TimePoint aNow) const
{
  return ranks_.at(static_cast<std::size_t>(aRank))
           .requests_.Value(aNow, window_) /
         ToSeconds(window_);
}

Duration
RankArrivals::Mean(const DecayedCount& aSeconds,
                   int aRank,
                   TimePoint aNow) const
{
  const double requests =
    ranks_.at(static_cast<std::size_t>(aRank)).requests_.Value(aNow, window_);
  return requests <= 0 ? Duration::zero()
                       : FromSeconds(aSeconds.Value(aNow, window_) / requests);
}

Duration
RankArrivals::MeanServiceTime(int aRank, TimePoint aNow) const
{
  return Mean(
    ranks_.at(static_cast<std::size_t>(aRank)).serviceSeconds_, aRank, aNow);
}

Duration
RankArrivals::MeanSlack(int aRank, TimePoint aNow) const
{
  return Mean(
    ranks_.at(static_cast<std::size_t>(aRank)).slackSeconds_, aRank, aNow);
}

double
RankArrivals::BusySlots(int aRank, TimePoint aNow) const
{
  double seconds = 0;
  for (int rank = 0; rank <= aRank; ++rank) {
    seconds += ranks_.at(static_cast<std::size_t>(rank))
                 .serviceSeconds_.Value(aNow, window_);
  }
  return seconds / ToSeconds(window_);
}

}
