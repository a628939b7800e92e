#pragma once

// Decides whether a request is served by its own region, relayed to a host of
// another region, or refused. Performs no I/O and reads no clock; the proxy
// carries out the decision.
//
//   SteerDecision decision = SteerRequest(request, weights, caps, now);
//   switch (decision.action_) { ... }
//
// When the other region refuses a relayed request, the caller reports it with
// RegionWeights::RecordRefusal, adds the region to triedRegions_, releases the
// reservation and calls SteerRequest again.

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
  // Hash key that distributes requests over regions, such as a hash of the
  // request ID.
  std::uint64_t key_ = 0;
  // Size of the header and of the body as far as it is known.
  double requestBytes_ = 0;
  // Expected wait for a slot of the pool in the local region. Not set when the
  // pool has no available server there or its queue is full.
  std::optional<Duration> localWait_;
  // Whether the pool has a server in the local region.
  bool hasLocalServer_ = false;
  Duration remainingTime_{};
  // Regions that have refused this request.
  std::vector<std::string> triedRegions_;
  // Returns whether a host of the region can be reached over a peer connection.
  // If empty, all regions count as reachable.
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
  // The local region has a free slot or a short queue.
  LocalHeadroom,
  // The local region cannot serve the request soon enough.
  LocalFull,
  NoLocalServer,
  // Another region was available, but the shift cap to it is exhausted.
  ShiftCap,
  // No other region is reachable, or all have refused.
  NoOtherRegion,
};

struct SteerDecision
{
  SteerAction action_ = SteerAction::Refuse;
  SteerReason reason_ = SteerReason::NoOtherRegion;
  // For Relay: the destination region and the reservation for the request.
  std::string region_;
  ShiftReservation reservation_;
  // For Refuse: the error sent to the caller.
  ErrorKind errorKind_ = ErrorKind::Internal;
};

// Maximum number of relay attempts per request. Each attempt costs a round
// trip.
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
