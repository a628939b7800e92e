#pragma once

// Chooses the hosts that a caller is told to use. Pure.

#include "gateway/FleetTypes.h"

#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// The callers' addresses of the hosts of the region; without a host there,
// those of all other regions. Draining hosts are left out.
std::vector<std::string>
HostsForRegion(const std::map<std::string, HostRecord>& aHosts,
               const std::string& aRegion,
               std::size_t aMost);

}
