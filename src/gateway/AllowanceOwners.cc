#include "gateway/AllowanceOwners.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace peridotsail {

namespace {

using Candidates = AllowanceOwners::Candidates;

// Addresses of former hosts are kept; the set is rebuilt when it grows beyond
// this.
constexpr std::size_t kMaxAddresses = 20000;

bool
SameHosts(const std::vector<Candidates>& aLeft,
          const std::vector<Candidates>& aRight)
{
  const auto sameHost = [](const AllowanceOwner& aOne,
                           const AllowanceOwner& aOther) {
    return aOne.name_ == aOther.name_ && aOne.address_ == aOther.address_;
  };
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [&](const Candidates& aOne, const Candidates& aOther) {
      return std::equal(
        aOne.begin(), aOne.end(), aOther.begin(), aOther.end(), sameHost);
    });
}

}

AllowanceOwners::AllowanceOwners(
  const std::map<std::string, std::string>& aRegions,
  const std::string& aRegion,
  std::string aSelf)
  : self_(std::move(aSelf))
{
  std::set<std::string> regions{ aRegion };
  for (const auto& [domain, region] : aRegions) {
    regions.insert(region);
  }
  regions_.assign(regions.begin(), regions.end());
  const auto own = std::find(regions_.begin(), regions_.end(), aRegion);
  localShare_ = static_cast<std::size_t>(own - regions_.begin());
  candidates_.resize(regions_.size());
}

bool
AllowanceOwners::SetHosts(const std::map<std::string, HostRecord>& aHosts)
{
  if (addresses_.size() > kMaxAddresses) {
    addresses_.clear();
  }
  registered_.clear();
  for (const auto& [name, host] : aHosts) {
    registered_.insert(name);
  }
  Candidates active;
  Candidates all;
  std::vector<Candidates> candidates(regions_.size());
  for (const auto& [name, host] : aHosts) {
    // A host without a datagram address can be an owner only if it is the only
    // host.
    if (host.peers_.empty() && aHosts.size() > 1) {
      continue;
    }
    addresses_.insert(host.peers_);
    const AllowanceOwner owner{
      name, host.peers_, StableHash(name), name == self_
    };
    all.push_back(owner);
    if (host.draining_) {
      continue;
    }
    active.push_back(owner);
    const auto region =
      std::find(regions_.begin(), regions_.end(), host.region_);
    if (region != regions_.end()) {
      candidates[static_cast<std::size_t>(region - regions_.begin())].push_back(
        owner);
    }
  }
  for (Candidates& regional : candidates) {
    if (regional.empty()) {
      regional = active.empty() ? all : active;
    }
  }
  if (SameHosts(candidates, candidates_)) {
    return false;
  }
  candidates_ = std::move(candidates);
  owners_.clear();
  return true;
}

const AllowanceOwner*
AllowanceOwners::PreferredHost(std::size_t aShare,
                               const std::string& aKey,
                               std::uint64_t aSeed) const
{
  return Preferred(candidates_[aShare], aKey, aSeed);
}

const AllowanceOwner*
AllowanceOwners::Preferred(const Candidates& aCandidates,
                           const std::string& aKey,
                           std::uint64_t aSeed)
{
  const std::uint64_t key = StableHash(aKey, aSeed);
  const AllowanceOwner* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const AllowanceOwner& owner : aCandidates) {
    const std::uint64_t score = MixHash(key ^ owner.hash_);
    if (best == nullptr || score > bestScore) {
      best = &owner;
      bestScore = score;
    }
  }
  return best;
}

const AllowanceOwner*
AllowanceOwners::OwnerOf(const ShareKey& aShare)
{
  auto [it, added] = owners_.try_emplace(aShare.customer_);
  if (added) {
    for (std::size_t share = 0; share < ShareCount(); ++share) {
      it->second.push_back(PreferredHost(share, aShare.customer_, share));
    }
  }
  return aShare.share_ < ShareCount() ? it->second[aShare.share_] : nullptr;
}

bool
AllowanceOwners::OwnedHere(const ShareKey& aShare)
{
  const AllowanceOwner* owner = OwnerOf(aShare);
  return owner != nullptr && owner->self_;
}

}
