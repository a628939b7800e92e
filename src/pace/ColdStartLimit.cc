#include "pace/ColdStartLimit.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

// The table is cleared when it grows beyond this.
constexpr std::size_t kMaxServers = 4096;

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

void
ColdStartLimit::SetHosts(bool aRegistered,
                         const std::vector<std::string>& aHosts,
                         const std::string& aSelf,
                         TimePoint aNow)
{
  SetHosts(aRegistered, aHosts.size(), aNow);
  self_ = StableHash(aSelf);
  others_.clear();
  for (const std::string& name : aHosts) {
    if (name != aSelf) {
      others_.push_back(StableHash(name));
    }
  }
}

std::size_t
ColdStartLimit::RankFor(const std::string& aInstance) const
{
  const std::uint64_t server = StableHash(aInstance);
  const std::uint64_t own = MixHash(server ^ self_);
  return static_cast<std::size_t>(
    std::count_if(others_.begin(), others_.end(), [&](std::uint64_t aOther) {
      return MixHash(server ^ aOther) > own;
    }));
}

double
ColdStartLimit::ShareOf(const std::string& aInstance, double aTotal) const
{
  const double share = std::floor(aTotal / static_cast<double>(hosts_));
  if (share >= 1 || others_.empty()) {
    return share;
  }
  return static_cast<double>(RankFor(aInstance)) < std::floor(aTotal) ? 1 : 0;
}

bool
ColdStartLimit::TryTake(const std::string& aInstance,
                        double aPerSecond,
                        Duration aViewAge,
                        TimePoint aNow)
{
  const bool joined = joinedAt_ && aNow - *joinedAt_ >= options_.joinDelay_;
  if (!joined || aViewAge > options_.maxViewAge_) {
    return false;
  }
  const double total = (aPerSecond * options_.overage_ + options_.slack_) *
                       options_.usableFraction_;
  const double share = ShareOf(aInstance, total);
  if (sends_.size() > kMaxServers) {
    sends_.clear();
  }
  std::deque<TimePoint>& sends = sends_[aInstance];
  while (!sends.empty() && aNow - sends.front() >= options_.window_) {
    sends.pop_front();
  }
  if (static_cast<double>(sends.size()) >= share) {
    return false;
  }
  sends.push_back(aNow);
  return true;
}

}
