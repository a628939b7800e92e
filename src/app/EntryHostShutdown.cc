// The graceful shutdown of an entry host. Runs on the main thread.

#include "app/EntryHostImpl.h"

namespace peridotsail {

namespace {

// How often a draining host checks for requests in flight.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

// How long a draining host waits for the release of its slot. An unreleased
// slot becomes free when its lease and the guard time have expired.
constexpr Duration kSlotReleaseTimeout = std::chrono::seconds(4);

// How often a leaving host notifies its peers.
constexpr Duration kLeavingNoticeInterval = std::chrono::seconds(1);

}

void
EntryHost::Impl::ReleaseSlot()
{
  releaseDeadline_ = BootClock::now() + kSlotReleaseTimeout;
  platformThread_.RunAndWait([this] { slotLeaseManager_.Release(); });
}

void
EntryHost::Impl::OnSignal()
{
  if (draining_) {
    Exit(1);
    return;
  }
  draining_ = true;
  drainDeadline_ =
    BootClock::now() + settings_.lookupTtl_ + settings_.drainLimit_;
  LogEvent(Event::ProcessStopping);
  signals_.async_wait([this](auto aError, int) {
    if (!aError) {
      OnSignal();
    }
  });
  trafficThread_.RunAndWait([this] { hostDirectory_.SetSelfLeaving(); });
  AnnounceLeaving();
  // Callers may use earlier lookups until their time to live has passed.
  drainTimer_.expires_after(detail::ToSteady(settings_.lookupTtl_));
  drainTimer_.async_wait([this](auto aError) {
    if (!aError) {
      StopAccepting();
    }
  });
}

void
EntryHost::Impl::AnnounceLeaving()
{
  for (const std::string& peer : peerNode_.LinkedPeers()) {
    peerNode_.Send(peer, { PeerMessageType::HostLeaving, "" });
  }
  leavingTimer_.expires_after(detail::ToSteady(kLeavingNoticeInterval));
  leavingTimer_.async_wait([this](auto aError) {
    if (!aError) {
      AnnounceLeaving();
    }
  });
}

void
EntryHost::Impl::StopAccepting()
{
  trafficThread_.RunAndWait([this] {
    callerServer_.CloseConnectionsAfterResponses();
    callerServer_.Close();
  });
  WaitForRequests();
}

bool
EntryHost::Impl::IsIdle()
{
  bool idle = false;
  trafficThread_.RunAndWait([this, &idle] {
    idle = pipeline_.InFlight() == 0 && relayNode_.InFlight() == 0 &&
           callerServer_.Connections() == 0;
    // The next holder of the slot can answer a repeated request only from a
    // stored outcome, so all outcomes must be written first.
    if (AtMostOnceService* once = onceTransport_.Service()) {
      once->Flush();
      once->Pump(BootClock::now());
      idle = idle && once->IsIdle();
    }
  });
  return idle;
}

// Requests in flight need the slot, so it is released only after they have
// finished.
bool
EntryHost::Impl::IsSlotReleased()
{
  if (!releaseDeadline_) {
    ReleaseSlot();
  }
  bool released = BootClock::now() >= *releaseDeadline_;
  platformThread_.RunAndWait(
    [&] { released = released || slotLeaseManager_.IsReleased(); });
  return released;
}

void
EntryHost::Impl::WaitForRequests()
{
  if (IsIdle() && IsSlotReleased()) {
    Exit(0);
    return;
  }
  if (BootClock::now() >= drainDeadline_) {
    Exit(1);
    return;
  }
  drainTimer_.expires_after(detail::ToSteady(kDrainCheckInterval));
  drainTimer_.async_wait([this](auto aError) {
    if (!aError) {
      WaitForRequests();
    }
  });
}

void
EntryHost::Impl::Exit(int aCode)
{
  exitCode_ = aCode;
  mainContext_.stop();
}

}
