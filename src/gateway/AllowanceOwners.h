#pragma once

// Which hosts hold the tokens of customers' allowances. The allowance of a
// customer has one equal share for each region of the deployment, so that a
// token is near every caller; the number of shares never changes while the
// fleet does. One host holds a share: the first one in rendezvous order among
// the hosts of the share's region that stay, or, while that region has none,
// among all hosts. Hosts with the same view agree on it without any message.
//
// Pure; used on the traffic thread.
//
//   AllowanceOwners owners(settings.regions_, settings.region_, name);
//   owners.SetHosts(snapshot.hosts_);
//   const AllowanceOwner* owner = owners.OwnerOf({ "school", 0 });

#include "gateway/FleetTypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridotsail {

// A share of a customer's allowance.
struct ShareKey
{
  std::string customer_;
  // Below AllowanceOwners::Shares().
  std::size_t share_ = 0;

  bool operator<(const ShareKey& aOther) const
  {
    return std::tie(customer_, share_) <
           std::tie(aOther.customer_, aOther.share_);
  }
};

struct AllowanceOwner
{
  std::string name_;
  // Where the host receives datagrams, as text.
  std::string address_;
  std::uint64_t hash_ = 0;
  bool self_ = false;
};

class AllowanceOwners
{
public:
  // aRegions gives the region of each failure domain.
  AllowanceOwners(const std::map<std::string, std::string>& aRegions,
                  const std::string& aRegion,
                  std::string aSelf);

  // Returns whether shares may have other owners than before.
  bool SetHosts(const std::map<std::string, HostRecord>& aHosts);
  // Whether any host is registered.
  bool HasHosts() const { return !candidates_[near_].empty(); }
  std::size_t ShareCount() const { return regions_.size(); }
  // The share of this host's region.
  std::size_t LocalShare() const { return near_; }
  // Null while no host is known. Valid until the next SetHosts.
  const AllowanceOwner* OwnerOf(const ShareKey& aShare);
  bool OwnedHere(const ShareKey& aShare);
  // The hosts that may own a share: those of its region that stay.
  const std::vector<AllowanceOwner>& CandidatesFor(std::size_t aShare) const
  {
    return candidates_[aShare];
  }
  // The first of them in the rendezvous order of a key. Null while no host is
  // known. Valid until the next SetHosts.
  const AllowanceOwner* PreferredHost(std::size_t aShare,
                                      const std::string& aKey,
                                      std::uint64_t aSeed) const;
  // Whether a host that was registered since this one's start receives
  // datagrams at this address: the registration of a host that the store turns
  // away ends, and the host goes on serving callers.
  bool IsKnownAddress(const std::string& aAddress) const
  {
    return addresses_.count(aAddress) > 0;
  }

private:
  std::string self_;
  std::vector<std::string> regions_;
  std::size_t near_ = 0;
  // The hosts that may own each share.
  std::vector<std::vector<AllowanceOwner>> candidates_;
  std::unordered_set<std::string> addresses_;
  // Owners found since the hosts changed, by customer, one for each share.
  std::unordered_map<std::string, std::vector<const AllowanceOwner*>> found_;
};

}
