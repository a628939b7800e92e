#include "slots/SlotOwners.h"

#include "base/Hash.h"

namespace peridotsail {

namespace {

// The cache is cleared when it grows beyond this; servers that are no longer
// registered stay in it until then.
constexpr std::size_t kMaxCachedOwners = 20000;
// Distinguishes this rendezvous order from that of other owners.
constexpr std::uint64_t kSlotSeed = 0x51075;

}

SlotOwners::SlotOwners(std::string aSelf, std::string aRegion)
  : self_(std::move(aSelf))
  , region_(std::move(aRegion))
{
}

bool
SlotOwners::SetHosts(const std::vector<SlotHost>& aHosts)
{
  if (aHosts == hosts_) {
    return false;
  }
  hosts_ = aHosts;
  owners_.clear();
  candidates_.clear();
  addresses_.clear();
  for (const SlotHost& host : aHosts) {
    addresses_.insert(host.address_);
    if (host.region_ == region_ && !host.draining_) {
      candidates_.push_back({ host, StableHash(host.name_) });
    }
  }
  return true;
}

const SlotHost*
SlotOwners::OwnerOf(const std::string& aServer)
{
  if (owners_.size() > kMaxCachedOwners) {
    owners_.clear();
  }
  const auto [it, added] = owners_.try_emplace(aServer, nullptr);
  if (!added) {
    return it->second;
  }
  const std::uint64_t key = StableHash(aServer, kSlotSeed);
  double bestScore = 0;
  for (const Candidate& candidate : candidates_) {
    const double score = RendezvousScore(key, candidate.hash_, 1);
    if (it->second == nullptr || score > bestScore) {
      it->second = &candidate.host_;
      bestScore = score;
    }
  }
  return it->second;
}

}
