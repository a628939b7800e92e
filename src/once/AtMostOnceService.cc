#include "once/AtMostOnceService.h"

#include "base/EventLog.h"

#include <algorithm>
#include <array>
#include <utility>

namespace peridotsail {

namespace {

// A load is repeated when it stays unanswered this long, and sooner when it
// has failed.
constexpr Duration kLoadTimeout = std::chrono::seconds(5);
constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(500);

std::string_view
VerdictName(ClaimVerdict aVerdict)
{
  constexpr std::array<std::string_view, 9> kNames{
    "wait",       "execute",    "replay", "in-progress", "outcome-unknown",
    "key-reused", "not-holder", "full",   "timed-out"
  };
  return kNames[static_cast<std::size_t>(aVerdict)];
}

}

AtMostOnceExecution::AtMostOnceExecution(
  std::shared_ptr<ClaimRegistry> aRegistry,
  std::string aKey,
  std::uint64_t aTicket)
  : registry_(std::move(aRegistry))
  , key_(std::move(aKey))
  , ticket_(aTicket)
{
}

bool
AtMostOnceExecution::MayStart(TimePoint aNow) const
{
  return registry_ && registry_->MayStart(key_, ticket_, aNow);
}

void
AtMostOnceExecution::Finish(RunResult aResult,
                            RecordedOutcome aOutcome,
                            TimePoint aNow)
{
  if (registry_) {
    registry_->Finish(key_, ticket_, aResult, std::move(aOutcome), aNow);
    registry_.reset();
  }
}

AtMostOnceService::AtMostOnceService(ClaimRegistryOptions aOptions,
                                     ClaimStoreHooks aHooks)
  : options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
{
}

void
AtMostOnceService::SetSlots(std::vector<std::string> aSlots, TimePoint aNow)
{
  slotMap_.SetSlots(std::move(aSlots), aNow);
  options_.mappingSignature_ = slotMap_.Signature();
  if (registry_) {
    registry_->SetMapping(options_.mappingSignature_, aNow);
  }
}

void
AtMostOnceService::SetHolders(std::map<std::string, SlotHolderHost> aHolders)
{
  slotMap_.SetHolders(std::move(aHolders));
}

void
AtMostOnceService::SetLeaseTerm(const std::optional<SlotLeaseTerm>& aLeaseTerm,
                                bool aSameProcess,
                                TimePoint aNow)
{
  if (!aLeaseTerm) {
    return;
  }
  if (registry_ && registry_->LeaseTerm().slot_ == aLeaseTerm->slot_ &&
      registry_->LeaseTerm().epoch_ == aLeaseTerm->epoch_) {
    registry_->Renew(*aLeaseTerm);
    return;
  }
  std::vector<ClaimEntry> unwritten;
  const bool sameSlot =
    registry_ && registry_->LeaseTerm().slot_ == aLeaseTerm->slot_;
  SlotLeaseTerm leaseTerm = *aLeaseTerm;
  if (aSameProcess && sameSlot &&
      registry_->LeaseTerm().epoch_ + 1 == leaseTerm.epoch_) {
    unwritten = registry_->Unwritten(aNow);
  } else if (aSameProcess) {
    leaseTerm.predecessorMayHaveContinued_ = true;
  }
  const auto replaced = std::exchange(
    registry_, std::make_shared<ClaimRegistry>(options_, leaseTerm));
  unwritten_ = std::move(unwritten);
  Load(registry_, aNow);
  RefuseWaiting(replaced);
}

void
AtMostOnceService::RefuseWaiting(
  const std::shared_ptr<ClaimRegistry>& aRegistry)
{
  std::vector<std::pair<std::uint64_t, Callback>> refused;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->second.registry_ == aRegistry) {
      refused.emplace_back(it->first, std::move(it->second.callback_));
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& [ticket, callback] : refused) {
    callback(MakeDecision(ticket, ClaimVerdict::NotHolder),
             AtMostOnceExecution());
  }
}

void
AtMostOnceService::Load(const std::shared_ptr<ClaimRegistry>& aRegistry,
                        TimePoint aNow)
{
  nextLoad_ = aNow + kLoadTimeout;
  const std::string slot = aRegistry->LeaseTerm().slot_;
  const std::string prefix = aRegistry->LeaseTerm().epoch_ == 1
                               ? ClaimRecordsPrefix()
                               : ClaimRecordPrefix(slot);
  const std::weak_ptr<bool> alive = alive_;
  hooks_.load_(prefix, [=](auto aRecords) {
    if (alive.expired() || registry_ != aRegistry || aRegistry->IsLoaded()) {
      return;
    }
    const TimePoint now = BootClock::now();
    if (!aRecords) {
      nextLoad_ = now + kLoadRetryDelay;
      return;
    }
    aRegistry->Load(*aRecords, std::exchange(unwritten_, {}), now);
    LogEvent(Event::ClaimsLoaded,
             { { "slot", slot },
               { "epoch", aRegistry->LeaseTerm().epoch_ },
               { "records", aRecords->size() },
               { "claims", aRegistry->ClaimCount() } });
    if (aRegistry->MalformedRecords() > 0) {
      LogEvent(
        Event::ClaimRecordMalformed,
        { { "slot", slot }, { "records", aRegistry->MalformedRecords() } });
    }
    if (aRegistry->InDoubt(now)) {
      LogEvent(
        Event::SlotInDoubt,
        { { "slot", slot }, { "epoch", aRegistry->LeaseTerm().epoch_ } });
    }
    Pump(now);
  });
}

SlotRoute
AtMostOnceService::RouteOf(const std::string& aKey, TimePoint aNow) const
{
  return slotMap_.RouteOf(aKey, aNow);
}

bool
AtMostOnceService::Holds(const std::string& aKey, TimePoint aNow) const
{
  return registry_ && !registry_->IsFenced() &&
         aNow < registry_->LeaseTerm().validUntil_ &&
         slotMap_.SlotOf(aKey) == registry_->LeaseTerm().slot_;
}

std::uint64_t
AtMostOnceService::Begin(const std::string& aKey,
                         const std::string& aFingerprint,
                         TimePoint aDeadline,
                         TimePoint aNow,
                         Callback aCallback)
{
  const std::uint64_t ticket = ++lastTicket_;
  ClaimDecision decision = MakeDecision(ticket, ClaimVerdict::NotHolder);
  const std::shared_ptr<ClaimRegistry> registry = registry_;
  if (Holds(aKey, aNow)) {
    const bool moved = slotMap_.RouteOf(aKey, aNow).moved_;
    decision = registry->Begin({ aKey, aFingerprint, ticket, moved }, aNow);
  }
  if (decision.verdict_ == ClaimVerdict::Wait) {
    waiting_[ticket] = { aDeadline, aKey, registry, std::move(aCallback) };
    Pump(aNow);
    return ticket;
  }
  LogDecision(aKey, decision);
  aCallback(decision, AtMostOnceExecution(registry, aKey, ticket));
  return ticket;
}

void
AtMostOnceService::RefuseTimedOut(TimePoint aNow)
{
  std::vector<std::pair<ClaimDecision, Callback>> refused;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    WaitingRequest& waiting = it->second;
    if (aNow < waiting.deadline_) {
      ++it;
      continue;
    }
    const ExecutionState state =
      waiting.registry_->Cancel(waiting.key_, it->first, aNow);
    refused.emplace_back(MakeDecision(it->first, ClaimVerdict::TimedOut, state),
                         std::move(waiting.callback_));
    it = waiting_.erase(it);
  }
  for (const auto& [decision, callback] : refused) {
    callback(decision, AtMostOnceExecution());
  }
}

void
AtMostOnceService::Pump(TimePoint aNow)
{
  if (registry_ && !registry_->IsLoaded() && aNow >= nextLoad_) {
    Load(registry_, aNow);
  }
  RefuseTimedOut(aNow);
  if (registry_) {
    PumpRegistry(registry_, aNow);
  }
}

void
AtMostOnceService::PumpRegistry(const std::shared_ptr<ClaimRegistry>& aRegistry,
                                TimePoint aNow)
{
  const std::weak_ptr<bool> alive = alive_;
  for (const StoreOperation& operation : aRegistry->Poll(aNow)) {
    hooks_.perform_(
      aRegistry->LeaseTerm(), operation, [=](const StoreAnswer& aAnswer) {
        if (alive.expired()) {
          return;
        }
        const TimePoint now = BootClock::now();
        const bool fenced = aRegistry->IsFenced();
        aRegistry->OnStoreAnswer(aAnswer, now);
        if (aRegistry->IsFenced() && !fenced) {
          LogEvent(Event::ClaimWriteFenced,
                   { { "slot", aRegistry->LeaseTerm().slot_ },
                     { "epoch", aRegistry->LeaseTerm().epoch_ } });
        }
        PumpRegistry(aRegistry, now);
      });
  }
  for (const ClaimDecision& decision : aRegistry->TakeDecisions()) {
    const auto found = waiting_.find(decision.ticket_);
    if (found == waiting_.end()) {
      // The request timed out in the meantime.
      continue;
    }
    const WaitingRequest waiting = std::move(found->second);
    waiting_.erase(found);
    LogDecision(waiting.key_, decision);
    waiting.callback_(
      decision, AtMostOnceExecution(aRegistry, waiting.key_, decision.ticket_));
  }
  if (hooks_.wakeAt_) {
    hooks_.wakeAt_(WakeAt(aNow));
  }
}

TimePoint
AtMostOnceService::WakeAt(TimePoint aNow) const
{
  TimePoint wake =
    registry_ ? registry_->WakeAt(aNow) : aNow + std::chrono::seconds(1);
  for (const auto& [ticket, waiting] : waiting_) {
    wake = std::min(wake, waiting.deadline_);
  }
  return wake;
}

void
AtMostOnceService::Flush()
{
  if (registry_) {
    registry_->Flush();
  }
}

bool
AtMostOnceService::IsIdle() const
{
  return !registry_ || registry_->IsFenced() || registry_->IsIdle();
}

bool
AtMostOnceService::HasUnwritten(TimePoint aNow) const
{
  return registry_ && !registry_->Unwritten(aNow).empty();
}

void
AtMostOnceService::LogDecision(const std::string& aKey,
                               const ClaimDecision& aDecision)
{
  LogEvent(Event::OnceDecision,
           { { "key", aKey }, { "verdict", VerdictName(aDecision.verdict_) } });
}

}
