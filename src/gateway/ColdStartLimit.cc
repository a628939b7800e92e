#include "gateway/ColdStartLimit.h"

#include <algorithm>
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

void
ColdStartLimit::SetHosts(bool aRegistered, std::size_t aHosts, TimePoint aNow)
{
  hosts_ = std::max<std::size_t>(aHosts, 1);
  if (!aRegistered) {
    joinedAt_.reset();
  } else if (!joinedAt_) {
    joinedAt_ = aNow;
  }
}

bool
ColdStartLimit::TryTake(const std::string& aInstance,
                        double aPerSecond,
                        Duration aViewAge,
                        TimePoint aNow)
{
  const bool joined = joinedAt_ && aNow - *joinedAt_ >= options_.joinDelay_;
  if (!joined || aViewAge > options_.mostViewAge_) {
    return false;
  }
  const double all =
    (aPerSecond * options_.overage_ + options_.slack_) * options_.part_;
  const double own = std::floor(all / static_cast<double>(hosts_));
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
