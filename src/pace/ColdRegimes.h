#pragma once

// Which of two limits applies to requests to a service's cold servers: equal
// shares of the rate per host (ColdStartLimit), or grants of each server's
// owner (ColdRate). Only one is used at a time, so that their sum keeps the
// bound. After a change, neither may be used until other hosts have either
// learned of it or stopped using cold servers because their views are too old,
// and until their requests have left the window. Performs no I/O.
//
//   regimes.Set("inbox", ColdRegime::Owner, now);       // with each view
//   if (regimes.MayUse("inbox", ColdRegime::Owner, now)) { ... }

#include "pace/ColdRate.h"

#include <map>
#include <string>

namespace peridotsail {

enum class ColdRegime
{
  HostShares,
  Owner,
};

class ColdRegimes
{
public:
  // aDelay: the wait after a change.
  explicit ColdRegimes(Duration aDelay = ColdRateOptions().takeoverDelay_);

  // The regime of a service in the current view. The first one applies at once:
  // a host that joins waits in both limits.
  void Set(const std::string& aService, ColdRegime aRegime, TimePoint aNow);
  bool MayUse(const std::string& aService,
              ColdRegime aRegime,
              TimePoint aNow) const;

private:
  struct Entry
  {
    ColdRegime regime_ = ColdRegime::HostShares;
    TimePoint usableFrom_;
  };

  Duration delay_;
  std::map<std::string, Entry> entries_;
};

}
