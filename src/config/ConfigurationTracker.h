#pragma once

// Decides which configuration version is in force on this host, and what to ask
// the store and the peers. Pure: it takes events with their time and leaves
// intents for the caller to carry out.
//
// Invariant: the version in force never decreases, whatever the store or a peer
// says. Every candidate passes IsNewer(), which compares versions.
//
//   ConfigurationTracker tracker("host-1", "eu-west", options);
//   tracker.SetHosts(now, hosts);
//   tracker.OnTimer(now);
//   for (TrackerIntent& intent : tracker.TakeIntents()) { Carry(intent); }

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
  // Hosts of each region that watch the store.
  std::size_t watchersPerRegion_ = 2;
  // A watcher also reads the key, because a watch can go silent.
  Duration readInterval_ = std::chrono::seconds(2);
  // A read without an answer counts as failed after this time.
  Duration readTimeout_ = std::chrono::seconds(1);
  Duration gossipInterval_ = std::chrono::seconds(1);
  // Peers that get each gossip. Up to 7 hosts hear each other directly; larger
  // fleets use a rotating choice.
  std::size_t gossipFanout_ = 6;
  // Time after which a request to a peer is sent again or to another peer.
  Duration requestTimeout_ = std::chrono::seconds(1);
  // Time before a watch that ended is started again.
  Duration watchRestart_ = std::chrono::seconds(1);
  // Former versions kept as bases of deltas.
  std::size_t keptVersions_ = 16;
};

// A live host that is not leaving, from the host list.
struct TrackerHost
{
  std::string name_;
  std::string region_;
};

struct TrackerIntent
{
  enum class Kind
  {
    StartWatch,
    StopWatch,
    // readId_ comes back with the result.
    ReadStore,
    // To peer_: version and hash in force.
    SendGossip,
    // To peer_: version_ and hash_ in force here; whole_ asks for the whole
    // document.
    SendRequest,
    // To peer_: bytes_ from EncodeDelta.
    SendDelta,
    // snapshot_ came into force. source_ is "store", "commit" or the peer.
    Adopted,
    // A version older than the one in force was offered by source_.
    OlderIgnored,
    // A document or message of source_ was refused for the reason in bytes_.
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

// What became of a read of the store's key.
struct ReadOutcome
{
  // Nothing when the read had timed out before and was unknown since.
  std::optional<TimePoint> sentAt_;
  // The value read is the version in force.
  bool matchesInForce_ = false;
};

class ConfigurationTracker
{
public:
  ConfigurationTracker(std::string aHost,
                       std::string aRegion,
                       TrackerOptions aOptions = {});

  // The live hosts; this host may be among them.
  void SetHosts(TimePoint aNow, std::vector<TrackerHost> aHosts);
  // While true, reads the store although this host is no watcher.
  void ForceReads(bool aWanted) { readingWanted_ = aWanted; }

  void OnWatchEvent(std::string_view aRecord);
  void OnWatchEnded(TimePoint aNow);
  // aRecord is nothing when the store answered that the key does not exist.
  ReadOutcome OnReadResult(TimePoint aNow,
                           std::uint64_t aReadId,
                           const std::optional<std::string>& aRecord);
  void OnReadFailed(TimePoint aNow, std::uint64_t aReadId);
  // This host's own commit was accepted by the store.
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

  // To be called at least every 100 ms.
  void OnTimer(TimePoint aNow);
  // Sends the next gossip at the next timer.
  void ExpediteGossip() { nextGossip_ = TimePoint::min(); }

  std::vector<TrackerIntent> TakeIntents();

  // Null until the first version.
  const SnapshotPtr& InForce() const { return inForce_; }
  bool IsWatcher() const { return watcher_; }
  bool ReadPending() const { return readSentAt_.has_value(); }
  // The last read that was tried was answered; nothing before the first.
  std::optional<bool> StoreReachable() const { return storeReachable_; }
  std::vector<std::string> GossipTargets() const;

private:
  using Kind = TrackerIntent::Kind;

  TrackerIntent& Emit(Kind aKind);
  bool IsNewer(std::int64_t aVersion, const std::string& aSource);
  void Consider(const SnapshotPtr& aCandidate, const std::string& aSource);
  void ConsiderRecord(const ConfigurationRecord& aRecord,
                      const std::string& aSource);
  void Refuse(const std::string& aSource, std::string aReason);
  void RestartSilentWatch(TimePoint aNow);
  void SetStoreReachable(bool aReachable);
  void Request(TimePoint aNow, const std::string& aPeer, bool aWhole);
  const std::string& DeltaFor(std::int64_t aVersion, const std::string& aHash);
  void ManageWatch(TimePoint aNow);
  void ManageRead(TimePoint aNow);

  const std::string host_;
  const std::string region_;
  const TrackerOptions options_;
  std::vector<TrackerHost> hosts_;
  std::vector<TrackerIntent> intents_;

  SnapshotPtr inForce_;
  // Former versions, the newest first.
  std::deque<SnapshotPtr> former_;
  // Encoded deltas to the version in force by base version; 0 is the whole.
  std::map<std::int64_t, std::string> encoded_;

  bool watcher_ = false;
  std::optional<TimePoint> watchStartedAt_;
  TimePoint watchNotBefore_ = TimePoint::min();
  bool readingWanted_ = false;
  std::uint64_t lastReadId_ = 0;
  std::optional<TimePoint> readSentAt_;
  TimePoint nextRead_ = TimePoint::min();
  std::optional<bool> storeReachable_;
  TimePoint nextGossip_ = TimePoint::min();
  std::uint64_t gossipRound_ = 0;
  std::optional<TimePoint> requestSentAt_;
};

// The names of aCount hosts of aRegion with the highest rendezvous weights.
// Hosts that see the same list choose the same watchers.
std::vector<std::string>
ChooseWatchers(const std::vector<TrackerHost>& aHosts,
               std::string_view aRegion,
               std::size_t aCount);

}
