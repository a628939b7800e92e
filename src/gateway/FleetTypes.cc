#include "gateway/FleetTypes.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

std::vector<std::string>
HostsInRegion(const FleetSnapshot& aSnapshot, const std::string& aRegion)
{
  std::vector<std::string> names;
  for (const auto& [name, host] : aSnapshot.hosts_) {
    if (host.region_ == aRegion) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t
CountHostsInRegion(const FleetSnapshot& aSnapshot, const std::string& aRegion)
{
  return HostsInRegion(aSnapshot, aRegion).size();
}

namespace {

json
EncodeFingerprints(const std::vector<FingerprintRecord>& aRecords)
{
  json list = json::array();
  for (const FingerprintRecord& entry : aRecords) {
    list.push_back(json::array({ entry.fingerprint_, entry.unixMs_ }));
  }
  return list;
}

std::vector<FingerprintRecord>
DecodeFingerprints(const json& aList)
{
  std::vector<FingerprintRecord> records;
  for (const json& entry : aList) {
    records.push_back(
      { entry.at(0).get<std::string>(), entry.at(1).get<std::int64_t>() });
  }
  return records;
}

}

std::string
EncodeHostRecord(const HostRecord& aHost)
{
  json suspected = json::array();
  for (const SuspicionRecord& entry : aHost.suspected_) {
    suspected.push_back(json::array({ entry.fingerprint_, entry.deaths_ }));
  }
  const json record{ { "callers", aHost.callers_ },
                     { "peers", aHost.peers_ },
                     { "failure_domain", aHost.failureDomain_ },
                     { "region", aHost.region_ },
                     { "draining", aHost.draining_ },
                     { "link_mbps", aHost.linkMbps_ },
                     { "refused", EncodeFingerprints(aHost.refused_) },
                     { "completed", EncodeFingerprints(aHost.completed_) },
                     { "suspected", suspected } };
  return record.dump();
}

std::optional<HostRecord>
DecodeHostRecord(const std::string& aName, const std::string& aBytes)
{
  try {
    const json record = ParseBoundedJsonOrThrow(aBytes);
    HostRecord host;
    host.name_ = aName;
    host.callers_ = record.at("callers").get<std::string>();
    host.peers_ = record.at("peers").get<std::string>();
    host.failureDomain_ = record.at("failure_domain").get<std::string>();
    host.region_ = record.at("region").get<std::string>();
    host.draining_ = record.at("draining").get<bool>();
    host.linkMbps_ = record.value("link_mbps", 0.0);
    host.refused_ = DecodeFingerprints(record.at("refused"));
    host.completed_ = DecodeFingerprints(record.at("completed"));
    for (const json& entry : record.at("suspected")) {
      host.suspected_.push_back(
        { entry.at(0).get<std::string>(),
          entry.at(1).get<std::map<std::string, std::int64_t>>() });
    }
    return host;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}
