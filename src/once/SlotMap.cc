#include "once/SlotMap.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

std::string
SelectSlot(const std::vector<std::string>& aSlots, std::string_view aKey)
{
  const std::uint64_t seed = StableHash(aKey);
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const std::string& slot : aSlots) {
    const std::uint64_t weight = StableHash(slot, seed);
    if (best.empty() || weight > bestWeight) {
      best = slot;
      bestWeight = weight;
    }
  }
  return best;
}

}

std::vector<std::string>
SlotNames(const Configuration& aConfiguration)
{
  std::vector<std::string> names;
  for (const RegionConfig& region : aConfiguration.regions_) {
    for (int i = 0; i < region.slots_; ++i) {
      names.push_back(region.name_ + "/" + std::to_string(i));
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

SlotMap::SlotMap(Duration aRetention)
  : retention_(aRetention)
{
}

void
SlotMap::SetSlots(std::vector<std::string> aSlots, TimePoint aNow)
{
  std::sort(aSlots.begin(), aSlots.end());
  if (aSlots == slots_) {
    return;
  }
  if (!slots_.empty()) {
    earlierMappings_.push_back({ std::move(slots_), aNow });
  }
  slots_ = std::move(aSlots);
  while (!earlierMappings_.empty() &&
         earlierMappings_.front().replacedAt_ + retention_ <= aNow) {
    earlierMappings_.pop_front();
  }
}

void
SlotMap::SetHolders(std::map<std::string, SlotHolderHost> aHolders)
{
  holders_ = std::move(aHolders);
}

std::string
SlotMap::SlotOf(std::string_view aKey) const
{
  return SelectSlot(slots_, aKey);
}

SlotRoute
SlotMap::RouteOf(std::string_view aKey, TimePoint aNow) const
{
  SlotRoute route;
  route.slot_ = SlotOf(aKey);
  const auto holder = holders_.find(route.slot_);
  if (holder != holders_.end()) {
    route.holder_ = holder->second;
  }
  route.moved_ =
    std::any_of(earlierMappings_.begin(),
                earlierMappings_.end(),
                [&](const Mapping& aMapping) {
                  return aNow < aMapping.replacedAt_ + retention_ &&
                         SelectSlot(aMapping.slots_, aKey) != route.slot_;
                });
  return route;
}

std::uint64_t
SlotMap::Signature() const
{
  std::uint64_t signature = 0;
  for (const std::string& slot : slots_) {
    signature = StableHash(slot, signature + 1);
  }
  return signature;
}

}
