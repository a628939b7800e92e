#include "gateway/ColdStartLimit.h"

#include <cmath>

namespace peridotsail {

namespace {

// The bound counts any second; a longer window covers the spread of delays.
constexpr Duration kWindow = std::chrono::milliseconds(1150);
// Servers are forgotten when the table grows beyond this.
constexpr std::size_t kMostServers = 4096;

}

ColdStartLimit::ColdStartLimit(ColdStartOptions aOptions)
  : options_(aOptions)
{
}

bool
ColdStartLimit::TryTake(const std::string& aInstance,
                        double aPerSecond,
                        std::size_t aHosts,
                        TimePoint aNow)
{
  const double all =
    (aPerSecond * options_.overage_ + options_.slack_) * options_.part_;
  const double own = std::floor(all / static_cast<double>(aHosts));
  if (sends_.size() > kMostServers) {
    sends_.clear();
  }
  std::deque<TimePoint>& sends = sends_[aInstance];
  while (!sends.empty() && aNow - sends.front() >= kWindow) {
    sends.pop_front();
  }
  if (static_cast<double>(sends.size()) >= own) {
    return false;
  }
  sends.push_back(aNow);
  return true;
}

}
