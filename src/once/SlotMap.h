#pragma once

// Maps a key of HashIdempotencyKey to one of the host slots, and a slot to its
// holder.
//
//   SlotMap map;
//   map.Adopt(SlotNames(*configuration), now);
//   map.SetHolders(holders);
//   const SlotRoute route = map.RouteOf(key, now);
//
// Rendezvous hashing moves only the keys of added and removed slots when the
// number of slots changes. The new holder of a moved key cannot know whether
// the old one ran it, so moved_ stays true for the retry horizon and the time
// in which hosts with the earlier configuration still use the earlier mapping.

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

// The holder of a slot as the slot table shows it.
struct SlotHolderHost
{
  std::string host_;
  // IP address and port of the peer link.
  std::string peerAddress_;
};

struct SlotRoute
{
  // Empty when there is no slot.
  std::string slot_;
  // Empty when the slot has no known holder.
  SlotHolderHost holder_;
  // The key belonged to another slot recently.
  bool moved_ = false;
};

class SlotMap
{
public:
  // aRemember: the retry horizon and the dissemination bound of configurations
  // (10 s) with a margin.
  explicit SlotMap(Duration aRemember = std::chrono::seconds(615));

  void Adopt(std::vector<std::string> aSlots, TimePoint aNow);
  void SetHolders(std::map<std::string, SlotHolderHost> aHolders);
  std::string SlotOf(std::string_view aKey) const;
  SlotRoute RouteOf(std::string_view aKey, TimePoint aNow) const;
  // Identifies the set of slots.
  std::uint64_t Signature() const;

private:
  struct Mapping
  {
    std::vector<std::string> slots_;
    TimePoint endedAt_{};
  };

  Duration remember_;
  std::vector<std::string> slots_;
  std::deque<Mapping> earlier_;
  std::map<std::string, SlotHolderHost> holders_;
};

}
