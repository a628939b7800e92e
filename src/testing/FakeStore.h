#pragma once

// An in-memory key-value store with compare-and-swap, leases and watches that
// answers the part of the etcd v3 JSON API which peridotsail uses. It has
// settings for faults: outage, delay, lost answers.

#include "base/BootClock.h"
#include "http/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace peridotsail {

class FakeStore
{
public:
  // Handles one request under /v3/ and answers at once; the caller applies
  // delay and loss.
  HttpResponse Handle(const HttpRequest& aRequest);
  // Registers the reply as a watcher of the key in the request.
  void StartWatch(const HttpRequest& aRequest,
                  const std::shared_ptr<HttpReply>& aReply);
  // Writes a key without any comparison.
  void Set(const std::string& aKey, const std::string& aValue);
  // Deletes the keys of leases that are over. Call it at least each second.
  void ExpireLeases(TimePoint aNow);
  // Calls so far.
  std::uint64_t Calls() const { return calls_; }

private:
  struct Entry
  {
    std::string value_;
    std::int64_t createRevision_ = 0;
    std::int64_t modRevision_ = 0;
    std::int64_t leaseId_ = 0;
  };
  struct Lease
  {
    Duration timeToLive_{};
    TimePoint end_;
  };
  struct Watcher
  {
    std::string key_;
    std::shared_ptr<HttpReply> reply_;
  };

  nlohmann::json Range(const nlohmann::json& aBody) const;
  nlohmann::json Transact(const nlohmann::json& aBody);
  nlohmann::json GrantLease(const nlohmann::json& aBody);
  nlohmann::json KeepAlive(const nlohmann::json& aBody);
  nlohmann::json RevokeLease(const nlohmann::json& aBody);
  void Put(const nlohmann::json& aBody);
  void Delete(const std::string& aKey);
  bool Holds(const nlohmann::json& aCompare) const;
  void Notify(const std::string& aKey);
  nlohmann::json ToJson(const std::string& aKey, const Entry& aEntry) const;

  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Watcher> watchers_;
  std::int64_t revision_ = 1;
  std::int64_t lastLeaseId_ = 1000;
  std::uint64_t calls_ = 0;
};

}
