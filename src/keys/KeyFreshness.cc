#include "keys/KeyFreshness.h"

#include <algorithm>
#include <functional>

namespace peridotsail {

KeyFreshness::KeyFreshness(std::uint64_t aFirstSequence,
                           FreshnessOptions aOptions)
  : options_(aOptions)
  , lastSequence_(aFirstSequence)
{
}

void
KeyFreshness::SetPeers(const std::vector<std::string>& aPeers)
{
  std::map<std::string, Peer> listed;
  for (const std::string& name : aPeers) {
    const auto known = peers_.find(name);
    listed[name] = known == peers_.end() ? Peer{} : known->second;
  }
  peers_ = std::move(listed);
  listKnown_ = true;
}

void
KeyFreshness::OnStoreConfirmed(TimePoint aNow, TimePoint aSentAt)
{
  if (aNow >= FreshUntil()) {
    if (!recoveringSince_) {
      recoveringSince_ = aNow;
    }
    const bool settled = (listKnown_ && peers_.empty()) ||
                         aNow - *recoveringSince_ >= options_.settle_ ||
                         PeersInSameState(*recoveringSince_) > 0;
    if (!settled) {
      return;
    }
  }
  recoveringSince_.reset();
  confirmedAt_ = std::max(confirmedAt_.value_or(aSentAt), aSentAt);
}

void
KeyFreshness::SetStoreReachable(bool aReachable)
{
  storeReachable_ = aReachable;
  ExtendOutage();
}

GossipTiming
KeyFreshness::Stamp(const std::string& aPeer, TimePoint aNow)
{
  GossipTiming stamp;
  stamp.sequence_ = ++lastSequence_;
  sentAt_[stamp.sequence_] = aNow;
  // A confirmation older than the limit is of no use.
  while (sentAt_.begin()->second < aNow - options_.limit_) {
    sentAt_.erase(sentAt_.begin());
  }
  const auto peer = peers_.find(aPeer);
  if (peer != peers_.end() && peer->second.lastSequence_ != 0) {
    stamp.echo_ = peer->second.lastSequence_;
    stamp.echoDelay_ = aNow - peer->second.lastReceivedAt_;
  }
  if (confirmedAt_) {
    stamp.confirmationAge_ = aNow - *confirmedAt_;
  }
  return stamp;
}

std::optional<TimePoint>
KeyFreshness::DateOf(const GossipTiming& aStamp, TimePoint aNow) const
{
  const auto sent = sentAt_.find(aStamp.echo_);
  if (sent == sentAt_.end() || aStamp.echoDelay_ < Duration::zero() ||
      aStamp.echoDelay_ > aNow - sent->second) {
    return std::nullopt;
  }
  return sent->second + aStamp.echoDelay_;
}

void
KeyFreshness::OnGossip(const std::string& aPeer,
                       TimePoint aNow,
                       const GossipTiming& aStamp,
                       bool aSameState,
                       std::optional<bool> aStoreReachable)
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.lastSequence_ = aStamp.sequence_;
  peer.lastReceivedAt_ = aNow;
  const std::optional<TimePoint> date = DateOf(aStamp, aNow);
  if (!date || (peer.statedAt_ && *date < *peer.statedAt_)) {
    return;
  }
  const Duration age = aStamp.confirmationAge_.value_or(Duration::zero());
  if (age < Duration::zero() || age > aNow.time_since_epoch()) {
    return;
  }
  peer.statedAt_ = date;
  peer.sameState_ = aSameState;
  peer.storeReachable_ = aStoreReachable;
  peer.confirmedAt_ = *date - age;
  if (aSameState) {
    peer.sameStateAt_ = date;
    if (aStamp.confirmationAge_) {
      confirmedAt_ =
        std::max(confirmedAt_.value_or(peer.confirmedAt_), peer.confirmedAt_);
    }
  }
  ExtendOutage();
}

TimePoint
KeyFreshness::FreshUntil() const
{
  if (listKnown_ && peers_.empty() && storeReachable_ == false) {
    // This is the only host, so a withdrawal can come through it only.
    return TimePoint::max();
  }
  return confirmedAt_ ? std::max(*confirmedAt_ + options_.limit_, outageUntil_)
                      : outageUntil_;
}

// Extends the time in which a known outage allows to continue. A grant stays
// valid when the store returns: it rests on statements made before that.
void
KeyFreshness::ExtendOutage()
{
  if (storeReachable_ != false) {
    return;
  }
  std::vector<TimePoint> agreeing;
  TimePoint lastReach = TimePoint::min();
  for (const auto& [name, peer] : peers_) {
    if (!peer.statedAt_) {
      continue;
    }
    if (peer.storeReachable_ == true) {
      lastReach = std::max(lastReach, peer.confirmedAt_ + options_.limit_);
    } else if (peer.storeReachable_ == false && peer.sameState_) {
      agreeing.push_back(*peer.statedAt_);
    }
  }
  const std::size_t needed = PeersNeeded();
  if (needed == 0 || agreeing.size() < needed) {
    return;
  }
  std::sort(agreeing.begin(), agreeing.end(), std::greater<>());
  const TimePoint until = agreeing[needed - 1] + options_.limit_;
  // A peer that reached the store within the limit contradicts an outage. Its
  // confirmation serves this host as long, if both have the same state.
  if (lastReach < until) {
    outageUntil_ = std::max(outageUntil_, until);
  }
}

bool
KeyFreshness::PeerReportsOutage(TimePoint aNow) const
{
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.statedAt_ && peer.storeReachable_ == false &&
           aNow - *peer.statedAt_ < options_.limit_;
  });
}

std::size_t
KeyFreshness::PeersInSameState(TimePoint aSince) const
{
  return static_cast<std::size_t>(
    std::count_if(peers_.begin(), peers_.end(), [&](const auto& aEntry) {
      const Peer& peer = aEntry.second;
      return peer.sameStateAt_ && *peer.sameStateAt_ >= aSince;
    }));
}

}
