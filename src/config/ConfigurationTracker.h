#pragma once

// Decides which configuration version is active on this host, and what to
// request from the store and the peers. Performs no I/O: it receives events
// with timestamps and returns actions, which the caller executes.
//
// Invariant: the active version never decreases, whatever the store or a peer
// reports. Every candidate must pass IsNewer(), which compares versions.
//
//   ConfigurationTracker tracker("host-1", "eu-west", options);
//   tracker.SetHosts(now, hosts);
//   tracker.OnTimer(now);
//   for (TrackerAction& action : tracker.TakeActions()) { Execute(action); }

#include "base/BootClock.h"
#include "config/ConfigurationDelta.h"
#include "config/ConfigurationSnapshot.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct TrackerOptions
{
  // Number of hosts per region that watch the store.
  std::size_t watchersPerRegion_ = 2;
  // A watcher also reads the key periodically, because a watch can stop
  // reporting events.
  Duration readInterval_ = std::chrono::seconds(2);
  // A read without a response is considered failed after this time.
  Duration readTimeout_ = std::chrono::seconds(1);
  Duration gossipInterval_ = std::chrono::seconds(1);
  // Number of peers that receive each gossip message. In fleets of up to 7
  // hosts, all hosts reach each other directly; larger fleets use a rotating
  // selection.
  std::size_t gossipFanout_ = 6;
  // Time after which a request is sent again, to the same or to another peer.
  Duration requestTimeout_ = std::chrono::seconds(1);
  // Delay before a watch that ended is restarted.
  Duration watchRestartDelay_ = std::chrono::seconds(1);
  // Number of previous versions retained as bases for deltas.
  std::size_t retainedVersions_ = 16;
};

// A live host from the host list that is not draining.
struct TrackerHost
{
  std::string name_;
  std::string region_;
};

struct TrackerAction
{
  enum class Kind
  {
    StartWatch,
    StopWatch,
    // readId_ is passed back with the result.
    ReadStore,
    // To peer_: active version and hash.
    SendGossip,
    // To peer_: active version_ and hash_ of this host; whole_ requests the
    // whole document.
    SendRequest,
    // To peer_: bytes_ from EncodeDelta.
    SendDelta,
    // snapshot_ became active. source_ is "store", "commit" or the peer.
    Adopted,
    // source_ offered a version older than the active one.
    OlderIgnored,
    // A document or message from source_ was rejected for the reason in bytes_.
    Refused,
  };

  Kind kind_ = Kind::ReadStore;
  std::string peer_;
  std::string source_;
  std::uint64_t readId_ = 0;
  std::int64_t version_ = 0;
  std::string hash_;
  bool whole_ = false;
  std::string bytes_;
  SnapshotPtr snapshot_;
};

// The result of a read of the store's key.
struct ReadOutcome
{
  // When the read was sent; empty if the read is unknown or had already timed
  // out.
  std::optional<TimePoint> sentAt_;
  // The version read is the active version.
  bool matchesInForce_ = false;
};

class ConfigurationTracker
{
public:
  ConfigurationTracker(std::string aHost,
                       std::string aRegion,
                       TrackerOptions aOptions = {});

  // Sets the live hosts, which may include this host.
  void SetHosts(TimePoint aNow, std::vector<TrackerHost> aHosts);
  // While aForce is true, reads the store even if this host is not a watcher.
  void ForceReads(bool aForce) { forceReads_ = aForce; }

  void OnWatchEvent(std::string_view aRecord);
  void OnWatchEnded(TimePoint aNow);
  // aRecord is empty if the store reported that the key does not exist.
  ReadOutcome OnReadResult(TimePoint aNow,
                           std::uint64_t aReadId,
                           const std::optional<std::string>& aRecord);
  void OnReadFailed(TimePoint aNow, std::uint64_t aReadId);
  // Reports that the store accepted a commit by this host.
  void OnCommitted(const ConfigurationRecord& aRecord);

  void OnGossip(TimePoint aNow,
                const std::string& aPeer,
                std::int64_t aVersion,
                const std::string& aHash);
  void OnRequest(const std::string& aPeer,
                 std::int64_t aVersion,
                 const std::string& aHash,
                 bool aWhole);
  void OnDelta(TimePoint aNow,
               const std::string& aPeer,
               std::string_view aBytes);

  // Must be called at least every 100 ms.
  void OnTimer(TimePoint aNow);
  // Sends gossip with the next timer instead of waiting for the interval.
  void ExpediteGossip() { nextGossip_ = TimePoint::min(); }

  std::vector<TrackerAction> TakeActions();

  // The active version; null until there is one.
  const SnapshotPtr& InForce() const { return inForce_; }
  bool IsWatcher() const { return watcher_; }
  bool ReadPending() const { return readSentAt_.has_value(); }
  // Whether the last read was answered; empty before the first one.
  std::optional<bool> StoreReachable() const { return storeReachable_; }
  std::vector<std::string> GossipTargets() const;

private:
  using Kind = TrackerAction::Kind;

  TrackerAction& Emit(Kind aKind);
  bool IsNewer(std::int64_t aVersion, const std::string& aSource);
  void AdoptIfNewer(const SnapshotPtr& aCandidate, const std::string& aSource);
  void AdoptRecordIfNewer(const ConfigurationRecord& aRecord,
                          const std::string& aSource);
  void ReportRefusal(const std::string& aSource, std::string aReason);
  void RestartSilentWatch(TimePoint aNow);
  void SetStoreReachable(bool aReachable);
  void Request(TimePoint aNow, const std::string& aPeer, bool aWhole);
  const std::string& DeltaFor(std::int64_t aVersion, const std::string& aHash);
  void UpdateWatch(TimePoint aNow);
  void UpdateRead(TimePoint aNow);

  const std::string host_;
  const std::string region_;
  const TrackerOptions options_;
  std::vector<TrackerHost> hosts_;
  std::vector<TrackerAction> actions_;

  SnapshotPtr inForce_;
  // Previous versions, newest first.
  std::deque<SnapshotPtr> previousVersions_;
  // Encoded deltas to the active version, by base version; 0 is the whole
  // document.
  std::map<std::int64_t, std::string> encodedDeltas_;

  bool watcher_ = false;
  std::optional<TimePoint> watchStartedAt_;
  TimePoint watchNotBefore_ = TimePoint::min();
  bool forceReads_ = false;
  std::uint64_t lastReadId_ = 0;
  std::optional<TimePoint> readSentAt_;
  TimePoint nextRead_ = TimePoint::min();
  std::optional<bool> storeReachable_;
  TimePoint nextGossip_ = TimePoint::min();
  std::uint64_t gossipRound_ = 0;
  std::optional<TimePoint> requestSentAt_;
};

// The names of the aCount hosts of aRegion with the highest rendezvous weights.
// Hosts with the same host list choose the same watchers.
std::vector<std::string>
ChooseWatchers(const std::vector<TrackerHost>& aHosts,
               std::string_view aRegion,
               std::size_t aCount);

}
