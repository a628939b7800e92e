#pragma once

// Maps the shares of customers' allowances to the hosts that own them. Each
// customer's allowance is split into one equal share per region of the
// deployment, so that every caller has a token source nearby; the number of
// shares does not depend on the hosts. Each share has one owner: the first host
// in rendezvous order among the non-draining hosts of the share's region, or
// among all hosts if that region has none. Hosts with the same view agree on
// the owner without exchanging messages.
//
// Performs no I/O. Traffic thread only.
//
//   AllowanceOwners owners(settings.regions_, settings.region_, name);
//   owners.SetHosts(snapshot.hosts_);
//   const AllowanceOwner* owner = owners.OwnerOf({ "acme", 0 });

#include "gateway/FleetTypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridotsail {

// Identifies one share of a customer's allowance.
struct ShareKey
{
  std::string customer_;
  // Less than AllowanceOwners::ShareCount().
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
  // The host's datagram address, as text.
  std::string address_;
  std::uint64_t hash_ = 0;
  bool self_ = false;
};

class AllowanceOwners
{
public:
  using Candidates = std::vector<AllowanceOwner>;

  // aRegions maps each failure domain to its region.
  AllowanceOwners(const std::map<std::string, std::string>& aRegions,
                  const std::string& aRegion,
                  std::string aSelf);

  // Returns true if owners may have changed.
  bool SetHosts(const std::map<std::string, HostRecord>& aHosts);
  // Returns true if any host is registered.
  bool HasHosts() const { return !candidates_[localShare_].empty(); }
  std::size_t ShareCount() const { return regions_.size(); }
  // The share of this host's region.
  std::size_t LocalShare() const { return localShare_; }
  // Null if no host is known. Valid until the next SetHosts.
  const AllowanceOwner* OwnerOf(const ShareKey& aShare);
  bool OwnedHere(const ShareKey& aShare);
  // The hosts that can own a share: the non-draining hosts of its region, or
  // the fallback described above.
  const Candidates& CandidatesFor(std::size_t aShare) const
  {
    return candidates_[aShare];
  }
  // The same for all shares.
  const std::vector<Candidates>& AllCandidates() const { return candidates_; }
  // The first of the candidates in the rendezvous order for a key. Null if
  // there are none. Valid as long as aCandidates.
  static const AllowanceOwner* Preferred(const Candidates& aCandidates,
                                         const std::string& aKey,
                                         std::uint64_t aSeed);
  // The first of these hosts in the rendezvous order for a key. Null if no host
  // is known. Valid until the next SetHosts.
  const AllowanceOwner* PreferredHost(std::size_t aShare,
                                      const std::string& aKey,
                                      std::uint64_t aSeed) const;
  // Returns true if the host is registered, draining or not.
  bool IsRegistered(const std::string& aName) const
  {
    return registered_.count(aName) > 0;
  }
  // Returns true if any host registered since this process started has this
  // datagram address. Former hosts count too: a host that cannot reach the
  // store loses its registration but continues to serve callers.
  bool IsKnownAddress(const std::string& aAddress) const
  {
    return addresses_.count(aAddress) > 0;
  }

private:
  std::string self_;
  std::vector<std::string> regions_;
  std::size_t localShare_ = 0;
  // The hosts that can own each share.
  std::vector<Candidates> candidates_;
  std::unordered_set<std::string> registered_;
  std::unordered_set<std::string> addresses_;
  // Cache of owners by customer, one per share; cleared when the hosts change.
  std::unordered_map<std::string, std::vector<const AllowanceOwner*>> owners_;
};

}
