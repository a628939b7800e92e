#pragma once

// The dissemination of configurations and withdrawn keys on one host: joins
// ConfigurationTracker, KeyFreshness and WithdrawnKeys. Pure; owned by the
// platform thread.
//
//   ConfigurationNode node("host-1", "eu-west", firstSequence);
//   node.SetHosts(now, hosts);
//   node.OnTimer(now);                         // at least every 100 ms
//   for (NodeIntent& intent : node.TakeIntents(now)) { Carry(intent); }
//   publish(node.InForce(), node.Withdrawn(), node.FreshUntil());

#include "config/ConfigurationTracker.h"
#include "keys/KeyFreshness.h"
#include "keys/WithdrawnKeys.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct NodeOptions
{
  TrackerOptions tracker_;
  FreshnessOptions freshness_;
  // Age of the last confirmation at which a host that is no watcher reads the
  // store itself.
  Duration ownReadAge_ = std::chrono::seconds(2);
  // Interval of attempts to commit keys withdrawn in an outage.
  Duration commitInterval_ = std::chrono::seconds(2);
  // The hosts' first attempts are apart by this time, in rendezvous order.
  Duration commitStagger_ = std::chrono::milliseconds(500);
};

// What a peer learns each second.
struct GossipMessage
{
  std::int64_t version_ = 0;
  std::string hash_;
  // Whether the sender reaches the store; nothing when it has not tried.
  std::optional<bool> storeReachable_;
  std::string withdrawnDigest_;
  GossipTiming timing_;
};

struct NodeIntent
{
  enum class Kind
  {
    // tracker_ is to be carried out; never a SendGossip.
    Tracker,
    // gossip_ to peer_.
    SendGossip,
    // withdrawn_ to peer_.
    SendWithdrawn,
    // Read the store, withdraw the keys in withdrawn_ and commit.
    CommitWithdrawals,
  };

  Kind kind_ = Kind::Tracker;
  TrackerIntent tracker_;
  std::string peer_;
  GossipMessage gossip_;
  std::vector<WithdrawnKey> withdrawn_;
};

// What this host knows of another one.
struct HostVersion
{
  std::string host_;
  // 0 when it never reported.
  std::int64_t version_ = 0;
  // It reported this host's version and hash within the freshness limit.
  bool confirmed_ = false;
};

class ConfigurationNode
{
public:
  ConfigurationNode(std::string aHost,
                    std::string aRegion,
                    std::uint64_t aFirstSequence,
                    NodeOptions aOptions = {});

  // The live hosts; this host may be among them.
  void SetHosts(TimePoint aNow, const std::vector<TrackerHost>& aHosts);

  void OnWatchEvent(std::string_view aRecord);
  void OnWatchEnded(TimePoint aNow);
  void OnReadResult(TimePoint aNow,
                    std::uint64_t aReadId,
                    const std::optional<std::string>& aRecord);
  void OnReadFailed(TimePoint aNow, std::uint64_t aReadId);
  void OnCommitted(const ConfigurationRecord& aRecord);

  void OnGossip(TimePoint aNow,
                const std::string& aPeer,
                const GossipMessage& aMessage);
  void OnRequest(const std::string& aPeer,
                 std::int64_t aVersion,
                 const std::string& aHash,
                 bool aWhole);
  void OnDelta(TimePoint aNow,
               const std::string& aPeer,
               std::string_view aBytes);
  void OnWithdrawnKeys(const std::vector<WithdrawnKey>& aKeys);

  // Withdraws a key by the peers alone. Returns false when the key does not
  // exist here, this host is not fresh, or the set is full.
  bool WithdrawDuringOutage(TimePoint aNow, const std::string& aId);
  // A majority of the listed hosts has the withdrawal, or it is committed. From
  // then on every host that serves keyed routes refuses the key within the
  // freshness limit.
  bool IsDisseminated(const std::string& aId) const;

  void OnTimer(TimePoint aNow);
  // To be called after each event.
  std::vector<NodeIntent> TakeIntents(TimePoint aNow);

  const SnapshotPtr& InForce() const { return tracker_.InForce(); }
  const WithdrawnKeys& Withdrawn() const { return withdrawn_; }
  TimePoint FreshUntil() const { return freshness_.FreshUntil(); }
  std::optional<bool> StoreReachable() const
  {
    return tracker_.StoreReachable();
  }
  // The listed hosts without this one.
  std::vector<HostVersion> HostVersions(TimePoint aNow) const;

private:
  struct PeerReport
  {
    std::int64_t version_ = 0;
    std::string hash_;
    TimePoint receivedAt_{};
  };

  void ScheduleCommit(TimePoint aNow);

  const std::string host_;
  const NodeOptions options_;
  ConfigurationTracker tracker_;
  KeyFreshness freshness_;
  WithdrawnKeys withdrawn_;
  std::vector<std::string> peers_;
  std::map<std::string, PeerReport> reports_;
  std::map<std::string, TimePoint> withdrawnAt_;
  std::vector<NodeIntent> intents_;
  std::optional<TimePoint> nextCommit_;
};

}
