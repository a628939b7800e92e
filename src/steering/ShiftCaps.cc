#include "steering/ShiftCaps.h"

#include "steering/ShareBucket.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr double kBytesPerMbit = 125'000;
// Weight of the newest response size in the estimate.
constexpr double kLearnWeight = 0.1;
// The estimate is above the mean, because a shortfall stalls a response.
constexpr double kEstimateFactor = 1.5;

}

ShiftCaps::ShiftCaps(std::string aOwnRegion,
                     MakeBudget aMakeBudget,
                     ShiftCapsOptions aOptions)
  : ownRegion_(std::move(aOwnRegion))
  , makeBudget_(std::move(aMakeBudget))
  , options_(aOptions)
{
}

void
ShiftCaps::Adopt(const Configuration& aConfiguration, TimePoint aNow)
{
  const RegionConfig* own = aConfiguration.FindRegion(ownRegion_);
  const int slots = own == nullptr ? 1 : std::max(1, own->slots_);
  for (const ShiftCapConfig& cap : aConfiguration.shiftCaps_) {
    if (cap.from_ == ownRegion_) {
      AdoptPair(
        pairs_[cap.to_], cap.mbitPerSecond_ * kBytesPerMbit, slots, aNow);
    }
  }
  for (auto& [to, pair] : pairs_) {
    if (aConfiguration.FindShiftCap(ownRegion_, to) == nullptr) {
      pair.capped_ = false;
    }
  }
}

void
ShiftCaps::AdoptPair(Pair& aPair, double aCap, int aSlots, TimePoint aNow)
{
  if (aPair.budget_ == nullptr) {
    const auto self =
      std::find_if(pairs_.begin(), pairs_.end(), [&](const auto& aEntry) {
        return &aEntry.second == &aPair;
      });
    aPair.budget_ = makeBudget_(self->first);
  }
  aPair.cap_ = aCap;
  aPair.capped_ = true;
  const double held = aCap * options_.heldFraction_;
  aPair.budget_->Adopt({ aCap, aCap - held, aSlots }, aNow);
  if (!aPair.heldLimits_.empty()) {
    aPair.heldLimits_.back().replaced_ = aNow;
  }
  aPair.heldLimits_.erase(
    std::remove_if(aPair.heldLimits_.begin(),
                   aPair.heldLimits_.end(),
                   [&](const HeldLimit& aLimit) {
                     return aLimit.replaced_ != TimePoint::max() &&
                            aLimit.replaced_ + ShareBucket::kRaiseDelay <= aNow;
                   }),
    aPair.heldLimits_.end());
  aPair.heldLimits_.push_back({ held / aSlots });
  const double room = HeldLimitAt(aPair, aNow) - aPair.reserved_;
  aPair.returned_ = std::clamp(aPair.returned_, 0.0, std::max(0.0, room));
}

double
ShiftCaps::HeldLimitAt(const Pair& aPair, TimePoint aNow)
{
  // The lowest of all versions that another host may still use.
  double limit = aPair.heldLimits_.back().bytes_;
  for (const HeldLimit& held : aPair.heldLimits_) {
    if (held.replaced_ == TimePoint::max() ||
        aNow < held.replaced_ + ShareBucket::kRaiseDelay) {
      limit = std::min(limit, held.bytes_);
    }
  }
  return limit;
}

std::optional<ShiftTicket>
ShiftCaps::Reserve(const std::string& aTo,
                   double aEstimateBytes,
                   TimePoint aNow)
{
  ShiftTicket ticket;
  ticket.to_ = aTo;
  const auto found = pairs_.find(aTo);
  if (found == pairs_.end() || !found->second.capped_) {
    ticket.uncapped_ = true;
    return ticket;
  }
  Pair& pair = found->second;
  const double limit = HeldLimitAt(pair, aNow);
  const double wanted = std::min(
    { std::max(1.0, aEstimateBytes), options_.maxReserveBytes_, limit });
  const bool room = wanted >= 1 && pair.reserved_ + wanted <= limit;
  if (!room || !pair.budget_->Valid(aNow)) {
    ++pair.refused_;
    return std::nullopt;
  }
  if (pair.returned_ < wanted) {
    pair.returned_ += pair.budget_->TakeUpTo(wanted - pair.returned_, aNow);
  }
  if (pair.returned_ < wanted) {
    ++pair.refused_;
    return std::nullopt;
  }
  pair.returned_ -= wanted;
  pair.reserved_ += wanted;
  // Keeps reserved and returned tokens together within the limit.
  pair.returned_ =
    std::min(pair.returned_, std::max(0.0, limit - pair.reserved_));
  ticket.left_ = wanted;
  return ticket;
}

double
ShiftCaps::Cover(ShiftTicket& aTicket, double aBytes, TimePoint aNow)
{
  const auto found = pairs_.find(aTicket.to_);
  if (aTicket.uncapped_ || found == pairs_.end()) {
    aTicket.sent_ += aBytes;
    return aBytes;
  }
  Pair& pair = found->second;
  // A host that lost its slot sends nothing: its share belongs to the next
  // holder.
  if (aTicket.settled_ || !pair.budget_->Valid(aNow)) {
    return 0;
  }
  const double fromTicket = std::min(aBytes, aTicket.left_);
  aTicket.left_ -= fromTicket;
  pair.reserved_ -= fromTicket;
  const double fromReturned = std::min(aBytes - fromTicket, pair.returned_);
  pair.returned_ -= fromReturned;
  double covered = fromTicket + fromReturned;
  if (covered < aBytes) {
    covered += pair.budget_->TakeUpTo(aBytes - covered, aNow);
  }
  aTicket.sent_ += covered;
  pair.sent_ += covered;
  return covered;
}

void
ShiftCaps::Settle(ShiftTicket& aTicket, TimePoint aNow)
{
  const auto found = pairs_.find(aTicket.to_);
  if (aTicket.settled_ || aTicket.uncapped_ || found == pairs_.end()) {
    aTicket.settled_ = true;
    return;
  }
  Pair& pair = found->second;
  pair.reserved_ -= aTicket.left_;
  const double room = HeldLimitAt(pair, aNow) - pair.reserved_;
  pair.returned_ =
    std::clamp(pair.returned_ + aTicket.left_, 0.0, std::max(0.0, room));
  aTicket.left_ = 0;
  aTicket.settled_ = true;
}

double
ShiftCaps::EstimateResponse(const std::string& aRoute) const
{
  const auto found = responseBytes_.find(aRoute);
  const double mean = found == responseBytes_.end()
                        ? options_.defaultResponseBytes_
                        : found->second;
  return std::min(options_.maxReserveBytes_, mean * kEstimateFactor);
}

void
ShiftCaps::LearnResponse(const std::string& aRoute, double aBytes)
{
  const auto [entry, isNew] = responseBytes_.emplace(aRoute, aBytes);
  if (!isNew) {
    entry->second += kLearnWeight * (aBytes - entry->second);
  }
}

std::vector<ShiftPairStatus>
ShiftCaps::Status() const
{
  std::vector<ShiftPairStatus> rows;
  for (const auto& [to, pair] : pairs_) {
    if (pair.capped_) {
      rows.push_back({ to,
                       pair.cap_,
                       pair.reserved_ + pair.returned_,
                       pair.sent_,
                       pair.refused_ });
    }
  }
  return rows;
}

}
