#include "steering/ShiftCaps.h"

#include "steering/ShareBucket.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr double kBytesPerMbit = 125'000;
// Weight of a new sample in the moving average of response sizes.
constexpr double kSmoothingFactor = 0.1;
// The estimate exceeds the mean, because a response with too small a
// reservation stalls.
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
ShiftCaps::SetConfiguration(const Configuration& aConfiguration, TimePoint aNow)
{
  const RegionConfig* own = aConfiguration.FindRegion(ownRegion_);
  const int slots = own == nullptr ? 1 : std::max(1, own->slots_);
  for (const ShiftCapConfig& cap : aConfiguration.shiftCaps_) {
    if (cap.from_ == ownRegion_) {
      SetPairLimits(
        pairs_[cap.to_], cap.mbitPerSecond_ * kBytesPerMbit, slots, aNow);
    }
  }
  for (auto& [to, pair] : pairs_) {
    if (aConfiguration.FindShiftCap(ownRegion_, to) == nullptr) {
      pair.isCapped_ = false;
    }
  }
}

void
ShiftCaps::SetPairLimits(Pair& aPair, double aCap, int aSlots, TimePoint aNow)
{
  if (aPair.budget_ == nullptr) {
    const auto self =
      std::find_if(pairs_.begin(), pairs_.end(), [&](const auto& aEntry) {
        return &aEntry.second == &aPair;
      });
    aPair.budget_ = makeBudget_(self->first);
  }
  aPair.cap_ = aCap;
  aPair.isCapped_ = true;
  const double held = aCap * options_.heldFraction_;
  aPair.budget_->SetLimits({ aCap, aCap - held, aSlots }, aNow);
  if (!aPair.heldLimits_.empty()) {
    aPair.heldLimits_.back().replacedAt_ = aNow;
  }
  aPair.heldLimits_.erase(
    std::remove_if(aPair.heldLimits_.begin(),
                   aPair.heldLimits_.end(),
                   [&](const HeldLimit& aLimit) {
                     return aLimit.replacedAt_ != TimePoint::max() &&
                            aLimit.replacedAt_ + ShareBucket::kRaiseDelay <=
                              aNow;
                   }),
    aPair.heldLimits_.end());
  aPair.heldLimits_.push_back({ held / aSlots });
  const double available = HeldLimitAt(aPair, aNow) - aPair.reservedBytes_;
  aPair.returnedBytes_ =
    std::clamp(aPair.returnedBytes_, 0.0, std::max(0.0, available));
}

double
ShiftCaps::HeldLimitAt(const Pair& aPair, TimePoint aNow)
{
  // The lowest limit of all versions that any host may still use.
  double limit = aPair.heldLimits_.back().bytes_;
  for (const HeldLimit& held : aPair.heldLimits_) {
    if (held.replacedAt_ == TimePoint::max() ||
        aNow < held.replacedAt_ + ShareBucket::kRaiseDelay) {
      limit = std::min(limit, held.bytes_);
    }
  }
  return limit;
}

std::optional<ShiftReservation>
ShiftCaps::Reserve(const std::string& aTo,
                   double aEstimateBytes,
                   TimePoint aNow)
{
  ShiftReservation reservation;
  reservation.to_ = aTo;
  const auto found = pairs_.find(aTo);
  if (found == pairs_.end() || !found->second.isCapped_) {
    reservation.isUncapped_ = true;
    return reservation;
  }
  Pair& pair = found->second;
  const double limit = HeldLimitAt(pair, aNow);
  const double wanted = std::min(
    { std::max(1.0, aEstimateBytes), options_.maxReserveBytes_, limit });
  const bool fits = wanted >= 1 && pair.reservedBytes_ + wanted <= limit;
  if (!fits || !pair.budget_->Valid(aNow)) {
    ++pair.refusedCount_;
    return std::nullopt;
  }
  if (pair.returnedBytes_ < wanted) {
    pair.returnedBytes_ +=
      pair.budget_->TakeUpTo(wanted - pair.returnedBytes_, aNow);
  }
  if (pair.returnedBytes_ < wanted) {
    ++pair.refusedCount_;
    return std::nullopt;
  }
  pair.returnedBytes_ -= wanted;
  pair.reservedBytes_ += wanted;
  // The sum of reserved and returned tokens must not exceed the limit.
  pair.returnedBytes_ =
    std::min(pair.returnedBytes_, std::max(0.0, limit - pair.reservedBytes_));
  reservation.remainingBytes_ = wanted;
  return reservation;
}

double
ShiftCaps::Consume(ShiftReservation& aReservation,
                   double aBytes,
                   TimePoint aNow)
{
  const auto found = pairs_.find(aReservation.to_);
  if (aReservation.isUncapped_ || found == pairs_.end()) {
    aReservation.sentBytes_ += aBytes;
    return aBytes;
  }
  Pair& pair = found->second;
  // A host that lost its slot must not send, because its share belongs to the
  // next holder.
  if (aReservation.isReleased_ || !pair.budget_->Valid(aNow)) {
    return 0;
  }
  const double fromReservation = std::min(aBytes, aReservation.remainingBytes_);
  aReservation.remainingBytes_ -= fromReservation;
  pair.reservedBytes_ -= fromReservation;
  const double fromReturned =
    std::min(aBytes - fromReservation, pair.returnedBytes_);
  pair.returnedBytes_ -= fromReturned;
  double consumed = fromReservation + fromReturned;
  if (consumed < aBytes) {
    consumed += pair.budget_->TakeUpTo(aBytes - consumed, aNow);
  }
  aReservation.sentBytes_ += consumed;
  pair.sentBytes_ += consumed;
  return consumed;
}

void
ShiftCaps::Release(ShiftReservation& aReservation, TimePoint aNow)
{
  const auto found = pairs_.find(aReservation.to_);
  if (aReservation.isReleased_ || aReservation.isUncapped_ ||
      found == pairs_.end()) {
    aReservation.isReleased_ = true;
    return;
  }
  Pair& pair = found->second;
  pair.reservedBytes_ -= aReservation.remainingBytes_;
  const double available = HeldLimitAt(pair, aNow) - pair.reservedBytes_;
  pair.returnedBytes_ =
    std::clamp(pair.returnedBytes_ + aReservation.remainingBytes_,
               0.0,
               std::max(0.0, available));
  aReservation.remainingBytes_ = 0;
  aReservation.isReleased_ = true;
}

double
ShiftCaps::EstimateResponseSize(const std::string& aRoute) const
{
  const auto found = responseBytes_.find(aRoute);
  const double mean = found == responseBytes_.end()
                        ? options_.defaultResponseBytes_
                        : found->second;
  return std::min(options_.maxReserveBytes_, mean * kEstimateFactor);
}

void
ShiftCaps::RecordResponseSize(const std::string& aRoute, double aBytes)
{
  const auto [entry, isNew] = responseBytes_.emplace(aRoute, aBytes);
  if (!isNew) {
    entry->second += kSmoothingFactor * (aBytes - entry->second);
  }
}

std::vector<ShiftPairStatus>
ShiftCaps::Status() const
{
  std::vector<ShiftPairStatus> rows;
  for (const auto& [to, pair] : pairs_) {
    if (pair.isCapped_) {
      rows.push_back({ to,
                       pair.cap_,
                       pair.reservedBytes_ + pair.returnedBytes_,
                       pair.sentBytes_,
                       pair.refusedCount_ });
    }
  }
  return rows;
}

}
