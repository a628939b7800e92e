#pragma once

// How a service's work is divided between the regions, and what the division is
// computed from. Regions are identified by their index in the sorted list of
// the deployment's region names. Performs no I/O.

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// The work of one service that a region has to place, and its capacity.
struct RegionLoad
{
  // Work of the region's callers that may run in any region, in busy slots:
  // requests per second times seconds of a slot per request.
  double movable_ = 0;
  // Work that runs in this region wherever its callers are, in busy slots:
  // requests with home regions, and those that are shared by all regions.
  double fixed_ = 0;
  // Slots of the usable backend servers.
  double slots_ = 0;
};

// All work of the region, in busy slots.
inline double
WorkOf(const RegionLoad& aLoad)
{
  return aLoad.movable_ + aLoad.fixed_;
}

// The parts of a region's movable work that run in each region; the sum is 1.
using RegionShares = std::vector<double>;
// The shares of each region.
using ShareMatrix = std::vector<RegionShares>;

// One region's part of the plan for a service.
struct ServicePlan
{
  RegionShares shares_;
  // The regions to which single requests may go when their own server is busy:
  // less loaded ones, so that no two regions exchange requests.
  std::vector<bool> overflow_;
};

// One region's part of the plan, as its hosts receive it.
struct RegionPlan
{
  // Increases with each plan; 0: no plan.
  std::uint64_t version_ = 0;
  // How long ago the plan was computed.
  Duration age_{};
  std::map<std::string, ServicePlan> services_;
};

// All work stays in the region.
RegionShares
KeepAll(std::size_t aRegions, std::size_t aRegion);

// The part of the work that leaves the region.
double
ExportedShare(const RegionShares& aShares, std::size_t aRegion);

// The part of the work that has to move to get from one division to the other.
double
MovedShare(const RegionShares& aFrom, const RegionShares& aTo);

// Drops shares below the resolution of the messages: a flow that is left over
// by rounding would block the opposite one.
void
DropSmallShares(RegionShares& aShares, std::size_t aRegion);

double
SumOf(const std::vector<double>& aValues);

// Returns whether any region routes work to this one.
bool
TakesWork(const ShareMatrix& aShares, std::size_t aRegion);

}
