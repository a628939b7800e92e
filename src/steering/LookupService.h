#pragma once

// Answers look-ups: an ordered list of entry hosts for a client block, to be
// cached for the time to live. Pure: the host list, the configuration and the
// weights go in, lists come out. One thread only.
//
//   lookup.SetHosts(hosts);
//   lookup.SetConfiguration(configuration);
//   lookup.SetRegionShare("eu-west", { 0.8, 300 });
//   LookupAnswer answer = lookup.Answer("203.0.113.0/24", "eu-west");
//
// The first region of the answer is the block's home region, or for the part
// of the blocks that the home region's weight does not keep, another one.
// Inside a region hosts are ordered by weighted rendezvous hashing, so that
// only the blocks of a host that goes are moved.

#include "base/BootClock.h"
#include "base/Hash.h"
#include "config/Configuration.h"
#include "steering/BlockTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

enum class LookupHostState
{
  Live,
  // Stops soon; serves callers that hold its name until their answer expires.
  Leaving,
  // Not named under any circumstances.
  Dead,
};

struct LookupHost
{
  std::string name_;
  std::string region_;
  std::string failureDomain_;
  std::string address_;
  LookupHostState state_ = LookupHostState::Live;
  // Share of the region's blocks, relative to the region's other hosts.
  double weight_ = 1;
};

// How a region takes part in look-ups.
struct RegionShare
{
  // Part of its own blocks that the region keeps, 0 to 1.
  double keepFraction_ = 1;
  // Weight with which it receives blocks that other regions do not keep.
  double spilloverWeight_ = 0;
  // Being drained: named only for its own blocks that it still keeps, or when
  // no other region has a host.
  bool draining_ = false;
};

struct LookupOptions
{
  Duration timeToLive_ = std::chrono::seconds(5);
  // Names in an answer; a caller that finds none of them asks again.
  std::size_t maxHosts_ = 8;
  // Names of the first region, so that others remain when it is cut off.
  std::size_t maxFirstRegionHosts_ = 5;
};

struct LookupAnswer
{
  Duration timeToLive_{};
  std::int64_t configVersion_ = 0;
  // In order of preference; valid until the next change of the host list.
  std::vector<const LookupHost*> hosts_;
  // The block's home region.
  std::string homeRegion_;
};

class LookupService
{
public:
  explicit LookupService(LookupOptions aOptions = {});

  void SetHosts(std::vector<LookupHost> aHosts);
  void SetConfiguration(ConfigurationPtr aConfiguration);
  void SetRegionShare(const std::string& aRegion, RegionShare aShare);
  // Round-trip time between two regions; unknown ones count as the farthest.
  void SetRoundTrip(const std::string& aFrom,
                    const std::string& aTo,
                    Duration aRoundTrip);
  // aRegions names the table's site indexes.
  void SetBlockTable(std::shared_ptr<const BlockTable> aTable,
                     std::vector<std::string> aRegions);

  // aQueriedRegion is the region of the host that was asked; it is the home of
  // blocks that the table does not know. Empty only when all hosts are dead.
  LookupAnswer Answer(std::string_view aBlock,
                      std::string_view aQueriedRegion) const;

private:
  struct Candidate
  {
    const LookupHost* host_;
    std::uint64_t hash_;
  };
  struct Region
  {
    std::string name_;
    std::uint64_t hash_ = 0;
    RegionShare share_;
    std::vector<Candidate> hosts_;
  };

  void RebuildRegions();
  // Regions in the order of preference for the block.
  std::vector<const Region*> OrderRegions(std::uint64_t aKey,
                                          std::string_view aHome) const;
  static bool KeepsBlock(std::uint64_t aKey, const Region& aHome);
  static void MoveToOtherRegion(std::uint64_t aKey,
                                const Region* aHome,
                                std::vector<const Region*>& aOrder);
  std::string HomeRegionOf(std::uint64_t aKey,
                           std::string_view aQueriedRegion) const;
  const Region* FindRegion(std::string_view aName) const;
  static std::vector<const LookupHost*> OrderHosts(std::uint64_t aKey,
                                                   const Region& aRegion,
                                                   std::size_t aLimit);

  LookupOptions options_;
  std::vector<LookupHost> hosts_;
  ConfigurationPtr configuration_;
  std::map<std::string, RegionShare> shares_;
  std::map<std::pair<std::string, std::string>, Duration> roundTrips_;
  std::shared_ptr<const BlockTable> table_;
  std::vector<std::string> tableRegions_;
  // Regions with a host that may be named, sorted by name.
  std::vector<Region> regions_;
};

}
