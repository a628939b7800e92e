#include "once/testing/ClaimLoad.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace peridotsail::testing {

namespace {

struct Pending
{
  int slot_;
  std::string key_;
  TimePoint arrived_;
};

class LoadSimulation
{
public:
  explicit LoadSimulation(const ClaimLoadOptions& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
  {
    ClaimRegistryOptions options;
    options.outcomeDelay_ = aOptions.outcomeDelay_;
    options.incarnation_ = "load";
    for (int slot = 0; slot < aOptions.slots_; ++slot) {
      SlotLeaseTerm leaseTerm;
      leaseTerm.slot_ = "north/" + std::to_string(slot);
      leaseTerm.epoch_ = 1;
      leaseTerm.validUntil_ = now_ + std::chrono::hours(24);
      leaseTerm.predecessorMayHaveContinued_ = false;
      slots_.push_back(std::make_unique<ClaimRegistry>(options, leaseTerm));
      slots_.back()->Load({}, {}, now_);
    }
  }

  ClaimLoadResult Run()
  {
    const TimePoint start = now_;
    const TimePoint end = start + options_.duration_;
    TimePoint next = start;
    int inBurst = 0;
    while (now_ < end) {
      while (next <= now_) {
        ReceiveRequest();
        next += NextInterval(inBurst);
      }
      DeliverAnswers();
      for (int slot = 0; slot < options_.slots_; ++slot) {
        Poll(slot);
      }
      now_ += std::chrono::milliseconds(1);
    }
    for (const auto& slot : slots_) {
      result_.writes_ += slot->StoreWrites();
    }
    for (const auto& [second, writes] : writesPerSecond_) {
      result_.maxWritesPerSecond_ =
        std::max(result_.maxWritesPerSecond_, writes);
    }
    result_.meanWaitMs_ /= std::max(1, result_.executed_);
    return result_;
  }

private:
  Duration NextInterval(int& aInBurst)
  {
    const double rate = options_.requestsPerSecond_;
    const double period =
      options_.arrival_ == ArrivalPattern::BurstEachSecond ? 1 : 10;
    switch (options_.arrival_) {
      case ArrivalPattern::Even:
        return FromSeconds(1 / rate);
      case ArrivalPattern::Random:
        return FromSeconds(std::exponential_distribution<>(rate)(random_));
      default:
        aInBurst = (aInBurst + 1) % static_cast<int>(rate * period);
        return aInBurst == 0 ? FromSeconds(period) : Duration::zero();
    }
  }

  void ReceiveRequest()
  {
    ClaimRequest request;
    request.ticket_ = ++result_.requests_;
    request.key_ = HashIdempotencyKey("c", std::to_string(request.ticket_));
    request.fingerprint_ = request.key_;
    const int slot = static_cast<int>(random_() % options_.slots_);
    pending_[request.ticket_] = { slot, request.key_, now_ };
    slots_[slot]->Begin(request, now_);
  }

  void DeliverAnswers()
  {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      const auto [slot, id] = answers_.begin()->second;
      answers_.erase(answers_.begin());
      slots_[slot]->OnStoreAnswer({ id, StoreAnswerKind::Written, "" }, now_);
    }
    while (!executions_.empty() && executions_.begin()->first <= now_) {
      const std::uint64_t ticket = executions_.begin()->second;
      executions_.erase(executions_.begin());
      const Pending& pending = pending_.at(ticket);
      slots_[pending.slot_]->Finish(pending.key_,
                                    ticket,
                                    RunResult::Complete,
                                    { 200, "text/plain", "stamp", true },
                                    now_);
      pending_.erase(ticket);
    }
  }

  void Poll(int aSlot)
  {
    ClaimRegistry& registry = *slots_[aSlot];
    for (const StoreOperation& operation : registry.Poll(now_)) {
      answers_.emplace(now_ + options_.storeLatency_,
                       std::make_pair(aSlot, operation.id_));
      ++writesPerSecond_[static_cast<long>(ToSeconds(now_.time_since_epoch()))];
      const std::size_t bytes = operation.record_.value_.size();
      result_.maxRecordBytes_ = std::max(result_.maxRecordBytes_, bytes);
      result_.megabytesWritten_ += static_cast<double>(bytes) / 1e6;
    }
    for (const ClaimDecision& decision : registry.TakeDecisions()) {
      const double wait =
        1000 * ToSeconds(now_ - pending_.at(decision.ticket_).arrived_);
      ++result_.executed_;
      result_.meanWaitMs_ += wait;
      result_.maxWaitMs_ = std::max(result_.maxWaitMs_, wait);
      executions_.emplace(now_ + options_.executionTime_, decision.ticket_);
    }
    result_.maxRecords_ = std::max(result_.maxRecords_, registry.RecordCount());
  }

  ClaimLoadOptions options_;
  ClaimLoadResult result_;
  std::mt19937_64 random_;
  TimePoint now_{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<ClaimRegistry>> slots_;
  std::map<std::uint64_t, Pending> pending_;
  std::multimap<TimePoint, std::pair<int, std::uint64_t>> answers_;
  std::multimap<TimePoint, std::uint64_t> executions_;
  std::map<long, int> writesPerSecond_;
};

}

ClaimLoadResult
MeasureClaimLoad(const ClaimLoadOptions& aOptions)
{
  return LoadSimulation(aOptions).Run();
}

}
