#include "memory/MemoryPool.h"

#include <unordered_map>
#include <utility>

namespace peridotsail {

namespace {

// How often decisions are made while holds wait.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

}

struct MemoryHold::Pool
{
  Pool(MemoryOptions aOptions, MemoryPool::Schedule aSchedule)
    : account_(aOptions)
    , schedule_(std::move(aSchedule))
  {
  }

  // Asks for a run, unless one is due at that time or before.
  void RunAfter(Duration aDelay);
  void Notify(const std::vector<HoldId>& aIds, MemoryNotice aNotice);

  MemoryAccount account_;
  MemoryPool::Schedule schedule_;
  std::unordered_map<HoldId, MemoryCallback> callbacks_;
  std::uint64_t refused_ = 0;
  std::uint64_t closed_ = 0;
  // A run without delay is due.
  bool runDue_ = false;
};

void
MemoryHold::Pool::RunAfter(Duration aDelay)
{
  if (!schedule_ || runDue_) {
    return;
  }
  runDue_ = aDelay == Duration::zero();
  schedule_(aDelay);
}

void
MemoryHold::Pool::Notify(const std::vector<HoldId>& aIds, MemoryNotice aNotice)
{
  for (const HoldId id : aIds) {
    // An earlier callback may have destroyed the hold, and this one may do so.
    const auto found = callbacks_.find(id);
    const MemoryCallback callback =
      found == callbacks_.end() ? nullptr : found->second;
    if (callback) {
      callback(aNotice);
    }
  }
}

MemoryHold::MemoryHold(std::shared_ptr<Pool> aPool, HoldId aId)
  : pool_(std::move(aPool))
  , id_(aId)
{
}

MemoryHold::~MemoryHold()
{
  pool_->account_.Close(id_);
  pool_->callbacks_.erase(id_);
  if (pool_->account_.Waiting() > 0) {
    pool_->RunAfter(Duration::zero());
  }
}

MemoryVerdict
MemoryHold::Request(std::size_t aBytes, TimePoint aNow)
{
  const MemoryVerdict verdict = pool_->account_.Request(id_, aBytes, aNow);
  const bool waits = verdict == MemoryVerdict::Waiting;
  const bool freed = aBytes < bytes_ && pool_->account_.Waiting() > 0;
  bytes_ = aBytes;
  if (verdict == MemoryVerdict::Refused) {
    ++pool_->refused_;
  }
  if (waits || freed) {
    pool_->RunAfter(Duration::zero());
  }
  return verdict;
}

void
MemoryHold::Force(std::size_t aBytes)
{
  pool_->account_.Force(id_, aBytes);
  bytes_ = aBytes;
}

void
MemoryHold::SetStage(HoldStage aStage, MemoryCallback aCallback, TimePoint aNow)
{
  pool_->account_.SetStage(id_, aStage, aNow);
  pool_->callbacks_[id_] = std::move(aCallback);
}

void
MemoryHold::Progress(std::size_t aBytes, TimePoint aNow)
{
  pool_->account_.Progress(id_, aBytes, aNow);
}

MemoryPool::MemoryPool(MemoryOptions aOptions, Schedule aSchedule)
  : pool_(std::make_shared<MemoryHold::Pool>(aOptions, std::move(aSchedule)))
{
}

MemoryPool::~MemoryPool()
{
  pool_->schedule_ = nullptr;
}

void
MemoryPool::SetLargestBody(std::size_t aBytes)
{
  pool_->account_.SetLargestBody(aBytes);
}

void
MemoryPool::SetConnections(std::size_t aConnections)
{
  pool_->account_.SetConnections(aConnections);
}

std::shared_ptr<MemoryHold>
MemoryPool::Open(HoldStage aStage, MemoryCallback aCallback, TimePoint aNow)
{
  const HoldId id = pool_->account_.Open(aStage, aNow);
  pool_->callbacks_[id] = std::move(aCallback);
  return std::shared_ptr<MemoryHold>(new MemoryHold(pool_, id));
}

void
MemoryPool::Run(TimePoint aNow)
{
  pool_->runDue_ = false;
  const MemoryDecisions decisions = pool_->account_.Decide(aNow);
  pool_->refused_ += decisions.refused_.size();
  pool_->closed_ += decisions.closed_.size();
  pool_->Notify(decisions.closed_, MemoryNotice::Close);
  pool_->Notify(decisions.refused_, MemoryNotice::Refused);
  pool_->Notify(decisions.admitted_, MemoryNotice::Admitted);
  if (pool_->account_.Waiting() > 0) {
    pool_->RunAfter(kCheckInterval);
  }
}

MemoryPoolStatistics
MemoryPool::Statistics() const
{
  return { pool_->account_.Held(),
           pool_->account_.Bound(),
           pool_->refused_,
           pool_->closed_ };
}

}
