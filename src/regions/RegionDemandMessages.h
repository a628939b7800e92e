#pragma once

// Messages between hosts about the demand of regions and the plan for it,
// encoded as CBOR in UDP datagrams. A message with many services is split into
// several datagrams, each of which is complete for its services.
//
// With three services and three regions, a host's report has 177 bytes, a
// region's report 207 and a plan 143.

#include "regions/DemandMeter.h"
#include "regions/RegionPlan.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotsail {

struct DemandReport
{
  // False: the demand of one host, for its region's coordinator. True: the sum
  // of a region, for the planner.
  bool regional_ = false;
  std::size_t region_ = 0;
  // Increases with each report of the sender: milliseconds since its boot.
  std::uint64_t sequence_ = 0;
  // Whether the receiver should answer with the plan; in the first part only.
  bool wantsPlan_ = true;
  // The number of hosts in the sum.
  std::size_t hosts_ = 1;
  std::map<std::string, ServiceDemand> services_;
  // The sender's shortest round trip to each region; zero: not known.
  std::vector<Duration> roundTrips_;
  // The shares that the region uses now. Regional reports only.
  std::map<std::string, RegionShares> shares_;
};

struct PlanMessage
{
  std::size_t region_ = 0;
  RegionPlan plan_;
};

using RegionMessage = std::variant<DemandReport, PlanMessage>;

class RegionMessageCodec
{
public:
  // Messages between hosts with different lists of regions are not accepted.
  explicit RegionMessageCodec(const std::vector<std::string>& aRegions);

  // Returns one or more datagrams.
  std::vector<std::string> Encode(const DemandReport& aReport) const;
  std::vector<std::string> Encode(const PlanMessage& aPlan) const;
  // Returns whether the bytes are a message of this kind at all.
  static bool IsRegionMessage(const std::string& aBytes);
  // Returns nullopt for malformed input.
  std::optional<RegionMessage> Decode(const std::string& aBytes) const;

private:
  std::size_t regions_;
  std::uint64_t regionsHash_ = 0;
};

}
