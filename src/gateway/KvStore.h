#pragma once

// Interface of the key-value store used by the control loop. Implemented by the
// client of the members' platform and by a fake in the tests.
//
// Each call has its own timeout and invokes its callback exactly once, on the
// thread of the store's io_context. After KvStatus::Unknown the call may have
// taken effect, or may still take effect as long as its conditions hold;
// therefore every write is conditional.
//
// A store can return from an outage with an older copy of its contents. It then
// states a higher era, and its revisions and leases are not those of before.

#include "base/BootClock.h"
#include "restore/StorePosition.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

enum class KvStatus
{
  Done,
  // The store did not execute the call, because of a rate limit or an outage.
  Refused,
  // No response, or a malformed one.
  Unknown,
  // The key, the lease or the history no longer exists.
  Gone,
  // A condition of a write did not hold.
  Conflict,
};

std::string_view
NameOf(KvStatus aStatus);

struct KvItem
{
  std::string key_;
  std::string value_;
  std::uint64_t revision_ = 0;
  // The era of the revision. Set by the control loop, or by a neighbour.
  std::uint64_t era_ = 0;
  // For events: the key was removed.
  bool removed_ = false;
  // For events from a neighbour: the value is large, is not part of the event
  // and must be fetched.
  bool deferred_ = false;

  StorePosition Position() const { return { revision_, era_ }; }
};

struct KvItems
{
  std::vector<KvItem> items_;
  // The store's revision when it responded.
  std::uint64_t revision_ = 0;
  // The store's era when it responded, also if the call failed; 0 if it stated
  // none.
  std::uint64_t era_ = 0;
  // Range only: there are more items after the last one.
  bool more_ = false;
};

// Writes a value if the key still has the expected revision; 0 means that the
// key must not exist.
struct KvPut
{
  std::string key_;
  std::string value_;
  std::uint64_t expectedRevision_ = 0;
  // 0 means no lease.
  std::uint64_t lease_ = 0;
};

// The response to a write or to a call about a lease.
struct KvNumber
{
  // The new revision or, on a conflict, the key's current revision; the id of a
  // new lease.
  std::uint64_t number_ = 0;
  // See KvItems.
  std::uint64_t era_ = 0;
};

class KvStore
{
public:
  using ItemsCallback = std::function<void(KvStatus, const KvItems&)>;
  using NumberCallback = std::function<void(KvStatus, const KvNumber&)>;

  virtual ~KvStore() = default;
  // Returns one page of the items whose keys start with aPrefix and sort after
  // aAfterKey.
  virtual void Range(const std::string& aPrefix,
                     const std::string& aAfterKey,
                     ItemsCallback aCallback) = 0;
  // Returns the events after the revision as soon as there are any, or none
  // after aWait.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     Duration aWait,
                     ItemsCallback aCallback) = 0;
  virtual void Put(const KvPut& aPut, NumberCallback aCallback) = 0;
  // The callback receives the lease's id.
  virtual void GrantLease(Duration aTimeToLive, NumberCallback aCallback) = 0;
  virtual void RenewLease(std::uint64_t aLease, NumberCallback aCallback) = 0;
  virtual void RevokeLease(std::uint64_t aLease, NumberCallback aCallback) = 0;
};

}
