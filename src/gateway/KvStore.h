#pragma once

// The key-value store as the control loop uses it. Implemented by the client
// of the members' platform and by a fake in the tests.
//
// Each call has a timeout of its own, and its callback runs exactly once, on
// the thread of the store's io_context. On KvStatus::Unknown the call may have
// taken effect, or may take effect later while its conditions still hold; so
// every write is conditional.

#include "base/BootClock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

enum class KvStatus
{
  Done,
  // The store stated that nothing was done: a refusal by rate or an outage.
  Refused,
  // No answer, or one that cannot be read.
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
  // In an event: the key no longer exists.
  bool removed_ = false;
};

struct KvItems
{
  std::vector<KvItem> items_;
  // The store's revision at the time of the answer.
  std::uint64_t revision_ = 0;
  // Range only: more items come after the last one.
  bool more_ = false;
};

// Puts a value when the key still has the expected revision; 0: no such key.
struct KvPut
{
  std::string key_;
  std::string value_;
  std::uint64_t expectedRevision_ = 0;
  // 0: none.
  std::uint64_t lease_ = 0;
};

class KvStore
{
public:
  using ItemsCallback = std::function<void(KvStatus, const KvItems&)>;
  // aNumber is the new revision, or on a conflict the key's current revision.
  using NumberCallback = std::function<void(KvStatus, std::uint64_t aNumber)>;

  virtual ~KvStore() = default;
  // A page of the items whose keys start with aPrefix and follow aAfterKey.
  virtual void Range(const std::string& aPrefix,
                     const std::string& aAfterKey,
                     ItemsCallback aCallback) = 0;
  // Events after the revision, as soon as there is one, or none after aWait.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     Duration aWait,
                     ItemsCallback aCallback) = 0;
  virtual void Put(const KvPut& aPut, NumberCallback aCallback) = 0;
  // The callback gets the lease's id.
  virtual void GrantLease(Duration aTimeToLive, NumberCallback aCallback) = 0;
  virtual void RenewLease(std::uint64_t aLease, NumberCallback aCallback) = 0;
  virtual void RevokeLease(std::uint64_t aLease, NumberCallback aCallback) = 0;
};

}
