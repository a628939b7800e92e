#include "once/AtMostOnceService.h"

#include "base/EventLog.h"

#include <algorithm>
#include <array>
#include <utility>

namespace peridotsail {

namespace {

// A load without an answer for longer is sent again; a failed one earlier.
constexpr Duration kLoadLimit = std::chrono::seconds(5);
constexpr Duration kLoadRetry = std::chrono::milliseconds(500);

std::string_view
NameOf(ClaimVerdict aVerdict)
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
  map_.Adopt(std::move(aSlots), aNow);
  options_.mapping_ = map_.Signature();
  if (registry_) {
    registry_->Remap(options_.mapping_, aNow);
  }
}

void
AtMostOnceService::SetHolders(std::map<std::string, SlotHolderHost> aHolders)
{
  map_.SetHolders(std::move(aHolders));
}

void
AtMostOnceService::SetLeaseTerm(const std::optional<SlotLeaseTerm>& aTenure,
                                bool aSameProcess,
                                TimePoint aNow)
{
  if (!aTenure) {
    return;
  }
  if (registry_ && registry_->Tenure().slot_ == aTenure->slot_ &&
      registry_->Tenure().epoch_ == aTenure->epoch_) {
    registry_->Renew(*aTenure);
    return;
  }
  std::vector<ClaimEntry> carried;
  const bool sameSlot =
    registry_ && registry_->Tenure().slot_ == aTenure->slot_;
  SlotLeaseTerm tenure = *aTenure;
  if (aSameProcess && sameSlot &&
      registry_->Tenure().epoch_ + 1 == tenure.epoch_) {
    carried = registry_->Unwritten(aNow);
  } else if (aSameProcess) {
    tenure.predecessorMayHaveContinued_ = true;
  }
  const auto former =
    std::exchange(registry_, std::make_shared<ClaimRegistry>(options_, tenure));
  carried_ = std::move(carried);
  Load(registry_, aNow);
  RefuseWaiting(former);
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
  nextLoad_ = aNow + kLoadLimit;
  const std::string slot = aRegistry->Tenure().slot_;
  const std::string prefix = aRegistry->Tenure().epoch_ == 1
                               ? ClaimRecordsPrefix()
                               : ClaimRecordPrefix(slot);
  const std::weak_ptr<bool> alive = alive_;
  hooks_.load_(prefix, [=](auto aRecords) {
    if (alive.expired() || registry_ != aRegistry || aRegistry->IsLoaded()) {
      return;
    }
    const TimePoint now = BootClock::now();
    if (!aRecords) {
      nextLoad_ = now + kLoadRetry;
      return;
    }
    aRegistry->Load(*aRecords, std::exchange(carried_, {}), now);
    LogEvent(Event::ClaimsLoaded,
             { { "slot", slot },
               { "epoch", aRegistry->Tenure().epoch_ },
               { "records", aRecords->size() },
               { "claims", aRegistry->ClaimCount() } });
    if (aRegistry->MalformedRecords() > 0) {
      LogEvent(
        Event::ClaimRecordMalformed,
        { { "slot", slot }, { "records", aRegistry->MalformedRecords() } });
    }
    if (aRegistry->InDoubt(now)) {
      LogEvent(Event::SlotInDoubt,
               { { "slot", slot }, { "epoch", aRegistry->Tenure().epoch_ } });
    }
    Pump(now);
  });
}

SlotRoute
AtMostOnceService::RouteOf(const std::string& aKey, TimePoint aNow) const
{
  return map_.RouteOf(aKey, aNow);
}

bool
AtMostOnceService::Holds(const std::string& aKey, TimePoint aNow) const
{
  return registry_ && !registry_->IsFenced() &&
         aNow < registry_->Tenure().validUntil_ &&
         map_.SlotOf(aKey) == registry_->Tenure().slot_;
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
    const bool moved = map_.RouteOf(aKey, aNow).moved_;
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
AtMostOnceService::RefuseOverdue(TimePoint aNow)
{
  std::vector<std::pair<ClaimDecision, Callback>> refused;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Waiting& waiting = it->second;
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
  RefuseOverdue(aNow);
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
      aRegistry->Tenure(), operation, [=](const StoreAnswer& aAnswer) {
        if (alive.expired()) {
          return;
        }
        const TimePoint now = BootClock::now();
        const bool fenced = aRegistry->IsFenced();
        aRegistry->OnStoreAnswer(aAnswer, now);
        if (aRegistry->IsFenced() && !fenced) {
          LogEvent(Event::ClaimWriteFenced,
                   { { "slot", aRegistry->Tenure().slot_ },
                     { "epoch", aRegistry->Tenure().epoch_ } });
        }
        PumpRegistry(aRegistry, now);
      });
  }
  for (const ClaimDecision& decision : aRegistry->TakeDecisions()) {
    const auto found = waiting_.find(decision.ticket_);
    if (found == waiting_.end()) {
      // The request gave up in the meantime.
      continue;
    }
    const Waiting waiting = std::move(found->second);
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
           { { "key", aKey }, { "verdict", NameOf(aDecision.verdict_) } });
}

}
