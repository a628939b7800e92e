#pragma once

// Keeps this host's record in the store under a lease, which it renews. Each
// write is conditional on the record's revision, so that a write which takes
// effect late cannot replace a newer one. Runs on the store's thread.
//
//   HostRegistration registration(context, store, key, options);
//   registration.Set(record);
//   registration.Start();

#include "gateway/FleetTypes.h"
#include "gateway/KvStore.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace peridotsail {

struct RegistrationOptions
{
  // After a host's end its record stays for this long.
  Duration leaseTtl_ = std::chrono::seconds(4);
  // Two renewals may fail before the lease ends.
  Duration renewalInterval_ = std::chrono::milliseconds(1300);
  // The shortest time between two writes.
  Duration minWriteInterval_ = std::chrono::milliseconds(1000);
  // Runs when the store answers a renewal of the lease. May be empty.
  std::function<void()> onAnswered_;
  // Runs when the store has taken a record. May be empty.
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
  // Published with the next write; at once when the host begins to drain.
  void Set(HostRecord aRecord);
  // The record's revision as a read of the store shows it; 0: it is gone.
  void OnStored(std::uint64_t aRevision);
  // Ends the lease; aDone runs after the store's answer or its failure.
  void Deregister(std::function<void()> aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
