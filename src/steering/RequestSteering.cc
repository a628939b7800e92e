#include "steering/RequestSteering.h"

#include <algorithm>

namespace peridotsail {

namespace {

SteerDecision
ServeHere(SteerReason aReason)
{
  SteerDecision decision;
  decision.action_ = SteerAction::ServeHere;
  decision.reason_ = aReason;
  return decision;
}

SteerDecision
Refuse(SteerReason aReason, ErrorKind aKind)
{
  SteerDecision decision;
  decision.action_ = SteerAction::Refuse;
  decision.reason_ = aReason;
  decision.kind_ = aKind;
  return decision;
}

bool
MayTry(const SteerRequestInput& aRequest, const RegionCandidate& aCandidate)
{
  const bool tried = std::find(aRequest.tried_.begin(),
                               aRequest.tried_.end(),
                               aCandidate.region_) != aRequest.tried_.end();
  return !tried && aCandidate.roundTrip_ < aRequest.timeLeft_ &&
         (!aRequest.reachable_ || aRequest.reachable_(aCandidate.region_));
}

}

SteerDecision
SteerRequest(const SteerRequestInput& aRequest,
             const RegionWeights& aWeights,
             ShiftCaps& aCaps,
             TimePoint aNow)
{
  const bool canWait =
    aRequest.localWait_ && *aRequest.localWait_ < aRequest.timeLeft_;
  if (canWait && *aRequest.localWait_ <= Duration::zero()) {
    return ServeHere(SteerReason::LocalHeadroom);
  }
  SteerReason reason = SteerReason::NoOtherRegion;
  if (aRequest.tried_.size() < kMaxRelayAttempts) {
    for (const RegionCandidate& candidate :
         aWeights.RelayOrder(aRequest.ownRegion_, aRequest.key_, aNow)) {
      if (!MayTry(aRequest, candidate)) {
        continue;
      }
      // Waiting here is not slower than the way to the other region.
      if (canWait && *aRequest.localWait_ <= candidate.roundTrip_) {
        return ServeHere(SteerReason::LocalHeadroom);
      }
      std::optional<ShiftTicket> ticket =
        aCaps.Reserve(candidate.region_, aRequest.requestBytes_, aNow);
      if (!ticket) {
        reason = SteerReason::ShiftCap;
        continue;
      }
      SteerDecision decision;
      decision.action_ = SteerAction::Relay;
      decision.reason_ = aRequest.localServer_ ? SteerReason::LocalFull
                                               : SteerReason::NoLocalServer;
      decision.region_ = candidate.region_;
      decision.ticket_ = std::move(*ticket);
      return decision;
    }
  }
  if (canWait) {
    return ServeHere(reason);
  }
  if (reason == SteerReason::ShiftCap) {
    return Refuse(reason, ErrorKind::ShiftCapReached);
  }
  if (!aRequest.localServer_) {
    return Refuse(reason, ErrorKind::NoBackendServer);
  }
  return Refuse(reason,
                aRequest.tried_.empty() ? ErrorKind::QueueFull
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
    case SteerAction::ServeHere:
      return "serve-here";
    case SteerAction::Relay:
      return "relay";
    case SteerAction::Refuse:
      break;
  }
  return "refuse";
}

}
