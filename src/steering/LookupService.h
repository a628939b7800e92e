#pragma once

// Answers lookups with an ordered list of entry hosts for a client block, which
// callers cache for the time to live. Performs no I/O and reads no clock. Not
// thread-safe.
//
//   lookup.SetHosts(hosts);
//   lookup.SetConfiguration(configuration);
//   lookup.SetRegionShare("eu-west", { 0.8, 300 });
//   LookupAnswer answer = lookup.Answer("203.0.113.0/24", "eu-west");
//
// The first region of an answer is the block's home region, or another region
// for the fraction of blocks that the home region does not keep. Within a
// region, hosts are ordered by weighted rendezvous hashing, so removing a host
// moves only the blocks of that host.

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
  // Shutting down; serves callers until their cached answers expire.
  Leaving,
  // Never listed.
  Dead,
};

struct LookupHost
{
  std::string name_;
  std::string region_;
  std::string failureDomain_;
  std::string address_;
  LookupHostState state_ = LookupHostState::Live;
  // Weight of the host relative to the region's other hosts.
  double weight_ = 1;
};

// The weights of a region in lookups.
struct RegionShare
{
  // Fraction of its own blocks that the region keeps, 0 to 1.
  double keepFraction_ = 1;
  // Weight for receiving blocks that other regions do not keep.
  double spilloverWeight_ = 0;
  // The region is being drained: it is listed only for blocks that it still
  // keeps, or when no other region has a host.
  bool draining_ = false;
};

struct LookupOptions
{
  Duration timeToLive_ = std::chrono::seconds(5);
  // Maximum number of hosts in an answer. A caller that can reach none of them
  // repeats the lookup.
  std::size_t maxHosts_ = 8;
  // Maximum number of hosts of the first region, so that the answer lists other
  // regions in case the first one is unreachable.
  std::size_t maxFirstRegionHosts_ = 5;
};

struct LookupAnswer
{
  Duration timeToLive_{};
  std::int64_t configVersion_ = 0;
  // In order of preference. Valid until the next call of SetHosts.
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
  // Sets the round-trip time between two regions. Regions without a round-trip
  // time are ordered last.
  void SetRoundTrip(const std::string& aFrom,
                    const std::string& aTo,
                    Duration aRoundTrip);
  // aRegions maps the site indexes of the table to region names.
  void SetBlockTable(std::shared_ptr<const BlockTable> aTable,
                     std::vector<std::string> aRegions);

  // aQueriedRegion is the region of the host that received the lookup. It is
  // the home region of blocks that are not in the table. The host list is empty
  // only when all hosts are dead.
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
  // Returns the regions in order of preference for the block.
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
  // Regions with at least one listed host, sorted by name.
  std::vector<Region> regions_;
};

}
