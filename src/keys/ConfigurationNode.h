#pragma once

// Disseminates configurations and withdrawn keys on one host by combining
// ConfigurationTracker, KeyFreshness and WithdrawnKeys. Performs no I/O; owned
// by the platform thread.
//
//   ConfigurationNode node("host-1", "eu-west", firstSequence);
//   node.SetHosts(now, hosts);
//   node.OnTimer(now);                         // at least every 100 ms
//   for (NodeAction& action : node.TakeActions(now)) { Execute(action); }
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
  // Once the last confirmation is this old, a host reads the store itself even
  // if it is not one of its region's watchers.
  Duration readStoreAtAge_ = std::chrono::seconds(2);
  // Retry interval for committing keys that were withdrawn during an outage.
  Duration commitInterval_ = std::chrono::seconds(2);
  // Delay between the first attempts of successive hosts, in rendezvous order.
  Duration commitStagger_ = std::chrono::milliseconds(500);
};

// The state that a host sends to its peers every second.
struct GossipMessage
{
  std::int64_t version_ = 0;
  std::string hash_;
  // Whether the sender reaches the store; nothing if it has not tried yet.
  std::optional<bool> storeReachable_;
  std::string withdrawnDigest_;
  GossipTiming timing_;
};

// An action for the caller of ConfigurationNode to execute.
struct NodeAction
{
  enum class Kind
  {
    // Execute tracker_, which is never a SendGossip.
    Tracker,
    // Send gossip_ to peer_.
    SendGossip,
    // Send withdrawn_ to peer_.
    SendWithdrawn,
    // Read the configuration from the store, withdraw the keys in withdrawn_
    // and commit the result.
    CommitWithdrawals,
  };

  Kind kind_ = Kind::Tracker;
  TrackerAction tracker_;
  std::string peer_;
  GossipMessage gossip_;
  std::vector<WithdrawnKey> withdrawn_;
};

// The configuration version that another host reported.
struct HostVersion
{
  std::string host_;
  // 0 if the host has not reported a version.
  std::int64_t version_ = 0;
  // Within the freshness limit, the host reported the same version and hash as
  // are in force on this one.
  bool confirmed_ = false;
};

class ConfigurationNode
{
public:
  ConfigurationNode(std::string aHost,
                    std::string aRegion,
                    std::uint64_t aFirstSequence,
                    NodeOptions aOptions = {});

  // Sets the live hosts, which may include this one.
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

  // Withdraws a key through the peers, without the store. Returns false when
  // the key is not in the configuration in force, this host is not fresh, or
  // the set is full.
  bool WithdrawDuringOutage(TimePoint aNow, const std::string& aId);
  // Whether a majority of the listed hosts has the withdrawal or it has been
  // committed. Every host that still serves keyed routes then refuses the key
  // within the freshness limit.
  bool IsDisseminated(const std::string& aId) const;

  void OnTimer(TimePoint aNow);
  // Must be called after each event.
  std::vector<NodeAction> TakeActions(TimePoint aNow);

  const SnapshotPtr& InForce() const { return tracker_.InForce(); }
  const WithdrawnKeys& Withdrawn() const { return withdrawn_; }
  TimePoint FreshUntil() const { return freshness_.FreshUntil(); }
  std::optional<bool> StoreReachable() const
  {
    return tracker_.StoreReachable();
  }
  // The versions of all listed hosts except this one.
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
  std::vector<NodeAction> actions_;
  std::optional<TimePoint> nextCommit_;
};

}
