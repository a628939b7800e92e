#include "slots/SlotChannel.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <random>
#include <variant>

namespace peridotsail::detail {

namespace {

constexpr Duration kTimerInterval = std::chrono::milliseconds(20);

}

SlotChannel::SlotChannel(boost::asio::io_context& aContext,
                         const std::string& aSelf,
                         const std::string& aRegion,
                         SlotQueueOptions aOptions,
                         SlotChannelHooks aHooks,
                         Metrics& aMetrics)
  : hooks_(std::move(aHooks))
  , metrics_(aMetrics)
  , waiting_(aMetrics.Gauge(
      "peridotsail_slots_waiting",
      "Requests that wait here for slots of the servers this host owns."))
  , wait_(aMetrics.Latency("peridotsail_slot_wait_seconds",
                           "Time until a request got a slot."))
  , messages_(aMetrics.Counter("peridotsail_slot_messages_total",
                               "Datagrams about slots that were sent."))
  , owners_(aSelf, aRegion)
  , grants_(std::move(aOptions))
  , gate_(owners_, grants_, {}, MakeGateHooks(), std::random_device()())
  , timer_(aContext)
{
}

SlotGateHooks
SlotChannel::MakeGateHooks()
{
  SlotGateHooks hooks;
  hooks.send_ = [this](const std::string& aAddress,
                       const SlotMessage& aMessage) {
    Send(aMessage, aAddress);
  };
  hooks.onSilent_ = [](const std::string& aOwner, const std::string& aServer) {
    LogEvent(Event::SlotOwnerSilent,
             { { "owner", aOwner }, { "server", aServer } });
  };
  hooks.onLoad_ = hooks_.onLoad_;
  return hooks;
}

void
SlotChannel::SetHosts(const std::vector<SlotHost>& aHosts)
{
  if (!owners_.SetHosts(aHosts)) {
    return;
  }
  const TimePoint now = BootClock::now();
  SlotReplies replies;
  grants_.RemoveHosts(
    [this](const std::string& aHost) {
      return !aHost.empty() && !owners_.HasAddress(aHost);
    },
    now,
    replies);
  gate_.Deliver(replies, now);
  gate_.OnHostsChanged(now);
}

void
SlotChannel::Acquire(std::uint64_t aTicket,
                     SlotQuery aQuery,
                     SlotGate::Callback aCallback)
{
  const int rank = aQuery.rank_;
  gate_.Acquire(
    aTicket,
    std::move(aQuery),
    BootClock::now(),
    [this, rank, callback = std::move(aCallback)](const SlotOutcome& aOutcome) {
      OnOutcome(rank, aOutcome);
      callback(aOutcome);
    });
  ScheduleTimer();
}

void
SlotChannel::OnOutcome(int aRank, const SlotOutcome& aOutcome)
{
  if (aOutcome.result_ == SlotResult::Granted) {
    wait_.Observe(aOutcome.waited_);
  } else if (aOutcome.result_ == SlotResult::Refused) {
    metrics_
      .Counter("peridotsail_slot_refused_total",
               "Requests that got no slot, by rank.",
               "rank=\"" + std::to_string(aRank) + "\"")
      .Add(1);
  }
}

void
SlotChannel::Cancel(std::uint64_t aTicket)
{
  gate_.Cancel(aTicket, BootClock::now());
}

void
SlotChannel::Release(const SlotGrant& aGrant, const SlotUsage& aUsage)
{
  gate_.Release(aGrant, aUsage, BootClock::now());
}

bool
SlotChannel::OnDatagram(const std::string& aBytes, const std::string& aFrom)
{
  const TimePoint now = BootClock::now();
  const auto message = DecodeSlotMessage(aBytes, now);
  if (!message) {
    return false;
  }
  SlotReplies replies;
  if (const auto* ask = std::get_if<SlotAsk>(&*message)) {
    grants_.Ask(aFrom, *ask, now, replies);
  } else if (const auto* release = std::get_if<SlotRelease>(&*message)) {
    grants_.Release(aFrom, *release, now, replies);
  } else if (const auto* answer = std::get_if<SlotAnswer>(&*message)) {
    gate_.Accept(*answer, aFrom, now);
  }
  gate_.Deliver(replies, now);
  ScheduleTimer();
  return true;
}

void
SlotChannel::Send(const SlotMessage& aMessage, const std::string& aAddress)
{
  messages_.Add(1);
  hooks_.send_(EncodeSlotMessage(aMessage), aAddress);
}

void
SlotChannel::ScheduleTimer()
{
  if (timerPending_ || (gate_.Pending() == 0 && !grants_.IsBusy())) {
    return;
  }
  timerPending_ = true;
  timer_.expires_after(ToSteady(kTimerInterval));
  timer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      timerPending_ = false;
      OnTimer();
    }
  });
}

void
SlotChannel::OnTimer()
{
  const TimePoint now = BootClock::now();
  SlotReplies replies;
  grants_.OnTimer(now, replies);
  gate_.Deliver(replies, now);
  gate_.OnTimer(now);
  waiting_.Set(static_cast<double>(grants_.Waiting()));
  ScheduleTimer();
}

}
