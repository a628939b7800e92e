#include "steering/LookupService.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace peridotsail {

namespace {

// Different seeds make the choices of region and host independent.
constexpr std::uint64_t kRegionSeed = 0x5245;
constexpr std::uint64_t kHostSeed = 0x484f;
constexpr std::uint64_t kKeepSeed = 0x4b45;
// Weight of a region that reports no headroom.
constexpr double kMinWeight = 1e-6;

}

LookupService::LookupService(LookupOptions aOptions)
  : options_(aOptions)
{
}

void
LookupService::SetHosts(std::vector<LookupHost> aHosts)
{
  hosts_ = std::move(aHosts);
  RebuildRegions();
}

void
LookupService::SetConfiguration(ConfigurationPtr aConfiguration)
{
  configuration_ = std::move(aConfiguration);
  RebuildRegions();
}

void
LookupService::SetRegionShare(const std::string& aRegion, RegionShare aShare)
{
  shares_[aRegion] = aShare;
  for (Region& region : regions_) {
    if (region.name_ == aRegion) {
      region.share_ = aShare;
    }
  }
}

void
LookupService::SetRoundTrip(const std::string& aFrom,
                            const std::string& aTo,
                            Duration aRoundTrip)
{
  roundTrips_[{ aFrom, aTo }] = aRoundTrip;
}

void
LookupService::SetBlockTable(std::shared_ptr<const BlockTable> aTable,
                             std::vector<std::string> aRegions)
{
  table_ = std::move(aTable);
  tableRegions_ = std::move(aRegions);
}

void
LookupService::RebuildRegions()
{
  // 0: serving. 1: drained by configuration. 2: leaving on its own. Only hosts
  // of the lowest rank present are listed, so the answer is not empty while any
  // host is alive. Leaving hosts still serve for the time to live.
  const auto rankOf = [this](const LookupHost& aHost) {
    if (aHost.state_ == LookupHostState::Leaving) {
      return 2;
    }
    const bool drains =
      configuration_ != nullptr &&
      configuration_->IsDraining(DrainKind::Host, aHost.name_);
    return drains ? 1 : 0;
  };
  int best = std::numeric_limits<int>::max();
  for (const LookupHost& host : hosts_) {
    if (host.state_ != LookupHostState::Dead) {
      best = std::min(best, rankOf(host));
    }
  }
  std::map<std::string, Region> regions;
  for (const LookupHost& host : hosts_) {
    if (host.state_ != LookupHostState::Dead && rankOf(host) == best) {
      regions[host.region_].hosts_.push_back(
        { &host, StableHash(host.name_, kHostSeed) });
    }
  }
  regions_.clear();
  for (auto& [name, region] : regions) {
    region.name_ = name;
    region.hash_ = StableHash(name, kRegionSeed);
    const auto share = shares_.find(name);
    region.share_ = share == shares_.end() ? RegionShare{} : share->second;
    regions_.push_back(std::move(region));
  }
}

const LookupService::Region*
LookupService::FindRegion(std::string_view aName) const
{
  const auto found =
    std::find_if(regions_.begin(), regions_.end(), [&](const Region& aRegion) {
      return aRegion.name_ == aName;
    });
  return found == regions_.end() ? nullptr : &*found;
}

std::string
LookupService::HomeRegionOf(std::uint64_t aKey,
                            std::string_view aQueriedRegion) const
{
  const BlockTable::Sites* sites =
    table_ == nullptr ? nullptr : table_->Find(aKey);
  if (sites != nullptr) {
    for (const std::uint16_t site : *sites) {
      if (site < tableRegions_.size() &&
          FindRegion(tableRegions_[site]) != nullptr) {
        return tableRegions_[site];
      }
    }
  }
  return std::string(aQueriedRegion);
}

std::vector<const LookupService::Region*>
LookupService::OrderRegions(std::uint64_t aKey, std::string_view aHome) const
{
  const std::string home(aHome);
  const auto distance = [&](const Region* aRegion) {
    if (aRegion->name_ == home) {
      return Duration::zero();
    }
    const auto found = roundTrips_.find({ home, aRegion->name_ });
    return found == roundTrips_.end() ? Duration::max() : found->second;
  };
  std::vector<const Region*> order;
  for (const Region& region : regions_) {
    if (!region.share_.draining_ || region.name_ == home) {
      order.push_back(&region);
    }
  }
  // Sort by distance. Equally distant regions are ordered by rendezvous hashing
  // weighted by headroom, so that not all blocks prefer the same region.
  const auto scoreOf = [&](const Region* aRegion) {
    const double weight =
      std::max(kMinWeight, aRegion->share_.spilloverWeight_);
    return RendezvousScore(aKey, aRegion->hash_, weight);
  };
  std::stable_sort(
    order.begin(), order.end(), [&](const Region* aLeft, const Region* aRight) {
      const Duration left = distance(aLeft);
      const Duration right = distance(aRight);
      return left != right ? left < right : scoreOf(aLeft) > scoreOf(aRight);
    });
  const Region* first = FindRegion(home);
  if (first != nullptr && !KeepsBlock(aKey, *first)) {
    MoveToOtherRegion(aKey, first, order);
  }
  if (order.empty()) {
    for (const Region& region : regions_) {
      order.push_back(&region);
    }
  }
  return order;
}

bool
LookupService::KeepsBlock(std::uint64_t aKey, const Region& aHome)
{
  return UnitHash(aKey ^ aHome.hash_ ^ kKeepSeed) < aHome.share_.keepFraction_;
}

// Moves the region that receives the block to the front. A home region that is
// being drained is removed from the list.
void
LookupService::MoveToOtherRegion(std::uint64_t aKey,
                                 const Region* aHome,
                                 std::vector<const Region*>& aOrder)
{
  const Region* target = nullptr;
  double best = 0;
  for (const Region* region : aOrder) {
    double weight = region->share_.spilloverWeight_;
    if (aHome->share_.draining_) {
      // The block must move even when no region reports headroom.
      weight = std::max(kMinWeight, weight);
    }
    const double score = RendezvousScore(aKey, region->hash_, weight);
    if (region != aHome && score > best) {
      best = score;
      target = region;
    }
  }
  if (target == nullptr) {
    return;
  }
  const auto position = std::find(aOrder.begin(), aOrder.end(), target);
  std::rotate(aOrder.begin(), position, position + 1);
  if (aHome->share_.draining_) {
    aOrder.erase(std::find(aOrder.begin(), aOrder.end(), aHome));
  }
}

std::vector<const LookupHost*>
LookupService::OrderHosts(std::uint64_t aKey,
                          const Region& aRegion,
                          std::size_t aLimit)
{
  std::vector<std::pair<double, const LookupHost*>> scored;
  scored.reserve(aRegion.hosts_.size());
  for (const Candidate& candidate : aRegion.hosts_) {
    scored.emplace_back(
      RendezvousScore(aKey, candidate.hash_, candidate.host_->weight_),
      candidate.host_);
  }
  const std::size_t count = std::min(aLimit, scored.size());
  const auto descending = std::greater<>();
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [&](const auto& aLeft, const auto& aRight) {
                      return descending(aLeft.first, aRight.first);
                    });
  std::vector<const LookupHost*> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    hosts.push_back(scored[i].second);
  }
  // If any listed host is in another failure domain than the first, the first
  // such host becomes the second choice, because a failure domain often fails
  // as a whole.
  const auto other =
    std::find_if(hosts.begin(), hosts.end(), [&](const LookupHost* aHost) {
      return aHost->failureDomain_ != hosts.front()->failureDomain_;
    });
  if (other != hosts.end()) {
    std::rotate(hosts.begin() + 1, other, other + 1);
  }
  return hosts;
}

LookupAnswer
LookupService::Answer(std::string_view aBlock,
                      std::string_view aQueriedRegion) const
{
  const std::uint64_t key = BlockKey(aBlock);
  LookupAnswer answer;
  answer.timeToLive_ = options_.timeToLive_;
  answer.configVersion_ =
    configuration_ == nullptr ? 0 : configuration_->version_;
  answer.homeRegion_ = HomeRegionOf(key, aQueriedRegion);
  std::size_t regionLimit = options_.maxFirstRegionHosts_;
  for (const Region* region : OrderRegions(key, answer.homeRegion_)) {
    const std::size_t remaining = options_.maxHosts_ - answer.hosts_.size();
    if (remaining == 0) {
      break;
    }
    for (const LookupHost* host :
         OrderHosts(key, *region, std::min(remaining, regionLimit))) {
      answer.hosts_.push_back(host);
    }
    regionLimit = options_.maxHosts_;
  }
  return answer;
}

}
