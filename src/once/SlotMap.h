#pragma once

// Maps a hashed idempotency key to one of the host slots, and a slot to the
// host that holds it.
//
//   SlotMap map;
//   map.SetSlots(SlotNames(*configuration), now);
//   map.SetHolders(holders);
//   const SlotRoute route = map.RouteOf(key, now);
//
// Rendezvous hashing moves only the keys of added and removed slots when the
// set of slots changes. The new holder of a moved key cannot know whether the
// previous one executed it, so moved_ stays true for the retry horizon plus the
// time in which hosts with the previous configuration still use its mapping.

#include "base/BootClock.h"
#include "config/Configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// The names of all slots, for example "eu-west/0", sorted.
std::vector<std::string>
SlotNames(const Configuration& aConfiguration);

// The holder of a slot, taken from the slot table.
struct SlotHolderHost
{
  std::string host_;
  // IP address and port of the holder's peer listener.
  std::string peerAddress_;
};

struct SlotRoute
{
  // Empty when no slot is configured.
  std::string slot_;
  // Empty when the slot has no known holder.
  SlotHolderHost holder_;
  // The key mapped to another slot within the retention of earlier mappings.
  bool moved_ = false;
};

class SlotMap
{
public:
  // aRetention: how long a replaced mapping still marks keys as moved. The
  // default is the retry horizon (600 s) plus the bound on the dissemination of
  // a configuration (10 s) and a margin.
  explicit SlotMap(Duration aRetention = std::chrono::seconds(615));

  void SetSlots(std::vector<std::string> aSlots, TimePoint aNow);
  void SetHolders(std::map<std::string, SlotHolderHost> aHolders);
  std::string SlotOf(std::string_view aKey) const;
  SlotRoute RouteOf(std::string_view aKey, TimePoint aNow) const;
  // Hash of the set of slots, equal on all hosts that use the same set.
  std::uint64_t Signature() const;

private:
  struct Mapping
  {
    std::vector<std::string> slots_;
    TimePoint replacedAt_{};
  };

  Duration retention_;
  std::vector<std::string> slots_;
  std::deque<Mapping> earlierMappings_;
  std::map<std::string, SlotHolderHost> holders_;
};

}
