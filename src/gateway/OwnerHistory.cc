#include "gateway/OwnerHistory.h"

#include <algorithm>

namespace peridotsail {

namespace {

// Views that are remembered at most; enough for one change each 60 ms.
constexpr std::size_t kMaxEntries = 64;

using Candidates = AllowanceOwners::Candidates;

bool
ContainsName(const Candidates& aCandidates, const std::string& aName)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const AllowanceOwner& aOwner) {
      return aOwner.name_ == aName;
    });
}

// Returns the candidates as they were before this host registered: the others
// of the region or, if there were none, all others.
std::vector<Candidates>
WithoutSelf(const std::vector<Candidates>& aCandidates)
{
  Candidates others;
  std::vector<Candidates> result(aCandidates.size());
  for (std::size_t share = 0; share < aCandidates.size(); ++share) {
    for (const AllowanceOwner& owner : aCandidates[share]) {
      if (owner.self_) {
        continue;
      }
      result[share].push_back(owner);
      if (!ContainsName(others, owner.name_)) {
        others.push_back(owner);
      }
    }
  }
  for (Candidates& candidates : result) {
    if (candidates.empty()) {
      candidates = others;
    }
  }
  return result;
}

}

OwnerHistory::OwnerHistory(Duration aMaxAge)
  : maxAge_(aMaxAge)
{
}

void
OwnerHistory::Record(const AllowanceOwners& aOwners, TimePoint aNow)
{
  // The other hosts may not know yet that this host has registered.
  former_.push_back(
    { aNow,
      current_ ? std::move(*current_) : WithoutSelf(aOwners.AllCandidates()) });
  current_ = aOwners.AllCandidates();
  while (former_.size() > kMaxEntries ||
         aNow - former_.front().replacedAt_ > maxAge_) {
    former_.pop_front();
  }
}

std::vector<FormerOwner>
OwnerHistory::FormerOwners(const ShareKey& aShare,
                           const AllowanceOwners& aOwners) const
{
  std::vector<FormerOwner> result;
  for (const Entry& entry : former_) {
    const AllowanceOwner* owner = AllowanceOwners::Preferred(
      entry.candidates_[aShare.share_], aShare.customer_, aShare.share_);
    if (owner == nullptr || owner->self_) {
      continue;
    }
    const bool known = std::any_of(
      result.begin(), result.end(), [&](const FormerOwner& aFormer) {
        return aFormer.address_ == owner->address_;
      });
    if (!known) {
      result.push_back(
        { owner->name_, owner->address_, aOwners.IsRegistered(owner->name_) });
    }
  }
  return result;
}

}
