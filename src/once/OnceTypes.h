#pragma once

// Types that the classes of at-most-once execution share.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "budget/SlotTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotsail {

// The hold of one slot by this process, as SlotLease reports it.
struct SlotLeaseTerm
{
  // Region and number, for example "eu-west/0".
  std::string slot_;
  // Increases by one with every change of holder; the first one is 1.
  std::uint64_t epoch_ = 0;
  // Checked at the moment of use.
  TimePoint validUntil_{};
  // Until then the other holders of the region confirm an outage of the store.
  // Only then may claims be made in memory: only then does the successor learn
  // that its predecessor may have continued. The lease must keep that mark
  // until the claims are in the store (AtMostOnceService::HasUnwritten), also
  // when it is renewed in between.
  TimePoint outageUntil_{};
  // The previous holder may have executed requests whose claims are not in the
  // store.
  bool predecessorMayHaveContinued_ = true;
  // A store key that exists with this modification revision exactly as long as
  // the tenure lasts; compared by each write.
  std::string fenceKey_;
  std::int64_t fenceRevision_ = 0;
};

// The tenure of a slot that this process holds.
SlotLeaseTerm
LeaseTermOf(const SlotValidity& aValidity);

// A request of a non-idempotent route, as the holder of its slot sees it.
struct ClaimRequest
{
  // HashIdempotencyKey of customer and idempotency key.
  std::string key_;
  // FingerprintRequest of method, path and body.
  std::string fingerprint_;
  // Names this transmission of the request; unique in the process, not 0.
  std::uint64_t ticket_ = 0;
  // The key belonged to another slot within the retry horizon (SlotMap).
  bool moved_ = false;
};

// What the backend server answered. Kept for repeated requests.
struct RecordedOutcome
{
  int status_ = 0;
  std::string contentType_;
  std::string body_;
  // False when the body was too large to be kept.
  bool bodyKept_ = true;
};

// Joins customer and idempotency key to a fixed length, so that neither the
// store nor the memory holds texts of the callers' length.
std::string
HashIdempotencyKey(std::string_view aCustomer,
                   std::string_view aIdempotencyKey);

// Identifies a request; the same key with another fingerprint is refused.
std::string
FingerprintRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody);

}
