#pragma once

// Selects the hosts whose addresses are returned to a caller. Performs no I/O.

#include "gateway/FleetTypes.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// The caller addresses of up to aMaxHosts hosts in the region, or in other
// regions if this one has none. Draining hosts are skipped.
std::vector<std::string>
HostsForRegion(const std::map<std::string, HostRecord>& aHosts,
               const std::string& aRegion,
               std::size_t aMaxHosts);

}
