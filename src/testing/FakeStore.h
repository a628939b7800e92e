#pragma once

// An in-memory key-value store with compare-and-swap, leases and watches. It
// implements the part of the etcd v3 JSON API that peridotsail uses. Its caller
// injects faults (outages, delays, lost responses).

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
  // Handles a request under /v3/ and returns the response immediately; the
  // caller injects delays and losses.
  HttpResponse Handle(const HttpRequest& aRequest);
  // Registers the reply as a watcher of the key in the request.
  void StartWatch(const HttpRequest& aRequest,
                  const std::shared_ptr<HttpReply>& aReply);
  // Writes a key unconditionally.
  void Set(const std::string& aKey, const std::string& aValue);
  // Deletes the keys of expired leases. Must be called at least every second.
  void ExpireLeases(TimePoint aNow);
  // Returns the number of calls so far.
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
