#pragma once

// Builds this host's view of the fleet from the events of the store: the
// configuration, the backend servers, the evacuations and the other hosts.
// Performs no I/O.
//
//   FleetView view(codec, name, hooks);
//   view.Apply(events);
//   FleetSnapshotPtr snapshot = view.Snapshot();
//
// A view never goes back to an earlier configuration, or to an earlier record
// of a backend server.
//
// After the store was restored from an older copy, hosts and evacuations that
// the copy lacks stay in force until they are written again or a deadline has
// passed; servers are kept like those that expired in an outage. An evacuation
// is also kept as long as the store holds an older configuration than the one
// in force, because the operator has not written everything again.

#include "gateway/FleetTypes.h"
#include "gateway/KvStore.h"
#include "restore/MissingEntries.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// Decodes the platform's keys and documents.
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
    // The instance id, the failure domain or the host name.
    std::string name_;
  };
  std::function<Key(const std::string& aKey)> classify_;
  // Returns null and sets aReason if the document cannot be used.
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

struct FleetViewHooks
{
  // Called with the last change of this host's own record.
  std::function<void(const StorePosition& aPosition, bool aRemoved)>
    onOwnRecord_;
  // Returns until when a server whose registration was removed is kept, because
  // the registration may have expired in an outage of the store.
  std::function<std::optional<TimePoint>(TimePoint aNow)> keepUntil_;
  // Called when the removal of a server is delayed; ExpireDelayed must be
  // called at that time.
  std::function<void(const std::string& aId, TimePoint aUntil)> onDelayed_;
};

// Until when entries that a restored store lacks are kept.
struct RestoreDeadlines
{
  TimePoint hosts_;
  TimePoint evacuations_;
};

class FleetView
{
public:
  FleetView(const ControlCodec& aCodec,
            std::string aSelf,
            FleetViewHooks aHooks);

  // If several configurations are among the events, only the last one is
  // applied. Deferred events are ignored; they are applied with their value.
  void Apply(const std::vector<KvItem>& aEvents);
  // Applies the differences between the view and a restored store.
  // ExpireMissing must be called at the deadlines.
  void ApplyRestored(const std::vector<KvItem>& aEvents,
                     const RestoreDeadlines& aDeadlines);
  // Removes the missing entries whose deadline has passed.
  void ExpireMissing(TimePoint aNow);
  // Removes a server that did not register again until the time that was passed
  // to onDelayed_. Returns false if there is nothing to remove.
  bool ExpireDelayed(const std::string& aId, TimePoint aUntil);
  // The version of the configuration in force; 0 for none.
  std::uint64_t Version() const;
  // Whether the store holds an older one.
  bool IsUnstored() const { return storedVersion_ < Version(); }
  // Returns the same snapshot as before if nothing has changed.
  FleetSnapshotPtr Snapshot();

private:
  using Kind = ControlCodec::Kind;

  void ApplyOne(const KvItem& aItem);
  void ApplyConfiguration(const KvItem& aItem);
  void ApplyEvacuation(const std::string& aFailureDomain, const KvItem& aItem);
  void ApplyInstance(const std::string& aId, const KvItem& aItem);
  void ApplyHost(const std::string& aName, const KvItem& aItem);
  void RemoveInstance(const std::string& aId);
  void RemoveHost(const std::string& aName);
  // aRevision is 0 if the deadline of a missing evacuation has passed.
  void RemoveEvacuation(const std::string& aFailureDomain,
                        std::uint64_t aRevision);
  // Returns whether the server was known.
  bool EraseInstance(const std::string& aId);

  const ControlCodec& codec_;
  std::string self_;
  FleetViewHooks hooks_;
  FleetSnapshot view_;
  FleetSnapshotPtr snapshot_;
  bool changed_ = false;
  // Servers whose removal is delayed, and the time until which they may
  // register again.
  std::map<std::string, TimePoint> delayed_;
  // Set while the differences of a restored store are applied.
  std::optional<RestoreDeadlines> restoring_;
  MissingEntries missingHosts_;
  MissingEntries missingEvacuations_;
  // The version of the configuration that the store holds; 0 if not known.
  std::uint64_t storedVersion_ = 0;
};

}
