#include "gateway/HostOrder.h"

namespace peridotsail {

std::vector<std::string>
HostsForRegion(const std::map<std::string, HostRecord>& aHosts,
               const std::string& aRegion,
               std::size_t aMost)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, host] : aHosts) {
    if (host.draining_) {
      continue;
    }
    std::vector<std::string>& list = host.region_ == aRegion ? near : far;
    if (list.size() < aMost) {
      list.push_back(host.callers_);
    }
  }
  return near.empty() ? far : near;
}

}
