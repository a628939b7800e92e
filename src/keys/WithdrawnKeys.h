#pragma once

// The keys that operators withdrew during a store outage and that are not yet
// withdrawn in the configuration in force. Merging peers' sets only adds
// entries, and an entry is removed only when the configuration covers it, so
// the order of messages does not matter.
//
//   WithdrawnKeys keys;
//   keys.Add({ "k1", 7 });
//   if (keys.Merge(fromPeer)) { ... }
//   keys.Prune(*configuration);

#include "config/Configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

// The maximum number of entries for which the set fits into one peer message
// with IDs of 100 bytes.
constexpr std::size_t kMaxWithdrawnKeys = 5'000;

struct WithdrawnKey
{
  std::string id_;
  // The configuration version in force when the operator withdrew the key.
  std::int64_t version_ = 0;
};

using WithdrawnIds = std::shared_ptr<const std::set<std::string>>;

class WithdrawnKeys
{
public:
  // Returns false when the set is full.
  bool Add(const WithdrawnKey& aKey);
  // Returns whether the set has changed. Entries beyond the limit are dropped.
  bool Merge(const std::vector<WithdrawnKey>& aKeys);
  // Removes the entries that the configuration covers: those whose key is
  // withdrawn in it, and those whose key it lacks although it is newer than the
  // withdrawal. Returns whether the set has changed.
  bool Prune(const Configuration& aConfiguration);

  bool Has(const std::string& aId) const { return versions_.count(aId) != 0; }
  bool IsEmpty() const { return versions_.empty(); }
  std::vector<WithdrawnKey> List() const;
  // The IDs, for KeyTable.
  WithdrawnIds Ids() const;
  // A hash that is equal for sets with equal IDs; empty for the empty set.
  std::string Digest() const;

private:
  std::map<std::string, std::int64_t> versions_;
};

}
