#include "gateway/FleetQuarantine.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// From this number of deaths on, all hosts are notified.
constexpr std::size_t kSeriousDeaths = 2;
// The bound of the notification history, which only serves to avoid repeated
// messages.
constexpr std::size_t kMaxNotified = 4096;
// Seeds of the rendezvous order. They differ from those of allowance shares, so
// that a fingerprint's collectors are not the allowance owners of a customer
// with the same name.
constexpr std::uint64_t kFirstCollector = 1000;
constexpr std::uint64_t kSecondCollector = 2000;

bool
IsSerious(const QuarantineNotice& aNotice)
{
  return aNotice.quarantined_ || aNotice.deaths_.size() >= kSeriousDeaths;
}

}

FleetQuarantineOptions::FleetQuarantineOptions()
{
  quarantine_.requiredServers_ = 3;
  quarantine_.maxExtraServers_ = 2;
  quarantine_.deathsBeforeWait_ = kSeriousDeaths;
  // Three one-way trips to another region, with a margin: the notification by
  // the collector, the objection and its forwarding.
  quarantine_.completionReportTime_ = std::chrono::milliseconds(250);
}

FleetQuarantine::FleetQuarantine(FleetQuarantineOptions aOptions,
                                 const AllowanceOwners& aHosts,
                                 FleetQuarantineHooks aHooks)
  : options_(aOptions)
  , hosts_(aHosts)
  , hooks_(std::move(aHooks))
  , quarantine_(aOptions.quarantine_)
{
}

std::vector<std::string>
FleetQuarantine::Collectors(const std::string& aFingerprint, bool& aSelf) const
{
  std::set<std::string> addresses;
  aSelf = false;
  const auto add = [&](std::size_t aShare, std::uint64_t aSeed) {
    const AllowanceOwner* host =
      hosts_.PreferredHost(aShare, aFingerprint, aSeed + aShare);
    if (host != nullptr && host->self_) {
      aSelf = true;
    } else if (host != nullptr) {
      addresses.insert(host->address_);
    }
  };
  for (std::size_t share = 0; share < hosts_.ShareCount(); ++share) {
    add(share, kFirstCollector);
  }
  add(hosts_.LocalShare(), kSecondCollector);
  return { addresses.begin(), addresses.end() };
}

QuarantineVerdict
FleetQuarantine::Check(const std::string& aFingerprint, TimePoint aNow)
{
  return quarantine_.Check(aFingerprint, aNow);
}

void
FleetQuarantine::Started(const std::string& aFingerprint)
{
  quarantine_.Started(aFingerprint);
}

void
FleetQuarantine::Ended(const std::string& aFingerprint)
{
  quarantine_.Ended(aFingerprint);
}

void
FleetQuarantine::Completed(const std::string& aFingerprint, TimePoint aNow)
{
  const bool suspected = ownReports_.count(aFingerprint) > 0 ||
                         quarantine_.IsSuspected(aFingerprint) ||
                         (publishedSuspicions_.count(aFingerprint) > 0 &&
                          objections_.count(aFingerprint) == 0);
  quarantine_.Completed(aFingerprint, aNow);
  if (suspected) {
    SendCleared(aFingerprint, Duration::zero(), aNow);
  }
}

void
FleetQuarantine::SendCleared(const std::string& aFingerprint,
                             Duration aAge,
                             TimePoint aNow)
{
  const SuspectCleared cleared{ aFingerprint, aAge };
  if (publishedSuspicions_.count(aFingerprint) > 0) {
    objections_[aFingerprint] = aNow - aAge;
  }
  bool self = false;
  for (const std::string& address : Collectors(aFingerprint, self)) {
    hooks_.send_(address, cleared);
  }
  ApplyCleared(cleared, aNow);
}

void
FleetQuarantine::ApplyCleared(const SuspectCleared& aCleared, TimePoint aNow)
{
  const TimePoint completedAt = aNow - aCleared.age_;
  quarantine_.RecordRemoteCompletion(aCleared.fingerprint_, completedAt);
  const auto own = ownReports_.find(aCleared.fingerprint_);
  if (own != ownReports_.end()) {
    auto& deaths = own->second.deaths_;
    for (auto it = deaths.begin(); it != deaths.end();) {
      it = quarantine_.IsClearedBy(completedAt, it->second) ? deaths.erase(it)
                                                            : std::next(it);
    }
    if (deaths.empty()) {
      ownReports_.erase(own);
    }
  }
  reportedRefusals_.erase(aCleared.fingerprint_);
  const auto notified = notified_.find(aCleared.fingerprint_);
  if (notified == notified_.end()) {
    return;
  }
  const bool newer =
    notified->second.completedAt_ == TimePoint::min() ||
    completedAt > notified->second.completedAt_ + options_.minCompletionGap_;
  if (newer) {
    Notified next;
    next.completedAt_ = completedAt;
    next.notifiedReporters_ = notified->second.notifiedReporters_;
    notified->second = next;
    BroadcastToRegion(aCleared);
    for (const std::string& address : next.notifiedReporters_) {
      hooks_.send_(address, aCleared);
    }
  }
}

void
FleetQuarantine::Died(const std::string& aFingerprint,
                      const std::string& aServer,
                      TimePoint aNow)
{
  quarantine_.Died(aFingerprint, aServer, aNow);
}

std::vector<QuarantineNotice>
FleetQuarantine::ServerChecked(const std::string& aServer,
                               bool aAlive,
                               TimePoint aStartedAt,
                               TimePoint aNow)
{
  auto notices = quarantine_.ServerChecked(aServer, aAlive, aStartedAt, aNow);
  for (const QuarantineNotice& notice : notices) {
    OwnReport& own = ownReports_[notice.fingerprint_];
    for (const QuarantineDeath& death : notice.deaths_) {
      if (death.server_ == aServer) {
        own.deaths_[aServer] = aNow - death.age_;
      }
    }
    own.repeatDelay_ = options_.initialRepeatDelay_;
    own.nextReportAt_ = aNow + own.repeatDelay_;
    const std::uint64_t report = Report(notice.fingerprint_, aNow);
    for (Waiter& waiter : waiters_) {
      if (waiter.fingerprint_ == notice.fingerprint_ &&
          waiter.server_ == aServer) {
        waiter.reportId_ = report;
      }
    }
  }
  // Without a report there is no response to wait for.
  CompleteWaiters([&](const Waiter& aWaiter) {
    return aWaiter.server_ == aServer && aWaiter.reportId_ == 0;
  });
  return notices;
}

// Returns the id of the report, or zero if no other host is asked.
std::uint64_t
FleetQuarantine::Report(const std::string& aFingerprint, TimePoint aNow)
{
  OwnReport& own = ownReports_[aFingerprint];
  SuspectReport report;
  report.id_ = nextReport_++;
  report.notice_ = OwnNotice(aFingerprint, own, aNow);
  report.otherDeaths_ =
    quarantine_.RecentDeaths(options_.maxOtherDeaths_, aNow);
  bool self = false;
  const auto collectors = Collectors(aFingerprint, self);
  for (const std::string& address : collectors) {
    hooks_.send_(address, report);
  }
  if (!collectors.empty()) {
    own.unacknowledgedCount_ += own.unacknowledgedReport_ != 0 ? 1 : 0;
    own.unacknowledgedReport_ = report.id_;
  }
  if (self) {
    NotifyRegion(aFingerprint, aNow);
  }
  return self || collectors.empty() ? 0 : report.id_;
}

QuarantineNotice
FleetQuarantine::OwnNotice(const std::string& aFingerprint,
                           const OwnReport& aOwn,
                           TimePoint aNow)
{
  QuarantineNotice notice;
  notice.fingerprint_ = aFingerprint;
  for (const auto& [server, time] : aOwn.deaths_) {
    notice.deaths_.push_back({ server, aNow - time });
  }
  return notice;
}

void
FleetQuarantine::AwaitVerdict(const std::string& aFingerprint,
                              const std::string& aServer,
                              TimePoint aNow,
                              Callback aCallback)
{
  waiters_.push_back({ aFingerprint,
                       aServer,
                       0,
                       aNow + options_.verdictTimeout_,
                       std::move(aCallback) });
}

void
FleetQuarantine::CompleteWaiters(
  const std::function<bool(const Waiter&)>& aPredicate)
{
  const auto remaining = std::stable_partition(
    waiters_.begin(), waiters_.end(), [&](const Waiter& aWaiter) {
      return !aPredicate(aWaiter);
    });
  std::vector<Waiter> completed(std::make_move_iterator(remaining),
                                std::make_move_iterator(waiters_.end()));
  waiters_.erase(remaining, waiters_.end());
  for (const Waiter& waiter : completed) {
    waiter.callback_();
  }
}

void
FleetQuarantine::Receive(const QuarantineMessage& aMessage,
                         const std::string& aFrom,
                         TimePoint aNow)
{
  if (const auto* report = std::get_if<SuspectReport>(&aMessage)) {
    OnReport(*report, aFrom, aNow);
  } else if (const auto* notice = std::get_if<SuspectNotice>(&aMessage)) {
    const auto own = ownReports_.find(notice->notice_.fingerprint_);
    if (notice->id_ != 0 && own != ownReports_.end()) {
      own->second.unacknowledgedReport_ = 0;
      own->second.unacknowledgedCount_ = 0;
    }
    Apply(notice->notice_, aNow);
    UpdateRefusals(aNow);
    CompleteWaiters([&](const Waiter& aWaiter) {
      return notice->id_ != 0 && aWaiter.reportId_ == notice->id_;
    });
  } else {
    ApplyCleared(std::get<SuspectCleared>(aMessage), aNow);
  }
}

void
FleetQuarantine::OnReport(const SuspectReport& aReport,
                          const std::string& aFrom,
                          TimePoint aNow)
{
  Apply(aReport.notice_, aNow);
  for (const QuarantineDeath& death : aReport.otherDeaths_) {
    quarantine_.RecordServerDeath(death.server_, aNow - death.age_);
  }
  const std::string& fingerprint = aReport.notice_.fingerprint_;
  NotifyRegion(fingerprint, aNow);
  const SuspectNotice acknowledgement{
    aReport.id_, quarantine_.NoticeFor(fingerprint, aNow)
  };
  if (IsSerious(acknowledgement.notice_)) {
    notified_[fingerprint].notifiedReporters_.insert(aFrom);
  }
  hooks_.send_(aFrom, acknowledgement);
}

std::optional<TimePoint>
FleetQuarantine::Apply(const QuarantineNotice& aNotice, TimePoint aNow)
{
  QuarantineNotice notice = aNotice;
  for (QuarantineDeath& death : notice.deaths_) {
    death.age_ += options_.transitTime_;
  }
  const auto completed = quarantine_.LastCompletion(notice.fingerprint_);
  const bool hasObjection =
    completed && std::any_of(notice.deaths_.begin(),
                             notice.deaths_.end(),
                             [&](const QuarantineDeath& aDeath) {
                               return quarantine_.IsClearedBy(
                                 *completed, aNow - aDeath.age_);
                             });
  quarantine_.Apply(notice, aNow);
  if (hasObjection && IsSerious(aNotice)) {
    SendCleared(notice.fingerprint_, aNow - *completed, aNow);
  }
  return hasObjection ? completed : std::nullopt;
}

// Notifies the hosts of this region of evidence that is new since the last
// notification, once the number of deaths is serious.
void
FleetQuarantine::NotifyRegion(const std::string& aFingerprint, TimePoint aNow)
{
  const QuarantineNotice notice = quarantine_.NoticeFor(aFingerprint, aNow);
  if (!IsSerious(notice)) {
    return;
  }
  if (notified_.size() >= kMaxNotified) {
    notified_.clear();
  }
  Notified& notified = notified_[aFingerprint];
  const bool changed = notice.deaths_.size() > notified.deaths_ ||
                       notice.quarantined_ != notified.refused_;
  notified.deaths_ = notice.deaths_.size();
  notified.refused_ = notice.quarantined_;
  if (changed) {
    BroadcastToRegion(SuspectNotice{ 0, notice });
  }
}

void
FleetQuarantine::BroadcastToRegion(const QuarantineMessage& aMessage)
{
  for (const AllowanceOwner& host : hosts_.CandidatesFor(hosts_.LocalShare())) {
    if (!host.self_) {
      hooks_.send_(host.address_, aMessage);
    }
  }
}

void
FleetQuarantine::ApplyPublished(const FingerprintTime& aRefused, TimePoint aNow)
{
  const QuarantineNotice notice{
    aRefused.fingerprint_, {}, true, std::max(Duration(), aNow - aRefused.time_)
  };
  quarantine_.Apply(notice, aNow);
  UpdateRefusals(aNow);
}

std::vector<FingerprintTime>
FleetQuarantine::PublishedRefusals(TimePoint aNow) const
{
  std::vector<FingerprintTime> published;
  for (const QuarantineNotice& notice : quarantine_.Refused(aNow)) {
    const std::size_t near = hosts_.LocalShare();
    const AllowanceOwner* first =
      hosts_.PreferredHost(near, notice.fingerprint_, kFirstCollector + near);
    if (first != nullptr && first->self_) {
      published.push_back({ notice.fingerprint_, aNow - notice.age_ });
    }
  }
  if (published.size() > options_.maxPublished_) {
    std::sort(published.begin(),
              published.end(),
              [](const FingerprintTime& aOne, const FingerprintTime& aOther) {
                return aOne.time_ > aOther.time_;
              });
    published.resize(options_.maxPublished_);
  }
  return published;
}

std::vector<QuarantineNotice>
FleetQuarantine::UnacknowledgedReports(TimePoint aNow) const
{
  std::vector<QuarantineNotice> reports;
  for (const auto& [fingerprint, own] : ownReports_) {
    if (own.unacknowledgedCount_ > 0 &&
        reports.size() < options_.maxPublished_) {
      reports.push_back(OwnNotice(fingerprint, own, aNow));
    }
  }
  return reports;
}

void
FleetQuarantine::ApplySuspicion(const QuarantineNotice& aNotice, TimePoint aNow)
{
  publishedSuspicions_[aNotice.fingerprint_] = aNow;
  // Publication through the store takes seconds, so the objection is published
  // even before the number of deaths is serious.
  if (const auto completed = Apply(aNotice, aNow)) {
    objections_.try_emplace(aNotice.fingerprint_, *completed);
  }
  UpdateRefusals(aNow);
}

std::vector<FingerprintTime>
FleetQuarantine::Objections() const
{
  std::vector<FingerprintTime> objections;
  for (const auto& [fingerprint, time] : objections_) {
    if (objections.size() < options_.maxPublished_) {
      objections.push_back({ fingerprint, time });
    }
  }
  return objections;
}

void
FleetQuarantine::ApplyObjection(const FingerprintTime& aCompleted,
                                TimePoint aNow)
{
  ApplyCleared(
    { aCompleted.fingerprint_, std::max(Duration(), aNow - aCompleted.time_) },
    aNow);
}

void
FleetQuarantine::ExpirePublished(TimePoint aNow)
{
  for (auto it = publishedSuspicions_.begin();
       it != publishedSuspicions_.end();) {
    if (aNow - it->second > options_.maxRepeatDelay_) {
      objections_.erase(it->first);
      it = publishedSuspicions_.erase(it);
    } else {
      ++it;
    }
  }
}

std::optional<TimePoint>
FleetQuarantine::NextTimeout(TimePoint aNow) const
{
  std::optional<TimePoint> next = quarantine_.NextDecision(aNow);
  const auto consider = [&next](TimePoint aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const Waiter& waiter : waiters_) {
    consider(waiter.deadline_);
  }
  for (const auto& [fingerprint, own] : ownReports_) {
    consider(own.nextReportAt_);
  }
  for (const auto& [fingerprint, readAt] : publishedSuspicions_) {
    consider(readAt + options_.maxRepeatDelay_ + std::chrono::milliseconds(1));
  }
  return next;
}

void
FleetQuarantine::OnTimer(TimePoint aNow)
{
  CompleteWaiters(
    [&](const Waiter& aWaiter) { return aNow >= aWaiter.deadline_; });
  RepeatReports(aNow);
  UpdateRefusals(aNow);
  ExpirePublished(aNow);
}

void
FleetQuarantine::RepeatReports(TimePoint aNow)
{
  std::vector<std::string> due;
  for (auto it = ownReports_.begin(); it != ownReports_.end();) {
    OwnReport& own = it->second;
    if (aNow < own.nextReportAt_) {
      ++it;
      continue;
    }
    due.push_back(it->first);
    own.repeatDelay_ *= 2;
    own.nextReportAt_ = aNow + own.repeatDelay_;
    ++it;
  }
  for (const std::string& fingerprint : due) {
    Report(fingerprint, aNow);
    if (ownReports_[fingerprint].repeatDelay_ > options_.maxRepeatDelay_) {
      ownReports_.erase(fingerprint);
    }
  }
}

// Makes the decisions that are due, and notifies the region's hosts, which may
// require more deaths if they observed other ones.
void
FleetQuarantine::UpdateRefusals(TimePoint aNow)
{
  std::set<std::string> refused;
  for (const QuarantineNotice& notice : quarantine_.DecideAll(aNow)) {
    refused.insert(notice.fingerprint_);
    if (reportedRefusals_.count(notice.fingerprint_) == 0 &&
        hooks_.onRefused_) {
      hooks_.onRefused_(notice);
    }
    if (notified_.count(notice.fingerprint_) > 0) {
      NotifyRegion(notice.fingerprint_, aNow);
    }
  }
  reportedRefusals_ = std::move(refused);
}

}
