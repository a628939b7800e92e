#pragma once

// Maintains this host's view of the platform: reads the configuration, the
// backend servers, the evacuations and the other hosts from the store, follows
// their changes, and keeps this host registered under a lease. Runs on a single
// thread, the store's.
//
// Changes come from the store or from a neighbour: another host that passes on
// what it received (see ViewSources). A neighbour also reports the time at
// which the store last confirmed the data that it forwards. The age of the view
// is therefore the time since a confirmation by the store, whatever the source,
// and limits on the age hold for every source. A view never goes back to an
// earlier position in the store's history.
//
//   ControlLoop loop(context, store, codec, options, hooks);
//   loop.Start();
//   loop.SetSelf(record);     // published with the next write
//   loop.Deregister(done);    // revokes the registration
//
// A neighbour's events do not contain large values. They are fetched beside the
// events, so that small changes take effect meanwhile; until they arrive, the
// view counts as confirmed only up to the time before they appeared.
//
// The store can lose its history while it still appears to work. Therefore a
// single watch follows all keys: a response with a higher revision but no
// events indicates a gap, after which everything is read again from the store.
//
// The store can return from an outage with an older copy of its contents, which
// it states by a higher era. Everything is then read again and this host
// registers again; responses of an earlier era are ignored. What the copy lacks
// is kept until it is written again or a deadline has passed (see FleetView).
// A host that was cut off may not know of a configuration that the store has
// lost. It asks a neighbour, and if that has a newer version in force, its view
// does not count as confirmed until it has that version too.

#include "gateway/FleetView.h"
#include "gateway/HostRegistration.h"
#include "gateway/KvStore.h"
#include "gateway/PendingValues.h"
#include "gateway/StoreAvailability.h"
#include "gateway/ViewCache.h"
#include "gateway/ViewMessages.h"
#include "gateway/ViewSources.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

struct ControlOptions
{
  // This host's name and region.
  std::string name_;
  std::string region_;
  // Maximum duration of a watch; a shorter one confirms the view more often.
  Duration watchWait_ = std::chrono::milliseconds(800);
  // Maximum duration of a watch by a host whose neighbour has failed and whose
  // view is older than shortWatchAge_: it needs a confirmation immediately.
  Duration shortWatchWait_ = std::chrono::milliseconds(20);
  Duration shortWatchAge_ = std::chrono::milliseconds(1000);
  // Maximum duration of a poll of a neighbour other than the preferred one.
  Duration fallbackWait_ = std::chrono::milliseconds(300);
  // Maximum time for which the first read waits for this host's registration,
  // so that it includes the hosts that started at the same time.
  Duration registrationWait_ = std::chrono::milliseconds(400);
  // Minimum interval between two watches, so that changes that occur close
  // together are read together.
  Duration minWatchInterval_ = std::chrono::milliseconds(250);
  // A watch that takes this much longer than its wait, and that contains
  // several versions of a large value, is followed by a complete read, which
  // contains only the newest version.
  Duration slowWatchTime_ = std::chrono::milliseconds(500);
  // Delay before a failed complete read or fetch of a value is repeated.
  Duration retryDelay_ = std::chrono::milliseconds(150);
  // Maximum duration of a poll of the preferred neighbour: longer than the
  // neighbour's own watch of the store plus the round trip to the store.
  Duration neighbourWait_ = std::chrono::milliseconds(1050);
  // A neighbour whose view is older than this is considered stale.
  Duration maxNeighbourAge_ = std::chrono::milliseconds(1800);
  ViewSourceOptions sources_;
  // Backend servers whose registration expired during a store outage register
  // again within this time of the store's recovery.
  Duration reregistrationTime_ = std::chrono::milliseconds(2000);
  RegistrationOptions registration_;
};

struct ControlHooks
{
  // Receives the current view and the time at which it was last known to match
  // the store. The same snapshot is passed again if only the time has changed.
  // Both are passed together, so that the time never refers to a snapshot that
  // has not been delivered yet.
  std::function<void(FleetSnapshotPtr, TimePoint aConfirmedAt)> onView_;
  // The same for the hosts that follow this one. The cache lives as long as the
  // loop. May be empty.
  std::function<void(const ViewCache&, const ViewConfirmation&)> onConfirmed_;
  // Called when the store states its era and when it rises. May be empty.
  std::function<void(std::uint64_t aEra)> onEra_;
  // Asks a neighbour for the changes after a position; the neighbour waits for
  // changes for at most aWait. If empty, only the store is used.
  std::function<void(const std::string& aAddress,
                     const StorePosition& aAfter,
                     Duration aWait,
                     std::function<void(ViewResponse)>)>
    pollNeighbour_;
  // Fetches a large value of at least the position from a neighbour. If empty,
  // only the store is used.
  std::function<void(const std::string& aAddress,
                     const std::string& aKey,
                     const StorePosition& aPosition,
                     std::function<void(std::optional<KvItem>)>)>
    fetchValue_;
};

class ControlLoop
{
public:
  ControlLoop(boost::asio::io_context& aContext,
              KvStore& aStore,
              ControlCodec aCodec,
              ControlOptions aOptions,
              ControlHooks aHooks);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();
  void SetSelf(HostRecord aSelf);
  // Revokes the registration. aDone is called after the store's response or its
  // failure.
  void Deregister(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
