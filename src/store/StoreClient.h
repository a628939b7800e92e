#pragma once

// Client of the platform's key-value store: the etcd v3 JSON API over HTTP.
// Runs on one io_context and is used from its thread only.
//
//   StoreClient store(ioContext, options);
//   store.Get("peridotsail/config", [](auto result, const Error& error) {
//     if (result && !result->empty()) { Use(result->front().value_); }
//   });
//
// On an error the request may have taken effect: callers of Commit read back.

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
  Duration timeout_ = std::chrono::seconds(2);
  // A watch without any message for longer is ended; the store sends progress
  // messages more often than this when asked to.
  Duration watchSilence_ = std::chrono::seconds(60);
};

struct StoreRecord
{
  std::string key_;
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
};

// Holds when the key's last modification has this revision; 0 means that the
// key does not exist.
struct StoreCompare
{
  std::string key_;
  std::int64_t modRevision_ = 0;
};

struct StorePut
{
  std::string key_;
  std::string value_;
  // 0 for none.
  std::int64_t leaseId_ = 0;
};

// All puts and deletes take effect together when all comparisons hold, and
// none otherwise.
struct StoreTransaction
{
  std::vector<StoreCompare> compares_;
  std::vector<StorePut> puts_;
  std::vector<std::string> deletes_;
};

struct StoreCommitResult
{
  bool succeeded_ = false;
  // The store's revision after the transaction.
  std::int64_t revision_ = 0;
};

struct StoreWatchHooks
{
  // The new record; an empty value with modRevision_ set means a deletion.
  std::function<void(const StoreRecord&)> onRecord_;
  // Runs once when the watch ends for any reason.
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

  // Calls back with no record or one.
  void Get(const std::string& aKey,
           Callback<std::vector<StoreRecord>> aCallback);
  // Calls back with all records whose keys start with the prefix, by key. The
  // prefix is not empty.
  void GetPrefix(const std::string& aPrefix,
                 Callback<std::vector<StoreRecord>> aCallback);
  void Commit(const StoreTransaction& aTransaction,
              Callback<StoreCommitResult> aCallback);
  // Calls back with the lease's id.
  void GrantLease(Duration aTimeToLive, Callback<std::int64_t> aCallback);
  // Calls back with the remaining seconds; 0 means that the lease is over.
  void KeepAlive(std::int64_t aLeaseId, Callback<std::int64_t> aCallback);
  void RevokeLease(std::int64_t aLeaseId, Callback<bool> aCallback);
  // Reports changes of one key from now on.
  std::shared_ptr<HttpStream> Watch(const std::string& aKey,
                                    const StoreWatchHooks& aHooks);
  // Calls made so far; a watch counts as one when it starts.
  std::uint64_t Calls() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
