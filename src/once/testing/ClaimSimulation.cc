#include "once/testing/ClaimSimulation.h"

#include <algorithm>
#include <utility>

namespace peridotsail::testing {

namespace {

const std::string kSlot = "north/0";

}

ClaimSimulation::ClaimSimulation(const ClaimSimulationOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , end_(now_ + aOptions.duration_)
  , hosts_(static_cast<std::size_t>(aOptions.hosts_))
{
}

Duration
ClaimSimulation::RandomDuration(double aFrom, double aTo)
{
  return FromSeconds(std::uniform_real_distribution<>(aFrom, aTo)(random_));
}

bool
ClaimSimulation::RandomBool(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(random_) < aProbability;
}

int
ClaimSimulation::RandomIndex(int aCount)
{
  return std::uniform_int_distribution<>(0, aCount - 1)(random_);
}

void
ClaimSimulation::Schedule(TimePoint aTime, Task aTask)
{
  tasks_.emplace(aTime, std::move(aTask));
}

void
ClaimSimulation::ScheduleOnHost(int aHost, Duration aDelay, Task aTask)
{
  const int incarnation = hosts_[aHost].incarnation_;
  Schedule(now_ + aDelay, [this, aHost, incarnation, task = std::move(aTask)] {
    if (hosts_[aHost].incarnation_ != incarnation) {
      return;
    }
    if (hosts_[aHost].pausedUntil_ > now_) {
      ScheduleOnHost(aHost, hosts_[aHost].pausedUntil_ - now_, task);
      return;
    }
    task();
  });
}

ClaimSimulationResult
ClaimSimulation::Run()
{
  for (int key = 0; key < options_.keys_; ++key) {
    TimePoint sent = now_ + RandomDuration(0, 50);
    for (int i = 0; i < options_.transmissions_; ++i) {
      Schedule(sent,
               [this, key] { SendRequest("key-" + std::to_string(key)); });
      sent +=
        RandomBool(0.3) ? RandomDuration(0, 0.05) : RandomDuration(0.05, 25);
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
ClaimSimulation::Tick()
{
  InjectFaults();
  RenewLease();
  if (!storeDown_ && now_ > lease_.validUntil_ + std::chrono::seconds(1) &&
      RandomBool(0.5)) {
    TakeOver();
  }
  Schedule(now_ + std::chrono::milliseconds(500), [this] { Tick(); });
}

void
ClaimSimulation::InjectFaults()
{
  const int target = RandomIndex(options_.hosts_);
  if (RandomBool(0.02)) {
    ++hosts_[target].incarnation_;
    hosts_[target].registry_.reset();
  } else if (RandomBool(0.03)) {
    hosts_[target].pausedUntil_ = now_ + RandomDuration(0.1, 20);
  }
  if (RandomBool(storeDown_ ? 0.1 : 0.03)) {
    storeDown_ = !storeDown_;
  }
  if (RandomBool(0.05)) {
    latencyFactor_ = RandomBool(0.5) ? 1 : 200;
    lossProbability_ = RandomBool(0.5) ? 0 : 0.3;
  }
}

// A holder that reaches the store renews its lease, and one that does not
// continues without the store. SlotLease decides when it may do so; its rules
// are not simulated.
void
ClaimSimulation::RenewLease()
{
  if (lease_.host_ < 0 || now_ >= lease_.validUntil_) {
    return;
  }
  Host& host = hosts_[lease_.host_];
  if (host.incarnation_ != lease_.incarnation_ || host.pausedUntil_ > now_) {
    return;
  }
  lease_.continuing_ = storeDown_ || options_.memoryOnly_;
  lease_.mayHaveContinued_ = lease_.mayHaveContinued_ || lease_.continuing_;
  lease_.validUntil_ = std::max(
    lease_.validUntil_, now_ + std::chrono::seconds(storeDown_ ? 3 : 8));
  if (host.registry_) {
    host.registry_->Renew(LeaseTermOf(lease_));
  }
}

SlotLeaseTerm
ClaimSimulation::LeaseTermOf(const Lease& aLease) const
{
  SlotLeaseTerm leaseTerm;
  leaseTerm.slot_ = kSlot;
  leaseTerm.epoch_ = aLease.epoch_;
  leaseTerm.validUntil_ = aLease.validUntil_;
  leaseTerm.outageUntil_ =
    aLease.continuing_ ? aLease.validUntil_ : TimePoint{};
  leaseTerm.predecessorMayHaveContinued_ = false;
  return leaseTerm;
}

void
ClaimSimulation::TakeOver()
{
  const int target = RandomIndex(options_.hosts_);
  if (hosts_[target].pausedUntil_ > now_) {
    return;
  }
  ++result_.takeovers_;
  Lease next;
  next.host_ = target;
  next.incarnation_ = hosts_[target].incarnation_;
  next.epoch_ = lease_.epoch_ + 1;
  next.validUntil_ = now_ + std::chrono::seconds(8);
  SlotLeaseTerm leaseTerm = LeaseTermOf(next);
  leaseTerm.predecessorMayHaveContinued_ =
    !options_.memoryOnly_ && (lease_.mayHaveContinued_ || RandomBool(0.05));
  lease_ = next;
  ClaimRegistryOptions options;
  options.incarnation_ =
    std::to_string(target) + "." + std::to_string(next.incarnation_);
  hosts_[target].registry_ =
    std::make_shared<ClaimRegistry>(options, leaseTerm);
  Load(target, hosts_[target].registry_);
}

void
ClaimSimulation::Load(int aHost,
                      const std::shared_ptr<ClaimRegistry>& aRegistry)
{
  ScheduleOnHost(aHost,
                 RandomDuration(0.002, 0.05) * latencyFactor_,
                 [this, aHost, aRegistry] {
                   if (storeDown_) {
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
ClaimSimulation::SendRequest(const std::string& aKey)
{
  const bool stale = RandomBool(0.2) || lease_.host_ < 0;
  const int host = stale ? RandomIndex(options_.hosts_) : lease_.host_;
  const std::uint64_t ticket = ++lastTicket_;
  ScheduleOnHost(host, RandomDuration(0.001, 0.06), [this, host, aKey, ticket] {
    const auto registry = hosts_[host].registry_;
    if (!registry) {
      return;
    }
    hosts_[host].keyOfTicket_[ticket] = aKey;
    ClaimRequest request;
    request.key_ = aKey;
    request.fingerprint_ = "same";
    request.ticket_ = ticket;
    HandleDecision(host, registry, aKey, registry->Begin(request, now_));
    Pump(host, registry);
    ScheduleOnHost(
      host, RandomDuration(0.1, 8), [this, registry, aKey, ticket] {
        CheckReportedState(aKey, registry->Cancel(aKey, ticket, now_));
      });
  });
}

void
ClaimSimulation::Pump(int aHost,
                      const std::shared_ptr<ClaimRegistry>& aRegistry)
{
  for (const StoreOperation& operation : aRegistry->Poll(now_)) {
    SendToStore(aHost, aRegistry, operation);
  }
  for (const ClaimDecision& decision : aRegistry->TakeDecisions()) {
    const std::string key = hosts_[aHost].keyOfTicket_[decision.ticket_];
    HandleDecision(aHost, aRegistry, key, decision);
  }
  if (!aRegistry->IsFenced()) {
    const int wake = ++hosts_[aHost].wakeUpId_;
    const Duration delay = std::max<Duration>(aRegistry->WakeAt(now_) - now_,
                                              std::chrono::milliseconds(1));
    ScheduleOnHost(aHost, delay, [this, aHost, aRegistry, wake] {
      if (hosts_[aHost].wakeUpId_ == wake) {
        Pump(aHost, aRegistry);
      }
    });
  }
}

// An operation may be lost before or after it has been applied, and may be
// applied long after its sender has timed out.
void
ClaimSimulation::SendToStore(int aHost,
                             const std::shared_ptr<ClaimRegistry>& aRegistry,
                             const StoreOperation& aOperation)
{
  const std::uint64_t epoch = aRegistry->LeaseTerm().epoch_;
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
  ScheduleOnHost(aHost, std::chrono::seconds(1), [answer, aOperation] {
    answer({ aOperation.id_, StoreAnswerKind::Lost, "" });
  });
  const bool lostBefore = RandomBool(lossProbability_);
  const bool lostAfter = RandomBool(lossProbability_);
  Schedule(now_ + RandomDuration(0.001, 0.01) * latencyFactor_, [=] {
    if (storeDown_ || lostBefore) {
      return;
    }
    const StoreAnswer result = ApplyToStore(epoch, aOperation);
    if (!lostAfter) {
      ScheduleOnHost(aHost, RandomDuration(0.001, 0.01) * latencyFactor_, [=] {
        answer(result);
      });
    }
  });
}

StoreAnswer
ClaimSimulation::ApplyToStore(std::uint64_t aEpoch,
                              const StoreOperation& aOperation)
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
ClaimSimulation::HandleDecision(int aHost,
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
    CheckReportedState(aKey, aDecision.execution_);
    return;
  }
  result_.memoryRuns_ += now_ < aRegistry->LeaseTerm().outageUntil_ ? 1 : 0;
  ScheduleOnHost(
    aHost, RandomDuration(0, 0.2), [=, ticket = aDecision.ticket_] {
      Execute(aHost, aRegistry, aKey, ticket);
    });
}

void
ClaimSimulation::Execute(int aHost,
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
  // The backend server is down or sheds load before it executes the request.
  if (RandomBool(0.2)) {
    ScheduleOnHost(aHost, RandomDuration(0, 0.2), [=] {
      CheckReportedState(aKey, ExecutionState::NotRun);
      finish(RunResult::NotRun, "");
    });
    return;
  }
  // The backend server crashes during the execution or before it answers.
  const bool crashes = RandomBool(0.15);
  const Duration arrival = RandomDuration(0.001, 0.06);
  Schedule(now_ + arrival, [this, aKey] { ++runs_[aKey]; });
  ScheduleOnHost(aHost, arrival + RandomDuration(0.001, 2), [=] {
    finish(crashes ? RunResult::Unknown : RunResult::Complete, "done " + aKey);
  });
}

void
ClaimSimulation::CheckReportedState(const std::string& aKey,
                                    ExecutionState aState)
{
  if (aState == ExecutionState::NotRun) {
    ++result_.notRun_;
    result_.falseNotRun_ += runs_[aKey] > 0 ? 1 : 0;
  }
}

}
