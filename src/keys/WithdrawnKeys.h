#pragma once

// The key ids that operators withdrew during a store outage and that are not
// yet withdrawn in the configuration in force. The set only grows by merging
// with peers' sets; an entry leaves when the configuration covers it, so the
// order of messages does not matter.
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

// The largest number of entries, so that the set fits into one peer message
// with ids of 100 bytes.
constexpr std::size_t kMaxWithdrawnKeys = 5'000;

struct WithdrawnKey
{
  std::string id_;
  // The version in force where the operator withdrew the key.
  std::int64_t version_ = 0;
};

using WithdrawnIds = std::shared_ptr<const std::set<std::string>>;

class WithdrawnKeys
{
public:
  // Returns false when the set is full.
  bool Add(const WithdrawnKey& aKey);
  // Returns whether the set has changed. Entries beyond the limit are left out.
  bool Merge(const std::vector<WithdrawnKey>& aKeys);
  // Removes entries that the configuration covers: the key is withdrawn in it,
  // or it is newer than the withdrawal and the key no longer exists. Returns
  // whether the set has changed.
  bool Prune(const Configuration& aConfiguration);

  bool Has(const std::string& aId) const { return versions_.count(aId) != 0; }
  bool IsEmpty() const { return versions_.empty(); }
  std::vector<WithdrawnKey> List() const;
  // The ids for the key table.
  WithdrawnIds Ids() const;
  // Equal for sets with equal ids; empty for the empty set.
  std::string Digest() const;

private:
  std::map<std::string, std::int64_t> versions_;
};

}
