#include "steering/RequestSteering.h"

#include <algorithm>

namespace peridotsail {

namespace {

SteerDecision
ServeLocally(SteerReason aReason)
{
  SteerDecision decision;
  decision.action_ = SteerAction::ServeLocally;
  decision.reason_ = aReason;
  return decision;
}

SteerDecision
Refuse(SteerReason aReason, ErrorKind aKind)
{
  SteerDecision decision;
  decision.action_ = SteerAction::Refuse;
  decision.reason_ = aReason;
  decision.errorKind_ = aKind;
  return decision;
}

bool
CanRelayTo(const SteerRequestInput& aRequest, const RegionCandidate& aCandidate)
{
  const bool tried =
    std::find(aRequest.triedRegions_.begin(),
              aRequest.triedRegions_.end(),
              aCandidate.region_) != aRequest.triedRegions_.end();
  return !tried && aCandidate.roundTrip_ < aRequest.remainingTime_ &&
         (!aRequest.isReachable_ || aRequest.isReachable_(aCandidate.region_));
}

}

SteerDecision
SteerRequest(const SteerRequestInput& aRequest,
             const RegionWeights& aWeights,
             ShiftCaps& aCaps,
             TimePoint aNow)
{
  const bool canWait =
    aRequest.localWait_ && *aRequest.localWait_ < aRequest.remainingTime_;
  if (canWait && *aRequest.localWait_ <= Duration::zero()) {
    return ServeLocally(SteerReason::LocalHeadroom);
  }
  SteerReason reason = SteerReason::NoOtherRegion;
  if (aRequest.triedRegions_.size() < kMaxRelayAttempts) {
    for (const RegionCandidate& candidate :
         aWeights.RelayOrder(aRequest.ownRegion_, aRequest.key_, aNow)) {
      if (!CanRelayTo(aRequest, candidate)) {
        continue;
      }
      // Waiting locally takes no longer than the round trip to the other
      // region.
      if (canWait && *aRequest.localWait_ <= candidate.roundTrip_) {
        return ServeLocally(SteerReason::LocalHeadroom);
      }
      std::optional<ShiftReservation> reservation =
        aCaps.Reserve(candidate.region_, aRequest.requestBytes_, aNow);
      if (!reservation) {
        reason = SteerReason::ShiftCap;
        continue;
      }
      SteerDecision decision;
      decision.action_ = SteerAction::Relay;
      decision.reason_ = aRequest.hasLocalServer_ ? SteerReason::LocalFull
                                                  : SteerReason::NoLocalServer;
      decision.region_ = candidate.region_;
      decision.reservation_ = std::move(*reservation);
      return decision;
    }
  }
  if (canWait) {
    return ServeLocally(reason);
  }
  if (reason == SteerReason::ShiftCap) {
    return Refuse(reason, ErrorKind::ShiftCapReached);
  }
  if (!aRequest.hasLocalServer_) {
    return Refuse(reason, ErrorKind::NoBackendServer);
  }
  return Refuse(reason,
                aRequest.triedRegions_.empty() ? ErrorKind::QueueFull
                                               : ErrorKind::RegionFull);
}

std::string_view
NameOf(SteerReason aReason)
{
  switch (aReason) {
    case SteerReason::LocalHeadroom:
      return "local-headroom";
    case SteerReason::LocalFull:
      return "local-full";
    case SteerReason::NoLocalServer:
      return "no-local-server";
    case SteerReason::ShiftCap:
      return "shift-cap";
    case SteerReason::NoOtherRegion:
      break;
  }
  return "no-other-region";
}

std::string_view
NameOf(SteerAction aAction)
{
  switch (aAction) {
    case SteerAction::ServeLocally:
      return "serve-here";
    case SteerAction::Relay:
      return "relay";
    case SteerAction::Refuse:
      break;
  }
  return "refuse";
}

}
