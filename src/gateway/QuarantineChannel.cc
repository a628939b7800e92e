#include "gateway/QuarantineChannel.h"

#include "base/EventLog.h"
#include "gateway/QuarantineRecords.h"

#include <algorithm>
#include <utility>

namespace peridotsail::detail {

QuarantineChannel::QuarantineChannel(
  asio::io_context& aContext,
  PeerDatagrams& aDatagrams,
  const AllowanceOwners& aHosts,
  ServerConnections& aConnections,
  Metrics& aMetrics,
  std::function<void(Instance&)> aOnUnreachable)
  : quarantine_({}, aHosts, MakeHooks(aDatagrams))
  , checks_(aConnections,
            [this](const ServerChecks::Result& aResult) { OnChecked(aResult); })
  , onUnreachable_(std::move(aOnUnreachable))
  , deaths_(aMetrics.Counter(
      "peridotsail_server_deaths_total",
      "Servers that could not be reached after a connection was lost in a "
      "request, once for each such request."))
  , refusals_(aMetrics.Counter("peridotsail_quarantines_total",
                               "Requests that this host began to refuse "
                               "because they crash servers."))
  , timer_(aContext)
{
  aDatagrams.AddReceiver(
    [this](const std::string& aBytes, const std::string& aFrom) {
      const auto message = DecodeQuarantineMessage(aBytes);
      if (message) {
        quarantine_.Receive(*message, aFrom, BootClock::now());
        SetTimer();
      }
      return message.has_value();
    });
}

FleetQuarantineHooks
QuarantineChannel::MakeHooks(PeerDatagrams& aDatagrams)
{
  FleetQuarantineHooks hooks;
  hooks.send_ = [&aDatagrams](const std::string& aAddress,
                              const QuarantineMessage& aMessage) {
    aDatagrams.Send(EncodeQuarantineMessage(aMessage), aAddress);
  };
  hooks.onRefused_ = [this](const QuarantineNotice& aNotice) {
    refusals_.Add(1);
    LogEvent(Event::RequestQuarantined,
             { { "fingerprint", aNotice.fingerprint_ },
               { "deaths", aNotice.deaths_.size() },
               { "age_ms", ToMilliseconds(aNotice.age_) } });
  };
  return hooks;
}

QuarantineVerdict
QuarantineChannel::Check(const std::string& aFingerprint)
{
  return quarantine_.Check(aFingerprint, BootClock::now());
}

void
QuarantineChannel::Started(const std::string& aFingerprint)
{
  quarantine_.Started(aFingerprint);
}

void
QuarantineChannel::Ended(const std::string& aFingerprint)
{
  quarantine_.Ended(aFingerprint);
}

void
QuarantineChannel::Completed(const std::string& aFingerprint)
{
  quarantine_.Completed(aFingerprint, BootClock::now());
}

void
QuarantineChannel::ConnectionLost(const std::string& aFingerprint,
                                  const InstancePtr& aInstance)
{
  quarantine_.Died(aFingerprint, aInstance->Record().id_, BootClock::now());
  checks_.Check(aInstance);
}

void
QuarantineChannel::AwaitVerdict(const std::string& aFingerprint,
                                const InstancePtr& aInstance,
                                std::function<void()> aCallback)
{
  quarantine_.AwaitVerdict(aFingerprint,
                           aInstance->Record().id_,
                           BootClock::now(),
                           std::move(aCallback));
  SetTimer();
}

void
QuarantineChannel::ServerSeen(const Instance& aInstance,
                              bool aAlive,
                              TimePoint aStartedAt)
{
  const std::string& id = aInstance.Record().id_;
  const auto notices =
    quarantine_.ServerChecked(id, aAlive, aStartedAt, BootClock::now());
  for (const QuarantineNotice& notice : notices) {
    deaths_.Add(1);
    LogEvent(Event::ServerDeathConfirmed,
             { { "fingerprint", notice.fingerprint_ },
               { "server", id },
               { "deaths", notice.deaths_.size() },
               { "quarantined", notice.quarantined_ ? 1 : 0 } });
  }
  SetTimer();
}

void
QuarantineChannel::OnChecked(const ServerChecks::Result& aResult)
{
  if (!aResult.alive_) {
    onUnreachable_(*aResult.instance_);
  }
  ServerSeen(*aResult.instance_, aResult.alive_, aResult.startedAt_);
}

void
QuarantineChannel::ApplyPublished(const HostRecord& aHost, std::int64_t aUnixMs)
{
  if (aHost.refused_.empty() && aHost.suspected_.empty() &&
      aHost.completed_.empty()) {
    return;
  }
  const TimePoint now = BootClock::now();
  for (const FingerprintTime& refused :
       ReadFingerprintRecords(aHost.refused_, now, aUnixMs)) {
    quarantine_.ApplyPublished(refused, now);
  }
  for (const FingerprintTime& completed :
       ReadFingerprintRecords(aHost.completed_, now, aUnixMs)) {
    quarantine_.ApplyObjection(completed, now);
  }
  for (const QuarantineNotice& suspicion :
       ReadSuspicionRecords(aHost.suspected_, aUnixMs)) {
    quarantine_.ApplySuspicion(suspicion, now);
  }
  SetTimer();
}

void
QuarantineChannel::Publish(HostRecord& aSelf, std::int64_t aUnixMs) const
{
  const TimePoint now = BootClock::now();
  aSelf.refused_ = MakeFingerprintRecords(
    quarantine_.PublishedRefusals(now), aSelf.refused_, now, aUnixMs);
  aSelf.suspected_ = MakeSuspicionRecords(
    quarantine_.UnacknowledgedReports(now), aSelf.suspected_, aUnixMs);
}

void
QuarantineChannel::SetTimer()
{
  const auto next = quarantine_.NextTimeout(BootClock::now());
  const bool set = timerAt_ && (!next || *timerAt_ <= *next);
  if (!next || set) {
    return;
  }
  timerAt_ = next;
  timer_.expires_after(
    ToSteady(std::max(Duration::zero(), *next - BootClock::now())));
  timer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      timerAt_.reset();
      quarantine_.OnTimer(BootClock::now());
      SetTimer();
    }
  });
}

}
