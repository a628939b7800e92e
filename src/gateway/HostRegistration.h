#pragma once

// Maintains this host's record in the store under a lease that it renews. Each
// write is conditional on the record's revision, so that a delayed write cannot
// replace a newer one. Runs on the store's thread.
//
//   HostRegistration registration(context, store, key, options);
//   registration.Set(record);
//   registration.Start();
//
// The store states an era, which rises when it was restored from an older copy.
// The lease and the record of an earlier era no longer exist, even if the store
// has given out the lease's id again, so both are requested anew. Responses of
// an earlier era are ignored.

#include "base/ViewAge.h"
#include "gateway/FleetTypes.h"
#include "gateway/KvStore.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace peridotsail {

struct RegistrationOptions
{
  // The record outlives the host's process by at most this time.
  Duration leaseTtl_ = kRegistrationLease;
  Duration renewalInterval_ = kRegistrationRenewal;
  // Minimum interval between two writes.
  Duration minWriteInterval_ = std::chrono::milliseconds(1000);
  // Called when the store responds to a lease renewal. May be empty.
  std::function<void()> onAnswered_;
  // Called when a response states a higher era than those before. May be empty.
  std::function<void(std::uint64_t aEra)> onEra_;
  // Called when the store has accepted a record. May be empty.
  std::function<void()> onRegistered_;
};

class HostRegistration
{
public:
  HostRegistration(boost::asio::io_context& aContext,
                   KvStore& aStore,
                   std::string aKey,
                   RegistrationOptions aOptions);
  ~HostRegistration();
  HostRegistration(const HostRegistration&) = delete;
  HostRegistration& operator=(const HostRegistration&) = delete;

  void Start();
  // Sets the record to publish with the next write; a change of the draining
  // flag is written immediately.
  void Set(HostRecord aRecord);
  // Reports the last change of the record as read from the store.
  void OnStored(const StorePosition& aPosition, bool aRemoved);
  // The store has this era; 0 is not known.
  void OnEra(std::uint64_t aEra);
  // Revokes the lease. aDone is called after the store's response or its
  // failure.
  void Deregister(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
