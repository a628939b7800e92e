#include "memory/MemoryAccount.h"

#include <algorithm>
#include <tuple>

namespace peridotsail {

namespace {

// The heads and blocks that a request needs beyond its body.
constexpr std::size_t kBodyOverheadBytes = 1 << 20;

std::size_t
Share(std::size_t aBytes, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aBytes) * aShare);
}

}

std::size_t
MaxConnections(const MemoryOptions& aOptions)
{
  return Share(aOptions.machineBytes_, aOptions.connectionsShare_) /
         aOptions.connectionBytes_;
}

MemoryAccount::MemoryAccount(MemoryOptions aOptions)
  : options_(aOptions)
{
  UpdateBound();
}

void
MemoryAccount::SetLargestBody(std::size_t aBytes)
{
  largestBody_ = aBytes;
  UpdateBound();
}

void
MemoryAccount::SetConnections(std::size_t aConnections)
{
  connections_ = aConnections * options_.connectionBytes_;
  UpdateBound();
}

void
MemoryAccount::UpdateBound()
{
  const std::size_t machine = options_.machineBytes_;
  const std::size_t usual = Share(machine, options_.share_);
  const std::size_t most = Share(machine, options_.maxShare_);
  const std::size_t body =
    std::min(largestBody_, most) + kBodyOverheadBytes + connections_;
  const std::size_t needed = Share(body, 1 / (1 - options_.reserve_));
  bound_ = std::max(usual, std::min(needed, most));
}

HoldId
MemoryAccount::Open(HoldStage aStage, TimePoint aNow)
{
  Hold& hold = holds_[++lastId_];
  hold.stage_ = aStage;
  hold.progressAt_ = aNow;
  return lastId_;
}

bool
MemoryAccount::IsSmall(std::size_t aBytes) const
{
  return aBytes <= options_.smallBytes_;
}

bool
MemoryAccount::Fits(const Hold& aHold, std::size_t aBytes) const
{
  const std::size_t reserve =
    IsSmall(aBytes) ? 0 : Share(bound_, options_.reserve_);
  return Held() - aHold.bytes_ + aBytes <= bound_ - reserve;
}

void
MemoryAccount::Resize(Hold& aHold, std::size_t aBytes)
{
  held_ = held_ - aHold.bytes_ + aBytes;
  aHold.bytes_ = aBytes;
}

void
MemoryAccount::StopWaiting(Hold& aHold)
{
  if (aHold.wanted_ > 0) {
    aHold.wanted_ = 0;
    --waiting_;
  }
}

MemoryVerdict
MemoryAccount::Request(HoldId aId, std::size_t aBytes, TimePoint aNow)
{
  Hold& hold = holds_.at(aId);
  // A large request does not overtake others that wait.
  const bool mustQueue =
    hold.stage_ == HoldStage::Receiving && !IsSmall(aBytes) && waiting_ > 0;
  if (aBytes <= hold.bytes_ || (!mustQueue && Fits(hold, aBytes))) {
    StopWaiting(hold);
    Resize(hold, aBytes);
    return MemoryVerdict::Admitted;
  }
  if (hold.wanted_ > 0) {
    hold.wanted_ = aBytes;
    return MemoryVerdict::Waiting;
  }
  const std::size_t maxWaiting =
    Share(options_.machineBytes_, options_.waiterShare_) /
    options_.waiterBytes_;
  const std::size_t reserve =
    IsSmall(aBytes) ? 0 : Share(bound_, options_.reserve_);
  if (waiting_ >= maxWaiting || aBytes > bound_ - reserve) {
    return MemoryVerdict::Refused;
  }
  hold.wanted_ = aBytes;
  hold.waitingSince_ = aNow;
  ++waiting_;
  return MemoryVerdict::Waiting;
}

void
MemoryAccount::Force(HoldId aId, std::size_t aBytes)
{
  Hold& hold = holds_.at(aId);
  StopWaiting(hold);
  Resize(hold, aBytes);
}

void
MemoryAccount::SetStage(HoldId aId, HoldStage aStage, TimePoint aNow)
{
  Hold& hold = holds_.at(aId);
  hold.stage_ = aStage;
  hold.progressAt_ = aNow;
  hold.bytesSinceProgress_ = 0;
}

// Single bytes are no progress: a peer could hold a body for hours with them.
void
MemoryAccount::Progress(HoldId aId, std::size_t aBytes, TimePoint aNow)
{
  Hold& hold = holds_.at(aId);
  hold.bytesSinceProgress_ += aBytes;
  if (hold.bytesSinceProgress_ >= options_.progressBytes_) {
    hold.bytesSinceProgress_ = 0;
    hold.progressAt_ = aNow;
  }
}

void
MemoryAccount::Close(HoldId aId)
{
  const auto found = holds_.find(aId);
  if (found == holds_.end()) {
    return;
  }
  StopWaiting(found->second);
  Resize(found->second, 0);
  holds_.erase(found);
}

// Requests that were read whole go before unfinished ones, and those before new
// ones. Of unfinished ones, those that hold most are the first to end;
// otherwise the first come first.
std::vector<HoldId>
MemoryAccount::WaitingInOrder() const
{
  std::vector<HoldId> waiting;
  if (waiting_ == 0) {
    return waiting;
  }
  for (const auto& [id, hold] : holds_) {
    if (hold.wanted_ > 0) {
      waiting.push_back(id);
    }
  }
  const auto key = [this](HoldId aId) {
    const Hold& hold = holds_.at(aId);
    return std::make_tuple(hold.stage_ == HoldStage::Receiving,
                           hold.bytes_ == 0,
                           bound_ - std::min(bound_, hold.bytes_),
                           hold.waitingSince_,
                           aId);
  };
  std::sort(waiting.begin(), waiting.end(), [&](HoldId aLeft, HoldId aRight) {
    return key(aLeft) < key(aRight);
  });
  return waiting;
}

bool
MemoryAccount::IsStalled(const Hold& aHold, TimePoint aNow) const
{
  return aHold.stage_ != HoldStage::Executing && aHold.wanted_ == 0 &&
         aHold.bytes_ > 0 && aNow - aHold.progressAt_ >= options_.stallTimeout_;
}

std::vector<HoldId>
MemoryAccount::ToClose(const Hold& aWaiter, TimePoint aNow) const
{
  std::vector<HoldId> stalled;
  // What is already being closed counts as free.
  Hold waiter = aWaiter;
  for (const auto& [id, hold] : holds_) {
    if (hold.closing_) {
      waiter.bytes_ += hold.bytes_;
    } else if (IsStalled(hold, aNow)) {
      stalled.push_back(id);
    }
  }
  std::sort(stalled.begin(), stalled.end(), [&](HoldId aLeft, HoldId aRight) {
    const Hold& left = holds_.at(aLeft);
    const Hold& right = holds_.at(aRight);
    return std::make_tuple(right.bytes_, left.progressAt_, aLeft) <
           std::make_tuple(left.bytes_, right.progressAt_, aRight);
  });
  std::vector<HoldId> closed;
  for (const HoldId id : stalled) {
    if (Fits(waiter, aWaiter.wanted_)) {
      break;
    }
    waiter.bytes_ += holds_.at(id).bytes_;
    closed.push_back(id);
  }
  return Fits(waiter, aWaiter.wanted_) ? closed : std::vector<HoldId>();
}

void
MemoryAccount::EndDeadlock(const Hold& aFirst, MemoryDecisions& aDecisions)
{
  std::vector<HoldId> growing;
  std::size_t growingBytes = 0;
  Hold first = aFirst;
  for (const HoldId id : WaitingInOrder()) {
    const Hold& hold = holds_.at(id);
    if (hold.stage_ == HoldStage::Receiving && hold.bytes_ > 0) {
      growing.push_back(id);
      growingBytes += hold.bytes_;
    }
  }
  for (const auto& [id, hold] : holds_) {
    first.bytes_ += hold.closing_ ? hold.bytes_ : 0;
  }
  if (growingBytes < bound_ / 2) {
    return;
  }
  while (growing.size() > 1 && !Fits(first, aFirst.wanted_)) {
    Hold& last = holds_.at(growing.back());
    first.bytes_ += last.bytes_;
    last.closing_ = true;
    StopWaiting(last);
    aDecisions.refused_.push_back(growing.back());
    growing.pop_back();
  }
}

MemoryDecisions
MemoryAccount::Decide(TimePoint aNow)
{
  MemoryDecisions decisions;
  bool largeWaits = false;
  const Hold* first = nullptr;
  for (const HoldId id : WaitingInOrder()) {
    Hold& hold = holds_.at(id);
    const bool mustQueue = hold.stage_ == HoldStage::Receiving &&
                           !IsSmall(hold.wanted_) && largeWaits;
    if (!mustQueue && Fits(hold, hold.wanted_)) {
      Resize(hold, hold.wanted_);
      StopWaiting(hold);
      hold.progressAt_ = aNow;
      decisions.admitted_.push_back(id);
    } else if (aNow - hold.waitingSince_ >= options_.maxWait_) {
      StopWaiting(hold);
      decisions.refused_.push_back(id);
    } else {
      largeWaits = largeWaits || !IsSmall(hold.wanted_);
      first = first == nullptr ? &hold : first;
    }
  }
  if (first != nullptr) {
    decisions.closed_ = ToClose(*first, aNow);
    for (const HoldId id : decisions.closed_) {
      holds_.at(id).closing_ = true;
    }
    if (decisions.closed_.empty()) {
      EndDeadlock(*first, decisions);
    }
  }
  return decisions;
}

}
