#pragma once

// Where a request is served: by its own region, by a host of another region, or
// not at all. Pure; the proxy acts on the decision.
//
//   SteerDecision decision = SteerRequest(request, weights, caps, now);
//   switch (decision.action_) { ... }
//
// When the other region refuses a relayed request, the caller of this function
// reports it with RegionWeights::RecordRefusal, adds the region to
// triedRegions_, settles the ticket and asks again.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "steering/RegionWeights.h"
#include "steering/ShiftCaps.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct SteerRequestInput
{
  std::string ownRegion_;
  // Spreads requests over regions; a hash of the request id.
  std::uint64_t key_ = 0;
  // Bytes of the head and of the body as far as it is known.
  double requestBytes_ = 0;
  // Expected wait for a slot of the pool in the own region; nothing when the
  // pool has no server there that takes work, or its queue is full.
  std::optional<Duration> localWait_;
  // Whether the pool has a server in the own region at all.
  bool hasLocalServer_ = false;
  Duration remainingTime_{};
  // Regions that refused this request.
  std::vector<std::string> triedRegions_;
  // Whether a host of the region can be reached over a peer link.
  std::function<bool(const std::string&)> isReachable_;
};

enum class SteerAction
{
  ServeLocally,
  Relay,
  Refuse,
};

enum class SteerReason
{
  // The own region has a free slot or a short queue.
  LocalHeadroom,
  // The own region cannot serve the request soon.
  LocalFull,
  NoLocalServer,
  // Another region would have served it; its cap has no room.
  ShiftCap,
  // No other region can be reached, or all of them refused.
  NoOtherRegion,
};

struct SteerDecision
{
  SteerAction action_ = SteerAction::Refuse;
  SteerReason reason_ = SteerReason::NoOtherRegion;
  // For Relay: the region and the reserved bytes of the request.
  std::string region_;
  ShiftReservation reservation_;
  // For Refuse.
  ErrorKind errorKind_ = ErrorKind::Internal;
};

// Regions that are tried for one request; each attempt costs a round trip.
constexpr std::size_t kMaxRelayAttempts = 2;

SteerDecision
SteerRequest(const SteerRequestInput& aRequest,
             const RegionWeights& aWeights,
             ShiftCaps& aCaps,
             TimePoint aNow);

std::string_view
NameOf(SteerReason aReason);

std::string_view
NameOf(SteerAction aAction);

}
