#include "budget/testing/World.h"

#include <algorithm>

namespace peridotsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Versions reach all hosts within this time; then the older one's limits no
// longer hold.
constexpr Duration kDissemination = seconds(10);

}

World::World(const WorldOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , store_(aOptions.lease_.leaseTime_)
  , reference_(TimePoint{})
{
  auto layout = std::make_shared<SlotLayout>();
  layout->regions_ = options_.regions_;
  versions_.push_back(
    { Duration{}, { options_.rate_, options_.burst_, layout, true } });
  reference_.SetLimits(options_.rate_, options_.burst_, TimePoint{});
  reference_.Put(options_.burst_, TimePoint{});
}

double
World::Uniform(double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(random_);
}

void
World::At(Duration aTime, std::function<void()> aAction)
{
  events_.push({ std::max(aTime, now_), sequence_++, std::move(aAction) });
}

void
World::RunUntil(Duration aTime)
{
  while (!events_.empty() && events_.top().time_ <= aTime) {
    // The queue gives only constant access to what it is about to drop.
    const Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.time_;
    event.action_();
  }
  now_ = aTime;
}

void
World::Start()
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
World::Local(const Process& aProcess) const
{
  return TimePoint(aProcess.clockOffset_ + std::chrono::duration_cast<Duration>(
                                             now_ * aProcess.clockSpeed_));
}

Process*
World::On(std::size_t aHost)
{
  return hosts_[aHost];
}

void
World::Replace(std::size_t aHost)
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
  process->clockSpeed_ = 1 + Uniform(-options_.drift_, options_.drift_);
  process->clockOffset_ = seconds(1 + random_() % 100);
  const TimePoint local = Local(*process);
  SlotLeaseOptions lease = options_.lease_;
  lease.newId_ = [this] { return std::to_string(++ids_); };
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
                            2 * (isFar ? options_.betweenRegions_
                                       : options_.withinRegion_) });
        }
      }
    }
  }
  process->budgets_->SetPeers(peers);
  // It hears of the newest version at once; earlier ones it never saw.
  Adopt(*process, versions_.size() - 1);
  hosts_[aHost] = process.get();
  processes_.push_back(std::move(process));
  Process* started = hosts_[aHost];
  At(now_ + Delay(milliseconds(1)), [this, started] { Tick(started); });
}

void
World::Tick(Process* aProcess)
{
  if (aProcess->killed_) {
    return;
  }
  const double jitter = Uniform(0.9, 1.1);
  At(now_ + std::chrono::duration_cast<Duration>(options_.tick_ * jitter),
     [this, aProcess] { Tick(aProcess); });
  if (aProcess->paused_) {
    return;
  }
  AdoptDue(*aProcess);
  if (now_ - aProcess->lastSeenPeers_ >= seconds(1)) {
    aProcess->lastSeenPeers_ = now_;
    for (Process* other : hosts_) {
      if (other != nullptr && !other->paused_ && !IsCut(*aProcess, *other)) {
        aProcess->lease_->OnPeerSeen(other->self_, Local(*aProcess));
      }
    }
  }
  AfterLease(*aProcess);
  SendRequests(aProcess);
}

void
World::AfterLease(Process& aProcess)
{
  const TimePoint local = Local(aProcess);
  for (const SlotIntent& intent : aProcess.lease_->Tick(local)) {
    CarryOut(&aProcess, intent);
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
World::Delay(Duration aUsual)
{
  const double factor = Uniform(1.0, 1.1);
  // Some late messages arrive within a loan's lifetime, others long after it.
  const double latest = Uniform(0, 1) < 0.5 ? 1 : 8;
  const double extra = Uniform(0, 1) < options_.late_ ? Uniform(0, latest) : 0;
  return std::chrono::duration_cast<Duration>(aUsual * factor) +
         FromSeconds(extra);
}

void
World::Deliver(Process* aProcess, std::function<void()> aAction)
{
  if (aProcess->killed_) {
    return;
  }
  if (aProcess->paused_) {
    aProcess->inbox_.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void
World::CarryOut(Process* aProcess, const SlotIntent& aIntent)
{
  if (aIntent.kind_ == SlotIntentKind::AskPeers) {
    Ask(aProcess, aIntent);
    return;
  }
  // A lost call and a lost answer look the same to the host.
  const bool callLost = Uniform(0, 1) < options_.lost_;
  const bool answerLost = Uniform(0, 1) < options_.lost_;
  if (callLost || aProcess->cutFromStore_) {
    return;
  }
  At(now_ + Delay(options_.toStore_), [this, aProcess, aIntent, answerLost] {
    if (storeDown_) {
      return;
    }
    const SlotStoreResult result = store_.Apply(aIntent, now_);
    if (answerLost || aProcess->cutFromStore_) {
      return;
    }
    At(now_ + Delay(options_.toStore_), [this, aProcess, result] {
      Deliver(aProcess, [this, aProcess, result] {
        aProcess->lease_->OnStoreResult(result, Local(*aProcess));
        AfterLease(*aProcess);
      });
    });
  });
}

bool
World::IsCut(const Process& aLeft, const Process& aRight) const
{
  return aLeft.cutFromPeers_ || aRight.cutFromPeers_ ||
         (aLeft.region_ != aRight.region_ &&
          (cutRegions_.count(aLeft.region_) > 0 ||
           cutRegions_.count(aRight.region_) > 0));
}

void
World::Send(Process* aFrom,
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
  const Duration usual = to->region_ == aFrom->region_
                           ? options_.withinRegion_
                           : options_.betweenRegions_;
  const int copies = Uniform(0, 1) < options_.duplicated_ ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (Uniform(0, 1) < options_.lost_) {
      continue;
    }
    At(now_ + Delay(usual), [this, aFrom, to, aArrive] {
      if (!IsCut(*aFrom, *to)) {
        Deliver(to, [to, aArrive] { aArrive(to); });
      }
    });
  }
}

void
World::Ask(Process* aProcess, const SlotIntent& aIntent)
{
  const ReachabilityQuery query = aIntent.query_;
  for (const SlotHolder& peer : aIntent.peers_) {
    Send(aProcess, peer.address_, [this, aProcess, query](Process* aPeer) {
      const ReachabilityAnswer answer =
        aPeer->lease_->OnQuery(query, Local(*aPeer));
      Send(aPeer, aProcess->self_.address_, [this, answer](Process* aAsker) {
        aAsker->lease_->OnAnswer(answer, Local(*aAsker));
        AfterLease(*aAsker);
      });
    });
  }
}

void
World::SendRequests(Process* aProcess)
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
World::Take(std::size_t aHost, double aTokens, const std::string& aName)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_) {
    return false;
  }
  AdoptDue(*process);
  const bool taken =
    process->budgets_->TryTake(aName, aTokens, Local(*process));
  if (taken && aName == "c") {
    NoteAdmitted(aTokens);
  }
  SendRequests(process);
  return taken;
}

bool
World::TakeAgain(std::size_t aHost, double aTokens)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_ ||
      !process->budgets_->Find("c")->TryAgain(aTokens, Local(*process))) {
    return false;
  }
  NoteAdmitted(aTokens);
  return true;
}

std::optional<Duration>
World::WaitAt(std::size_t aHost, double aTokens, double aWaiting)
{
  Process* process = hosts_[aHost];
  if (process == nullptr) {
    return std::nullopt;
  }
  return process->budgets_->Find("c")->WaitBeforeRetry(
    aTokens, aWaiting, Local(*process));
}

double
World::TakeUpTo(std::size_t aHost, double aTokens)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || process->paused_) {
    return 0;
  }
  AdoptDue(*process);
  const double taken =
    process->budgets_->Find("c")->TakeUpTo(aTokens, Local(*process));
  NoteAdmitted(taken);
  return taken;
}

BudgetLimits
World::LimitsNow() const
{
  BudgetLimits most;
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    const bool isOver = i + 1 < versions_.size() &&
                        versions_[i + 1].committed_ + kDissemination < now_;
    if (!isOver) {
      most.rate_ = std::max(most.rate_, versions_[i].limits_.rate_);
      most.burst_ = std::max(most.burst_, versions_[i].limits_.burst_);
    }
  }
  return most;
}

void
World::CheckSums()
{
  double rate = 0;
  double cap = 0;
  for (const auto& process : processes_) {
    if (!process->killed_) {
      SharedBudget* budget = process->budgets_->Find("c");
      rate += budget->Rate(Local(*process));
      cap += budget->Cap(Local(*process));
    }
  }
  const BudgetLimits most = LimitsNow();
  const double tolerance = 1 + 1e-9;
  if (violation_.empty() &&
      (rate > most.rate_ * tolerance || cap > most.burst_ * tolerance)) {
    violation_ = "rates add up to " + std::to_string(rate) + " of " +
                 std::to_string(most.rate_) + ", caps to " +
                 std::to_string(cap) + " of " + std::to_string(most.burst_) +
                 " at " + std::to_string(ToSeconds(now_)) + " s";
  }
}

void
World::NoteAdmitted(double aTokens)
{
  admitted_ += aTokens;
  const BudgetLimits most = LimitsNow();
  const TimePoint time(now_);
  reference_.SetLimits(most.rate_, most.burst_, time);
  const double tolerance = 1e-9 * std::max(1.0, most.burst_);
  const double missing = aTokens - reference_.Level();
  if (missing > tolerance && violation_.empty()) {
    violation_ = "admitted " + std::to_string(missing) +
                 " more than rate * t + burst at " +
                 std::to_string(ToSeconds(now_)) + " s";
  }
  reference_.TakeUpTo(aTokens, time);
}

void
World::CheckHolders(const Process& aProcess)
{
  const SlotValidity& own = aProcess.validity_;
  if (!own.ValidAt(Local(aProcess))) {
    return;
  }
  for (const auto& other : processes_) {
    if (other.get() == &aProcess || other->killed_) {
      continue;
    }
    const SlotValidity& validity = other->validity_;
    if (validity.slot_ == own.slot_ && validity.ValidAt(Local(*other)) &&
        violation_.empty()) {
      violation_ = "two valid holders of slot " + own.slot_.region_ +
                   std::to_string(own.slot_.number_) + " at " +
                   std::to_string(ToSeconds(now_)) + " s";
    }
  }
}

void
World::UpdateHostList()
{
  std::set<std::string> names;
  for (Process* process : hosts_) {
    if (process != nullptr) {
      names.insert(process->self_.host_);
    }
  }
  // The list lags behind by up to 5 s.
  for (const auto& process : processes_) {
    Process* reader = process.get();
    At(now_ + FromSeconds(Uniform(0, 5)), [this, reader, names] {
      Deliver(reader, [this, reader, names] {
        reader->lease_->SetHostList(names, Local(*reader));
      });
    });
  }
  At(now_ + seconds(3), [this] { UpdateHostList(); });
}

void
World::Kill(std::size_t aHost)
{
  if (hosts_[aHost] != nullptr) {
    hosts_[aHost]->killed_ = true;
    hosts_[aHost] = nullptr;
  }
}

void
World::Pause(std::size_t aHost)
{
  if (hosts_[aHost] != nullptr) {
    hosts_[aHost]->paused_ = true;
  }
}

void
World::Resume(std::size_t aHost)
{
  Process* process = hosts_[aHost];
  if (process == nullptr || !process->paused_) {
    return;
  }
  process->paused_ = false;
  AdoptDue(*process);
  std::vector<std::function<void()>> inbox;
  inbox.swap(process->inbox_);
  for (const auto& action : inbox) {
    action();
  }
}

void
World::Release(std::size_t aHost)
{
  Process* process = hosts_[aHost];
  if (process != nullptr && !process->paused_) {
    process->lease_->Release(Local(*process));
    AfterLease(*process);
  }
}

void
World::SetStoreDown(bool aDown)
{
  if (storeDown_ && !aDown && !options_.leasesRunInOutage_) {
    store_.ExtendLeases(now_);
  }
  storeDown_ = aDown;
}

void
World::CutRegion(const std::string& aRegion, bool aCut)
{
  if (aCut) {
    cutRegions_.insert(aRegion);
  } else {
    cutRegions_.erase(aRegion);
  }
}

void
World::Commit(double aRate,
              double aBurst,
              SlotLayoutPtr aLayout,
              Duration aSpread)
{
  const std::size_t number = versions_.size();
  versions_.push_back({ now_, { aRate, aBurst, std::move(aLayout), false } });
  for (Process* process : hosts_) {
    if (process != nullptr) {
      At(now_ + FromSeconds(Uniform(0, ToSeconds(aSpread))),
         [this, process, number] {
           Deliver(process, [this, process, number] {
             if (process->adopted_ <= number) {
               Adopt(*process, number);
             }
           });
         });
    }
  }
  adoptBy_[number] = now_ + aSpread;
}

void
World::AdoptDue(Process& aProcess)
{
  // A process that was paused longer than versions take to spread uses nothing
  // before it has heard of the newest one (design 7.4).
  for (const auto& [number, due] : adoptBy_) {
    if (due <= now_ && aProcess.adopted_ <= number) {
      Adopt(aProcess, number);
    }
  }
}

void
World::Adopt(Process& aProcess, std::size_t aNumber)
{
  const BudgetLimits& limits = versions_[aNumber].limits_;
  std::vector<NamedLimits> named = options_.others_;
  named.push_back({ "c", limits.rate_, limits.burst_ });
  const TimePoint local = Local(aProcess);
  aProcess.budgets_->Adopt(named, limits.layout_, limits.first_, local);
  aProcess.lease_->SetLayout(limits.layout_, local);
  aProcess.adopted_ = aNumber + 1;
}

}
