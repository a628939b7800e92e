#pragma once

// Reads the host list from the platform at a fixed interval and reports what is
// new; owns the store client. Runs on the platform thread.

#include "base/BootClock.h"
#include "platform/HostListClient.h"
#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
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
  StoreClient& Store();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
