#pragma once

// Runs this host's SlotLease on the platform thread: carries its intents out on
// the store and through the peer links, logs its decisions and publishes what
// it holds.
//
//   SlotKeeper keeper(ioContext, store, region, self, hooks);
//   keeper.Start();
//   keeper.SetConfiguration(configuration);
//   keeper.OnMessage(from, message);   // ReachabilityQuery, ReachabilityAnswer

#include "budget/SlotLease.h"
#include "config/Configuration.h"
#include "peer/PeerMessage.h"
#include "store/HostListClient.h"
#include "store/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

// The slots of a configuration version.
SlotLayoutPtr
LayoutOf(const Configuration& aConfiguration);

// Run on the platform thread.
struct SlotKeeperHooks
{
  std::function<void(const std::string& aHost, PeerMessage aMessage)> send_;
  // Runs on each change; the slot of an invalid one has no name.
  std::function<void(const SlotValidity&)> onValidity_;
};

class SlotKeeper
{
public:
  SlotKeeper(boost::asio::io_context& aContext,
             StoreClient& aStore,
             const std::string& aRegion,
             SlotHolder aSelf,
             SlotKeeperHooks aHooks);
  ~SlotKeeper();
  SlotKeeper(const SlotKeeper&) = delete;
  SlotKeeper& operator=(const SlotKeeper&) = delete;

  void Start();
  void SetConfiguration(const Configuration& aConfiguration);
  // Call it for each list that was read, changed or not.
  void SetHosts(const std::vector<ListedHost>& aHosts);
  void OnLink(const PeerHello& aPeer, bool aUp);
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Gives the slot up, see SlotLease::Release.
  void Release();
  bool IsReleased() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
