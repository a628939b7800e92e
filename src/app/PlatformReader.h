#pragma once

// Polls the platform's host list and reports changes. Owns the store client.
// Runs on the platform thread.

#include "base/BootClock.h"
#include "config/Configuration.h"
#include "store/HostListClient.h"
#include "store/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct PlatformReaderOptions
{
  Address store_;
  Address hostList_;
  Duration interval_ = std::chrono::seconds(1);
};

// Called on the platform thread.
struct PlatformReaderHooks
{
  // Called when the host list has changed.
  std::function<void(std::vector<ListedHost>)> onHosts_;
  // Called for each list that was read, changed or not.
  std::function<void(const std::vector<ListedHost>&)> onHostsRead_;
  // Called when the set of a pool's backend servers that are listed as leaving
  // has changed.
  std::function<void(const std::string& aPool, std::set<std::string>)>
    onLeavingServers_;
};

class PlatformReader
{
public:
  PlatformReader(boost::asio::io_context& aContext,
                 PlatformReaderOptions aOptions,
                 PlatformReaderHooks aHooks);
  ~PlatformReader();
  PlatformReader(const PlatformReader&) = delete;
  PlatformReader& operator=(const PlatformReader&) = delete;

  void Start();
  // Adds pools whose lists of backend servers are polled. Call on the platform
  // thread.
  void SetPools(const std::vector<PoolConfig>& aPools);
  StoreClient& Store();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
