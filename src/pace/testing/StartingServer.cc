#include "pace/testing/StartingServer.h"

#include <algorithm>

namespace peridotsail {

StartingServer::StartingServer(StartingServerOptions aOptions,
                               std::uint64_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
{
}

double
StartingServer::Capacity(double aNow) const
{
  const double warm = std::min(1.0, aNow / options_.warmSeconds_);
  return options_.initialCapacity_ +
         (options_.slots_ - options_.initialCapacity_) * warm;
}

void
StartingServer::Send(int aId, double aNow)
{
  const double load = (AtServer() + 1) / Capacity(aNow);
  std::uniform_real_distribution<double> noise(0.8, 1.2);
  const double seconds =
    options_.serviceSeconds_ * noise(random_) * std::max(1.0, load * load);
  running_.insert({ aNow + seconds, { aId, seconds } });
}

std::vector<CompletedRequest>
StartingServer::Completed(double aNow)
{
  if (AtServer() <= options_.crashFactor_ * Capacity(aNow)) {
    overloadedSince_ = -1;
  } else if (overloadedSince_ < 0) {
    overloadedSince_ = aNow;
  }
  crashed_ = crashed_ || (overloadedSince_ >= 0 &&
                          aNow - overloadedSince_ > options_.crashSeconds_);
  std::vector<CompletedRequest> completed;
  while (!running_.empty() && running_.begin()->first <= aNow) {
    completed.push_back(running_.begin()->second);
    running_.erase(running_.begin());
  }
  return completed;
}

}
