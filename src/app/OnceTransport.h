#pragma once

// Connects AtMostOnceService on the traffic thread with the store client on the
// platform thread.
//
//   OnceTransport transport(traffic, platform, store, incarnation);
//   transport.SetValidity(lease.Validity());   // any thread
//   hooks.atMostOnce_ = [&] { return transport.Service(); };

#include "base/EventLoopThread.h"
#include "once/AtMostOnceService.h"
#include "store/StoreClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

class OnceTransport
{
public:
  OnceTransport(EventLoopThread& aTraffic,
                EventLoopThread& aPlatform,
                StoreClient& aStore,
                const std::string& aIncarnation);

  // Sets the slot that this host holds. Called on each change of its SlotLease.
  // Service returns null until the first call.
  void SetValidity(const SlotValidity& aValidity);
  void SetHolders(std::map<std::string, SlotHolderHost> aHolders);
  // Sets the slots of the configuration in force.
  void SetConfiguration(const ConfigurationPtr& aConfiguration);
  // Traffic thread only. Null until SetValidity has been called.
  AtMostOnceService* Service() { return hasValidity_ ? &service_ : nullptr; }

private:
  ClaimStoreHooks MakeHooks();
  void Perform(const SlotLeaseTerm& aTerm,
               const StoreOperation& aOperation,
               const ClaimStoreHooks::Answer& aAnswer);
  void ReadBack(const StoreOperation& aOperation,
                const ClaimStoreHooks::Answer& aAnswer);
  void Load(const std::string& aPrefix, const ClaimStoreHooks::Loaded& aLoaded);
  void WakeAt(TimePoint aTime);
  void PostToTraffic(EventLoopThread::Task aTask);

  EventLoopThread& traffic_;
  EventLoopThread& platform_;
  StoreClient& store_;
  AtMostOnceService service_;
  boost::asio::steady_timer timer_;
  bool hasValidity_ = false;
};

}
