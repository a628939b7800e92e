#pragma once

// The last demand reports of several senders. Performs no I/O.
//
//   DemandReports reports(lifetime);
//   if (!reports.Add(address, report, now)) { it is late }
//   reports.DropOld(now);
//   for (const auto& [address, received] : reports.All()) { ... }

#include "regions/RegionDemandMessages.h"

#include <map>
#include <string>

namespace peridotsail {

// Adds the demand to a sum; the target latency of the sum is the shortest one.
void
AddDemand(ServiceDemand& aSum, const ServiceDemand& aDemand);

// The mean time of a request in a slot; zero if there are no requests.
Duration
ServiceTimeOf(const ServiceDemand& aDemand);

class DemandReports
{
public:
  struct Received
  {
    DemandReport report_;
    TimePoint at_{};
  };

  explicit DemandReports(Duration aLifetime)
    : lifetime_(aLifetime)
  {
  }

  // Keeps the report, or adds another part of the sender's last one. Returns
  // false if it is older than the last one.
  bool Add(const std::string& aFrom, DemandReport aReport, TimePoint aNow);
  void DropOld(TimePoint aNow);
  bool IsEmpty() const { return reports_.empty(); }
  // By sender.
  const std::map<std::string, Received>& All() const { return reports_; }

private:
  Duration lifetime_;
  std::map<std::string, Received> reports_;
};

}
