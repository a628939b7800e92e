#include "keys/WithdrawnKeys.h"

#include "base/Hash.h"

#include <algorithm>

namespace peridotsail {

bool
WithdrawnKeys::Add(const WithdrawnKey& aKey)
{
  const auto found = versions_.find(aKey.id_);
  if (found != versions_.end()) {
    found->second = std::max(found->second, aKey.version_);
    return true;
  }
  if (versions_.size() >= kMaxWithdrawnKeys) {
    return false;
  }
  versions_[aKey.id_] = aKey.version_;
  return true;
}

bool
WithdrawnKeys::Merge(const std::vector<WithdrawnKey>& aKeys)
{
  const std::size_t before = versions_.size();
  for (const WithdrawnKey& key : aKeys) {
    Add(key);
  }
  return versions_.size() != before;
}

bool
WithdrawnKeys::Prune(const Configuration& aConfiguration)
{
  const std::size_t before = versions_.size();
  std::map<std::string, bool> withdrawn;
  for (const KeyConfig& key : aConfiguration.keys_) {
    withdrawn[key.id_] = key.withdrawn_;
  }
  for (auto entry = versions_.begin(); entry != versions_.end();) {
    const auto key = withdrawn.find(entry->first);
    // A configuration that is not newer than the withdrawal may lack the key
    // because the key was created later.
    const bool covered = key == withdrawn.end()
                           ? aConfiguration.version_ > entry->second
                           : key->second;
    entry = covered ? versions_.erase(entry) : std::next(entry);
  }
  return versions_.size() != before;
}

std::vector<WithdrawnKey>
WithdrawnKeys::List() const
{
  std::vector<WithdrawnKey> keys;
  for (const auto& [id, version] : versions_) {
    keys.push_back({ id, version });
  }
  return keys;
}

WithdrawnIds
WithdrawnKeys::Ids() const
{
  auto ids = std::make_shared<std::set<std::string>>();
  for (const auto& [id, version] : versions_) {
    ids->insert(id);
  }
  return ids;
}

std::string
WithdrawnKeys::Digest() const
{
  std::string text;
  for (const auto& [id, version] : versions_) {
    text += id + "\n";
  }
  // 128 bits are enough to distinguish sets, because only operators choose the
  // input.
  return text.empty() ? "" : Sha256Hex(text).substr(0, 32);
}

}
