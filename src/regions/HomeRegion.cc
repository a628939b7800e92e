#include "regions/HomeRegion.h"

#include "base/Hash.h"

#include <algorithm>

namespace peridotsail {

HomeRegion::HomeRegion(const std::vector<std::string>& aRegions)
{
  for (const std::string& region : aRegions) {
    hashes_.push_back(StableHash(region));
  }
}

std::size_t
HomeRegion::Choose(std::uint64_t aKey, const RegionShares& aShares) const
{
  std::size_t best = 0;
  double bestScore = -1;
  const std::size_t regions = std::min(hashes_.size(), aShares.size());
  for (std::size_t region = 0; region < regions; ++region) {
    const double score =
      RendezvousScore(aKey, hashes_[region], aShares[region]);
    if (score > bestScore) {
      best = region;
      bestScore = score;
    }
  }
  return best;
}

}
