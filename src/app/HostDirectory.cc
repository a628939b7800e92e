#include "app/HostDirectory.h"

#include "base/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace peridotsail {

namespace {

// A leaving host repeats its notice each second.
constexpr Duration kLeavingNotice = std::chrono::seconds(10);

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
}

void
HostDirectory::SetLeaving(const std::string& aHostName, TimePoint aNow)
{
  leavingUntil_[aHostName] = aNow + kLeavingNotice;
}

void
HostDirectory::SetSelfLeaving()
{
  self_.leaving_ = true;
  for (ListedHost& host : hosts_) {
    host.leaving_ = host.leaving_ || host.name_ == self_.name_;
  }
}

bool
HostDirectory::MayName(const ListedHost& aHost,
                       const Configuration* aConfiguration,
                       TimePoint aNow) const
{
  const auto notice = leavingUntil_.find(aHost.name_);
  const bool noticed = notice != leavingUntil_.end() && notice->second > aNow;
  const bool drained =
    aConfiguration != nullptr &&
    (aConfiguration->IsDraining(DrainKind::Host, aHost.name_) ||
     aConfiguration->IsDraining(DrainKind::Region, aHost.region_));
  return !aHost.leaving_ && !noticed && !drained &&
         !aHost.callersAddress_.empty();
}

std::vector<ListedHost>
HostDirectory::HostsFor(const std::string& aBlock,
                        const Configuration* aConfiguration,
                        TimePoint aNow) const
{
  std::vector<ListedHost> chosen;
  for (const ListedHost& host : hosts_) {
    if (MayName(host, aConfiguration, aNow)) {
      chosen.push_back(host);
    }
  }
  const auto rank = [&](const ListedHost& aHost) {
    return std::make_tuple(aHost.region_ != self_.region_,
                           StableHash(aHost.name_ + "|" + aBlock));
  };
  std::sort(chosen.begin(),
            chosen.end(),
            [&](const ListedHost& aLeft, const ListedHost& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  return chosen;
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
LookupJson(const std::vector<ListedHost>& aHosts,
           Duration aTtl,
           const Configuration* aConfiguration)
{
  nlohmann::json hosts = nlohmann::json::array();
  for (const ListedHost& host : aHosts) {
    hosts.push_back({ { "name", host.name_ },
                      { "region", host.region_ },
                      { "failure_domain", host.failureDomain_ },
                      { "address", host.callersAddress_ } });
  }
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTtl);
  return nlohmann::json{
    { "ttl_seconds", seconds.count() },
    { "config_version",
      aConfiguration == nullptr ? 0 : aConfiguration->version_ },
    { "hosts", hosts }
  }.dump();
}

}
