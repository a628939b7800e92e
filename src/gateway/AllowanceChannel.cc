#include "gateway/AllowanceChannel.h"

#include "base/EventLog.h"

#include <algorithm>
#include <random>
#include <utility>

namespace peridotsail::detail {

AllowanceChannel::AllowanceChannel(asio::io_context& aContext,
                                   PeerDatagrams& aDatagrams,
                                   AllowanceOwners& aOwners,
                                   CustomerAllowances& aAllowances,
                                   Metrics& aMetrics,
                                   std::function<std::uint64_t()> aVersion,
                                   std::function<Duration(TimePoint)> aViewAge)
  : datagrams_(aDatagrams)
  , version_(std::move(aVersion))
  , gate_(aAllowances,
          aOwners,
          {},
          MakeHooks(std::move(aViewAge)),
          std::random_device()())
  , loans_(aAllowances, aOwners, {}, std::random_device()())
  , returnsKept_(
      aMetrics.Counter("peridotsail_returns_kept_total",
                       "Refused callers that returned at the time they were "
                       "told and got a token of a customer's allowance."))
  , returnsEarly_(
      aMetrics.Counter("peridotsail_returns_early_total",
                       "Refused callers that returned before the time they "
                       "were told and were refused again."))
  , timer_(aContext)
{
  datagrams_.AddReceiver(
    [this](const std::string& aBytes, const std::string& aFrom) {
      return OnDatagram(aBytes, aFrom);
    });
}

GateHooks
AllowanceChannel::MakeHooks(std::function<Duration(TimePoint)> aViewAge)
{
  GateHooks hooks;
  hooks.viewAge_ = std::move(aViewAge);
  hooks.send_ = [this](const std::string& aAddress,
                       const TakeRequest& aRequest) {
    Send(aRequest, aAddress);
  };
  hooks.onTaken_ = [this](const ShareKey& aShare) {
    if (const auto loan =
          loans_.MakeRequest(aShare, version_(), BootClock::now())) {
      Send(loan->request_, loan->address_);
    }
  };
  return hooks;
}

void
AllowanceChannel::Admit(const GatewayCustomer& aCustomer,
                        const ReturningCaller& aCaller,
                        AllowanceGate::Callback aCallback)
{
  gate_.Admit(aCustomer, BootClock::now(), std::move(aCallback), aCaller);
  CountReturns();
  ScheduleTimer();
}

void
AllowanceChannel::CountReturns()
{
  const ReturnCounts& counts = gate_.Returns();
  returnsKept_.Add(counts.kept_ - counted_.kept_);
  returnsEarly_.Add(counts.early_ - counted_.early_);
  counted_ = counts;
}

void
AllowanceChannel::ReturnToken(const std::string& aCustomer)
{
  gate_.ReturnToken(aCustomer, BootClock::now());
}

void
AllowanceChannel::OnOwnersChanged()
{
  gate_.OnTimer(BootClock::now());
  ScheduleTimer();
}

void
AllowanceChannel::ScheduleTimer()
{
  const auto next = gate_.NextTimeout();
  const bool scheduled = timerDueAt_ && (!next || *timerDueAt_ <= *next);
  if (!next || scheduled) {
    return;
  }
  timerDueAt_ = next;
  timer_.expires_after(
    ToSteady(std::max(Duration::zero(), *next - BootClock::now())));
  timer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      timerDueAt_.reset();
      gate_.OnTimer(BootClock::now());
      ScheduleTimer();
    }
  });
}

bool
AllowanceChannel::OnDatagram(const std::string& aBytes,
                             const std::string& aFrom)
{
  const auto message = DecodeAllowanceMessage(aBytes);
  if (!message) {
    return false;
  }
  if (const auto answer = HandleMessage(*message, BootClock::now())) {
    Send(*answer, aFrom);
  }
  CountReturns();
  ScheduleTimer();
  return true;
}

std::optional<AllowanceMessage>
AllowanceChannel::HandleMessage(const AllowanceMessage& aMessage,
                                TimePoint aNow)
{
  if (const auto* take = std::get_if<TakeRequest>(&aMessage)) {
    return gate_.Answer(*take, aNow);
  }
  if (const auto* loan = std::get_if<LoanRequest>(&aMessage)) {
    return gate_.MayGrant(aNow) ? loans_.Answer(*loan, version_(), aNow)
                                : LoanReply{ loan->id_, 0 };
  }
  if (const auto* reply = std::get_if<TakeReply>(&aMessage)) {
    gate_.Accept(*reply, aNow);
  } else if (const auto* lentReply = std::get_if<LoanReply>(&aMessage)) {
    const double tokens = loans_.Accept(*lentReply, aNow);
    if (tokens > 0) {
      LogEvent(Event::LoanTaken, { { "tokens", tokens } });
    }
  }
  return std::nullopt;
}

void
AllowanceChannel::Send(const AllowanceMessage& aMessage,
                       const std::string& aAddress)
{
  datagrams_.Send(EncodeAllowanceMessage(aMessage), aAddress);
}

}
