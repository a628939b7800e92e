#pragma once

// Connects the fleet-wide quarantine to this host's traffic: datagrams, timers,
// and checks of servers whose connection was lost. Used on the traffic thread
// only; included by .cc files.
//
//   QuarantineChannel quarantine(context, datagrams, hosts, connections,
//                                metrics, onUnreachable);
//   quarantine.Check(fingerprint);
//   quarantine.Started(fingerprint);
//   quarantine.ConnectionLost(fingerprint, instance);
//   quarantine.AwaitVerdict(fingerprint, instance, callback);

#include "base/Metrics.h"
#include "gateway/FleetQuarantine.h"
#include "gateway/FleetTypes.h"
#include "gateway/PeerDatagrams.h"
#include "gateway/ServerChecks.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail::detail {

class QuarantineChannel
{
public:
  // aOnUnreachable is called for a server that is unreachable after one of its
  // connections was lost.
  QuarantineChannel(asio::io_context& aContext,
                    PeerDatagrams& aDatagrams,
                    const AllowanceOwners& aHosts,
                    ServerConnections& aConnections,
                    Metrics& aMetrics,
                    std::function<void(Instance&)> aOnUnreachable);

  QuarantineVerdict Check(const std::string& aFingerprint);
  void Started(const std::string& aFingerprint);
  void Ended(const std::string& aFingerprint);
  void Completed(const std::string& aFingerprint);
  void ConnectionLost(const std::string& aFingerprint,
                      const InstancePtr& aInstance);
  // See FleetQuarantine::AwaitVerdict.
  void AwaitVerdict(const std::string& aFingerprint,
                    const InstancePtr& aInstance,
                    std::function<void()> aCallback);
  // A request or connection attempt to the server that started at aStartedAt
  // has ended.
  void ServerSeen(const Instance& aInstance, bool aAlive, TimePoint aStartedAt);

  // Applies what another host published. aUnixMs is the current wall-clock
  // time.
  void ApplyPublished(const HostRecord& aHost, std::int64_t aUnixMs);
  // Updates the fields of this host's registration.
  void Publish(HostRecord& aSelf, std::int64_t aUnixMs) const;

private:
  FleetQuarantineHooks MakeHooks(PeerDatagrams& aDatagrams);
  void OnChecked(const ServerChecks::Result& aResult);
  void SetTimer();

  FleetQuarantine quarantine_;
  ServerChecks checks_;
  std::function<void(Instance&)> onUnreachable_;
  MetricCounter& deaths_;
  MetricCounter& refusals_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerAt_;
};

}
