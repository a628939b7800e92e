#pragma once

// Keeps this host's view of the platform: reads the configuration, the backend
// servers, evacuations and the other hosts from the store, follows their
// changes, and keeps this host registered under a lease. Runs on one thread,
// which is the store's.
//
// The changes come from the store or from a neighbour that follows it
// (ViewSources). A neighbour says when the store confirmed what it passes on,
// so that the age of the view is the same promise whatever its source; all that
// depends on the age holds unchanged. A view never goes back to an earlier
// revision.
//
//   ControlLoop loop(context, store, codec, options, hooks);
//   loop.Start();
//   loop.SetSelf(record);     // published with the next write
//   loop.Leave(done);         // ends the registration
//
// The store's history can be lost while it seems to answer. Therefore all keys
// are followed by one watch: an answer whose revision grew without an event
// shows a gap, after which everything is read anew, from the store.

#include "gateway/FleetTypes.h"
#include "gateway/HostRegistration.h"
#include "gateway/KvStore.h"
#include "gateway/ViewCache.h"
#include "gateway/ViewMessages.h"
#include "gateway/ViewSources.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

// How the platform spells its keys and documents.
struct ControlCodec
{
  enum class Kind
  {
    Configuration,
    Instance,
    Evacuation,
    Host,
    Other,
  };
  struct Key
  {
    Kind kind_ = Kind::Other;
    // The id of an instance, the failure domain or the host's name.
    std::string name_;
  };
  std::function<Key(const std::string& aKey)> classify_;
  // Null, and a reason, for a document that cannot be used.
  std::function<RoutingTablePtr(const std::string& aBytes,
                                std::string& aReason)>
    decodeTable_;
  std::function<std::optional<InstanceRecord>(const std::string& aId,
                                              const std::string& aBytes,
                                              std::string& aReason)>
    decodeInstance_;
  // The key under which a host registers.
  std::function<std::string(const std::string& aName)> hostKey_;
};

struct ControlOptions
{
  // This host's name and region.
  std::string name_;
  std::string region_;
  // The longest wait of a watch; a shorter one confirms the view more often.
  Duration watchWait_ = std::chrono::milliseconds(800);
  // The wait of a watch by a host whose neighbour has failed and whose view is
  // older than this: it needs a confirmation at once.
  Duration shortWatchWait_ = std::chrono::milliseconds(20);
  Duration shortWatchAge_ = std::chrono::milliseconds(1000);
  // The longest wait for a neighbour that is asked in place of the first one.
  Duration fallbackWait_ = std::chrono::milliseconds(300);
  // The longest time for which the first read waits for this host's
  // registration, so that it finds the hosts that started together.
  Duration registrationWait_ = std::chrono::milliseconds(400);
  // The shortest time between two watches: changes that come together are read
  // together.
  Duration minWatchInterval_ = std::chrono::milliseconds(250);
  // The pause after a failed complete read.
  Duration retryDelay_ = std::chrono::milliseconds(150);
  // The longest wait at a neighbour: longer than its watch of the store with
  // the way to the store and back.
  Duration neighbourWait_ = std::chrono::milliseconds(1050);
  // A neighbour whose view is older is behind.
  Duration maxNeighbourAge_ = std::chrono::milliseconds(1800);
  ViewSourceOptions sources_;
  // Backend servers whose registration lapsed while the store was away come
  // back within this time of its return.
  Duration reregistrationTime_ = std::chrono::milliseconds(2000);
  RegistrationOptions registration_;
};

struct ControlHooks
{
  // The view as it is now, and when it was last known to be the store's. The
  // same snapshot comes again when only the time is new. Both come together, so
  // that the time never vouches for a snapshot that is still on its way.
  std::function<void(FleetSnapshotPtr, TimePoint aConfirmedAt)> onView_;
  // The same for the hosts that follow this one. The cache lives as long as the
  // loop. May be empty.
  std::function<void(const ViewCache&, const ViewConfirmation&)> onConfirmed_;
  // Asks a neighbour for what came after a revision, and waits for news for so
  // long at most. When empty, only the store is asked.
  std::function<void(const std::string& aAddress,
                     std::uint64_t aAfterRevision,
                     Duration aWait,
                     std::function<void(ViewResponse)>)>
    pollNeighbour_;
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
  // Ends the registration; aDone runs after the store's answer or its failure.
  void Deregister(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
