#include "regions/RegionPlan.h"

#include <algorithm>
#include <numeric>

namespace peridotsail {

namespace {

// Smaller shares are not planned; messages round to this.
constexpr double kMinShare = 1e-4;

}

RegionShares
KeepAll(std::size_t aRegions, std::size_t aRegion)
{
  RegionShares shares(aRegions, 0);
  shares[aRegion] = 1;
  return shares;
}

double
ExportedShare(const RegionShares& aShares, std::size_t aRegion)
{
  double exported = 0;
  for (std::size_t to = 0; to < aShares.size(); ++to) {
    exported += to == aRegion ? 0 : aShares[to];
  }
  return exported;
}

double
MovedShare(const RegionShares& aFrom, const RegionShares& aTo)
{
  double moved = 0;
  for (std::size_t to = 0; to < aFrom.size(); ++to) {
    moved += std::max(0.0, aTo[to] - aFrom[to]);
  }
  return moved;
}

void
DropSmallShares(RegionShares& aShares, std::size_t aRegion)
{
  double exported = 0;
  for (std::size_t to = 0; to < aShares.size(); ++to) {
    if (to != aRegion) {
      aShares[to] = aShares[to] < kMinShare ? 0 : aShares[to];
      exported += aShares[to];
    }
  }
  aShares[aRegion] = std::max(0.0, 1 - exported);
}

double
SumOf(const std::vector<double>& aValues)
{
  return std::accumulate(aValues.begin(), aValues.end(), 0.0);
}

bool
TakesWork(const ShareMatrix& aShares, std::size_t aRegion)
{
  for (std::size_t from = 0; from < aShares.size(); ++from) {
    if (from != aRegion && aShares[from][aRegion] > 0) {
      return true;
    }
  }
  return false;
}

}
