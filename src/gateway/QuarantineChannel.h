#pragma once

// Joins the quarantine of the fleet to the traffic of this host: datagrams,
// timers, and the checks of servers whose connection was lost. Traffic thread
// only; included by .cc files.
//
//   QuarantineChannel quarantine(context, datagrams, hosts, connections,
//                                metrics, onUnreachable);
//   quarantine.Check(fingerprint);
//   quarantine.Started(fingerprint);
//   quarantine.ConnectionLost(fingerprint, instance);
//   quarantine.AwaitVerdict(fingerprint, instance, done);

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
  // aOnUnreachable is called for a server that cannot be reached after its
  // connection was lost.
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
  // As FleetQuarantine's.
  void AwaitVerdict(const std::string& aFingerprint,
                    const InstancePtr& aInstance,
                    std::function<void()> aDone);
  // A run at the server, or an attempt to connect to it, that began at aBegun
  // has ended.
  void ServerSeen(const Instance& aInstance, bool aAlive, TimePoint aBegun);

  // What the other host publishes; the time of day is given.
  void ApplyPublished(const HostRecord& aHost, std::int64_t aUnixMs);
  // Sets what this host publishes.
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
