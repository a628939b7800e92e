#include "gateway/HostOrder.h"

namespace peridotsail {

std::vector<std::string>
HostsForRegion(const std::map<std::string, HostRecord>& aHosts,
               const std::string& aRegion,
               std::size_t aMaxHosts)
{
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& [name, host] : aHosts) {
    if (host.draining_) {
      continue;
    }
    std::vector<std::string>& list = host.region_ == aRegion ? local : remote;
    if (list.size() < aMaxHosts) {
      list.push_back(host.callers_);
    }
  }
  return local.empty() ? remote : local;
}

}
