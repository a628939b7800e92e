#include "app/HostDirectory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

// A leaving host repeats its notice once a second.
constexpr Duration kLeavingNoticeLifetime = std::chrono::seconds(10);

}

HostDirectory::HostDirectory(ListedHost aSelf)
  : self_(std::move(aSelf))
  , hosts_{ self_ }
{
}

void
HostDirectory::SetList(std::vector<ListedHost> aHosts)
{
  const auto isSelf = [&](const ListedHost& aHost) {
    return aHost.name_ == self_.name_;
  };
  aHosts.erase(std::remove_if(aHosts.begin(), aHosts.end(), isSelf),
               aHosts.end());
  aHosts.push_back(self_);
  hosts_ = std::move(aHosts);
  ++revision_;
}

void
HostDirectory::SetLeaving(const std::string& aHostName, TimePoint aNow)
{
  leavingUntil_[aHostName] = aNow + kLeavingNoticeLifetime;
  ++revision_;
}

void
HostDirectory::SetSelfLeaving()
{
  self_.leaving_ = true;
  for (ListedHost& host : hosts_) {
    host.leaving_ = host.leaving_ || host.name_ == self_.name_;
  }
  ++revision_;
}

std::vector<LookupHost>
HostDirectory::LookupHosts(TimePoint aNow) const
{
  std::vector<LookupHost> lookupHosts;
  for (const ListedHost& host : hosts_) {
    if (host.callersAddress_.empty()) {
      continue;
    }
    const auto notice = leavingUntil_.find(host.name_);
    const bool hasNotice =
      notice != leavingUntil_.end() && notice->second > aNow;
    lookupHosts.push_back({ host.name_,
                            host.region_,
                            host.failureDomain_,
                            host.callersAddress_,
                            host.leaving_ || hasNotice
                              ? LookupHostState::Leaving
                              : LookupHostState::Live });
  }
  return lookupHosts;
}

std::vector<ListedHost>
HostDirectory::Peers() const
{
  std::vector<ListedHost> peers;
  for (const ListedHost& host : hosts_) {
    if (host.name_ != self_.name_ && !host.peersAddress_.empty()) {
      peers.push_back(host);
    }
  }
  return peers;
}

std::string
LookupJson(const LookupAnswer& aAnswer)
{
  nlohmann::json hosts = nlohmann::json::array();
  for (const LookupHost* host : aAnswer.hosts_) {
    hosts.push_back({ { "name", host->name_ },
                      { "region", host->region_ },
                      { "failure_domain", host->failureDomain_ },
                      { "address", host->address_ } });
  }
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aAnswer.timeToLive_);
  return nlohmann::json{
    { "ttl_seconds", seconds.count() },
    { "config_version", aAnswer.configVersion_ },
    { "hosts", hosts }
  }.dump();
}

}
