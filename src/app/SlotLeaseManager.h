#pragma once

// Runs this host's SlotLease on the platform thread: performs its actions on
// the store and the peer links, logs its decisions and publishes the slot that
// it holds.
//
//   SlotLeaseManager manager(ioContext, store, region, self, hooks);
//   manager.Start();
//   manager.SetConfiguration(configuration);
//   manager.OnMessage(from, message);  // ReachabilityQuery, ReachabilityAnswer

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

// Returns the slot layout of a configuration.
SlotLayoutPtr
MakeSlotLayout(const Configuration& aConfiguration);

// Called on the platform thread.
struct SlotLeaseManagerHooks
{
  std::function<void(const std::string& aHost, PeerMessage aMessage)> send_;
  // Called on each change. The index is negative while no slot is held.
  std::function<void(const SlotValidity&)> onValidity_;
};

class SlotLeaseManager
{
public:
  SlotLeaseManager(boost::asio::io_context& aContext,
                   StoreClient& aStore,
                   const std::string& aRegion,
                   SlotHolder aSelf,
                   SlotLeaseManagerHooks aHooks);
  ~SlotLeaseManager();
  SlotLeaseManager(const SlotLeaseManager&) = delete;
  SlotLeaseManager& operator=(const SlotLeaseManager&) = delete;

  void Start();
  void SetConfiguration(const Configuration& aConfiguration);
  // Call this for each list that was read, changed or not.
  void SetHosts(const std::vector<ListedHost>& aHosts);
  void OnLink(const PeerHello& aPeer, bool aUp);
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Releases the slot. See SlotLease::Release.
  void Release();
  bool IsReleased() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
