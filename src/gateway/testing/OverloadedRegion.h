#pragma once

// Runs the decisions about regions, slots and returning callers together in
// simulated time, without a network. Calls are placed by a rendezvous order of
// the servers, not by InstanceChooser and SlotGate. Each attempt of a call
// counts; a refused one is repeated once after the wait that it was told.
//
//   const Outcome outcome = Simulation(seed).Run();

#include "gateway/testing/OverloadedRegionLoad.h"
#include "regions/HomeRegion.h"
#include "returns/ReturnLine.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace peridotsail::overload {

class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::size_t region = 0; region < kRegions; ++region) {
      for (std::size_t i = 0; i < kServers[region]; ++i) {
        const std::string name = std::to_string(servers_.size());
        servers_.push_back(
          { name, region, std::make_unique<SlotQueue>(name, options_) });
      }
    }
  }

  Outcome Run()
  {
    for (int step = 0; step * kStep < kEnd + 8; ++step) {
      now_ = step * kStep;
      ChangeServers();
      if (step % static_cast<int>(kPlanInterval / kStep) == 0) {
        plans_.Plan(Slots(), now_);
      }
      EndCalls();
      std::vector<Call> calls = Arrivals();
      AdmitHot(calls);
      for (const Call& call : calls) {
        Start(call);
      }
      for (Server& server : servers_) {
        server.queue_->OnTimer(At(now_), replies_);
      }
      HandleReplies();
    }
    outcome_.plans_ = plans_.outcome_;
    return outcome_;
  }

private:
  bool IsOverload() const { return PhaseOf(now_) == Overload; }
  double Uniform() { return std::uniform_real_distribution<>()(random_); }

  // Calls that wait at a server that leaves go to other servers; running ones
  // complete.
  void ChangeServers()
  {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const bool leaves = i < kEvacuated || i % 10 == 6;
      servers_[i].usable_ = !leaves || !IsOverload();
    }
    std::vector<std::uint64_t> moved;
    for (auto& [id, call] : calls_) {
      if (call.waiting_ != 0 && !servers_[call.servers_[0]].usable_) {
        moved.push_back(id);
      }
    }
    for (const std::uint64_t id : moved) {
      Call& call = calls_.at(id);
      Release(call.servers_[0], std::exchange(call.waiting_, 0), 0);
      Place(id);
    }
    HandleReplies();
  }

  std::vector<double> Slots() const
  {
    std::vector<double> slots(kRegions, 0);
    for (const Server& server : servers_) {
      slots[server.region_] += server.usable_ ? kSlots : 0;
    }
    return slots;
  }

  std::vector<Call> Arrivals()
  {
    std::vector<Call> calls;
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      calls.push_back(returning_.begin()->second);
      calls.back().begin_ = now_;
      returning_.erase(returning_.begin());
    }
    for (std::size_t rank = 0; now_ < kEnd && rank < kRanks; ++rank) {
      for (std::size_t customer = 0; customer < kCustomers; ++customer) {
        const double factor = (IsOverload() && customer == kHot ? 5 : 1) *
                              (IsOverload() && rank == 0 ? 1.7 : 1);
        const double mean =
          kWork[rank].busySlots_ / kWork[rank].service_ / kCustomers * factor;
        int count = std::poisson_distribution<int>(mean * kStep)(random_);
        for (; count > 0; --count) {
          Call call;
          call.object_ = random_();
          call.rank_ = rank;
          call.customer_ = customer;
          call.region_ = random_() % kRegions;
          call.begin_ = now_;
          calls.push_back(call);
        }
      }
    }
    // No order of arrival favours those who return.
    std::shuffle(calls.begin(), calls.end(), random_);
    return calls;
  }

  // The hot customer's allowance is twice its usual rate.
  void AdmitHot(std::vector<Call>& aCalls)
  {
    const double rate = 2 * kCallsPerSecond / kCustomers;
    tokens_ = std::min(rate, tokens_ + rate * kStep);
    std::vector<Call> admitted, hot;
    std::vector<ReturningCaller> callers;
    for (const Call& call : aCalls) {
      (call.customer_ == kHot ? hot : admitted).push_back(call);
      if (call.customer_ == kHot) {
        callers.push_back({ call.object_, FromSeconds(kPatience) });
      }
    }
    const auto verdicts =
      line_.Decide(callers, { tokens_, rate, rate }, At(now_));
    for (std::size_t i = 0; i < hot.size(); ++i) {
      const bool granted = verdicts[i].IsGranted();
      if (IsOverload() && (hot[i].promised_ || !hot[i].returned_)) {
        Count& count =
          hot[i].promised_ ? outcome_.inTurn_ : outcome_.newcomers_;
        ++count.all_;
        count.refused_ += granted ? 0 : 1;
      }
      if (granted) {
        tokens_ -= 1;
        admitted.push_back(hot[i]);
        continue;
      }
      Count& count = outcome_.customers_[PhaseOf(now_)][kHot];
      ++count.all_;
      ++count.refused_;
      Call call = hot[i];
      call.promised_ = verdicts[i].result_ == ReturnResult::Promised;
      Return(call, ToSeconds(verdicts[i].wait_));
    }
    outcome_.minTokens_ = std::min(outcome_.minTokens_, tokens_);
    aCalls = std::move(admitted);
  }

  // The call was refused.
  void Return(Call aCall, double aWait)
  {
    outcome_.refusedInCalm_ += PhaseOf(now_) == Calm ? 1 : 0;
    if (!aCall.returned_ && aWait > 0) {
      aCall.returned_ = true;
      returning_.emplace(now_ + aWait, aCall);
    }
  }

  void Start(const Call& aCall)
  {
    plans_.demand_[aCall.region_] += kWork[aCall.rank_].service_;
    const std::uint64_t id = ++lastId_;
    calls_[id] = aCall;
    calls_[id].promised_ = false;
    Place(id);
    HandleReplies();
  }

  // Asks the object's server to queue the call. The next three of its region
  // and one of each region that takes single requests are asked if it is busy.
  void Place(std::uint64_t aId)
  {
    Call& call = calls_.at(aId);
    const std::size_t home =
      homes_.Choose(call.object_, plans_.SharesOf(call.region_));
    call.servers_ = FirstServers(servers_, call.object_, home, 4);
    const auto plan = plans_.planner_.ServicePlanFor("s", home);
    for (std::size_t region = 0; region < kRegions; ++region) {
      if (plan->overflow_[region]) {
        call.servers_.push_back(
          FirstServers(servers_, call.object_, region, 1)[0]);
      }
    }
    call.next_ = 1;
    call.waiting_ = Ask(aId, call.servers_[0], SlotMode::Wait);
  }

  double Way(const Call& aCall, std::size_t aServer) const
  {
    return servers_[aServer].region_ == aCall.region_ ? 0 : kRoundTrip;
  }

  std::uint64_t Ask(std::uint64_t aId, std::size_t aServer, SlotMode aMode)
  {
    const Call& call = calls_.at(aId);
    const Work& work = kWork[call.rank_];
    SlotAsk ask;
    ask.id_ = ++lastId_;
    ask.server_ = servers_[aServer].name_;
    ask.slots_ = kSlots;
    ask.rank_ = static_cast<int>(call.rank_);
    ask.customer_ = 100 + call.customer_;
    ask.route_ = 1 + call.rank_;
    const double way = Way(call, aServer);
    ask.toAim_ = FromSeconds(call.begin_ + work.target_ - way - now_);
    ask.timeLeft_ = FromSeconds(call.Deadline() - way - now_);
    ask.serviceTime_ = FromSeconds(work.service_);
    ask.mode_ = aMode;
    callOf_[ask.id_] = aId;
    servers_[aServer].queue_->Ask("", ask, At(now_), replies_);
    return ask.id_;
  }

  void Release(std::size_t aServer, std::uint64_t aAsk, double aServiceTime)
  {
    SlotRelease release;
    release.id_ = aAsk;
    release.server_ = servers_[aServer].name_;
    release.executed_ = aServiceTime > 0;
    release.serviceTime_ = FromSeconds(aServiceTime);
    servers_[aServer].queue_->Release("", release, At(now_), replies_);
  }

  void HandleReplies()
  {
    while (!replies_.empty()) {
      const SlotReplies replies = std::exchange(replies_, {});
      for (const SlotReply& reply : replies) {
        Handle(reply.answer_);
      }
    }
  }

  void Handle(const SlotAnswer& aAnswer)
  {
    const std::size_t server = std::stoul(aAnswer.server_);
    const std::uint64_t id = callOf_.at(aAnswer.id_);
    const auto found = calls_.find(id);
    const bool granted = aAnswer.state_ == SlotState::Granted;
    if (found == calls_.end() || found->second.grant_ != 0) {
      if (granted &&
          (found == calls_.end() || found->second.grant_ != aAnswer.id_)) {
        Release(server, aAnswer.id_, 0);
      }
      return;
    }
    Call& call = found->second;
    const Work& work = kWork[call.rank_];
    const bool first = aAnswer.id_ == call.waiting_;
    if (granted) {
      Run(call, aAnswer.id_, server);
    } else if (aAnswer.state_ == SlotState::Queued) {
      const double end = now_ + ToSeconds(aAnswer.wait_) + work.service_;
      if (first && call.next_ == 1 && end > call.begin_ + work.target_) {
        AskNext(id, call);
      }
    } else {
      if (first) {
        call.waiting_ = 0;
        call.wait_ = ToSeconds(aAnswer.wait_);
      }
      if (!first || call.next_ == 1) {
        AskNext(id, call);
      } else if (call.next_ > call.servers_.size()) {
        OnRefused(id);
      }
    }
  }

  void AskNext(std::uint64_t aId, Call& aCall)
  {
    const std::size_t next = aCall.next_++;
    if (next < aCall.servers_.size()) {
      Ask(aId, aCall.servers_[next], SlotMode::IfFree);
    } else if (aCall.waiting_ == 0) {
      OnRefused(aId);
    } else {
      aCall.next_ = aCall.servers_.size() + 1;
    }
  }

  void Run(Call& aCall, std::uint64_t aAsk, std::size_t aServer)
  {
    aCall.grant_ = aAsk;
    aCall.server_ = aServer;
    aCall.endsAt_ =
      now_ + kWork[aCall.rank_].service_ * (0.8 + 0.4 * Uniform());
    int& running = servers_[aServer].running_;
    outcome_.maxRunning_ = std::max(outcome_.maxRunning_, ++running);
    if (aCall.waiting_ != 0 && aCall.waiting_ != aAsk) {
      Release(aCall.servers_[0], aCall.waiting_, 0);
    }
    aCall.waiting_ = 0;
  }

  void OnRefused(std::uint64_t aId)
  {
    const Call call = calls_.at(aId);
    calls_.erase(aId);
    ++CountOf(call, true).refused_;
    ++CountOf(call, false).refused_;
    Record(call, 0, 0);
    if (PhaseOf(call.begin_) == Overload) {
      ++outcome_.refusals_;
      outcome_.refusedAtOnce_ += now_ <= call.begin_ + 0.02 ? 1 : 0;
      const double latest = call.Deadline() - kWork[call.rank_].service_;
      outcome_.refusedTooLate_ += now_ > latest ? 1 : 0;
    }
    Return(call, call.wait_);
  }

  Count& CountOf(const Call& aCall, bool aRank)
  {
    const Phase phase = PhaseOf(aCall.begin_);
    return aRank ? outcome_.ranks_[phase][aCall.rank_]
                 : outcome_.customers_[phase][aCall.customer_];
  }

  void Record(const Call& aCall, int aServed, int aInTarget)
  {
    for (const bool rank : { true, false }) {
      Count& count = CountOf(aCall, rank);
      ++count.all_;
      count.served_ += aServed;
      count.inTarget_ += aInTarget;
    }
  }

  void EndCalls()
  {
    std::vector<Call> ended;
    for (auto it = calls_.begin(); it != calls_.end();) {
      const Call& call = it->second;
      const bool over = now_ >= call.Deadline() - kStep;
      if (!over && (call.grant_ == 0 || now_ < call.endsAt_)) {
        ++it;
        continue;
      }
      if (call.grant_ != 0) {
        --servers_[call.server_].running_;
      }
      ended.push_back(call);
      it = calls_.erase(it);
    }
    for (const Call& call : ended) {
      const bool served = call.grant_ != 0 && now_ >= call.endsAt_;
      const double way = call.grant_ != 0 ? Way(call, call.server_) : 0;
      const double latency = now_ + way - call.begin_;
      Record(call,
             served ? 1 : 0,
             served && latency <= kWork[call.rank_].target_ ? 1 : 0);
      outcome_.unanswered_ += call.grant_ == 0 ? 1 : 0;
      if (call.grant_ != 0) {
        Release(
          call.server_, call.grant_, served ? kWork[call.rank_].service_ : 0);
      } else {
        Release(call.servers_[0], call.waiting_, 0);
      }
    }
    HandleReplies();
  }

  std::mt19937_64 random_;
  const SlotQueueOptions options_;
  PlannedRegions plans_;
  const HomeRegion homes_{ { "east", "north", "west" } };
  ReturnLine line_;
  std::vector<Server> servers_;
  double now_ = 0, tokens_ = 0;
  std::multimap<double, Call> returning_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::uint64_t, std::uint64_t> callOf_;
  std::uint64_t lastId_ = 0;
  SlotReplies replies_;
  Outcome outcome_;
};

}
