#include "pace/PaceTable.h"

#include <algorithm>
#include <set>

namespace peridotsail {

PaceTable::Entry::Entry(const PacedServer& aServer, ServerPaceOptions aOptions)
  : server_(aServer)
  , pace_(aServer.slots_, aOptions)
{
}

PaceTable::PaceTable(PaceTableOptions aOptions, Listener aListener)
  : options_(aOptions)
  , listener_(std::move(aListener))
{
}

void
PaceTable::SetServers(const std::vector<PacedServer>& aServers, TimePoint aNow)
{
  std::set<std::string> present;
  std::set<std::string> services;
  for (const PacedServer& server : aServers) {
    present.insert(server.id_);
    services.insert(server.service_);
    const auto found = entries_.find(server.id_);
    if (found == entries_.end()) {
      AddServer(server, aNow);
    } else {
      UpdateServer(found->second, server, aNow);
    }
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = present.count(it->first) > 0 ? std::next(it) : entries_.erase(it);
  }
  for (auto it = settledSeconds_.begin(); it != settledSeconds_.end();) {
    const bool used = services.count(it->first) > 0;
    it = used ? std::next(it) : settledSeconds_.erase(it);
  }
  hasView_ = true;
}

// The servers of the first view may have run for long.
void
PaceTable::AddServer(const PacedServer& aServer, TimePoint aNow)
{
  Entry& entry =
    entries_.try_emplace(aServer.id_, aServer, options_.pace_).first->second;
  if (hasView_) {
    entry.startedAt_ = aNow;
  }
  if (aServer.owned_ && hasView_) {
    Begin(entry, PaceCause::Started, aNow);
  } else if (aServer.owned_ && aNow < aServer.coldUntil_) {
    Begin(entry, PaceCause::Cold, aNow);
  }
}

void
PaceTable::UpdateServer(Entry& aEntry,
                        const PacedServer& aServer,
                        TimePoint aNow)
{
  const bool restarted = aServer.incarnation_ != aEntry.server_.incarnation_;
  const bool cold = aNow < aServer.coldUntil_;
  const TimePoint before = aEntry.server_.coldUntil_;
  const bool becameCold =
    cold && aNow >= before &&
    (before == TimePoint::min() ||
     aServer.coldUntil_ - before >= options_.minColdChange_);
  const bool takenOver = aServer.owned_ && !aEntry.server_.owned_;
  aEntry.server_ = aServer;
  aEntry.pace_.SetSlots(aServer.slots_);
  if (restarted) {
    aEntry.startedAt_ = aNow;
  }
  if (!aServer.owned_) {
    return;
  }
  const bool recent = aEntry.startedAt_ != TimePoint::min() &&
                      aNow - aEntry.startedAt_ <= options_.recentStart_;
  if (restarted) {
    Begin(aEntry, PaceCause::Restarted, aNow);
  } else if (becameCold || (takenOver && cold)) {
    Begin(aEntry, PaceCause::Cold, aNow);
  } else if (takenOver && recent) {
    Begin(aEntry, PaceCause::Started, aNow);
  } else if (takenOver) {
    aEntry.pace_ = ServerPace(aServer.slots_, options_.pace_);
  }
}

void
PaceTable::Begin(Entry& aEntry, PaceCause aCause, TimePoint aNow)
{
  Notify(aEntry, aEntry.pace_.Begin(aCause, aNow), aNow);
}

void
PaceTable::Notify(const Entry& aEntry,
                  const PaceChange& aChange,
                  TimePoint aNow)
{
  if (listener_) {
    listener_({ aEntry.server_.id_,
                aChange.phase_,
                aChange.cause_,
                aEntry.pace_.Limit(aNow).value_or(aEntry.server_.slots_) });
  }
}

void
PaceTable::OnRecovered(const std::string& aServer, TimePoint aNow)
{
  const auto found = entries_.find(aServer);
  if (found != entries_.end() && found->second.server_.owned_) {
    Begin(found->second, PaceCause::Recovered, aNow);
  }
}

std::optional<int>
PaceTable::Limit(const std::string& aServer, TimePoint aNow) const
{
  const auto found = entries_.find(aServer);
  const bool owned = found != entries_.end() && found->second.server_.owned_;
  return owned ? found->second.pace_.Limit(aNow) : std::nullopt;
}

PaceTicket
PaceTable::OnSent(const std::string& aServer, int aConcurrency, TimePoint aNow)
{
  const auto found = entries_.find(aServer);
  return found == entries_.end()
           ? PaceTicket{ aNow, aConcurrency }
           : found->second.pace_.OnSent(aConcurrency, aNow);
}

void
PaceTable::OnEnded(const std::string& aServer,
                   const PaceTicket& aTicket,
                   PaceOutcome aOutcome,
                   Duration aServiceTime,
                   TimePoint aNow)
{
  const auto found = entries_.find(aServer);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const double seconds = ToSeconds(aServiceTime);
  const auto settled = settledSeconds_.find(entry.server_.service_);
  const bool known = settled != settledSeconds_.end();
  if (entry.pace_.Phase() != PacePhase::Settled) {
    const PaceAnswer answer{ aOutcome,
                             aServiceTime,
                             known ? FromSeconds(settled->second)
                                   : Duration::zero() };
    if (const auto change = entry.pace_.OnEnded(aTicket, answer, aNow)) {
      Notify(entry, *change, aNow);
    }
    return;
  }
  if (aOutcome != PaceOutcome::Success) {
    return;
  }
  if (known) {
    settled->second += options_.smoothing_ * (seconds - settled->second);
  } else {
    settledSeconds_[entry.server_.service_] = seconds;
  }
}

std::size_t
PaceTable::LimitedServers() const
{
  const auto limited = [](const auto& aEntry) {
    return aEntry.second.server_.owned_ &&
           aEntry.second.pace_.Phase() != PacePhase::Settled;
  };
  return static_cast<std::size_t>(
    std::count_if(entries_.begin(), entries_.end(), limited));
}

}
