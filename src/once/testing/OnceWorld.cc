#include "once/testing/OnceWorld.h"

#include <algorithm>
#include <utility>

namespace peridotsail::testing {

namespace {

const std::string kSlot = "north/0";

}

OnceWorld::OnceWorld(const OnceWorldOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , end_(now_ + aOptions.length_)
  , hosts_(static_cast<std::size_t>(aOptions.hosts_))
{
}

Duration
OnceWorld::Between(double aFrom, double aTo)
{
  return FromSeconds(std::uniform_real_distribution<>(aFrom, aTo)(random_));
}

bool
OnceWorld::Chance(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(random_) < aProbability;
}

int
OnceWorld::Pick(int aCount)
{
  return std::uniform_int_distribution<>(0, aCount - 1)(random_);
}

void
OnceWorld::At(TimePoint aTime, Task aTask)
{
  tasks_.emplace(aTime, std::move(aTask));
}

void
OnceWorld::OnHost(int aHost, Duration aDelay, Task aTask)
{
  const int incarnation = hosts_[aHost].incarnation_;
  At(now_ + aDelay, [this, aHost, incarnation, task = std::move(aTask)] {
    if (hosts_[aHost].incarnation_ != incarnation) {
      return;
    }
    if (hosts_[aHost].pausedUntil_ > now_) {
      OnHost(aHost, hosts_[aHost].pausedUntil_ - now_, task);
      return;
    }
    task();
  });
}

OnceWorldResult
OnceWorld::Run()
{
  for (int key = 0; key < options_.keys_; ++key) {
    TimePoint sent = now_ + Between(0, 50);
    for (int i = 0; i < options_.transmissions_; ++i) {
      At(sent, [this, key] { Transmit("key-" + std::to_string(key)); });
      sent += Chance(0.3) ? Between(0, 0.05) : Between(0.05, 25);
    }
  }
  Tick();
  while (!tasks_.empty() && tasks_.begin()->first < end_) {
    now_ = std::max(now_, tasks_.begin()->first);
    const Task task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    task();
  }
  for (const auto& [key, runs] : runs_) {
    result_.keysRun_ += runs > 0 ? 1 : 0;
    result_.keysRunTwice_ += runs > 1 ? 1 : 0;
  }
  return result_;
}

void
OnceWorld::Tick()
{
  Faults();
  RenewLease();
  if (!storeOut_ && now_ > lease_.validUntil_ + std::chrono::seconds(1) &&
      Chance(0.5)) {
    TakeOver();
  }
  At(now_ + std::chrono::milliseconds(500), [this] { Tick(); });
}

void
OnceWorld::Faults()
{
  const int target = Pick(options_.hosts_);
  if (Chance(0.02)) {
    ++hosts_[target].incarnation_;
    hosts_[target].registry_.reset();
  } else if (Chance(0.03)) {
    hosts_[target].pausedUntil_ = now_ + Between(0.1, 20);
  }
  if (Chance(storeOut_ ? 0.1 : 0.03)) {
    storeOut_ = !storeOut_;
  }
  if (Chance(0.05)) {
    slowness_ = Chance(0.5) ? 1 : 200;
    loss_ = Chance(0.5) ? 0 : 0.3;
  }
}

// A holder that reaches the store renews; one in an outage continues. The rules
// under which it may do so are those of SlotLease and are not simulated.
void
OnceWorld::RenewLease()
{
  if (lease_.host_ < 0 || now_ >= lease_.validUntil_) {
    return;
  }
  Host& host = hosts_[lease_.host_];
  if (host.incarnation_ != lease_.incarnation_ || host.pausedUntil_ > now_) {
    return;
  }
  lease_.continuing_ = storeOut_ || options_.memoryOnly_;
  lease_.mayHaveContinued_ = lease_.mayHaveContinued_ || lease_.continuing_;
  lease_.validUntil_ = std::max(lease_.validUntil_,
                                now_ + std::chrono::seconds(storeOut_ ? 3 : 8));
  if (host.registry_) {
    host.registry_->Renew(TenureOf(lease_));
  }
}

SlotLeaseTerm
OnceWorld::TenureOf(const Lease& aLease) const
{
  SlotLeaseTerm tenure;
  tenure.slot_ = kSlot;
  tenure.epoch_ = aLease.epoch_;
  tenure.validUntil_ = aLease.validUntil_;
  tenure.outageUntil_ = aLease.continuing_ ? aLease.validUntil_ : TimePoint{};
  tenure.predecessorMayHaveContinued_ = false;
  return tenure;
}

void
OnceWorld::TakeOver()
{
  const int target = Pick(options_.hosts_);
  if (hosts_[target].pausedUntil_ > now_) {
    return;
  }
  ++result_.takeovers_;
  Lease next;
  next.host_ = target;
  next.incarnation_ = hosts_[target].incarnation_;
  next.epoch_ = lease_.epoch_ + 1;
  next.validUntil_ = now_ + std::chrono::seconds(8);
  SlotLeaseTerm tenure = TenureOf(next);
  tenure.predecessorMayHaveContinued_ =
    !options_.memoryOnly_ && (lease_.mayHaveContinued_ || Chance(0.05));
  lease_ = next;
  ClaimRegistryOptions options;
  options.incarnation_ =
    std::to_string(target) + "." + std::to_string(next.incarnation_);
  hosts_[target].registry_ = std::make_shared<ClaimRegistry>(options, tenure);
  Load(target, hosts_[target].registry_);
}

void
OnceWorld::Load(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry)
{
  OnHost(aHost, Between(0.002, 0.05) * slowness_, [this, aHost, aRegistry] {
    if (storeOut_) {
      Load(aHost, aRegistry);
      return;
    }
    std::vector<LoadedRecord> records;
    for (const auto& [key, record] : store_) {
      records.push_back({ key, record.value_ });
    }
    aRegistry->Load(records, {}, now_);
    Pump(aHost, aRegistry);
  });
}

void
OnceWorld::Transmit(const std::string& aKey)
{
  const bool stale = Chance(0.2) || lease_.host_ < 0;
  const int host = stale ? Pick(options_.hosts_) : lease_.host_;
  const std::uint64_t ticket = ++lastTicket_;
  OnHost(host, Between(0.001, 0.06), [this, host, aKey, ticket] {
    const auto registry = hosts_[host].registry_;
    if (!registry) {
      return;
    }
    hosts_[host].keyOfTicket_[ticket] = aKey;
    ClaimRequest request;
    request.key_ = aKey;
    request.fingerprint_ = "same";
    request.ticket_ = ticket;
    Handle(host, registry, aKey, registry->Begin(request, now_));
    Pump(host, registry);
    OnHost(host, Between(0.1, 8), [this, registry, aKey, ticket] {
      State(aKey, registry->Cancel(aKey, ticket, now_));
    });
  });
}

void
OnceWorld::Pump(int aHost, const std::shared_ptr<ClaimRegistry>& aRegistry)
{
  for (const StoreOperation& operation : aRegistry->Poll(now_)) {
    Send(aHost, aRegistry, operation);
  }
  for (const ClaimDecision& decision : aRegistry->TakeDecisions()) {
    const std::string key = hosts_[aHost].keyOfTicket_[decision.ticket_];
    Handle(aHost, aRegistry, key, decision);
  }
  if (!aRegistry->IsFenced()) {
    const int wake = ++hosts_[aHost].wake_;
    const Duration delay = std::max<Duration>(aRegistry->WakeAt(now_) - now_,
                                              std::chrono::milliseconds(1));
    OnHost(aHost, delay, [this, aHost, aRegistry, wake] {
      if (hosts_[aHost].wake_ == wake) {
        Pump(aHost, aRegistry);
      }
    });
  }
}

// An operation may be lost before or after it took effect, and may take effect
// long after the sender has given it up.
void
OnceWorld::Send(int aHost,
                const std::shared_ptr<ClaimRegistry>& aRegistry,
                const StoreOperation& aOperation)
{
  const std::uint64_t epoch = aRegistry->Tenure().epoch_;
  const auto answered = std::make_shared<bool>(false);
  const auto answer =
    [this, aHost, aRegistry, answered](const StoreAnswer& aAnswer) {
      if (!std::exchange(*answered, true)) {
        result_.lostAnswers_ += aAnswer.kind_ == StoreAnswerKind::Lost ? 1 : 0;
        aRegistry->OnStoreAnswer(aAnswer, now_);
        result_.fenced_ += aRegistry->IsFenced() ? 1 : 0;
        Pump(aHost, aRegistry);
      }
    };
  OnHost(aHost, std::chrono::seconds(1), [answer, aOperation] {
    answer({ aOperation.id_, StoreAnswerKind::Lost, "" });
  });
  const bool lostBefore = Chance(loss_);
  const bool lostAfter = Chance(loss_);
  At(now_ + Between(0.001, 0.01) * slowness_, [=] {
    if (storeOut_ || lostBefore) {
      return;
    }
    const StoreAnswer result = Apply(epoch, aOperation);
    if (!lostAfter) {
      OnHost(aHost, Between(0.001, 0.01) * slowness_, [=] { answer(result); });
    }
  });
}

StoreAnswer
OnceWorld::Apply(std::uint64_t aEpoch, const StoreOperation& aOperation)
{
  const ClaimRecord& record = aOperation.record_;
  const auto found = store_.find(record.key_);
  if (aOperation.kind_ == StoreOperationKind::ReadBack) {
    return found == store_.end()
             ? StoreAnswer{ aOperation.id_, StoreAnswerKind::Absent, "" }
             : StoreAnswer{ aOperation.id_,
                            StoreAnswerKind::Found,
                            found->second.attempt_ };
  }
  if (aEpoch != lease_.epoch_ || found != store_.end()) {
    return { aOperation.id_, StoreAnswerKind::Refused, "" };
  }
  store_[record.key_] = record;
  for (const std::string& key : record.deletes_) {
    store_.erase(key);
  }
  return { aOperation.id_, StoreAnswerKind::Written, "" };
}

void
OnceWorld::Handle(int aHost,
                  const std::shared_ptr<ClaimRegistry>& aRegistry,
                  const std::string& aKey,
                  const ClaimDecision& aDecision)
{
  if (aDecision.verdict_ == ClaimVerdict::Wait) {
    return;
  }
  if (aDecision.verdict_ != ClaimVerdict::Execute) {
    result_.unknown_ +=
      aDecision.verdict_ == ClaimVerdict::OutcomeUnknown ? 1 : 0;
    if (aDecision.verdict_ == ClaimVerdict::Replay) {
      ++result_.replays_;
      const bool valid =
        runs_[aKey] == 1 && aDecision.outcome_.body_ == "done " + aKey;
      result_.falseOutcome_ += valid ? 0 : 1;
    }
    State(aKey, aDecision.execution_);
    return;
  }
  result_.memoryRuns_ += now_ < aRegistry->Tenure().outageUntil_ ? 1 : 0;
  OnHost(aHost, Between(0, 0.2), [=, ticket = aDecision.ticket_] {
    Execute(aHost, aRegistry, aKey, ticket);
  });
}

void
OnceWorld::Execute(int aHost,
                   const std::shared_ptr<ClaimRegistry>& aRegistry,
                   const std::string& aKey,
                   std::uint64_t aTicket)
{
  const auto finish = [=](RunResult aResult, const std::string& aBody) {
    aRegistry->Finish(
      aKey, aTicket, aResult, { 200, "text/plain", aBody, true }, now_);
    Pump(aHost, aRegistry);
  };
  if (!aRegistry->MayStart(aKey, aTicket, now_)) {
    finish(RunResult::NotRun, "");
    return;
  }
  // The backend server is down or sheds load before it runs the request.
  if (Chance(0.2)) {
    OnHost(aHost, Between(0, 0.2), [=] {
      State(aKey, ExecutionState::NotRun);
      finish(RunResult::NotRun, "");
    });
    return;
  }
  // It dies during the run or before it answers.
  const bool dies = Chance(0.15);
  const Duration arrival = Between(0.001, 0.06);
  At(now_ + arrival, [this, aKey] { ++runs_[aKey]; });
  OnHost(aHost, arrival + Between(0.001, 2), [=] {
    finish(dies ? RunResult::Unknown : RunResult::Complete, "done " + aKey);
  });
}

void
OnceWorld::State(const std::string& aKey, ExecutionState aState)
{
  if (aState == ExecutionState::NotRun) {
    ++result_.notRun_;
    result_.falseNotRun_ += runs_[aKey] > 0 ? 1 : 0;
  }
}

}
