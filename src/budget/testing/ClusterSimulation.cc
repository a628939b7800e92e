#include "budget/testing/ClusterSimulation.h"

#include <algorithm>

namespace peridotsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time until a configuration version has reached all hosts. The limits of the
// previous version do not apply after that.
constexpr Duration kDisseminationTime = seconds(10);

}

ClusterSimulation::ClusterSimulation(const ClusterOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , store_(aOptions.lease_.leaseTime_)
  , centralBucket_(TimePoint{})
{
  auto layout = std::make_shared<SlotLayout>();
  layout->regions_ = options_.regions_;
  versions_.push_back(
    { Duration{}, { options_.rate_, options_.burst_, layout, true } });
  centralBucket_.SetLimits(options_.rate_, options_.burst_, TimePoint{});
  centralBucket_.AddTokens(options_.burst_, TimePoint{});
}

double
ClusterSimulation::RandomBetween(double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(random_);
}

void
ClusterSimulation::At(Duration aTime, std::function<void()> aAction)
{
  events_.push({ std::max(aTime, now_), sequence_++, std::move(aAction) });
}

void
ClusterSimulation::RunUntil(Duration aTime)
{
  while (!events_.empty() && events_.top().time_ <= aTime) {
    // priority_queue::top() is const. Moving is safe because pop() follows.
    const Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.time_;
    event.action_();
  }
  now_ = aTime;
}

void
ClusterSimulation::Start()
{
  std::size_t host = 0;
  for (const auto& [region, slots] : options_.regions_) {
    host += static_cast<std::size_t>(slots);
  }
  hosts_.assign(host, nullptr);
  for (std::size_t i = 0; i < host; ++i) {
    Replace(i);
  }
  UpdateHostList();
}

TimePoint
ClusterSimulation::Local(const Process& aProcess) const
{
  return TimePoint(aProcess.clockOffset_ + std::chrono::duration_cast<Duration>(
                                             now_ * aProcess.clockSpeed_));
}

Process*
ClusterSimulation::ProcessOn(std::size_t aHost)
{
  return hosts_[aHost];
}

void
ClusterSimulation::Replace(std::size_t aHost)
{
  if (hosts_[aHost] != nullptr) {
    return;
  }
  auto process = std::make_unique<Process>();
  std::size_t before = 0;
  for (const auto& [region, slots] : options_.regions_) {
    before += static_cast<std::size_t>(slots);
    if (aHost < before) {
      process->region_ = region;
      break;
    }
  }
  const std::string name = "h" + std::to_string(aHost);
  process->self_ = { name, name, "p" + std::to_string(processes_.size()) };
  process->clockSpeed_ =
    1 + RandomBetween(-options_.maxClockDrift_, options_.maxClockDrift_);
  process->clockOffset_ = seconds(1 + random_() % 100);
  const TimePoint local = Local(*process);
  SlotLeaseOptions lease = options_.lease_;
  lease.makeId_ = [this] { return std::to_string(++ids_); };
  process->lease_ =
    std::make_unique<SlotLease>(lease, process->region_, process->self_, local);
  SharedBudgetOptions budget = options_.budget_;
  budget.firstId_ = random_() + 1ULL;
  process->budgets_ = std::make_unique<BudgetTable>(budget, local);
  std::vector<BudgetPeer> peers;
  for (int far = 0; far < 2; ++far) {
    std::size_t number = 0;
    for (const auto& [region, slots] : options_.regions_) {
      const bool isFar = region != process->region_;
      for (int i = 0; i < slots; ++i, ++number) {
        if (number != aHost && isFar == (far == 1)) {
          peers.push_back({ "h" + std::to_string(number),
                            2 * (isFar ? options_.delayBetweenRegions_
                                       : options_.delayWithinRegion_) });
        }
      }
    }
  }
  process->budgets_->SetPeers(peers);
  // A new process receives the newest version only.
  ApplyVersion(*process, versions_.size() - 1);
  hosts_[aHost] = process.get();
  processes_.push_back(std::move(process));
  Process* started = hosts_[aHost];
  At(now_ + Delay(milliseconds(1)), [this, started] { Tick(started); });
}

void
ClusterSimulation::Tick(Process* aProcess)
{
  if (aProcess->killed_) {
    return;
  }
  const double jitter = RandomBetween(0.9, 1.1);
  At(now_ + std::chrono::duration_cast<Duration>(options_.tick_ * jitter),
     [this, aProcess] { Tick(aProcess); });
  if (aProcess->paused_) {
    return;
  }
  ApplyDueVersions(*aProcess);
  if (now_ - aProcess->peersSeenAt_ >= seconds(1)) {
    aProcess->peersSeenAt_ = now_;
    for (Process* other : hosts_) {
      if (other != nullptr && !other->paused_ &&
          !IsDisconnected(*aProcess, *other)) {
        aProcess->lease_->OnPeerSeen(other->self_, Local(*aProcess));
      }
    }
  }
  RunLease(*aProcess);
  SendRequests(aProcess);
}

void
ClusterSimulation::RunLease(Process& aProcess)
{
  const TimePoint local = Local(aProcess);
  for (const SlotAction& action : aProcess.lease_->Tick(local)) {
    Execute(&aProcess, action);
  }
  for (const SlotDecision& decision : aProcess.lease_->TakeDecisions()) {
    takeovers_ += decision.kind_ == SlotDecision::Kind::Claimed ? 1 : 0;
    continuations_ +=
      decision.kind_ == SlotDecision::Kind::ContinuingWithoutStore ? 1 : 0;
  }
  aProcess.validity_ = aProcess.lease_->Validity();
  aProcess.budgets_->SetSlot(aProcess.validity_, local);
  CheckHolders(aProcess);
}

Duration
ClusterSimulation::Delay(Duration aBaseDelay)
{
  const double factor = RandomBetween(1.0, 1.1);
  // Some late messages arrive within the lifetime of a loan, others long after.
  const double latest = RandomBetween(0, 1) < 0.5 ? 1 : 8;
  const double extra = RandomBetween(0, 1) < options_.delayProbability_
                         ? RandomBetween(0, latest)
                         : 0;
  return std::chrono::duration_cast<Duration>(aBaseDelay * factor) +
         FromSeconds(extra);
}

void
ClusterSimulation::Deliver(Process* aProcess, std::function<void()> aAction)
{
  if (aProcess->killed_) {
    return;
  }
  if (aProcess->paused_) {
    aProcess->deferred_.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void
ClusterSimulation::Execute(Process* aProcess, const SlotAction& aAction)
{
  if (aAction.kind_ == SlotActionKind::QueryPeers) {
    QueryPeers(aProcess, aAction);
    return;
  }
  // The host cannot distinguish a lost call from a lost answer.
  const bool callLost = RandomBetween(0, 1) < options_.lossProbability_;
  const bool answerLost = RandomBetween(0, 1) < options_.lossProbability_;
  if (callLost || aProcess->isolatedFromStore_) {
    return;
  }
  At(now_ + Delay(options_.storeDelay_), [this, aProcess, aAction, answerLost] {
    if (storeDown_) {
      return;
    }
    const SlotStoreResult result = store_.Apply(aAction, now_);
    if (answerLost || aProcess->isolatedFromStore_) {
      return;
    }
    At(now_ + Delay(options_.storeDelay_), [this, aProcess, result] {
      Deliver(aProcess, [this, aProcess, result] {
        aProcess->lease_->OnStoreResult(result, Local(*aProcess));
        RunLease(*aProcess);
      });
    });
  });
}

bool
ClusterSimulation::IsDisconnected(const Process& aLeft,
                                  const Process& aRight) const
{
  return aLeft.isolatedFromPeers_ || aRight.isolatedFromPeers_ ||
         (aLeft.region_ != aRight.region_ &&
          (disconnectedRegions_.count(aLeft.region_) > 0 ||
           disconnectedRegions_.count(aRight.region_) > 0));
}

void
ClusterSimulation::Send(Process* aFrom,
                        const std::string& aAddress,
                        const std::function<void(Process*)>& aArrive)
{
  Process* to = nullptr;
  for (Process* process : hosts_) {
    if (process != nullptr && process->self_.address_ == aAddress) {
      to = process;
    }
  }
  if (to == nullptr || to == aFrom) {
    return;
  }
  ++messages_;
  const Duration delay = to->region_ == aFrom->region_
                           ? options_.delayWithinRegion_
                           : options_.delayBetweenRegions_;
  const int copies =
    RandomBetween(0, 1) < options_.duplicationProbability_ ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (RandomBetween(0, 1) < options_.lossProbability_) {
      continue;
    }
    At(now_ + Delay(delay), [this, aFrom, to, aArrive] {
      if (!IsDisconnected(*aFrom, *to)) {
        Deliver(to, [to, aArrive] { aArrive(to); });
      }
    });
  }
}

void
ClusterSimulation::QueryPeers(Process* aProcess, const SlotAction& aAction)
{
  const ReachabilityQuery query = aAction.query_;
  for (const SlotHolder& peer : aAction.peers_) {
    Send(aProcess, peer.address_, [this, aProcess, query](Process* aPeer) {
      const ReachabilityAnswer answer =
        aPeer->lease_->OnQuery(query, Local(*aPeer));
      Send(aPeer, aProcess->self_.address_, [this, answer](Process* aAsker) {
        aAsker->lease_->OnAnswer(answer, Local(*aAsker));
        RunLease(*aAsker);
      });
    });
  }
}

void
ClusterSimulation::SendRequests(Process* aProcess)
{
  for (auto& [peer, message] : aProcess->budgets_->Borrow(Local(*aProcess))) {
    const std::string from = aProcess->self_.address_;
    Send(aProcess, peer, [this, from, request = message](Process* aLender) {
      const TokenGrant grant =
        aLender->budgets_->Lend(from, request, Local(*aLender));
      Send(aLender, from, [this, grant, lender = aLender](Process* aBorrower) {
        aBorrower->budgets_->Accept(
          lender->self_.address_, grant, Local(*aBorrower));
      });
    });
  }
}

bool
ClusterSimulation::Take(std::size_t aHost,
                        double aTokens,
                        const std::string& aName)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_) {
    return false;
  }
  ApplyDueVersions(*process);
  const bool taken =
    process->budgets_->TryTake(aName, aTokens, Local(*process));
  if (taken && aName == "c") {
    RecordAdmitted(aTokens);
  }
  SendRequests(process);
  return taken;
}

bool
ClusterSimulation::RetryTake(std::size_t aHost, double aTokens)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_ ||
      !process->budgets_->Find("c")->RetryTake(aTokens, Local(*process))) {
    return false;
  }
  RecordAdmitted(aTokens);
  return true;
}

std::optional<Duration>
ClusterSimulation::WaitBeforeRetry(std::size_t aHost,
                                   double aTokens,
                                   double aWaiting)
{
  Process* process = hosts_[aHost];
  if (process == nullptr) {
    return std::nullopt;
  }
  return process->budgets_->Find("c")->WaitBeforeRetry(
    aTokens, aWaiting, Local(*process));
}

double
ClusterSimulation::TakeUpTo(std::size_t aHost, double aTokens)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_) {
    return 0;
  }
  ApplyDueVersions(*process);
  const double taken =
    process->budgets_->Find("c")->TakeUpTo(aTokens, Local(*process));
  RecordAdmitted(taken);
  return taken;
}

BudgetLimits
ClusterSimulation::MaxLimits() const
{
  BudgetLimits limits;
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    const bool isOver = i + 1 < versions_.size() &&
                        versions_[i + 1].committed_ + kDisseminationTime < now_;
    if (!isOver) {
      limits.rate_ = std::max(limits.rate_, versions_[i].limits_.rate_);
      limits.burst_ = std::max(limits.burst_, versions_[i].limits_.burst_);
    }
  }
  return limits;
}

void
ClusterSimulation::CheckSums()
{
  double rate = 0;
  double cap = 0;
  for (const auto& process : processes_) {
    if (!process->killed_) {
      SharedBudget* budget = process->budgets_->Find("c");
      rate += budget->Rate(Local(*process));
      cap += budget->Capacity(Local(*process));
    }
  }
  const BudgetLimits limits = MaxLimits();
  const double tolerance = 1 + 1e-9;
  if (violation_.empty() &&
      (rate > limits.rate_ * tolerance || cap > limits.burst_ * tolerance)) {
    violation_ = "rates add up to " + std::to_string(rate) + " of " +
                 std::to_string(limits.rate_) + ", caps to " +
                 std::to_string(cap) + " of " + std::to_string(limits.burst_) +
                 " at " + std::to_string(ToSeconds(now_)) + " s";
  }
}

void
ClusterSimulation::RecordAdmitted(double aTokens)
{
  admitted_ += aTokens;
  const BudgetLimits limits = MaxLimits();
  const TimePoint time(now_);
  centralBucket_.SetLimits(limits.rate_, limits.burst_, time);
  const double tolerance = 1e-9 * std::max(1.0, limits.burst_);
  const double missing = aTokens - centralBucket_.Level();
  if (missing > tolerance && violation_.empty()) {
    violation_ = "admitted " + std::to_string(missing) +
                 " more than rate * t + burst at " +
                 std::to_string(ToSeconds(now_)) + " s";
  }
  centralBucket_.TakeUpTo(aTokens, time);
}

void
ClusterSimulation::CheckHolders(const Process& aProcess)
{
  const SlotValidity& own = aProcess.validity_;
  if (!own.IsValidAt(Local(aProcess))) {
    return;
  }
  for (const auto& other : processes_) {
    if (other.get() == &aProcess || other->killed_) {
      continue;
    }
    const SlotValidity& validity = other->validity_;
    if (validity.slot_ == own.slot_ && validity.IsValidAt(Local(*other)) &&
        violation_.empty()) {
      violation_ = "two valid holders of slot " + own.slot_.region_ +
                   std::to_string(own.slot_.number_) + " at " +
                   std::to_string(ToSeconds(now_)) + " s";
    }
  }
}

void
ClusterSimulation::UpdateHostList()
{
  std::set<std::string> names;
  for (Process* process : hosts_) {
    if (process != nullptr) {
      names.insert(process->self_.host_);
    }
  }
  // The host list is delayed by up to 5 s.
  for (const auto& process : processes_) {
    Process* reader = process.get();
    At(now_ + FromSeconds(RandomBetween(0, 5)), [this, reader, names] {
      Deliver(reader, [this, reader, names] {
        reader->lease_->SetHostList(names, Local(*reader));
      });
    });
  }
  At(now_ + seconds(3), [this] { UpdateHostList(); });
}

void
ClusterSimulation::Kill(std::size_t aHost)
{
  if (hosts_[aHost] != nullptr) {
    hosts_[aHost]->killed_ = true;
    hosts_[aHost] = nullptr;
  }
}

void
ClusterSimulation::Pause(std::size_t aHost)
{
  if (hosts_[aHost] != nullptr) {
    hosts_[aHost]->paused_ = true;
  }
}

void
ClusterSimulation::Resume(std::size_t aHost)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || !process->paused_) {
    return;
  }
  process->paused_ = false;
  ApplyDueVersions(*process);
  std::vector<std::function<void()>> deferred;
  deferred.swap(process->deferred_);
  for (const auto& action : deferred) {
    action();
  }
}

void
ClusterSimulation::Release(std::size_t aHost)
{
  Process* process = hosts_[aHost];
  if (process != nullptr && !process->paused_) {
    process->lease_->Release(Local(*process));
    RunLease(*process);
  }
}

void
ClusterSimulation::SetStoreDown(bool aDown)
{
  if (storeDown_ && !aDown && !options_.leasesExpireInOutage_) {
    store_.ExtendLeases(now_);
  }
  storeDown_ = aDown;
}

void
ClusterSimulation::DisconnectRegion(const std::string& aRegion,
                                    bool aDisconnected)
{
  if (aDisconnected) {
    disconnectedRegions_.insert(aRegion);
  } else {
    disconnectedRegions_.erase(aRegion);
  }
}

void
ClusterSimulation::Commit(double aRate,
                          double aBurst,
                          SlotLayoutPtr aLayout,
                          Duration aMaxDelay)
{
  const std::size_t number = versions_.size();
  versions_.push_back({ now_, { aRate, aBurst, std::move(aLayout), false } });
  for (Process* process : hosts_) {
    if (process != nullptr) {
      At(now_ + FromSeconds(RandomBetween(0, ToSeconds(aMaxDelay))),
         [this, process, number] {
           Deliver(process, [this, process, number] {
             if (process->appliedVersions_ <= number) {
               ApplyVersion(*process, number);
             }
           });
         });
    }
  }
  applyBy_[number] = now_ + aMaxDelay;
}

void
ClusterSimulation::ApplyDueVersions(Process& aProcess)
{
  // A process that was paused for longer than versions take to reach all hosts
  // must apply the newest version before it uses any tokens (design 7.4).
  for (const auto& [number, due] : applyBy_) {
    if (due <= now_ && aProcess.appliedVersions_ <= number) {
      ApplyVersion(aProcess, number);
    }
  }
}

void
ClusterSimulation::ApplyVersion(Process& aProcess, std::size_t aNumber)
{
  const BudgetLimits& limits = versions_[aNumber].limits_;
  std::vector<NamedLimits> named = options_.otherCustomers_;
  named.push_back({ "c", limits.rate_, limits.burst_ });
  const TimePoint local = Local(aProcess);
  aProcess.budgets_->SetLimits(named, limits.layout_, limits.isFirst_, local);
  aProcess.lease_->SetLayout(limits.layout_, local);
  aProcess.appliedVersions_ = aNumber + 1;
}

}
