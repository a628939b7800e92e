#include "backend/Quarantine.h"

#include "base/Hash.h"

#include <algorithm>

namespace peridotsail {

namespace {

constexpr std::size_t kMaxServerDeaths = 1024;

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
  const Completion& slot = completions_[CompletionSlot(hash)];
  return slot.hash_ == hash && slot.time_ >= aTime;
}

bool
Quarantine::IsClearedBy(TimePoint aCompletedAt, TimePoint aDiedAt) const
{
  return aDiedAt <= aCompletedAt + options_.completionEvidence_;
}

std::optional<TimePoint>
Quarantine::LastCompletion(const std::string& aFingerprint) const
{
  const std::uint64_t hash = StableHash(aFingerprint);
  const Completion& slot = completions_[CompletionSlot(hash)];
  return slot.hash_ == hash ? std::optional(slot.time_) : std::nullopt;
}

std::size_t
Quarantine::Suspect::ConfirmedDeaths() const
{
  return static_cast<std::size_t>(
    std::count_if(deaths_.begin(), deaths_.end(), [](const auto& aEntry) {
      return aEntry.second.confirmed_;
    }));
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
Quarantine::RequiredServers(const Suspect& aSuspect) const
{
  std::set<std::string> unexplained;
  for (const ServerDeath& death : serverDeaths_) {
    const bool concurrent =
      std::any_of(aSuspect.deaths_.begin(),
                  aSuspect.deaths_.end(),
                  [&death, this](const auto& aEntry) {
                    const Duration difference =
                      death.time_ > aEntry.second.time_
                        ? death.time_ - aEntry.second.time_
                        : aEntry.second.time_ - death.time_;
                    return difference <= options_.commonCauseTime_;
                  });
    if (concurrent && aSuspect.deaths_.count(death.server_) == 0 &&
        !ExplainedByQuarantine(death.server_)) {
      unexplained.insert(death.server_);
    }
  }
  return options_.requiredServers_ +
         std::min(options_.maxExtraServers_, unexplained.size());
}

Quarantine::Suspect&
Quarantine::FindOrAddSuspect(const std::string& aFingerprint, TimePoint aNow)
{
  const auto known = suspects_.find(aFingerprint);
  if (known == suspects_.end() && suspects_.size() >= options_.maxSuspects_) {
    suspects_.erase(std::min_element(suspects_.begin(),
                                     suspects_.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.lastUpdate_ <
                                              aRight.second.lastUpdate_;
                                     }));
  }
  Suspect& suspect = suspects_[aFingerprint];
  suspect.lastUpdate_ = aNow;
  return suspect;
}

bool
Quarantine::AwaitsCompletionReports(const Suspect& aSuspect,
                                    TimePoint aNow) const
{
  return aSuspect.thresholdReachedAt_ &&
         aNow - *aSuspect.thresholdReachedAt_ < options_.completionReportTime_;
}

void
Quarantine::Decide(Suspect& aSuspect, TimePoint aNow)
{
  const std::size_t confirmed = aSuspect.ConfirmedDeaths();
  if (confirmed < options_.deathsBeforeWait_) {
    aSuspect.thresholdReachedAt_.reset();
  } else if (!aSuspect.thresholdReachedAt_) {
    aSuspect.thresholdReachedAt_ = aNow;
  }
  const bool enough = !aSuspect.refusedSince_ &&
                      confirmed >= options_.requiredServers_ &&
                      !AwaitsCompletionReports(aSuspect, aNow);
  if (enough && confirmed >= RequiredServers(aSuspect)) {
    aSuspect.refusedSince_ = aNow;
  }
}

void
Quarantine::ExpireUnconfirmed(Suspect& aSuspect, TimePoint aNow) const
{
  auto& deaths = aSuspect.deaths_;
  for (auto it = deaths.begin(); it != deaths.end();) {
    const bool expired = aNow - it->second.time_ > options_.confirmationTime_;
    it = !it->second.confirmed_ && expired ? deaths.erase(it) : ++it;
  }
}

void
Quarantine::Expire(TimePoint aNow)
{
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    ExpireUnconfirmed(suspect, aNow);
    const TimePoint since = suspect.refusedSince_.value_or(suspect.lastUpdate_);
    const bool empty = suspect.deaths_.empty() && !suspect.refusedSince_;
    it =
      empty || aNow - since > options_.lifetime_ ? suspects_.erase(it) : ++it;
  }
  while (!serverDeaths_.empty() &&
         (aNow - serverDeaths_.front().time_ > options_.lifetime_ ||
          serverDeaths_.size() > kMaxServerDeaths)) {
    deadServers_.erase(serverDeaths_.front().server_);
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
  Expire(aNow);
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
      AwaitsCompletionReports(suspect, aNow) ||
      suspect.deaths_.size() >= RequiredServers(suspect)) {
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
  completions_[CompletionSlot(hash)] = { hash, aNow };
  suspects_.erase(aFingerprint);
}

void
Quarantine::Died(const std::string& aFingerprint,
                 const std::string& aServer,
                 TimePoint aNow)
{
  Expire(aNow);
  if (CompletedSince(aFingerprint, aNow - options_.completionEvidence_)) {
    return;
  }
  Suspect::Death& death = FindOrAddSuspect(aFingerprint, aNow).deaths_[aServer];
  if (!death.confirmed_) {
    death.time_ = aNow;
  }
}

void
Quarantine::RecordServerDeath(const std::string& aServer, TimePoint aTime)
{
  if (deadServers_.insert(aServer).second) {
    serverDeaths_.push_back({ aServer, aTime });
  }
}

std::vector<QuarantineNotice>
Quarantine::ServerChecked(const std::string& aServer,
                          bool aAlive,
                          TimePoint aStartedAt,
                          TimePoint aNow)
{
  std::vector<QuarantineNotice> notices;
  Expire(aNow);
  if (aAlive) {
    deadServers_.erase(aServer);
  } else {
    RecordServerDeath(aServer, aNow);
  }
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    const auto death = suspect.deaths_.find(aServer);
    if (death == suspect.deaths_.end() || death->second.confirmed_ ||
        death->second.time_ > aStartedAt) {
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
    notices.push_back(MakeNotice(it->first, suspect, aNow));
    ++it;
  }
  return notices;
}

QuarantineNotice
Quarantine::MakeNotice(const std::string& aFingerprint,
                       const Suspect& aSuspect,
                       TimePoint aNow)
{
  QuarantineNotice notice;
  notice.fingerprint_ = aFingerprint;
  for (const auto& [server, death] : aSuspect.deaths_) {
    if (death.confirmed_) {
      notice.deaths_.push_back({ server, aNow - death.time_ });
    }
  }
  notice.quarantined_ = aSuspect.refusedSince_.has_value();
  notice.age_ = aNow - aSuspect.refusedSince_.value_or(aSuspect.lastUpdate_);
  return notice;
}

QuarantineNotice
Quarantine::NoticeFor(const std::string& aFingerprint, TimePoint aNow) const
{
  const auto found = suspects_.find(aFingerprint);
  return found == suspects_.end()
           ? QuarantineNotice{ aFingerprint, {}, false, {} }
           : MakeNotice(aFingerprint, found->second, aNow);
}

void
Quarantine::Apply(const QuarantineNotice& aNotice, TimePoint aNow)
{
  Expire(aNow);
  const auto completed = LastCompletion(aNotice.fingerprint_);
  for (const QuarantineDeath& entry : aNotice.deaths_) {
    const TimePoint time = aNow - entry.age_;
    if (entry.age_ > options_.lifetime_ ||
        (completed && IsClearedBy(*completed, time))) {
      continue;
    }
    Suspect& suspect = FindOrAddSuspect(aNotice.fingerprint_, aNow);
    Suspect::Death& death = suspect.deaths_[entry.server_];
    if (!death.confirmed_) {
      death = { time, true };
    }
    RecordServerDeath(entry.server_, time);
  }
  const TimePoint since = aNow - aNotice.age_;
  if (aNotice.quarantined_ && aNotice.age_ <= options_.lifetime_ &&
      !(completed && IsClearedBy(*completed, since))) {
    Suspect& suspect = FindOrAddSuspect(aNotice.fingerprint_, aNow);
    suspect.refusedSince_ = suspect.refusedSince_.value_or(since);
  }
  const auto found = suspects_.find(aNotice.fingerprint_);
  if (found != suspects_.end()) {
    Decide(found->second, aNow);
  }
}

void
Quarantine::RecordRemoteCompletion(const std::string& aFingerprint,
                                   TimePoint aCompletedAt)
{
  const std::uint64_t hash = StableHash(aFingerprint);
  Completion& slot = completions_[CompletionSlot(hash)];
  if (slot.hash_ != hash || slot.time_ < aCompletedAt) {
    slot = { hash, aCompletedAt };
  }
  const auto found = suspects_.find(aFingerprint);
  if (found == suspects_.end()) {
    return;
  }
  Suspect& suspect = found->second;
  auto& deaths = suspect.deaths_;
  const std::size_t before = deaths.size();
  for (auto it = deaths.begin(); it != deaths.end();) {
    it = IsClearedBy(aCompletedAt, it->second.time_) ? deaths.erase(it)
                                                     : std::next(it);
  }
  const std::size_t confirmed = suspect.ConfirmedDeaths();
  if (confirmed < options_.deathsBeforeWait_) {
    suspect.thresholdReachedAt_.reset();
  }
  const bool tooFew =
    deaths.size() < before && confirmed < options_.requiredServers_;
  if (suspect.refusedSince_ &&
      (tooFew || IsClearedBy(aCompletedAt, *suspect.refusedSince_))) {
    suspect.refusedSince_.reset();
  }
  if (deaths.empty() && !suspect.refusedSince_) {
    suspects_.erase(found);
  }
}

std::vector<QuarantineDeath>
Quarantine::RecentDeaths(std::size_t aMaxCount, TimePoint aNow) const
{
  std::vector<QuarantineDeath> recent;
  for (auto it = serverDeaths_.rbegin();
       it != serverDeaths_.rend() && recent.size() < aMaxCount;
       ++it) {
    if (aNow - it->time_ <= options_.commonCauseTime_) {
      recent.push_back({ it->server_, aNow - it->time_ });
    }
  }
  return recent;
}

std::optional<TimePoint>
Quarantine::NextDecision(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [fingerprint, suspect] : suspects_) {
    const bool undecided =
      !suspect.refusedSince_ &&
      suspect.ConfirmedDeaths() >= options_.requiredServers_;
    if (undecided && AwaitsCompletionReports(suspect, aNow)) {
      const TimePoint at =
        *suspect.thresholdReachedAt_ + options_.completionReportTime_;
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

std::vector<QuarantineNotice>
Quarantine::DecideAll(TimePoint aNow)
{
  for (auto& [fingerprint, suspect] : suspects_) {
    Decide(suspect, aNow);
  }
  return Refused(aNow);
}

std::vector<QuarantineNotice>
Quarantine::Refused(TimePoint aNow) const
{
  std::vector<QuarantineNotice> refused;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.refusedSince_ &&
        aNow - *suspect.refusedSince_ <= options_.lifetime_) {
      refused.push_back(MakeNotice(fingerprint, suspect, aNow));
    }
  }
  return refused;
}

}
