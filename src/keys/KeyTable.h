#pragma once

// Authenticates requests on keyed routes, on the traffic thread, per request.
//
//   KeyTable table;
//   table.SetConfiguration(snapshot->configuration_);
//   table.SetWithdrawn(ids);
//   table.SetFreshUntil(freshness.FreshUntil());
//   KeyDecision decision = table.Check(BootClock::now(), authorization);
//   if (decision.refusal_) { Refuse(*decision.refusal_); }
//
// The header value does not leave the caller of Check; the table neither stores
// nor logs secrets.

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
  // The customer on whose behalf the request runs.
  std::string customer_;
  // The key's id, also when it is withdrawn.
  std::string keyId_;
};

class KeyTable
{
public:
  void SetConfiguration(ConfigurationPtr aConfiguration);
  // The ids of the grow-only set.
  void SetWithdrawn(WithdrawnIds aIds);
  // Keyed routes are refused from this time on.
  void SetFreshUntil(TimePoint aUntil) { freshUntil_ = aUntil; }

  // aAuthorization is the header's value: "Bearer <id>.<secret>".
  KeyDecision Check(TimePoint aNow, std::string_view aAuthorization) const;

private:
  // The configuration keeps the key objects alive.
  ConfigurationPtr configuration_;
  std::unordered_map<std::string, const KeyConfig*> keys_;
  WithdrawnIds withdrawn_;
  TimePoint freshUntil_ = TimePoint::min();
};

}
