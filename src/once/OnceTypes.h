#pragma once

// Types shared by the tiers that implement at-most-once execution of
// requests to non-idempotent routes.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "budget/SlotTypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// One lease term of a slot held by this process, as reported by SlotLease. A
// renewal extends the term; a new holder starts the next one.
struct SlotLeaseTerm
{
  // Region and number, for example "eu-west/0".
  std::string slot_;
  // Increments with every change of holder, starting at 1.
  std::uint64_t epoch_ = 0;
  // Compared with the current time on every use.
  TimePoint validUntil_{};
  // Finish of the period for which the other slot holders of the region have
  // confirmed a store outage. Claims may be kept in memory only during this
  // period, because only then is the next holder told that this one may have
  // continued without the store. The lease must keep that flag, across
  // renewals as well, until all claims are in the store
  // (AtMostOnceService::HasUnwritten).
  TimePoint outageUntil_{};
  // The previous holder may have executed requests whose claims are not in the
  // store.
  bool predecessorMayHaveContinued_ = true;
  // Fencing token: a store key that keeps this modification revision exactly
  // as long as the lease term lasts. Every write compares it.
  std::string fenceKey_;
  std::int64_t fenceRevision_ = 0;
};

// Converts the published validity of a held slot to its lease term.
SlotLeaseTerm
LeaseTermOf(const SlotValidity& aValidity);

// One transmission of a request to a non-idempotent route, as handed to the
// holder of the slot that its key maps to.
struct ClaimRequest
{
  // HashIdempotencyKey of customer and idempotency key.
  std::string key_;
  // FingerprintRequest of method, path and body.
  std::string fingerprint_;
  // Identifies this transmission; unique within the process and never 0.
  std::uint64_t ticket_ = 0;
  // The key mapped to another slot within the retry horizon (see SlotMap).
  bool moved_ = false;
};

// The backend server's response, replayed to repeated requests.
struct RecordedOutcome
{
  int status_ = 0;
  std::string contentType_;
  std::string body_;
  // False when the body was too large to store.
  bool bodyKept_ = true;
};

// Hashes customer and idempotency key to a fixed length, so that callers cannot
// make the store or the memory hold keys of arbitrary length.
std::string
HashIdempotencyKey(std::string_view aCustomer,
                   std::string_view aIdempotencyKey);

// Hashes the content of a request. A key that is reused with another
// fingerprint is refused.
std::string
FingerprintRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody);
// The same for a body in parts.
std::string
FingerprintRequest(std::string_view aMethod,
                   std::string_view aTarget,
                   const std::vector<std::string_view>& aBody);

}
