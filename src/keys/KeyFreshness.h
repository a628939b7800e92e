#pragma once

// Determines until when this host may serve keyed routes, that is, until when
// its knowledge of withdrawn keys counts as fresh. Performs no I/O. The
// platform thread publishes FreshUntil() and the traffic thread compares it
// with the clock for each request, so a host that was paused refuses keyed
// requests immediately.
//
// A confirmation is a point in time as of which this host's state
// (configuration version and withdrawn keys) was complete. It comes either from
// a read of the store, as of the time the read was sent, or from the gossip of
// a peer with the same state, as of that peer's own confirmation. Peers report
// the age of their confirmation, so isolated hosts cannot keep each other
// fresh.
//
// A message may have waited in a buffer, for example while this host was
// paused. Each gossip therefore echoes the sequence number of the last gossip
// that its sender received from this host, and the time since then. The sending
// time of that sequence number plus the echo delay is a lower bound for the
// time at which the gossip was sent, on this host's own clock. Gossip without a
// known echo confirms nothing.
//
// During a known store outage nobody can commit a withdrawal. The host then
// keeps serving as long as half of the other listed hosts, which together with
// itself are a majority, have the same state and do not reach the store either.

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct FreshnessOptions
{
  // The freshness limit: keyed routes are refused once the last confirmation is
  // this old.
  Duration freshnessLimit_ = std::chrono::seconds(5);
  // A host that was not fresh accepts a confirmation by the store alone only
  // after this delay. Meanwhile its peers report keys that were withdrawn
  // during a store outage and have not been committed yet.
  Duration recoveryDelay_ = std::chrono::seconds(2);
};

// The part of a gossip message from which its receiver derives when it was
// sent.
struct GossipTiming
{
  std::uint64_t sequence_ = 0;
  // The last sequence number received from the destination, or 0.
  std::uint64_t echo_ = 0;
  // Time since that sequence number was received.
  Duration echoDelay_{};
  // Age of the sender's own last confirmation, if it has one.
  std::optional<Duration> confirmationAge_;
};

class KeyFreshness
{
public:
  // aFirstSequence must be random for each process, so that an echo of gossip
  // from a previous process is not attributed to this one.
  explicit KeyFreshness(std::uint64_t aFirstSequence,
                        FreshnessOptions aOptions = {});

  // Sets the live hosts except this one.
  void SetPeers(const std::vector<std::string>& aPeers);

  // A store read sent at aSentAt returned the version in force.
  void OnStoreConfirmed(TimePoint aNow, TimePoint aSentAt);
  // Whether the last store call was answered.
  void SetStoreReachable(bool aReachable);

  // Returns the timing fields for a gossip message to the peer.
  GossipTiming MakeTiming(const std::string& aPeer, TimePoint aNow);
  // aSameState: the peer reported this host's version, hash and withdrawn keys.
  // aStoreReachable: what the peer reported, if anything.
  void OnGossip(const std::string& aPeer,
                TimePoint aNow,
                const GossipTiming& aTiming,
                bool aSameState,
                std::optional<bool> aStoreReachable);

  // Keyed routes may be served strictly before this time.
  TimePoint FreshUntil() const;
  // The time as of which this host's state is confirmed.
  std::optional<TimePoint> ConfirmedAt() const { return confirmedAt_; }
  // Whether a listed peer reported within the freshness limit that it does not
  // reach the store.
  bool PeerReportsOutage(TimePoint aNow) const;
  // The number of listed peers that had the same state at or after aSince.
  std::size_t PeersInSameState(TimePoint aSince) const;
  // Half of the other listed hosts, rounded up; a majority together with this
  // host.
  std::size_t PeersNeeded() const { return (peers_.size() + 1) / 2; }

private:
  struct Peer
  {
    std::uint64_t lastSequence_ = 0;
    TimePoint lastReceivedAt_{};
    // Sending time of the latest gossip whose time is known.
    std::optional<TimePoint> reportedAt_;
    std::optional<TimePoint> sameStateAt_;
    bool sameState_ = false;
    std::optional<bool> storeReachable_;
    // The peer's own confirmation, or reportedAt_ if it has none.
    TimePoint confirmedAt_{};
  };

  std::optional<TimePoint> SentTimeOf(const GossipTiming& aTiming,
                                      TimePoint aNow) const;
  void ExtendOutagePeriod();

  const FreshnessOptions options_;
  std::uint64_t lastSequence_;
  std::map<std::uint64_t, TimePoint> sentAt_;
  // Distinguishes an empty host list from one that has not been read yet.
  bool listKnown_ = false;
  std::map<std::string, Peer> peers_;
  std::optional<TimePoint> confirmedAt_;
  std::optional<bool> storeReachable_;
  TimePoint outageUntil_ = TimePoint::min();
  std::optional<TimePoint> recoveringSince_;
};

}
