#pragma once

// Admission control for requests relayed from other regions. The decision uses
// only the state of this host: its share of the region's configured capacity
// and the free slots of the pool as known to this host. It does not depend on
// the measurements of the source region, so wrong or stale measurements there
// cannot overload this region. Performs no I/O and reads no clock.
//
//   RegionAdmission admission("ap-east");
//   admission.SetConfiguration(*configuration, now);
//   admission.SetSlot(epoch, validUntil, now);
//   admission.RecordLocalRequest(now);  // for each request of a local caller
//   if (auto error = admission.AdmitRelayed(freeSlots, now)) { refuse(*error);
//   }
//
// Requests of local callers have priority. They take tokens but are never
// refused here, because the queue of the pool limits them. Relayed requests use
// the remaining capacity.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "config/Configuration.h"
#include "steering/ShareBucket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotsail {

struct RegionAdmissionOptions
{
  // Maximum burst, in seconds of the region's capacity. Short, because a burst
  // reaches only a few backend slots.
  double burstSeconds_ = 0.25;
  // Free slots of the pool that are reserved for local callers.
  int reservedSlots_ = 1;
};

class RegionAdmission
{
public:
  explicit RegionAdmission(std::string aOwnRegion,
                           RegionAdmissionOptions aOptions = {});

  void SetConfiguration(const Configuration& aConfiguration, TimePoint aNow);
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);

  // Counts a request of a local caller against the capacity.
  void RecordLocalRequest(TimePoint aNow);
  // Takes a token and returns nullopt if the request is admitted, otherwise
  // returns the error.
  std::optional<ErrorKind> AdmitRelayed(int aFreeSlots, TimePoint aNow);
  // Returns the number of relayed requests that this host can admit at once.
  // Infinite when the region has no configured capacity.
  double Headroom(TimePoint aNow);

private:
  std::string ownRegion_;
  RegionAdmissionOptions options_;
  ShareBucket bucket_;
  bool hasCapacityLimit_ = false;
  bool draining_ = false;
  bool isConfigured_ = false;
};

}
