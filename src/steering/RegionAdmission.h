#pragma once

// Decides at the destination whether a relayed request is admitted, by this
// host's own state alone: its share of the region's configured capacity and the
// free slots of the pool as this host knows them. What the source region
// believed does not enter, so that a wrong or late measurement there cannot
// overload this region. Pure.
//
//   RegionAdmission admission("ap-east");
//   admission.SetConfiguration(*configuration, now);
//   admission.SetSlot(epoch, validUntil, now);
//   admission.RecordLocalRequest(now);                      // a request of own
//   callers if (auto kind = admission.AdmitRelayed(freeSlots, now)) { refuse
//   with kind
//   }
//
// Requests of the region's own callers use the capacity first: they take tokens
// without being refused here (the pool's queue decides about them), and relayed
// requests get only what is left.

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
  // Requests at once, as the time in which the capacity provides them. Short,
  // because a burst lands on few backend slots.
  double burstSeconds_ = 0.25;
  // Free slots of the pool that stay reserved for the region's own callers.
  int reservedSlots_ = 1;
};

class RegionAdmission
{
public:
  explicit RegionAdmission(std::string aOwnRegion,
                           RegionAdmissionOptions aOptions = {});

  void SetConfiguration(const Configuration& aConfiguration, TimePoint aNow);
  void SetSlot(std::uint64_t aEpoch, TimePoint aValidUntil, TimePoint aNow);

  void RecordLocalRequest(TimePoint aNow);
  // Nothing when the request is admitted, which takes one token.
  std::optional<ErrorKind> AdmitRelayed(int aFreeSlots, TimePoint aNow);
  // Relayed requests that this host would admit in the next second; infinite
  // when the region has no configured capacity.
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
