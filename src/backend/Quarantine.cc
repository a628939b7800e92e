#include "backend/Quarantine.h"

#include "base/BoundedCbor.h"
#include "base/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

constexpr std::size_t kFingerprintDigits = 32;
constexpr std::size_t kMostNoticeServers = 16;
constexpr std::size_t kLongestServerName = 100;
constexpr std::size_t kMostNoticeBytes = 4096;
constexpr std::size_t kMostServerDeaths = 1024;
// The notice and its list of servers.
constexpr int kMaxDepth = 2;

bool
IsFingerprint(const std::string& aText)
{
  return aText.size() == kFingerprintDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}

std::string
MakeFingerprint(std::string_view aCustomer,
                std::string_view aMethod,
                std::string_view aTarget,
                std::uint64_t aBodySize,
                std::string_view aBodyStart)
{
  // Sizes come before the texts, so that no two requests have the same input.
  std::string input;
  for (const std::string_view part : { aCustomer, aMethod, aTarget }) {
    input += std::to_string(part.size());
    input += ':';
    input += part;
  }
  input += std::to_string(aBodySize);
  input += ':';
  input += aBodyStart;
  return Sha256Hex(input).substr(0, kFingerprintDigits);
}

std::vector<std::uint8_t>
EncodeQuarantineNotice(const QuarantineNotice& aNotice)
{
  return nlohmann::json::to_cbor(
    { { "type", "QuarantineNotice" },
      { "fingerprint", aNotice.fingerprint_ },
      { "servers", aNotice.servers_ },
      { "quarantined", aNotice.quarantined_ },
      { "age_ms", std::max<std::int64_t>(0, ToMilliseconds(aNotice.age_)) } });
}

std::optional<QuarantineNotice>
DecodeQuarantineNotice(const std::vector<std::uint8_t>& aBytes)
{
  if (aBytes.size() > kMostNoticeBytes) {
    return std::nullopt;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aBytes.data()),
                               aBytes.size());
  const nlohmann::json json =
    DecodeBoundedCbor(bytes, kMaxDepth).value_or(nullptr);
  if (!json.is_object() || json.value("type", nlohmann::json()) !=
                             nlohmann::json("QuarantineNotice")) {
    return std::nullopt;
  }
  const auto fingerprint = json.find("fingerprint");
  const auto servers = json.find("servers");
  const auto quarantined = json.find("quarantined");
  const auto age = json.find("age_ms");
  if (fingerprint == json.end() || !fingerprint->is_string() ||
      servers == json.end() || !servers->is_array() ||
      servers->size() > kMostNoticeServers || quarantined == json.end() ||
      !quarantined->is_boolean() || age == json.end() ||
      !age->is_number_unsigned() ||
      age->get<std::uint64_t>() > 24ULL * 3600 * 1000) {
    return std::nullopt;
  }
  QuarantineNotice notice;
  notice.fingerprint_ = fingerprint->get<std::string>();
  notice.quarantined_ = quarantined->get<bool>();
  notice.age_ = std::chrono::milliseconds(age->get<std::int64_t>());
  for (const auto& server : *servers) {
    if (!server.is_string() ||
        server.get_ref<const std::string&>().size() > kLongestServerName) {
      return std::nullopt;
    }
    notice.servers_.push_back(server.get<std::string>());
  }
  return IsFingerprint(notice.fingerprint_) ? std::optional(notice)
                                            : std::nullopt;
}

Quarantine::Quarantine(QuarantineOptions aOptions)
  : options_(aOptions)
  , completions_(aOptions.completionSlots_)
{
}

bool
Quarantine::CompletedSince(const std::string& aFingerprint,
                           TimePoint aTime) const
{
  const std::uint64_t hash = StableHash(aFingerprint);
  const Completion& slot = completions_[hash & (completions_.size() - 1)];
  return slot.hash_ == hash && slot.time_ >= aTime;
}

bool
Quarantine::ExplainedByQuarantine(const std::string& aServer) const
{
  return std::any_of(
    suspects_.begin(), suspects_.end(), [&aServer](const auto& aEntry) {
      return aEntry.second.refusedSince_ &&
             aEntry.second.deaths_.count(aServer) > 0;
    });
}

std::size_t
Quarantine::Needed(const Suspect& aSuspect) const
{
  std::set<std::string> unexplained;
  for (const ServerDeath& death : serverDeaths_) {
    const bool near = std::any_of(aSuspect.deaths_.begin(),
                                  aSuspect.deaths_.end(),
                                  [&death, this](const auto& aEntry) {
                                    const Duration apart =
                                      death.time_ > aEntry.second.time_
                                        ? death.time_ - aEntry.second.time_
                                        : aEntry.second.time_ - death.time_;
                                    return apart <= options_.commonCauseTime_;
                                  });
    if (near && aSuspect.deaths_.count(death.server_) == 0 &&
        !ExplainedByQuarantine(death.server_)) {
      unexplained.insert(death.server_);
    }
  }
  return options_.serversNeeded_ +
         std::min(options_.mostRaised_, unexplained.size());
}

Quarantine::Suspect&
Quarantine::SuspectOf(const std::string& aFingerprint, TimePoint aNow)
{
  const auto known = suspects_.find(aFingerprint);
  if (known == suspects_.end() && suspects_.size() >= options_.mostSuspects_) {
    suspects_.erase(std::min_element(suspects_.begin(),
                                     suspects_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.last_ <
                                              aRight.second.last_;
                                     }));
  }
  Suspect& suspect = suspects_[aFingerprint];
  suspect.last_ = aNow;
  return suspect;
}

void
Quarantine::Decide(Suspect& aSuspect, TimePoint aNow)
{
  const auto confirmed = static_cast<std::size_t>(std::count_if(
    aSuspect.deaths_.begin(), aSuspect.deaths_.end(), [](const auto& aEntry) {
      return aEntry.second.confirmed_;
    }));
  if (!aSuspect.refusedSince_ && confirmed >= Needed(aSuspect)) {
    aSuspect.refusedSince_ = aNow;
  }
}

void
Quarantine::ForgetUnconfirmed(Suspect& aSuspect, TimePoint aNow) const
{
  auto& deaths = aSuspect.deaths_;
  for (auto it = deaths.begin(); it != deaths.end();) {
    const bool old = aNow - it->second.time_ > options_.confirmationTime_;
    it = !it->second.confirmed_ && old ? deaths.erase(it) : ++it;
  }
}

void
Quarantine::Forget(TimePoint aNow)
{
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    ForgetUnconfirmed(suspect, aNow);
    const TimePoint since = suspect.refusedSince_.value_or(suspect.last_);
    const bool empty = suspect.deaths_.empty() && !suspect.refusedSince_;
    it =
      empty || aNow - since > options_.lifetime_ ? suspects_.erase(it) : ++it;
  }
  while (!serverDeaths_.empty() &&
         (aNow - serverDeaths_.front().time_ > options_.lifetime_ ||
          serverDeaths_.size() > kMostServerDeaths)) {
    serverDeaths_.pop_front();
  }
}

QuarantineVerdict
Quarantine::Check(const std::string& aFingerprint, TimePoint aNow)
{
  const auto it = suspects_.find(aFingerprint);
  if (it == suspects_.end()) {
    return QuarantineVerdict::Run;
  }
  Forget(aNow);
  const auto kept = suspects_.find(aFingerprint);
  if (kept == suspects_.end()) {
    return QuarantineVerdict::Run;
  }
  Suspect& suspect = kept->second;
  Decide(suspect, aNow);
  if (suspect.refusedSince_) {
    return QuarantineVerdict::Refuse;
  }
  if (running_.count(aFingerprint) > 0 ||
      suspect.deaths_.size() >= Needed(suspect)) {
    return QuarantineVerdict::Wait;
  }
  return QuarantineVerdict::Run;
}

void
Quarantine::Started(const std::string& aFingerprint)
{
  ++running_[aFingerprint];
}

void
Quarantine::Ended(const std::string& aFingerprint)
{
  const auto it = running_.find(aFingerprint);
  if (it != running_.end() && --it->second <= 0) {
    running_.erase(it);
  }
}

void
Quarantine::Completed(const std::string& aFingerprint, TimePoint aNow)
{
  const std::uint64_t hash = StableHash(aFingerprint);
  completions_[hash & (completions_.size() - 1)] = { hash, aNow };
  suspects_.erase(aFingerprint);
}

void
Quarantine::Died(const std::string& aFingerprint,
                 const std::string& aServer,
                 TimePoint aNow)
{
  Forget(aNow);
  if (CompletedSince(aFingerprint, aNow - options_.completionEvidence_)) {
    return;
  }
  Suspect::Death& death = SuspectOf(aFingerprint, aNow).deaths_[aServer];
  if (!death.confirmed_) {
    death.time_ = aNow;
  }
}

void
Quarantine::LogServerDeath(const std::string& aServer, TimePoint aTime)
{
  if (knownDead_.insert(aServer).second) {
    serverDeaths_.push_back({ aServer, aTime });
  }
}

std::vector<QuarantineNotice>
Quarantine::ServerChecked(const std::string& aServer,
                          bool aAlive,
                          TimePoint aBegun,
                          TimePoint aNow)
{
  std::vector<QuarantineNotice> notices;
  Forget(aNow);
  if (aAlive) {
    knownDead_.erase(aServer);
  } else {
    LogServerDeath(aServer, aNow);
  }
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    const auto death = suspect.deaths_.find(aServer);
    if (death == suspect.deaths_.end() || death->second.confirmed_ ||
        death->second.time_ > aBegun) {
      ++it;
      continue;
    }
    if (aAlive) {
      suspect.deaths_.erase(death);
      it = suspect.deaths_.empty() && !suspect.refusedSince_
             ? suspects_.erase(it)
             : ++it;
      continue;
    }
    death->second.confirmed_ = true;
    Decide(suspect, aNow);
    notices.push_back(NoticeOf(it->first, suspect, aNow));
    ++it;
  }
  return notices;
}

QuarantineNotice
Quarantine::NoticeOf(const std::string& aFingerprint,
                     const Suspect& aSuspect,
                     TimePoint aNow) const
{
  QuarantineNotice notice;
  notice.fingerprint_ = aFingerprint;
  for (const auto& [server, death] : aSuspect.deaths_) {
    if (death.confirmed_ && notice.servers_.size() < kMostNoticeServers) {
      notice.servers_.push_back(server);
    }
  }
  notice.quarantined_ = aSuspect.refusedSince_.has_value();
  notice.age_ = aNow - aSuspect.refusedSince_.value_or(aSuspect.last_);
  return notice;
}

void
Quarantine::Apply(const QuarantineNotice& aNotice, TimePoint aNow)
{
  Forget(aNow);
  if (aNotice.age_ > options_.lifetime_ ||
      CompletedSince(aNotice.fingerprint_,
                     aNow - aNotice.age_ - options_.completionEvidence_)) {
    return;
  }
  Suspect& suspect = SuspectOf(aNotice.fingerprint_, aNow);
  for (const std::string& server : aNotice.servers_) {
    Suspect::Death& death = suspect.deaths_[server];
    if (!death.confirmed_) {
      death = { aNow - aNotice.age_, true };
    }
    serverDeaths_.push_back({ server, aNow - aNotice.age_ });
  }
  if (aNotice.quarantined_ && !suspect.refusedSince_) {
    suspect.refusedSince_ = aNow - aNotice.age_;
  }
  Decide(suspect, aNow);
}

std::vector<std::string>
Quarantine::Refused(TimePoint aNow) const
{
  std::vector<std::string> fingerprints;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.refusedSince_ &&
        aNow - *suspect.refusedSince_ <= options_.lifetime_) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

}
