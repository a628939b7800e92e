#include "gateway/FleetQuarantine.h"

#include <algorithm>
#include <utility>

namespace peridotsail {

namespace {

// A request under which so many servers died is the business of all hosts.
constexpr std::size_t kSeriousDeaths = 2;
// What hosts were told is only remembered to spare messages.
constexpr std::size_t kMostTold = 4096;
// Seeds of the rendezvous order, so that collectors and the owners of shares
// of a customer with the same name differ.
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
  // Three ways to another region: the collector's word, the objection, and its
  // way on, with a margin.
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
      hosts_.FirstHost(aShare, aFingerprint, aSeed + aShare);
    if (host != nullptr && host->self_) {
      aSelf = true;
    } else if (host != nullptr) {
      addresses.insert(host->address_);
    }
  };
  for (std::size_t share = 0; share < hosts_.Shares(); ++share) {
    add(share, kFirstCollector);
  }
  add(hosts_.NearShare(), kSecondCollector);
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
  const bool suspected = own_.count(aFingerprint) > 0 ||
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
  Clear(cleared, aNow);
}

void
FleetQuarantine::Clear(const SuspectCleared& aCleared, TimePoint aNow)
{
  const TimePoint completedAt = aNow - aCleared.age_;
  quarantine_.RecordRemoteCompletion(aCleared.fingerprint_, completedAt);
  const auto own = own_.find(aCleared.fingerprint_);
  if (own != own_.end()) {
    auto& deaths = own->second.deaths_;
    for (auto it = deaths.begin(); it != deaths.end();) {
      it = quarantine_.IsClearedBy(completedAt, it->second) ? deaths.erase(it)
                                                            : std::next(it);
    }
    if (deaths.empty()) {
      own_.erase(own);
    }
  }
  noted_.erase(aCleared.fingerprint_);
  const auto told = told_.find(aCleared.fingerprint_);
  if (told == told_.end()) {
    return;
  }
  const bool newer =
    told->second.completedAt_ == TimePoint::min() ||
    completedAt > told->second.completedAt_ + options_.newerCompletion_;
  if (newer) {
    Told next;
    next.completedAt_ = completedAt;
    next.answered_ = told->second.answered_;
    told->second = next;
    SendToRegion(aCleared);
    for (const std::string& address : next.answered_) {
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
                               TimePoint aBegun,
                               TimePoint aNow)
{
  auto notices = quarantine_.ServerChecked(aServer, aAlive, aBegun, aNow);
  for (const QuarantineNotice& notice : notices) {
    OwnReport& own = own_[notice.fingerprint_];
    for (const QuarantineDeath& death : notice.deaths_) {
      if (death.server_ == aServer) {
        own.deaths_[aServer] = aNow - death.age_;
      }
    }
    own.pause_ = options_.firstRepeat_;
    own.next_ = aNow + own.pause_;
    const std::uint64_t report = Report(notice.fingerprint_, aNow);
    for (Waiting& waiting : waiting_) {
      if (waiting.fingerprint_ == notice.fingerprint_ &&
          waiting.server_ == aServer) {
        waiting.report_ = report;
      }
    }
  }
  // Without a report there is nothing to wait for.
  Resume([&](const Waiting& aWaiting) {
    return aWaiting.server_ == aServer && aWaiting.report_ == 0;
  });
  return notices;
}

// Returns the number of the report, or zero when no other host is asked.
std::uint64_t
FleetQuarantine::Report(const std::string& aFingerprint, TimePoint aNow)
{
  OwnReport& own = own_[aFingerprint];
  SuspectReport report;
  report.id_ = nextReport_++;
  report.notice_ = OwnNotice(aFingerprint, own, aNow);
  report.otherDeaths_ =
    quarantine_.RecentDeaths(options_.mostOtherDeaths_, aNow);
  bool self = false;
  const auto collectors = Collectors(aFingerprint, self);
  for (const std::string& address : collectors) {
    hooks_.send_(address, report);
  }
  if (!collectors.empty()) {
    own.ignored_ += own.unanswered_ != 0 ? 1 : 0;
    own.unanswered_ = report.id_;
  }
  if (self) {
    TellRegion(aFingerprint, aNow);
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
                              Done aDone)
{
  waiting_.push_back({ aFingerprint,
                       aServer,
                       0,
                       aNow + options_.verdictWait_,
                       std::move(aDone) });
}

void
FleetQuarantine::Resume(const std::function<bool(const Waiting&)>& aWhich)
{
  const auto kept = std::stable_partition(
    waiting_.begin(), waiting_.end(), [&](const Waiting& aWaiting) {
      return !aWhich(aWaiting);
    });
  std::vector<Waiting> resumed(std::make_move_iterator(kept),
                               std::make_move_iterator(waiting_.end()));
  waiting_.erase(kept, waiting_.end());
  for (const Waiting& waiting : resumed) {
    waiting.done_();
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
    const auto own = own_.find(notice->notice_.fingerprint_);
    if (notice->id_ != 0 && own != own_.end()) {
      own->second.unanswered_ = 0;
      own->second.ignored_ = 0;
    }
    Apply(notice->notice_, aNow);
    NoteRefusals(aNow);
    Resume([&](const Waiting& aWaiting) {
      return notice->id_ != 0 && aWaiting.report_ == notice->id_;
    });
  } else {
    Clear(std::get<SuspectCleared>(aMessage), aNow);
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
  TellRegion(fingerprint, aNow);
  const SuspectNotice answer{ aReport.id_,
                              quarantine_.NoticeFor(fingerprint, aNow) };
  if (IsSerious(answer.notice_)) {
    told_[fingerprint].answered_.insert(aFrom);
  }
  hooks_.send_(aFrom, answer);
}

std::optional<TimePoint>
FleetQuarantine::Apply(const QuarantineNotice& aNotice, TimePoint aNow)
{
  QuarantineNotice notice = aNotice;
  for (QuarantineDeath& death : notice.deaths_) {
    death.age_ += options_.transit_;
  }
  const auto completed = quarantine_.LastCompletion(notice.fingerprint_);
  const bool objects =
    completed && std::any_of(notice.deaths_.begin(),
                             notice.deaths_.end(),
                             [&](const QuarantineDeath& aDeath) {
                               return quarantine_.IsClearedBy(
                                 *completed, aNow - aDeath.age_);
                             });
  quarantine_.Apply(notice, aNow);
  if (objects && IsSerious(aNotice)) {
    SendCleared(notice.fingerprint_, aNow - *completed, aNow);
  }
  return objects ? completed : std::nullopt;
}

// Tells the hosts of this region what has become known since they were told
// last, once it is serious.
void
FleetQuarantine::TellRegion(const std::string& aFingerprint, TimePoint aNow)
{
  const QuarantineNotice notice = quarantine_.NoticeFor(aFingerprint, aNow);
  if (!IsSerious(notice)) {
    return;
  }
  if (told_.size() >= kMostTold) {
    told_.clear();
  }
  Told& told = told_[aFingerprint];
  const bool news = notice.deaths_.size() > told.deaths_ ||
                    notice.quarantined_ != told.refused_;
  told.deaths_ = notice.deaths_.size();
  told.refused_ = notice.quarantined_;
  if (news) {
    SendToRegion(SuspectNotice{ 0, notice });
  }
}

void
FleetQuarantine::SendToRegion(const QuarantineMessage& aMessage)
{
  for (const AllowanceOwner& host : hosts_.HostsOf(hosts_.NearShare())) {
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
  NoteRefusals(aNow);
}

std::vector<FingerprintTime>
FleetQuarantine::Published(TimePoint aNow) const
{
  std::vector<FingerprintTime> published;
  for (const QuarantineNotice& notice : quarantine_.Refused(aNow)) {
    const std::size_t near = hosts_.NearShare();
    const AllowanceOwner* first =
      hosts_.FirstHost(near, notice.fingerprint_, kFirstCollector + near);
    if (first != nullptr && first->self_) {
      published.push_back({ notice.fingerprint_, aNow - notice.age_ });
    }
  }
  if (published.size() > options_.mostPublished_) {
    std::sort(published.begin(),
              published.end(),
              [](const FingerprintTime& aOne, const FingerprintTime& aOther) {
                return aOne.time_ > aOther.time_;
              });
    published.resize(options_.mostPublished_);
  }
  return published;
}

std::vector<QuarantineNotice>
FleetQuarantine::Unheard(TimePoint aNow) const
{
  std::vector<QuarantineNotice> unheard;
  for (const auto& [fingerprint, own] : own_) {
    if (own.ignored_ > 0 && unheard.size() < options_.mostPublished_) {
      unheard.push_back(OwnNotice(fingerprint, own, aNow));
    }
  }
  return unheard;
}

void
FleetQuarantine::ApplySuspicion(const QuarantineNotice& aNotice, TimePoint aNow)
{
  publishedSuspicions_[aNotice.fingerprint_] = aNow;
  // The way through the store takes seconds, so that an objection goes out
  // before the deaths are serious.
  if (const auto completed = Apply(aNotice, aNow)) {
    objections_.try_emplace(aNotice.fingerprint_, *completed);
  }
  NoteRefusals(aNow);
}

std::vector<FingerprintTime>
FleetQuarantine::Objections() const
{
  std::vector<FingerprintTime> objections;
  for (const auto& [fingerprint, time] : objections_) {
    if (objections.size() < options_.mostPublished_) {
      objections.push_back({ fingerprint, time });
    }
  }
  return objections;
}

void
FleetQuarantine::ApplyObjection(const FingerprintTime& aCompleted,
                                TimePoint aNow)
{
  Clear(
    { aCompleted.fingerprint_, std::max(Duration(), aNow - aCompleted.time_) },
    aNow);
}

void
FleetQuarantine::ForgetPublished(TimePoint aNow)
{
  for (auto it = publishedSuspicions_.begin();
       it != publishedSuspicions_.end();) {
    if (aNow - it->second > options_.lastRepeat_) {
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
  for (const Waiting& waiting : waiting_) {
    consider(waiting.until_);
  }
  for (const auto& [fingerprint, own] : own_) {
    consider(own.next_);
  }
  for (const auto& [fingerprint, readAt] : publishedSuspicions_) {
    consider(readAt + options_.lastRepeat_ + std::chrono::milliseconds(1));
  }
  return next;
}

void
FleetQuarantine::OnTimer(TimePoint aNow)
{
  Resume([&](const Waiting& aWaiting) { return aNow >= aWaiting.until_; });
  RepeatReports(aNow);
  NoteRefusals(aNow);
  ForgetPublished(aNow);
}

void
FleetQuarantine::RepeatReports(TimePoint aNow)
{
  std::vector<std::string> due;
  for (auto it = own_.begin(); it != own_.end();) {
    OwnReport& own = it->second;
    if (aNow < own.next_) {
      ++it;
      continue;
    }
    due.push_back(it->first);
    own.pause_ *= 2;
    own.next_ = aNow + own.pause_;
    ++it;
  }
  for (const std::string& fingerprint : due) {
    Report(fingerprint, aNow);
    if (own_[fingerprint].pause_ > options_.lastRepeat_) {
      own_.erase(fingerprint);
    }
  }
}

// Decides what is due, and tells the region's hosts, which may need more
// deaths when they saw others.
void
FleetQuarantine::NoteRefusals(TimePoint aNow)
{
  std::set<std::string> refused;
  for (const QuarantineNotice& notice : quarantine_.DecideAll(aNow)) {
    refused.insert(notice.fingerprint_);
    if (noted_.count(notice.fingerprint_) == 0 && hooks_.onRefused_) {
      hooks_.onRefused_(notice);
    }
    if (told_.count(notice.fingerprint_) > 0) {
      TellRegion(notice.fingerprint_, aNow);
    }
  }
  noted_ = std::move(refused);
}

}
