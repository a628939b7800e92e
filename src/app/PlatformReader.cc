#include "app/PlatformReader.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace peridotsail {

struct PlatformReader::Impl
{
  Impl(boost::asio::io_context& aContext,
       PlatformReaderOptions aOptions,
       PlatformReaderHooks aHooks)
    : options_(std::move(aOptions))
    , hooks_(std::move(aHooks))
    , store_(aContext, StoreOptions{ options_.store_ })
    , hostList_(aContext, HostListOptions{ options_.hostList_ })
    , timer_(aContext)
  {
  }

  void Tick()
  {
    ReadHosts();
    for (auto& entry : pools_) {
      ReadPool(entry.first, entry.second);
    }
    timer_.expires_after(detail::ToSteady(options_.interval_));
    timer_.async_wait([this](auto aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void ReadHosts()
  {
    if (readingHosts_) {
      return;
    }
    readingHosts_ = true;
    hostList_.Read("peridotsail", [this](auto aHosts, const Error& aError) {
      readingHosts_ = false;
      if (aHosts.has_value() != hostListReachable_) {
        hostListReachable_ = aHosts.has_value();
        if (!hostListReachable_) {
          LogEvent(Event::HostListUnreachable,
                   { { "detail", aError.detail_ } });
        }
      }
      if (aHosts) {
        hooks_.onHostsRead_(*aHosts);
      }
      if (!aHosts || *aHosts == hosts_) {
        return;
      }
      hosts_ = *aHosts;
      LogEvent(Event::HostListChanged, { { "hosts", hosts_.size() } });
      hooks_.onHosts_(hosts_);
    });
  }

  struct PoolState
  {
    bool reading_ = false;
    std::set<std::string> leaving_;
  };

  void ReadPool(const std::string& aName, PoolState& aPool)
  {
    if (aPool.reading_) {
      return;
    }
    aPool.reading_ = true;
    hostList_.Read(aName, [this, aName, &aPool](auto aServers, const Error&) {
      aPool.reading_ = false;
      if (!aServers) {
        return;
      }
      std::set<std::string> leaving;
      for (const ListedHost& server : *aServers) {
        if (server.leaving_) {
          leaving.insert(server.name_);
        }
      }
      if (leaving != aPool.leaving_) {
        aPool.leaving_ = leaving;
        hooks_.onLeavingServers_(aName, std::move(leaving));
      }
    });
  }

  PlatformReaderOptions options_;
  PlatformReaderHooks hooks_;
  StoreClient store_;
  HostListClient hostList_;
  boost::asio::steady_timer timer_;
  bool readingHosts_ = false;
  bool hostListReachable_ = true;
  std::vector<ListedHost> hosts_;
  std::map<std::string, PoolState> pools_;
};

PlatformReader::PlatformReader(boost::asio::io_context& aContext,
                               PlatformReaderOptions aOptions,
                               PlatformReaderHooks aHooks)
  : impl_(
      std::make_unique<Impl>(aContext, std::move(aOptions), std::move(aHooks)))
{
}

PlatformReader::~PlatformReader() = default;

void
PlatformReader::Start()
{
  impl_->Tick();
}

void
PlatformReader::SetPools(const std::vector<PoolConfig>& aPools)
{
  // Entries of removed pools stay, because a pending read refers to its entry.
  for (const PoolConfig& pool : aPools) {
    impl_->pools_.try_emplace(pool.name_);
  }
}

StoreClient&
PlatformReader::Store()
{
  return impl_->store_;
}

}
