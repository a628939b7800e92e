// The graceful shutdown of an entry host, on the main thread.

#include "app/EntryHostImpl.h"

namespace peridotsail {

namespace {

// How often a stopping host looks for requests in flight.
constexpr Duration kDrainCheck = std::chrono::milliseconds(20);

// How long a stopping host waits for the release of its slot. Without it the
// slot is free after its lease and the guard time.
constexpr Duration kReleaseLimit = std::chrono::seconds(4);

// How often a leaving host tells its peers so.
constexpr Duration kLeavingInterval = std::chrono::seconds(1);

}

void
EntryHost::Impl::ReleaseSlot()
{
  releaseEnd_ = BootClock::now() + kReleaseLimit;
  platform_.RunAndWait([this] { slotKeeper_.Release(); });
}

void
EntryHost::Impl::OnSignal()
{
  if (draining_) {
    End(1);
    return;
  }
  draining_ = true;
  drainEnd_ = BootClock::now() + settings_.lookupTtl_ + settings_.drainLimit_;
  LogEvent(Event::ProcessStopping);
  signals_.async_wait([this](auto aError, int) {
    if (!aError) {
      OnSignal();
    }
  });
  traffic_.RunAndWait([this] { directory_.SetSelfLeaving(); });
  AnnounceLeaving();
  // Callers may use answers to look-ups until their time to live is over.
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
  leavingTimer_.expires_after(detail::ToSteady(kLeavingInterval));
  leavingTimer_.async_wait([this](auto aError) {
    if (!aError) {
      AnnounceLeaving();
    }
  });
}

void
EntryHost::Impl::StopAccepting()
{
  traffic_.RunAndWait([this] {
    callers_.CloseConnectionsAfterResponses();
    callers_.Close();
  });
  WaitForRequests();
}

bool
EntryHost::Impl::IsIdle()
{
  bool idle = false;
  traffic_.RunAndWait([this, &idle] {
    idle = pipeline_.InFlight() == 0 && relays_.InFlight() == 0 &&
           callers_.Connections() == 0;
    // A successor answers repeated requests only with written outcomes.
    if (AtMostOnceService* once = once_.Service()) {
      once->Flush();
      once->Pump(BootClock::now());
      idle = idle && once->IsIdle();
    }
  });
  return idle;
}

// Requests in flight need the slot until they have ended, so it is released
// after them.
bool
EntryHost::Impl::IsSlotReleased()
{
  if (!releaseEnd_) {
    ReleaseSlot();
  }
  bool released = BootClock::now() >= *releaseEnd_;
  platform_.RunAndWait(
    [&] { released = released || slotKeeper_.IsReleased(); });
  return released;
}

void
EntryHost::Impl::WaitForRequests()
{
  if (IsIdle() && IsSlotReleased()) {
    End(0);
    return;
  }
  if (BootClock::now() >= drainEnd_) {
    End(1);
    return;
  }
  drainTimer_.expires_after(detail::ToSteady(kDrainCheck));
  drainTimer_.async_wait([this](auto aError) {
    if (!aError) {
      WaitForRequests();
    }
  });
}

void
EntryHost::Impl::End(int aCode)
{
  exitCode_ = aCode;
  main_.stop();
}

}
