#pragma once

// Authenticates each request to a keyed route. Used on the traffic thread.
//
//   KeyTable table;
//   table.SetConfiguration(snapshot->configuration_);
//   table.SetWithdrawn(ids);
//   table.SetFreshUntil(freshness.FreshUntil());
//   KeyDecision decision = table.Check(BootClock::now(), authorization);
//   if (decision.refusal_) { Refuse(*decision.refusal_); }
//
// Check neither stores nor logs the header value, and the table holds only
// hashes of secrets.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "config/Configuration.h"
#include "keys/WithdrawnKeys.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotsail {

struct KeyDecision
{
  // ConfigurationMissing, HostIsolated, Unauthenticated or KeyWithdrawn.
  std::optional<ErrorKind> refusal_;
  // The customer on whose behalf the request is made.
  std::string customer_;
  // The key's ID, also set when the key is withdrawn.
  std::string keyId_;
};

class KeyTable
{
public:
  void SetConfiguration(ConfigurationPtr aConfiguration);
  // Sets the IDs of keys that were withdrawn during a store outage.
  void SetWithdrawn(WithdrawnIds aIds);
  // All requests are refused from this time on.
  void SetFreshUntil(TimePoint aUntil) { freshUntil_ = aUntil; }

  // aAuthorization: value of the Authorization header, "Bearer <id>.<secret>".
  KeyDecision Check(TimePoint aNow, std::string_view aAuthorization) const;

private:
  // Owns the KeyConfig objects that keys_ points to.
  ConfigurationPtr configuration_;
  std::unordered_map<std::string, const KeyConfig*> keys_;
  WithdrawnIds withdrawn_;
  TimePoint freshUntil_ = TimePoint::min();
};

}
