#pragma once

// Client for the platform's key-value store, using the etcd v3 JSON API over
// HTTP. Must be used only from the thread of its io_context.
//
//   StoreClient store(ioContext, options);
//   store.Get("peridotsail/config", [](auto result, const Error& error) {
//     if (result && !result->empty()) { Use(result->front().value_); }
//   });
//
// A request that failed with an error may still have taken effect. Callers of
// Commit must read the keys to find out.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct StoreOptions
{
  Address address_;
  // Limits the wait for a response, and each pause while it is received.
  Duration timeout_ = std::chrono::seconds(2);
  // A watch that receives no message for this time is ended. If requested, the
  // store sends progress messages more often than this.
  Duration watchIdleTimeout_ = std::chrono::seconds(60);
};

struct StoreRecord
{
  std::string key_;
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
};

// True if the modification revision of the key equals modRevision_. 0 means
// that the key does not exist.
struct StoreCompare
{
  std::string key_;
  std::int64_t modRevision_ = 0;
};

struct StorePut
{
  std::string key_;
  std::string value_;
  // Lease that the key is attached to, or 0 for none.
  std::int64_t leaseId_ = 0;
};

// Applies all puts and deletes atomically if all comparisons are true,
// otherwise none.
struct StoreTransaction
{
  std::vector<StoreCompare> compares_;
  std::vector<StorePut> puts_;
  std::vector<std::string> deletes_;
};

struct StoreCommitResult
{
  bool succeeded_ = false;
  // Store revision after the transaction.
  std::int64_t revision_ = 0;
};

struct StoreWatchHooks
{
  // Called with the new record. An empty value with modRevision_ set represents
  // a deletion.
  std::function<void(const StoreRecord&)> onRecord_;
  // Called once when the watch ends for any reason.
  std::function<void(const Error&)> onEnd_;
};

class StoreClient
{
public:
  template<typename T>
  using Callback = std::function<void(std::optional<T>, const Error&)>;

  StoreClient(boost::asio::io_context& aContext, StoreOptions aOptions);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Passes zero or one record to the callback.
  void Get(const std::string& aKey,
           Callback<std::vector<StoreRecord>> aCallback);
  // Passes all records whose keys start with aPrefix to the callback, sorted by
  // key. aPrefix must not be empty.
  void GetPrefix(const std::string& aPrefix,
                 Callback<std::vector<StoreRecord>> aCallback);
  void Commit(const StoreTransaction& aTransaction,
              Callback<StoreCommitResult> aCallback);
  // Passes the lease ID to the callback.
  void GrantLease(Duration aTimeToLive, Callback<std::int64_t> aCallback);
  // Passes the remaining seconds to the callback. 0 means that the lease has
  // expired.
  void KeepAlive(std::int64_t aLeaseId, Callback<std::int64_t> aCallback);
  void RevokeLease(std::int64_t aLeaseId, Callback<bool> aCallback);
  // Reports future changes of a key.
  std::shared_ptr<HttpStream> Watch(const std::string& aKey,
                                    const StoreWatchHooks& aHooks);
  // Number of calls made so far. A watch counts as one call.
  std::uint64_t CallCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
