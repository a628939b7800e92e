#pragma once

// Reads the host list from the platform at a fixed interval and reports what is
// new; owns the store client. Runs on the platform thread.

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

// Run on the platform thread.
struct PlatformReaderHooks
{
  // The list differs from the one before.
  std::function<void(std::vector<ListedHost>)> onHosts_;
  // Each list that was read, changed or not.
  std::function<void(const std::vector<ListedHost>&)> onHostsRead_;
  // The backend servers that the list of a pool shows as leaving differ from
  // those before.
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
  // The pools of backend servers whose lists are read. Call it on the platform
  // thread.
  void SetPools(const std::vector<PoolConfig>& aPools);
  StoreClient& Store();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
