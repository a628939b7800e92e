#include "gateway/RoutingTable.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace peridotsail {

namespace {

struct KindName
{
  RequestKind kind_;
  std::string_view name_;
};

// Work is slow compared to other work if its target latency is at least this
// many times as long.
constexpr int kSlowWorkFactor = 2;

constexpr std::array<KindName, 4> kKindNames{ {
  { RequestKind::Safe, "safe" },
  { RequestKind::Unsafe, "unsafe" },
  { RequestKind::Upload, "upload" },
  { RequestKind::Download, "download" },
} };

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return lower;
}

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

}

std::string_view
NameOf(RequestKind aKind)
{
  for (const KindName& row : kKindNames) {
    if (row.kind_ == aKind) {
      return row.name_;
    }
  }
  return "unsafe";
}

std::optional<RequestKind>
RequestKindFromName(std::string_view aName)
{
  for (const KindName& row : kKindNames) {
    if (row.name_ == aName) {
      return row.kind_;
    }
  }
  return std::nullopt;
}

bool
IsIdempotent(RequestKind aKind)
{
  return aKind == RequestKind::Safe || aKind == RequestKind::Download;
}

RoutingTable::RoutingTable(RoutingTableParts aParts)
  : parts_(std::move(aParts))
{
  for (auto& [host, routes] : parts_.routes_) {
    // Longest prefix first, so that the first match is the right one.
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const GatewayRoute& aLeft, const GatewayRoute& aRight) {
                       return aLeft.prefix_.size() > aRight.prefix_.size();
                     });
    for (const GatewayRoute& route : routes) {
      allPriorities_.insert(route.priority_);
      for (const WeightedService& service : route.services_) {
        priorities_[service.service_].insert(route.priority_);
      }
    }
  }
  FindMixedServices();
  for (std::size_t i = 0; i < parts_.customers_.size(); ++i) {
    for (const std::string& key : parts_.customers_[i].keys_) {
      customerOfKey_[key] = i;
    }
    if (const auto priority = parts_.customers_[i].priority_) {
      customersHavePriorities_ = true;
      allPriorities_.insert(*priority);
    }
  }
}

const GatewayRoute*
RoutingTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = parts_.routes_.find(ToLower(aHost));
  if (found == parts_.routes_.end()) {
    return nullptr;
  }
  for (const GatewayRoute& route : found->second) {
    if (StartsWith(aPath, route.prefix_)) {
      return &route;
    }
  }
  return nullptr;
}

const GatewayService*
RoutingTable::FindService(const std::string& aName) const
{
  for (const GatewayService& service : parts_.services_) {
    if (service.name_ == aName) {
      return &service;
    }
  }
  return nullptr;
}

const GatewayCustomer*
RoutingTable::FindCustomer(const std::string& aKey) const
{
  const auto found = customerOfKey_.find(aKey);
  return found == customerOfKey_.end() ? nullptr
                                       : &parts_.customers_[found->second];
}

bool
RoutingTable::HasRanks(const std::string& aService) const
{
  const auto found = priorities_.find(aService);
  return customersHavePriorities_ ||
         (found != priorities_.end() && found->second.size() > 1);
}

void
RoutingTable::FindMixedServices()
{
  // For each service, the target latency of the routes of each priority, the
  // shortest one first.
  std::map<std::string, std::map<int, Duration>> targets;
  std::vector<const GatewayRoute*> all;
  for (const auto& [host, routes] : parts_.routes_) {
    for (const GatewayRoute& route : routes) {
      if (route.targetLatency_ > Duration::zero()) {
        all.push_back(&route);
      }
    }
  }
  for (const GatewayRoute* route : all) {
    for (const WeightedService& service : route->services_) {
      Duration& shortest = targets[service.service_]
                             .emplace(route->priority_, route->targetLatency_)
                             .first->second;
      shortest = std::min(shortest, route->targetLatency_);
    }
  }
  for (const GatewayRoute* route : all) {
    for (const WeightedService& service : route->services_) {
      for (const auto& [priority, target] : targets[service.service_]) {
        if (priority < route->priority_ &&
            target * kSlowWorkFactor <= route->targetLatency_) {
          mixedServices_.insert(service.service_);
        }
      }
    }
  }
}

bool
RoutingTable::MixesUrgentAndSlowWork(const std::string& aService) const
{
  return mixedServices_.count(aService) > 0;
}

int
RoutingTable::RankOf(int aPriority) const
{
  return static_cast<int>(std::distance(allPriorities_.begin(),
                                        allPriorities_.lower_bound(aPriority)));
}

}
