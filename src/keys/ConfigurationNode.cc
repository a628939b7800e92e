#include "keys/ConfigurationNode.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

ConfigurationNode::ConfigurationNode(std::string aHost,
                                     std::string aRegion,
                                     std::uint64_t aFirstSequence,
                                     NodeOptions aOptions)
  : host_(aHost)
  , options_(aOptions)
  , tracker_(std::move(aHost), std::move(aRegion), aOptions.tracker_)
  , freshness_(aFirstSequence, aOptions.freshness_)
{
}

void
ConfigurationNode::SetHosts(TimePoint aNow,
                            const std::vector<TrackerHost>& aHosts)
{
  peers_.clear();
  for (const TrackerHost& host : aHosts) {
    if (host.name_ != host_) {
      peers_.push_back(host.name_);
    }
  }
  freshness_.SetPeers(peers_);
  tracker_.SetHosts(aNow, aHosts);
}

void
ConfigurationNode::OnWatchEvent(std::string_view aRecord)
{
  tracker_.OnWatchEvent(aRecord);
}

void
ConfigurationNode::OnWatchEnded(TimePoint aNow)
{
  tracker_.OnWatchEnded(aNow);
}

void
ConfigurationNode::OnReadResult(TimePoint aNow,
                                std::uint64_t aReadId,
                                const std::optional<std::string>& aRecord)
{
  const ReadOutcome outcome = tracker_.OnReadResult(aNow, aReadId, aRecord);
  if (outcome.sentAt_) {
    freshness_.SetStoreReachable(true);
    if (outcome.matchesInForce_) {
      freshness_.OnStoreConfirmed(aNow, *outcome.sentAt_);
    }
  }
}

void
ConfigurationNode::OnReadFailed(TimePoint aNow, std::uint64_t aReadId)
{
  tracker_.OnReadFailed(aNow, aReadId);
}

void
ConfigurationNode::OnCommitted(const ConfigurationRecord& aRecord)
{
  tracker_.OnCommitted(aRecord);
}

void
ConfigurationNode::OnGossip(TimePoint aNow,
                            const std::string& aPeer,
                            const GossipMessage& aMessage)
{
  reports_[aPeer] = { aMessage.version_, aMessage.hash_, aNow };
  tracker_.OnGossip(aNow, aPeer, aMessage.version_, aMessage.hash_);
  const SnapshotPtr& inForce = tracker_.InForce();
  const bool sameKeys = aMessage.withdrawnDigest_ == withdrawn_.Digest();
  const bool sameState = inForce != nullptr && sameKeys &&
                         inForce->version_ == aMessage.version_ &&
                         inForce->hash_ == aMessage.hash_;
  freshness_.OnGossip(
    aPeer, aNow, aMessage.timing_, sameState, aMessage.storeReachable_);
  if (!sameKeys && !withdrawn_.IsEmpty()) {
    NodeAction action;
    action.kind_ = NodeAction::Kind::SendWithdrawn;
    action.peer_ = aPeer;
    action.withdrawn_ = withdrawn_.List();
    actions_.push_back(std::move(action));
  }
}

void
ConfigurationNode::OnRequest(const std::string& aPeer,
                             std::int64_t aVersion,
                             const std::string& aHash,
                             bool aWhole)
{
  tracker_.OnRequest(aPeer, aVersion, aHash, aWhole);
}

void
ConfigurationNode::OnDelta(TimePoint aNow,
                           const std::string& aPeer,
                           std::string_view aBytes)
{
  tracker_.OnDelta(aNow, aPeer, aBytes);
}

void
ConfigurationNode::OnWithdrawnKeys(const std::vector<WithdrawnKey>& aKeys)
{
  if (!withdrawn_.Merge(aKeys)) {
    return;
  }
  if (tracker_.InForce()) {
    withdrawn_.Prune(*tracker_.InForce()->configuration_);
  }
  // The digest in the gossip tells the sender and the other peers that this
  // host has the set.
  tracker_.ExpediteGossip();
}

bool
ConfigurationNode::WithdrawDuringOutage(TimePoint aNow, const std::string& aId)
{
  const SnapshotPtr& inForce = tracker_.InForce();
  if (!inForce || aNow >= FreshUntil()) {
    return false;
  }
  const std::vector<KeyConfig>& keys = inForce->configuration_->keys_;
  const bool exists =
    std::any_of(keys.begin(), keys.end(), [&](const KeyConfig& aKey) {
      return aKey.id_ == aId;
    });
  if (!exists || !withdrawn_.Add({ aId, inForce->version_ })) {
    return false;
  }
  withdrawnAt_.insert({ aId, aNow });
  withdrawn_.Prune(*inForce->configuration_);
  for (const std::string& peer : tracker_.GossipTargets()) {
    NodeAction action;
    action.kind_ = NodeAction::Kind::SendWithdrawn;
    action.peer_ = peer;
    action.withdrawn_ = withdrawn_.List();
    actions_.push_back(std::move(action));
  }
  tracker_.ExpediteGossip();
  return true;
}

bool
ConfigurationNode::IsDisseminated(const std::string& aId) const
{
  const auto since = withdrawnAt_.find(aId);
  if (since == withdrawnAt_.end()) {
    return false;
  }
  // A peer that reports the same state after the withdrawal has the ID, or both
  // hosts have a configuration that covers it.
  return !withdrawn_.Has(aId) ||
         freshness_.PeersInSameState(since->second) >= freshness_.PeersNeeded();
}

void
ConfigurationNode::OnTimer(TimePoint aNow)
{
  const std::optional<TimePoint> confirmed = freshness_.ConfirmedAt();
  const bool stale =
    !confirmed || aNow - *confirmed >= options_.readStoreAtAge_;
  tracker_.ForceReads(stale || freshness_.PeerReportsOutage(aNow));
  tracker_.OnTimer(aNow);
  if (tracker_.StoreReachable()) {
    freshness_.SetStoreReachable(*tracker_.StoreReachable());
  }
  ScheduleCommit(aNow);
}

// Hosts that reach the store commit the keys withdrawn during an outage. Their
// attempts are staggered in rendezvous order so that usually only one host
// writes; concurrent writes are safe because the commit is a compare-and-swap.
void
ConfigurationNode::ScheduleCommit(TimePoint aNow)
{
  if (withdrawn_.IsEmpty() || tracker_.StoreReachable() != true) {
    nextCommit_.reset();
    return;
  }
  if (!nextCommit_) {
    const std::string digest = withdrawn_.Digest();
    const std::uint64_t seed = StableHash(digest);
    const auto rank =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& aPeer) {
        return StableHash(aPeer, seed) > StableHash(host_, seed);
      });
    nextCommit_ = aNow + rank * options_.commitStagger_;
  }
  if (aNow < *nextCommit_) {
    return;
  }
  nextCommit_ = aNow + options_.commitInterval_;
  actions_.emplace_back();
  actions_.back().kind_ = NodeAction::Kind::CommitWithdrawals;
  actions_.back().withdrawn_ = withdrawn_.List();
}

std::vector<NodeAction>
ConfigurationNode::TakeActions(TimePoint aNow)
{
  for (TrackerAction& step : tracker_.TakeActions()) {
    if (step.kind_ == TrackerAction::Kind::Adopted) {
      withdrawn_.Prune(*step.snapshot_->configuration_);
    }
    NodeAction action;
    action.peer_ = step.peer_;
    if (step.kind_ == TrackerAction::Kind::SendGossip) {
      action.kind_ = NodeAction::Kind::SendGossip;
      action.gossip_.version_ = step.version_;
      action.gossip_.hash_ = step.hash_;
      action.gossip_.storeReachable_ = tracker_.StoreReachable();
      action.gossip_.withdrawnDigest_ = withdrawn_.Digest();
      action.gossip_.timing_ = freshness_.MakeTiming(step.peer_, aNow);
    } else {
      action.tracker_ = std::move(step);
    }
    actions_.push_back(std::move(action));
  }
  return std::exchange(actions_, {});
}

std::vector<HostVersion>
ConfigurationNode::HostVersions(TimePoint aNow) const
{
  std::vector<HostVersion> rows;
  for (const std::string& peer : peers_) {
    HostVersion row;
    row.host_ = peer;
    const auto report = reports_.find(peer);
    if (report != reports_.end()) {
      const SnapshotPtr& inForce = tracker_.InForce();
      row.version_ = report->second.version_;
      row.confirmed_ =
        inForce != nullptr && inForce->version_ == report->second.version_ &&
        inForce->hash_ == report->second.hash_ &&
        aNow - report->second.receivedAt_ < options_.freshness_.freshnessLimit_;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}
