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
    const bool recovered =
      (listKnown_ && peers_.empty()) ||
      aNow - *recoveringSince_ >= options_.recoveryDelay_ ||
      PeersInSameState(*recoveringSince_) > 0;
    if (!recovered) {
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
  ExtendOutagePeriod();
}

GossipTiming
KeyFreshness::MakeTiming(const std::string& aPeer, TimePoint aNow)
{
  GossipTiming timing;
  timing.sequence_ = ++lastSequence_;
  sentAt_[timing.sequence_] = aNow;
  // An echo of an older message could only yield an expired confirmation.
  while (sentAt_.begin()->second < aNow - options_.freshnessLimit_) {
    sentAt_.erase(sentAt_.begin());
  }
  const auto peer = peers_.find(aPeer);
  if (peer != peers_.end() && peer->second.lastSequence_ != 0) {
    timing.echo_ = peer->second.lastSequence_;
    timing.echoDelay_ = aNow - peer->second.lastReceivedAt_;
  }
  if (confirmedAt_) {
    timing.confirmationAge_ = aNow - *confirmedAt_;
  }
  return timing;
}

std::optional<TimePoint>
KeyFreshness::SentTimeOf(const GossipTiming& aTiming, TimePoint aNow) const
{
  const auto sent = sentAt_.find(aTiming.echo_);
  if (sent == sentAt_.end() || aTiming.echoDelay_ < Duration::zero() ||
      aTiming.echoDelay_ > aNow - sent->second) {
    return std::nullopt;
  }
  return sent->second + aTiming.echoDelay_;
}

void
KeyFreshness::OnGossip(const std::string& aPeer,
                       TimePoint aNow,
                       const GossipTiming& aTiming,
                       bool aSameState,
                       std::optional<bool> aStoreReachable)
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.lastSequence_ = aTiming.sequence_;
  peer.lastReceivedAt_ = aNow;
  const std::optional<TimePoint> sentAt = SentTimeOf(aTiming, aNow);
  if (!sentAt || (peer.reportedAt_ && *sentAt < *peer.reportedAt_)) {
    return;
  }
  const Duration age = aTiming.confirmationAge_.value_or(Duration::zero());
  if (age < Duration::zero() || age > aNow.time_since_epoch()) {
    return;
  }
  peer.reportedAt_ = sentAt;
  peer.sameState_ = aSameState;
  peer.storeReachable_ = aStoreReachable;
  peer.confirmedAt_ = *sentAt - age;
  if (aSameState) {
    peer.sameStateAt_ = sentAt;
    if (aTiming.confirmationAge_) {
      confirmedAt_ =
        std::max(confirmedAt_.value_or(peer.confirmedAt_), peer.confirmedAt_);
    }
  }
  ExtendOutagePeriod();
}

TimePoint
KeyFreshness::FreshUntil() const
{
  if (listKnown_ && peers_.empty() && storeReachable_ == false) {
    // This is the only host, so keys can be withdrawn only through it.
    return TimePoint::max();
  }
  return confirmedAt_
           ? std::max(*confirmedAt_ + options_.freshnessLimit_, outageUntil_)
           : outageUntil_;
}

// Extends the period for which a known outage allows this host to keep serving.
// The period stays valid when the store becomes reachable again, because it is
// derived from reports that were sent before.
void
KeyFreshness::ExtendOutagePeriod()
{
  if (storeReachable_ != false) {
    return;
  }
  std::vector<TimePoint> reportTimes;
  TimePoint lastReachableUntil = TimePoint::min();
  for (const auto& [name, peer] : peers_) {
    if (!peer.reportedAt_) {
      continue;
    }
    if (peer.storeReachable_ == true) {
      lastReachableUntil = std::max(
        lastReachableUntil, peer.confirmedAt_ + options_.freshnessLimit_);
    } else if (peer.storeReachable_ == false && peer.sameState_) {
      reportTimes.push_back(*peer.reportedAt_);
    }
  }
  const std::size_t needed = PeersNeeded();
  if (needed == 0 || reportTimes.size() < needed) {
    return;
  }
  std::sort(reportTimes.begin(), reportTimes.end(), std::greater<>());
  const TimePoint until = reportTimes[needed - 1] + options_.freshnessLimit_;
  // A peer that reached the store within the freshness limit contradicts an
  // outage. If it has the same state, its confirmation keeps this host fresh
  // for at least as long.
  if (lastReachableUntil < until) {
    outageUntil_ = std::max(outageUntil_, until);
  }
}

bool
KeyFreshness::PeerReportsOutage(TimePoint aNow) const
{
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.reportedAt_ && peer.storeReachable_ == false &&
           aNow - *peer.reportedAt_ < options_.freshnessLimit_;
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
