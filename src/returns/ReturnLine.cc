#include "returns/ReturnLine.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

ReturnLine::ReturnLine(ReturnLineOptions aOptions)
  : options_(aOptions)
{
}

bool
ReturnLine::IsOnTime(std::uint64_t aHash, TimePoint aNow) const
{
  const auto found = dueAt_.find(aHash);
  return found != dueAt_.end() &&
         found->second - options_.earlyTolerance_ <= aNow;
}

void
ReturnLine::Remove(std::uint64_t aHash)
{
  const auto found = dueAt_.find(aHash);
  if (found == dueAt_.end()) {
    return;
  }
  const auto [begin, end] = byDue_.equal_range(found->second);
  const auto entry = std::find_if(
    begin, end, [&](const auto& aEntry) { return aEntry.second == aHash; });
  byDue_.erase(entry);
  dueAt_.erase(found);
}

void
ReturnLine::Insert(std::uint64_t aHash, TimePoint aDue)
{
  dueAt_[aHash] = aDue;
  byDue_.emplace(aDue, aHash);
}

bool
ReturnLine::RemoveEnded(TimePoint aNow)
{
  while (!byDue_.empty() && byDue_.begin()->first + options_.grace_ < aNow) {
    dueAt_.erase(byDue_.begin()->second);
    byDue_.erase(byDue_.begin());
  }
  return dueAt_.empty();
}

double
ReturnLine::Held(TimePoint aNow) const
{
  const auto end = byDue_.upper_bound(aNow + options_.earlyTolerance_);
  return static_cast<double>(std::distance(byDue_.begin(), end));
}

// A full source loses what is not taken, so nothing is held there.
double
ReturnLine::SpareTokens(const TokenSupply& aSupply, TimePoint aNow) const
{
  const bool full = aSupply.level_ + 1 > aSupply.capacity_;
  const double held = full ? 0 : Held(aNow);
  return std::max(0.0, std::floor(aSupply.level_ - held));
}

double
ReturnLine::Spare(const TokenSupply& aSupply, TimePoint aNow)
{
  RemoveEnded(aNow);
  return SpareTokens(aSupply, aNow);
}

std::vector<ReturnVerdict>
ReturnLine::Decide(const std::vector<ReturningCaller>& aCallers,
                   const TokenSupply& aSupply,
                   TimePoint aNow)
{
  RemoveEnded(aNow);
  TokenSupply supply = aSupply;
  std::vector<ReturnVerdict> verdicts(aCallers.size());
  GrantInTurn(aCallers, supply, aNow, verdicts);
  for (std::size_t i = 0; i < aCallers.size(); ++i) {
    if (!verdicts[i].IsGranted()) {
      verdicts[i] = DecideOther(aCallers[i], supply, aNow);
    }
  }
  return verdicts;
}

// Those who return on time come first, in the order of their promises.
void
ReturnLine::GrantInTurn(const std::vector<ReturningCaller>& aCallers,
                        TokenSupply& aSupply,
                        TimePoint aNow,
                        std::vector<ReturnVerdict>& aVerdicts)
{
  std::vector<std::size_t> onTime;
  for (std::size_t i = 0; i < aCallers.size(); ++i) {
    if (IsOnTime(aCallers[i].hash_, aNow)) {
      onTime.push_back(i);
    }
  }
  std::stable_sort(
    onTime.begin(), onTime.end(), [&](std::size_t aOne, std::size_t aOther) {
      return dueAt_.at(aCallers[aOne].hash_) <
             dueAt_.at(aCallers[aOther].hash_);
    });
  for (const std::size_t i : onTime) {
    // Of callers with equal requests only one has the promise.
    const bool promised = dueAt_.count(aCallers[i].hash_) > 0;
    if (promised && aSupply.level_ >= 1) {
      aSupply.level_ -= 1;
      Remove(aCallers[i].hash_);
      aVerdicts[i].result_ = ReturnResult::GrantedInTurn;
    }
  }
}

ReturnVerdict
ReturnLine::DecideOther(const ReturningCaller& aCaller,
                        TokenSupply& aSupply,
                        TimePoint aNow)
{
  if (SpareTokens(aSupply, aNow) >= 1) {
    aSupply.level_ -= 1;
    Remove(aCaller.hash_);
    return { ReturnResult::Granted, {}, 0 };
  }
  return Refuse(aCaller, aSupply, aNow);
}

ReturnVerdict
ReturnLine::Refuse(const ReturningCaller& aCaller,
                   const TokenSupply& aSupply,
                   TimePoint aNow)
{
  if (aSupply.rate_ <= 0) {
    return { ReturnResult::NoPlace, {}, 0 };
  }
  const auto known = dueAt_.find(aCaller.hash_);
  if (known != dueAt_.end() && known->second > aNow) {
    const TimePoint due = known->second;
    return { ReturnResult::Early, due - aNow, PlaceOf(due) };
  }
  // A caller whose time has come before its token has keeps its place.
  const bool inTurn = known != dueAt_.end();
  const int ahead =
    inTurn ? PlaceOf(known->second) - 1 : PlaceOf(TimePoint::max());
  const double missing = 1 + ahead - aSupply.level_;
  const Duration wait = FromSeconds(std::max(0.0, missing) / aSupply.rate_);
  Remove(aCaller.hash_);
  const bool hasPlace = aCaller.hash_ != 0 && wait <= aCaller.patience_ &&
                        dueAt_.size() < options_.maxPromises_;
  if (!hasPlace) {
    return { ReturnResult::NoPlace, wait, 0 };
  }
  Insert(aCaller.hash_, aNow + wait);
  return { ReturnResult::Promised, wait, ahead + 1 };
}

int
ReturnLine::PlaceOf(TimePoint aDue) const
{
  return static_cast<int>(
    std::distance(byDue_.begin(), byDue_.upper_bound(aDue)));
}

}
