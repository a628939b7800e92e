#pragma once

// A stand-in for the platform's store, as PROTOCOL.md describes it: items with
// revisions, leases that run from the arrival of the call, watches. Each host
// reaches it through a door of its own, which can be shut: then calls are
// neither executed nor answered, as behind a partition.
//
//   Store store;
//   int port = store.OpenDoor("host-1");
//   store.Put("op/config", text);
//   store.ShutDoor("host-1", true);

#include "Net.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace peridotsail::review {

class Store
{
public:
  explicit Store(std::string aIp);

  // Returns the port of the door, or 0 on failure.
  int OpenDoor(const std::string& aName);
  void ShutDoor(const std::string& aName, bool aShut);
  // Writes without a lease, as the operator and the servers do.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  bool Has(const std::string& aKey);
  // Returns the value of a key, or an empty text.
  std::string Get(const std::string& aKey);

private:
  using Json = nlohmann::json;
  using Door = std::atomic<bool>;
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
  };
  struct Lease
  {
    Milliseconds ttl_{};
    Clock::time_point end_;
  };
  struct Reply
  {
    int status_ = 200;
    Json body_;
  };

  void Serve(Socket aSocket, const Door& aShut);
  Reply Answer(const Message& aCall);
  Reply Range(const std::string& aTarget);
  Reply Watch(const std::string& aTarget);
  Reply Transact(const Json& aBody);
  Reply GrantLease(const Json& aBody);
  Reply KeepLease(std::uint64_t aLease);
  Reply EndLease(std::uint64_t aLease);
  // The callers of these hold mutex_.
  void Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease);
  void Erase(const std::string& aKey);
  void EraseOfLease(std::uint64_t aLease);
  static Json ToJson(const std::string& aKey, const Item& aItem);
  void ExpireLeases();

  std::string ip_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Json> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t lastLease_ = 100;
  std::map<std::string, std::unique_ptr<Door>> doors_;
};

}
