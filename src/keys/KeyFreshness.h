#pragma once

// Whether this host knows of withdrawn keys: the time until which it may serve
// keyed routes. Pure; the platform thread feeds it and publishes FreshUntil(),
// which the traffic thread compares with the clock at each request, so a host
// that was paused refuses at once.
//
// A confirmation is a moment as of which this host's state (configuration
// version and withdrawn keys) contained everything that was known. Two sources
// give one: a read of the store, as of its sending; and the gossip of a peer
// with the same state, as of the peer's own confirmation. The peer states the
// age of that, so isolated hosts cannot keep each other fresh.
//
// A message may have waited in a buffer, for example while this host was
// paused. Each gossip therefore echoes the number of the last gossip that its
// sender received from this host and how long ago that was; the moment at which
// it was sent is then at least the sending time of that number plus the hold
// time, on this host's own clock. A gossip without a known echo confirms
// nothing.
//
// In a known store outage nobody can commit a withdrawal. The host continues
// while half of the other listed hosts, so a majority with itself, have the
// same state and do not reach the store either.

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct FreshnessOptions
{
  // Age of the last confirmation at which keyed routes are refused.
  Duration limit_ = std::chrono::seconds(5);
  // A host that was not fresh is made fresh by the store alone only after this
  // time, in which its peers report keys that were withdrawn in a store outage
  // and are not yet committed.
  Duration settle_ = std::chrono::seconds(2);
};

// The part of a gossip that dates it.
struct GossipTiming
{
  std::uint64_t sequence_ = 0;
  // The last sequence received from the peer that this goes to; 0 for none.
  std::uint64_t echo_ = 0;
  // Time since that was received.
  Duration echoDelay_{};
  // Age of the sender's own last confirmation; nothing when it has none.
  std::optional<Duration> confirmationAge_;
};

class KeyFreshness
{
public:
  // aFirstSequence is a random number of this process, so that an echo of a
  // former process's gossip is not mistaken for one of this process.
  explicit KeyFreshness(std::uint64_t aFirstSequence,
                        FreshnessOptions aOptions = {});

  // The live hosts without this one.
  void SetPeers(const std::vector<std::string>& aPeers);

  // A read that was sent at aSentAt returned the version in force.
  void OnStoreConfirmed(TimePoint aNow, TimePoint aSentAt);
  // The last call to the store had no answer, or had one again.
  void SetStoreReachable(bool aReachable);

  // The stamp of a gossip to the peer.
  GossipTiming Stamp(const std::string& aPeer, TimePoint aNow);
  // aSameState: the peer had this host's version, hash and withdrawn keys.
  // aStoreReachable: as the peer states it; nothing when it has not tried.
  void OnGossip(const std::string& aPeer,
                TimePoint aNow,
                const GossipTiming& aStamp,
                bool aSameState,
                std::optional<bool> aStoreReachable);

  // Keyed routes are served strictly before this time.
  TimePoint FreshUntil() const;
  // The time as of which this host's state is confirmed.
  std::optional<TimePoint> ConfirmedAt() const { return confirmedAt_; }
  // A listed peer stated within the limit that it does not reach the store.
  bool PeerReportsOutage(TimePoint aNow) const;
  // The number of listed peers that had the same state at aSince or later.
  std::size_t PeersInSameState(TimePoint aSince) const;
  // Half of the other listed hosts, rounded up: with this host a majority.
  std::size_t PeersNeeded() const { return (peers_.size() + 1) / 2; }

private:
  struct Peer
  {
    std::uint64_t lastSequence_ = 0;
    TimePoint lastReceivedAt_{};
    // The last dated statement.
    std::optional<TimePoint> statedAt_;
    std::optional<TimePoint> sameStateAt_;
    bool sameState_ = false;
    std::optional<bool> storeReachable_;
    // The peer's own confirmation, or statedAt_ when it has none.
    TimePoint confirmedAt_{};
  };

  std::optional<TimePoint> DateOf(const GossipTiming& aStamp,
                                  TimePoint aNow) const;
  void ExtendOutage();

  const FreshnessOptions options_;
  std::uint64_t lastSequence_;
  std::map<std::uint64_t, TimePoint> sentAt_;
  // A host that has not read the list must not take itself for the only one.
  bool listKnown_ = false;
  std::map<std::string, Peer> peers_;
  std::optional<TimePoint> confirmedAt_;
  std::optional<bool> storeReachable_;
  TimePoint outageUntil_ = TimePoint::min();
  std::optional<TimePoint> recoveringSince_;
};

}
