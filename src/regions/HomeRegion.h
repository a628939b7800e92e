#pragma once

// Selects the region in which a request runs, from the shares of the caller's
// region. Performs no I/O.
//
// Weighted rendezvous hashing over the regions: when the shares change, an
// object moves only if its region loses share or another one gains it, and all
// hosts with the same shares agree. The server within the region is selected by
// the servers' own order, which does not depend on the shares, so an object
// from another region meets the server at which the region's own callers keep
// it warm.
//
//   HomeRegion homes({ "ap-east", "eu-west" });
//   const std::size_t region = homes.Choose(objectHash, shares);

#include "regions/RegionPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotsail {

class HomeRegion
{
public:
  explicit HomeRegion(const std::vector<std::string>& aRegions);

  // aKey is the object's hash, or a random number for a request without an
  // object.
  std::size_t Choose(std::uint64_t aKey, const RegionShares& aShares) const;

private:
  std::vector<std::uint64_t> hashes_;
};

}
