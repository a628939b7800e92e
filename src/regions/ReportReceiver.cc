#include "regions/ReportReceiver.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

constexpr const char* kOrderKey = "region-plan";

bool
SameOrder(const std::vector<RegionHost>& aLeft,
          const std::vector<RegionHost>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const RegionHost& aOne, const RegionHost& aOther) {
                      return aOne.name_ == aOther.name_ &&
                             aOne.address_ == aOther.address_;
                    });
}

}

void
ReportReceiver::SetHosts(std::vector<RegionHost> aHosts, std::uint64_t aKey)
{
  const std::uint64_t key = StableHash(kOrderKey, aKey);
  std::sort(aHosts.begin(),
            aHosts.end(),
            [&](const RegionHost& aLeft, const RegionHost& aRight) {
              return MixHash(key ^ StableHash(aLeft.name_)) >
                     MixHash(key ^ StableHash(aRight.name_));
            });
  if (SameOrder(aHosts, order_)) {
    return;
  }
  order_ = std::move(aHosts);
  used_ = 0;
  unanswered_ = 0;
}

const RegionHost*
ReportReceiver::Next(TimePoint aNow)
{
  if (order_.empty()) {
    return nullptr;
  }
  if (used_ != 0 && aNow >= standInUntil_) {
    used_ = 0;
    unanswered_ = 0;
  }
  if (unanswered_ >= options_.maxUnanswered_) {
    used_ = (used_ + 1) % order_.size();
    unanswered_ = 0;
    standInUntil_ = aNow + options_.standInTime_;
  }
  return &order_[used_];
}

void
ReportReceiver::OnAnswer(const std::string& aAddress)
{
  if (!order_.empty() && order_[used_].address_ == aAddress) {
    unanswered_ = 0;
  }
}

}
