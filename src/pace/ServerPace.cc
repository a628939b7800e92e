#include "pace/ServerPace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotsail {

namespace {

constexpr std::array<std::string_view, 3> kPhaseNames{ "settled",
                                                       "started",
                                                       "reduced" };
constexpr std::array<std::string_view, 9> kCauseNames{
  "started", "restarted",       "recovered",    "cold",     "shed",
  "failure", "connection-lost", "service-time", "full-pace"
};

PaceCause
CauseOf(PaceOutcome aOutcome)
{
  switch (aOutcome) {
    case PaceOutcome::Shed:
      return PaceCause::Shed;
    case PaceOutcome::ConnectionLost:
      return PaceCause::ConnectionLost;
    default:
      return PaceCause::Failure;
  }
}

}

std::string_view
NameOf(PacePhase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

std::string_view
NameOf(PaceCause aCause)
{
  return kCauseNames.at(static_cast<std::size_t>(aCause));
}

ServerPace::ServerPace(int aSlots, ServerPaceOptions aOptions)
  : options_(aOptions)
  , slots_(std::max(aSlots, 1))
  , limit_(slots_)
  , threshold_(slots_)
{
}

void
ServerPace::SetSlots(int aSlots)
{
  slots_ = std::max(aSlots, 1);
  limit_ = std::min<double>(limit_, slots_);
  threshold_ = std::min<double>(threshold_, slots_);
}

PaceChange
ServerPace::Begin(PaceCause aCause, TimePoint aNow)
{
  phase_ = PacePhase::Started;
  limit_ = std::min(options_.startLimit_, slots_);
  threshold_ = slots_;
  answersAtFullPace_ = 0;
  lowSeconds_ = 0;
  highSeconds_ = 0;
  highSamples_ = 0;
  begunAt_ = aNow;
  lastSentAt_ = aNow;
  lastAnswerAt_ = aNow;
  reducedAt_ = aNow;
  quietSince_ = aNow;
  return { phase_, aCause };
}

bool
ServerPace::IsStale(TimePoint aNow) const
{
  return aNow - lastAnswerAt_ > options_.holdTime_;
}

std::optional<int>
ServerPace::Limit(TimePoint aNow) const
{
  if (phase_ == PacePhase::Settled) {
    return std::nullopt;
  }
  const int start = std::min(options_.startLimit_, slots_);
  const int current = IsStale(aNow) ? start : static_cast<int>(limit_);
  const bool probe = aNow - lastSentAt_ >= options_.probeInterval_;
  return std::min(probe ? std::max(current, atServer_ + 1) : current, slots_);
}

PaceTicket
ServerPace::OnSent(int aConcurrency, TimePoint aNow)
{
  lastSentAt_ = aNow;
  atServer_ = aConcurrency;
  return { aNow, aConcurrency };
}

std::optional<PaceChange>
ServerPace::OnEnded(const PaceTicket& aTicket,
                    const PaceAnswer& aAnswer,
                    TimePoint aNow)
{
  atServer_ = std::max(0, atServer_ - 1);
  if (phase_ == PacePhase::Settled || aTicket.sentAt_ < begunAt_ ||
      aAnswer.outcome_ == PaceOutcome::Unknown) {
    return std::nullopt;
  }
  if (IsStale(aNow)) {
    threshold_ = std::max<double>(limit_, options_.startLimit_);
    limit_ = std::min(options_.startLimit_, slots_);
    answersAtFullPace_ = 0;
    quietSince_ = aNow;
  }
  lastAnswerAt_ = aNow;
  if (aAnswer.outcome_ == PaceOutcome::Success) {
    return OnSuccess(aTicket, aAnswer, aNow);
  }
  return Reduce(aTicket, CauseOf(aAnswer.outcome_), aNow);
}

void
ServerPace::RecordServiceTime(int aConcurrency, double aSeconds)
{
  const auto smooth = [&](double& aMean) {
    aMean =
      aMean == 0 ? aSeconds : aMean + options_.smoothing_ * (aSeconds - aMean);
  };
  if (aConcurrency <= options_.startLimit_) {
    smooth(lowSeconds_);
    return;
  }
  smooth(highSeconds_);
  ++highSamples_;
  // A server that gets faster as it warms up is compared with its new times.
  if (highSamples_ >= options_.minSamples_ && lowSeconds_ > 0) {
    lowSeconds_ = std::min(lowSeconds_, highSeconds_);
  }
}

bool
ServerPace::IsSteep() const
{
  return lowSeconds_ > 0 && highSamples_ >= options_.minSamples_ &&
         highSeconds_ > options_.steepRatio_ * lowSeconds_;
}

bool
ServerPace::IsFlat(const PaceAnswer& aAnswer) const
{
  const double reference =
    std::max(lowSeconds_, ToSeconds(aAnswer.settledTime_));
  return reference == 0 ||
         ToSeconds(aAnswer.serviceTime_) <= options_.flatRatio_ * reference;
}

std::optional<PaceChange>
ServerPace::OnSuccess(const PaceTicket& aTicket,
                      const PaceAnswer& aAnswer,
                      TimePoint aNow)
{
  const bool flat = IsFlat(aAnswer);
  RecordServiceTime(aTicket.concurrency_, ToSeconds(aAnswer.serviceTime_));
  if (IsSteep()) {
    return Reduce(aTicket, PaceCause::ServiceTime, aNow);
  }
  return flat ? Grow(aTicket.concurrency_, aNow) : std::nullopt;
}

// Only answers to requests that used at least half of the limit show that the
// server handles more.
std::optional<PaceChange>
ServerPace::Grow(int aConcurrency, TimePoint aNow)
{
  if (aNow - quietSince_ >= options_.quietTime_) {
    return Settle();
  }
  if (2 * aConcurrency < static_cast<int>(limit_)) {
    return std::nullopt;
  }
  if (limit_ >= slots_) {
    ++answersAtFullPace_;
    if (answersAtFullPace_ < slots_) {
      return std::nullopt;
    }
    return Settle();
  }
  limit_ += limit_ < threshold_ ? 1 : 1 / limit_;
  limit_ = std::min<double>(limit_, slots_);
  return std::nullopt;
}

PaceChange
ServerPace::Settle()
{
  phase_ = PacePhase::Settled;
  return { phase_, PaceCause::FullPace };
}

std::optional<PaceChange>
ServerPace::Reduce(const PaceTicket& aTicket, PaceCause aCause, TimePoint aNow)
{
  answersAtFullPace_ = 0;
  if (aTicket.sentAt_ < reducedAt_) {
    return std::nullopt;
  }
  const double start = std::min(options_.startLimit_, slots_);
  threshold_ = std::max(start, std::floor(limit_ * options_.reduceFactor_));
  limit_ = aCause == PaceCause::ConnectionLost ? start : threshold_;
  highSeconds_ = 0;
  highSamples_ = 0;
  reducedAt_ = aNow;
  quietSince_ = aNow;
  if (phase_ == PacePhase::Reduced) {
    return std::nullopt;
  }
  phase_ = PacePhase::Reduced;
  return PaceChange{ phase_, aCause };
}

}
