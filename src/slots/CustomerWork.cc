#include "slots/CustomerWork.h"

#include <algorithm>

namespace peridotsail {

namespace {

// With more customers that have work ahead of the virtual time than this, the
// work of further ones is not counted.
constexpr std::size_t kMaxCustomers = 256;

}

double
CustomerWork::StartTag(std::uint64_t aCustomer) const
{
  const auto found = work_.find(aCustomer);
  return found == work_.end() ? virtualTime_
                              : std::max(found->second, virtualTime_);
}

void
CustomerWork::Grant(std::uint64_t aCustomer, double aStartTag, double aSeconds)
{
  virtualTime_ = std::max(virtualTime_, aStartTag);
  if (work_.size() >= kMaxCustomers) {
    RemoveIdle();
  }
  if (work_.size() < kMaxCustomers || work_.count(aCustomer) > 0) {
    work_[aCustomer] = StartTag(aCustomer) + aSeconds;
  }
}

void
CustomerWork::RemoveIdle()
{
  for (auto it = work_.begin(); it != work_.end();) {
    it = it->second <= virtualTime_ ? work_.erase(it) : std::next(it);
  }
}

}
