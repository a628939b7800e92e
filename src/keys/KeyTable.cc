#include "keys/KeyTable.h"

#include "base/Hash.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace peridotsail {

namespace {

constexpr std::string_view kScheme = "bearer ";
// Longer header values are refused before hashing.
constexpr std::size_t kMaxCredentialBytes = 512;

// Returns the text after the case-insensitive scheme "Bearer ", if present.
std::optional<std::string_view>
CredentialOf(std::string_view aAuthorization)
{
  if (aAuthorization.size() <= kScheme.size() ||
      aAuthorization.size() > kMaxCredentialBytes) {
    return std::nullopt;
  }
  const bool isBearer = std::equal(
    kScheme.begin(),
    kScheme.end(),
    aAuthorization.begin(),
    [](char aLeft, char aRight) {
      return aLeft == std::tolower(static_cast<unsigned char>(aRight));
    });
  if (!isBearer) {
    return std::nullopt;
  }
  return aAuthorization.substr(kScheme.size());
}

KeyDecision
Refusal(ErrorKind aKind)
{
  KeyDecision decision;
  decision.refusal_ = aKind;
  return decision;
}

}

void
KeyTable::SetConfiguration(ConfigurationPtr aConfiguration)
{
  keys_.clear();
  configuration_ = std::move(aConfiguration);
  if (!configuration_) {
    return;
  }
  for (const KeyConfig& key : configuration_->keys_) {
    keys_[key.id_] = &key;
  }
}

void
KeyTable::SetWithdrawn(WithdrawnIds aIds)
{
  withdrawn_ = std::move(aIds);
}

KeyDecision
KeyTable::Check(TimePoint aNow, std::string_view aAuthorization) const
{
  if (!configuration_) {
    return Refusal(ErrorKind::ConfigurationMissing);
  }
  if (aNow >= freshUntil_) {
    return Refusal(ErrorKind::HostIsolated);
  }
  const std::optional<std::string_view> credential =
    CredentialOf(aAuthorization);
  const std::size_t dot =
    credential ? credential->find('.') : std::string::npos;
  if (dot == std::string_view::npos) {
    return Refusal(ErrorKind::Unauthenticated);
  }
  const std::string id(credential->substr(0, dot));
  const auto found = keys_.find(id);
  // An unknown ID takes the same hash and comparison as a known one, so that
  // the response time does not reveal which IDs exist.
  static const std::string kNoHash(64, '0');
  const std::string& expected =
    found == keys_.end() ? kNoHash : found->second->sha256_;
  const bool matches =
    EqualConstantTime(Sha256Hex(credential->substr(dot + 1)), expected);
  if (!matches || found == keys_.end()) {
    return Refusal(ErrorKind::Unauthenticated);
  }
  KeyDecision decision;
  decision.keyId_ = id;
  if (found->second->withdrawn_ || (withdrawn_ && withdrawn_->count(id) != 0)) {
    decision.refusal_ = ErrorKind::KeyWithdrawn;
    return decision;
  }
  decision.customer_ = found->second->customer_;
  return decision;
}

}
