#include "regions/DemandReports.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// Further services of a sender's report are not read.
constexpr std::size_t kMaxServices = 4096;

}

void
AddDemand(ServiceDemand& aSum, const ServiceDemand& aDemand)
{
  aSum.movable_ += aDemand.movable_;
  aSum.requests_ += aDemand.requests_;
  aSum.fixed_.resize(std::max(aSum.fixed_.size(), aDemand.fixed_.size()), 0);
  for (std::size_t region = 0; region < aDemand.fixed_.size(); ++region) {
    aSum.fixed_[region] += aDemand.fixed_[region];
  }
  const bool shorter = aSum.targetLatency_ == Duration::zero() ||
                       aDemand.targetLatency_ < aSum.targetLatency_;
  if (shorter && aDemand.targetLatency_ > Duration::zero()) {
    aSum.targetLatency_ = aDemand.targetLatency_;
  }
}

Duration
ServiceTimeOf(const ServiceDemand& aDemand)
{
  const double busy = aDemand.movable_ + SumOf(aDemand.fixed_);
  return aDemand.requests_ > 0 ? FromSeconds(busy / aDemand.requests_)
                               : Duration::zero();
}

bool
DemandReports::Add(const std::string& aFrom,
                   DemandReport aReport,
                   TimePoint aNow)
{
  const auto found = reports_.find(aFrom);
  if (found == reports_.end() ||
      aReport.sequence_ > found->second.report_.sequence_) {
    reports_[aFrom] = { std::move(aReport), aNow };
    return true;
  }
  DemandReport& last = found->second.report_;
  if (aReport.sequence_ < last.sequence_) {
    return false;
  }
  if (last.services_.size() < kMaxServices) {
    last.services_.merge(aReport.services_);
    last.shares_.merge(aReport.shares_);
  }
  return true;
}

void
DemandReports::DropOld(TimePoint aNow)
{
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool old = aNow - it->second.at_ > lifetime_;
    it = old ? reports_.erase(it) : std::next(it);
  }
}

}
