#include "config/Configuration.h"

#include <algorithm>

namespace peridotsail {

namespace {

template<typename T>
const T*
FindByName(const std::vector<T>& aItems, std::string_view aName)
{
  for (const T& item : aItems) {
    if (item.name_ == aName) {
      return &item;
    }
  }
  return nullptr;
}

bool
MatchesPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (aPath.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.back() == '/' ||
         aPath[aPrefix.size()] == '/';
}

}

const RegionConfig*
Configuration::FindRegion(std::string_view aName) const
{
  return FindByName(regions_, aName);
}

const PoolConfig*
Configuration::FindPool(std::string_view aName) const
{
  return FindByName(pools_, aName);
}

const CustomerConfig*
Configuration::FindCustomer(std::string_view aName) const
{
  return FindByName(customers_, aName);
}

const RouteConfig*
Configuration::FindRoute(std::string_view aPath) const
{
  const RouteConfig* best = nullptr;
  for (const RouteConfig& route : routes_) {
    const bool longer =
      best == nullptr || route.prefix_.size() > best->prefix_.size();
    if (longer && MatchesPrefix(aPath, route.prefix_)) {
      best = &route;
    }
  }
  return best;
}

const ShiftCapConfig*
Configuration::FindShiftCap(std::string_view aFrom, std::string_view aTo) const
{
  for (const ShiftCapConfig& cap : shiftCaps_) {
    if (cap.from_ == aFrom && cap.to_ == aTo) {
      return &cap;
    }
  }
  return nullptr;
}

bool
Configuration::IsDraining(DrainKind aKind, std::string_view aName) const
{
  return std::any_of(
    drains_.begin(), drains_.end(), [&](const DrainConfig& aDrain) {
      return aDrain.kind_ == aKind && aDrain.name_ == aName;
    });
}

int
Configuration::TotalSlots() const
{
  int total = 0;
  for (const RegionConfig& region : regions_) {
    total += region.slots_;
  }
  return total;
}

std::string_view
NameOf(DrainKind aKind)
{
  switch (aKind) {
    case DrainKind::Host:
      return "host";
    case DrainKind::BackendServer:
      return "backend_server";
    case DrainKind::Region:
      break;
  }
  return "region";
}

}
