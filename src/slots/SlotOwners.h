#pragma once

// Maps each backend server of this host's region to the host that owns its
// slots: the first of the region's non-draining hosts in rendezvous order.
// Hosts with the same view agree on the owner without exchanging messages.
//
// Performs no I/O. Traffic thread only.
//
//   SlotOwners owners(name, region);
//   owners.SetHosts(hosts);
//   const SlotHost* owner = owners.OwnerOf("inbox-17");

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridotsail {

struct SlotHost
{
  std::string name_;
  // The host's datagram address, as text.
  std::string address_;
  std::string region_;
  bool draining_ = false;

  bool operator==(const SlotHost& aOther) const
  {
    return name_ == aOther.name_ && address_ == aOther.address_ &&
           region_ == aOther.region_ && draining_ == aOther.draining_;
  }
};

class SlotOwners
{
public:
  SlotOwners(std::string aSelf, std::string aRegion);

  // Sets the registered hosts. Returns false if they are the same as before.
  bool SetHosts(const std::vector<SlotHost>& aHosts);
  // Null if no host of the region is known. Valid until the next SetHosts.
  const SlotHost* OwnerOf(const std::string& aServer);
  bool IsSelf(const SlotHost& aHost) const { return aHost.name_ == self_; }
  // Returns whether a registered host has the address.
  bool HasAddress(const std::string& aAddress) const
  {
    return addresses_.count(aAddress) > 0;
  }

private:
  struct Candidate
  {
    SlotHost host_;
    std::uint64_t hash_ = 0;
  };

  std::string self_;
  std::string region_;
  std::vector<SlotHost> hosts_;
  std::vector<Candidate> candidates_;
  std::unordered_set<std::string> addresses_;
  // Cache of owners by server; cleared when the hosts change.
  std::unordered_map<std::string, const SlotHost*> owners_;
};

}
