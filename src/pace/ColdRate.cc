#include "pace/ColdRate.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace peridotsail {

ColdRate::ColdRate(ColdRateOptions aOptions)
  : options_(aOptions)
{
}

void
ColdRate::SetHosts(std::vector<std::string> aCandidates, TimePoint aNow)
{
  std::sort(aCandidates.begin(), aCandidates.end());
  if (aCandidates != candidates_) {
    candidates_ = std::move(aCandidates);
    hostsChangedAt_ = aNow;
  }
  if (candidates_.empty()) {
    for (auto& [id, entry] : entries_) {
      entry.owned_ = false;
    }
  }
}

void
ColdRate::SetServers(const std::vector<OwnedServer>& aServers, TimePoint aNow)
{
  std::set<std::string> present;
  for (const OwnedServer& server : aServers) {
    present.insert(server.id_);
    const auto [it, added] = entries_.try_emplace(server.id_);
    Entry& entry = it->second;
    const bool owned = server.owned_ && !candidates_.empty();
    if (owned && !entry.owned_) {
      // Hosts with an earlier list of hosts may have another owner for a server
      // that is new here.
      entry.ownedSince_ = added ? hostsChangedAt_ : aNow;
    }
    entry.owned_ = owned;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    // A server may register again under its id.
    const bool counts = !it->second.grants_.empty() &&
                        aNow - it->second.grants_.back() < options_.window_;
    if (present.count(it->first) > 0) {
      ++it;
    } else if (counts) {
      it->second.owned_ = false;
      ++it;
    } else {
      it = entries_.erase(it);
    }
  }
}

void
ColdRate::OnViewAge(Duration aViewAge, TimePoint aNow)
{
  const TimePoint confirmedAt = aNow - aViewAge;
  if (confirmedAt_ != TimePoint::min() &&
      confirmedAt - confirmedAt_ > options_.maxViewAge_) {
    hostsChangedAt_ = aNow;
    for (auto& [id, entry] : entries_) {
      entry.ownedSince_ = aNow;
    }
  }
  confirmedAt_ = std::max(confirmedAt_, confirmedAt);
}

double
ColdRate::GrantsPerWindow(double aPerSecond) const
{
  const double bound = aPerSecond * options_.overage_ + options_.slack_;
  const double usable = std::floor(bound * options_.usableFraction_);
  return std::max(usable, std::min(std::floor(bound), 1.0));
}

bool
ColdRate::TryTake(const std::string& aServer,
                  double aPerSecond,
                  Duration aViewAge,
                  TimePoint aNow)
{
  OnViewAge(aViewAge, aNow);
  const auto found = entries_.find(aServer);
  if (found == entries_.end() || !found->second.owned_ ||
      aViewAge > options_.maxViewAge_ ||
      aNow - found->second.ownedSince_ < options_.takeoverDelay_) {
    return false;
  }
  std::deque<TimePoint>& grants = found->second.grants_;
  while (!grants.empty() && aNow - grants.front() >= options_.window_) {
    grants.pop_front();
  }
  if (static_cast<double>(grants.size()) >= GrantsPerWindow(aPerSecond)) {
    return false;
  }
  grants.push_back(aNow);
  return true;
}

}
