#include "gateway/ControlLoop.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <algorithm>

namespace peridotsail {

using namespace detail;

struct ControlLoop::Impl : public std::enable_shared_from_this<Impl>
{
  using Kind = ControlCodec::Kind;

  Impl(asio::io_context& aContext,
       KvStore& aStore,
       ControlCodec aCodec,
       ControlOptions aOptions,
       ControlHooks aHooks);

  // Runs the task after the pause, unless the loop has ended.
  void After(Duration aPause, std::function<void(Impl&)> aTask);
  void ReadAll();
  void ReadPage(const std::string& aAfter);
  void OnPage(KvStatus aStatus, const KvItems& aItems);
  void OnAllRead();
  // Waits for the next changes, from the store or from a neighbour.
  void Follow();
  void FollowAfterPause(TimePoint aSentAt);
  void WatchStore();
  void OnWatch(TimePoint aSentAt, KvStatus aStatus, const KvItems& aItems);
  void AskNeighbour(const ViewSource& aSource);
  void OnNeighbour(const ViewSource& aSource,
                   TimePoint aSentAt,
                   const ViewResponse& aAnswer);
  // Whether the answer continues this host's view without a gap.
  bool Continues(const ViewResponse& aAnswer) const;
  // aSource is empty for the store.
  void Confirm(TimePoint aConfirmedAt, const std::string& aSource);
  // Reads everything once this host is registered or has waited for that.
  void ReadFirst();
  // A call that was sent at aSentAt failed.
  void OnStoreFailed(KvStatus aStatus, TimePoint aSentAt);
  // aBack: how long ago the store came back, when a neighbour says so.
  void OnStoreAnswered(std::optional<Duration> aBack = std::nullopt);
  // Before changes that were read from the store are applied.
  void OnStoreRead();
  RegistrationOptions MakeRegistrationOptions();

  void ApplyEvents(const std::vector<KvItem>& aItems);
  void Apply(const KvItem& aItem);
  void ApplyConfiguration(const KvItem& aItem);
  void ApplyInstance(const std::string& aId, const KvItem& aItem);
  void ApplyHost(const std::string& aName, const KvItem& aItem);
  void RemoveInstance(const std::string& aId);
  bool StoreReturnedLately(TimePoint aNow) const;
  void DropMissing(const std::string& aId, TimePoint aUntil);
  void Publish();

  asio::io_context& context_;
  KvStore& store_;
  ControlCodec codec_;
  ControlOptions options_;
  ControlHooks hooks_;

  FleetSnapshot view_;
  FleetSnapshotPtr snapshot_;
  TimePoint confirmedAt_ = TimePoint::min();
  // The neighbour that did; empty: the store.
  std::string confirmedBy_;
  bool changed_ = false;
  bool begun_ = false;
  // The revision up to which changes were read.
  std::uint64_t revision_ = 0;
  std::uint64_t firstRevision_ = 0;
  TimePoint readBegun_;
  // What a complete read has found so far.
  std::vector<KvItem> read_;
  ViewCache cache_;
  ViewSources sources_;
  // Instances that are gone from the store since its return, and until when
  // they may come back.
  std::map<std::string, TimePoint> missing_;
  bool reachable_ = true;
  TimePoint returnedAt_ = TimePoint::min();
  // The store's last failed read, and its last answer to any call.
  TimePoint failedAt_ = TimePoint::min();
  TimePoint answeredAt_ = TimePoint::min();

  HostRegistration registration_;
};

ControlLoop::Impl::Impl(asio::io_context& aContext,
                        KvStore& aStore,
                        ControlCodec aCodec,
                        ControlOptions aOptions,
                        ControlHooks aHooks)
  : context_(aContext)
  , store_(aStore)
  , codec_(std::move(aCodec))
  , options_(std::move(aOptions))
  , hooks_(std::move(aHooks))
  , sources_(options_.name_, options_.region_, options_.sources_)
  , registration_(aContext,
                  aStore,
                  codec_.hostKey_(options_.name_),
                  MakeRegistrationOptions())
{
}

RegistrationOptions
ControlLoop::Impl::MakeRegistrationOptions()
{
  RegistrationOptions options = options_.registration_;
  options.onAnswered_ = [this] { OnStoreAnswered(); };
  options.onRegistered_ = [this] { ReadFirst(); };
  return options;
}

void
ControlLoop::Impl::After(Duration aPause, std::function<void(Impl&)> aTask)
{
  const auto timer = std::make_shared<asio::steady_timer>(context_);
  timer->expires_after(ToSteady(aPause));
  timer->async_wait(
    [timer, weak = weak_from_this(), task = std::move(aTask)](ErrorCode) {
      if (const auto self = weak.lock()) {
        task(*self);
      }
    });
}

void
ControlLoop::Impl::OnStoreFailed(KvStatus aStatus, TimePoint aSentAt)
{
  failedAt_ = BootClock::now();
  // A later call may have been answered meanwhile.
  if (reachable_ && aSentAt >= answeredAt_) {
    reachable_ = false;
    LogEvent(Event::StoreUnreachable, { { "status", NameOf(aStatus) } });
  }
}

void
ControlLoop::Impl::OnStoreAnswered(std::optional<Duration> aBack)
{
  answeredAt_ = BootClock::now();
  if (!reachable_) {
    reachable_ = true;
    returnedAt_ = answeredAt_ - aBack.value_or(Duration::zero());
    LogEvent(Event::StoreReachable);
  } else if (aBack) {
    returnedAt_ = std::max(returnedAt_, answeredAt_ - *aBack);
  }
}

// A host that follows neighbours may not have called the store while it was
// away: a view that was not confirmed for long counts as an outage.
void
ControlLoop::Impl::OnStoreRead()
{
  const TimePoint now = BootClock::now();
  const bool known = confirmedAt_ != TimePoint::min();
  if (known && now - confirmedAt_ > options_.maxNeighbourAge_ &&
      !StoreReturnedLately(now)) {
    returnedAt_ = now;
  }
}

bool
ControlLoop::Impl::StoreReturnedLately(TimePoint aNow) const
{
  return returnedAt_ != TimePoint::min() &&
         aNow - returnedAt_ < options_.reregistrationTime_;
}

void
ControlLoop::Impl::ReadFirst()
{
  if (!begun_) {
    begun_ = true;
    ReadAll();
  }
}

// Reads all keys and then follows their changes from the revision before.
void
ControlLoop::Impl::ReadAll()
{
  firstRevision_ = 0;
  read_.clear();
  readBegun_ = BootClock::now();
  ReadPage("");
}

void
ControlLoop::Impl::ReadPage(const std::string& aAfter)
{
  store_.Range(
    "",
    aAfter,
    [weak = weak_from_this()](KvStatus aStatus, const KvItems& aItems) {
      if (const auto self = weak.lock()) {
        self->OnPage(aStatus, aItems);
      }
    });
}

void
ControlLoop::Impl::OnPage(KvStatus aStatus, const KvItems& aItems)
{
  if (aStatus != KvStatus::Done) {
    OnStoreFailed(aStatus, readBegun_);
    After(options_.retryDelay_, [](Impl& aSelf) { aSelf.ReadAll(); });
    return;
  }
  OnStoreAnswered();
  if (firstRevision_ == 0) {
    firstRevision_ = aItems.revision_;
  }
  read_.insert(read_.end(), aItems.items_.begin(), aItems.items_.end());
  if (aItems.more_ && !aItems.items_.empty()) {
    ReadPage(aItems.items_.back().key_);
  } else {
    OnAllRead();
  }
}

void
ControlLoop::Impl::OnAllRead()
{
  OnStoreRead();
  ApplyEvents(cache_.Replace(std::move(read_), firstRevision_));
  read_.clear();
  revision_ = std::max(revision_, firstRevision_);
  Confirm(readBegun_, "");
  Follow();
}

void
ControlLoop::Impl::Follow()
{
  const TimePoint now = BootClock::now();
  const ViewSource source =
    hooks_.pollNeighbour_ ? sources_.Next(now) : ViewSource();
  if (source.notBefore_ > now) {
    After(source.notBefore_ - now, [](Impl& aSelf) { aSelf.Follow(); });
  } else if (source.IsStore()) {
    WatchStore();
  } else {
    AskNeighbour(source);
  }
}

void
ControlLoop::Impl::FollowAfterPause(TimePoint aSentAt)
{
  const Duration spent = BootClock::now() - aSentAt;
  if (spent >= options_.minWatchInterval_) {
    Follow();
  } else {
    After(options_.minWatchInterval_ - spent,
          [](Impl& aSelf) { aSelf.Follow(); });
  }
}

void
ControlLoop::Impl::WatchStore()
{
  const TimePoint sentAt = BootClock::now();
  const bool inTurn = !hooks_.pollNeighbour_ || sources_.ReadsStore() ||
                      sentAt - confirmedAt_ < options_.shortWatchAge_;
  store_.Watch(
    "",
    revision_,
    inTurn ? options_.watchWait_ : options_.shortWatchWait_,
    [weak = weak_from_this(), sentAt](KvStatus aStatus, const KvItems& aItems) {
      if (const auto self = weak.lock()) {
        self->OnWatch(sentAt, aStatus, aItems);
      }
    });
}

void
ControlLoop::Impl::OnWatch(TimePoint aSentAt,
                           KvStatus aStatus,
                           const KvItems& aItems)
{
  if (aStatus == KvStatus::Gone) {
    OnStoreAnswered();
    LogEvent(Event::StoreHistoryGone, { { "revision", revision_ } });
    ReadAll();
    return;
  }
  if (aStatus != KvStatus::Done) {
    OnStoreFailed(aStatus, aSentAt);
    sources_.Failed({}, ViewFailure::Unusable, BootClock::now());
    Follow();
    return;
  }
  OnStoreAnswered();
  sources_.Answered({});
  if (aItems.items_.empty() && aItems.revision_ > revision_) {
    LogEvent(Event::StoreHistoryGone, { { "revision", revision_ } });
    ReadAll();
    return;
  }
  OnStoreRead();
  ApplyEvents(cache_.Add(aItems.items_, aItems.revision_));
  revision_ = std::max(revision_, aItems.revision_);
  Confirm(aSentAt, "");
  FollowAfterPause(aSentAt);
}

void
ControlLoop::Impl::AskNeighbour(const ViewSource& aSource)
{
  const TimePoint sentAt = BootClock::now();
  hooks_.pollNeighbour_(
    aSource.address_,
    revision_,
    aSource.first_ ? options_.neighbourWait_ : options_.fallbackWait_,
    [weak = weak_from_this(), aSource, sentAt](const ViewResponse& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnNeighbour(aSource, sentAt, aAnswer);
      }
    });
}

bool
ControlLoop::Impl::Continues(const ViewResponse& aAnswer) const
{
  const bool gap = aAnswer.events_.empty() && aAnswer.revision_ > revision_;
  // Two hosts that follow each other would never hear of the store.
  const bool circle = aAnswer.source_ == options_.name_;
  return aAnswer.status_ == KvStatus::Done && aAnswer.revision_ >= revision_ &&
         !gap && !circle;
}

void
ControlLoop::Impl::OnNeighbour(const ViewSource& aSource,
                               TimePoint aSentAt,
                               const ViewResponse& aAnswer)
{
  const TimePoint now = BootClock::now();
  if (!Continues(aAnswer)) {
    LogEvent(Event::ViewNeighbourBehind,
             { { "neighbour", aSource.host_ },
               { "status", NameOf(aAnswer.status_) },
               { "neighbour_revision", aAnswer.revision_ },
               { "revision", revision_ } });
    sources_.Failed(aSource, ViewFailure::Unusable, now);
    Follow();
    return;
  }
  // Counted from when this host asked, which was before the question arrived.
  const TimePoint confirmedAt =
    std::min(now, aSentAt + aAnswer.confirmedAfter_);
  const bool behind = now - confirmedAt > options_.maxNeighbourAge_;
  if (behind) {
    LogEvent(Event::ViewNeighbourBehind,
             { { "neighbour", aSource.host_ },
               { "age_ms", ToMilliseconds(now - confirmedAt) } });
    sources_.Failed(aSource, ViewFailure::Behind, now);
  } else {
    sources_.Answered(aSource);
  }
  // The store has served the neighbour since it last failed this host.
  if (confirmedAt > failedAt_) {
    OnStoreAnswered(aAnswer.storeBack_);
  }
  ApplyEvents(cache_.Add(aAnswer.events_, aAnswer.revision_));
  revision_ = aAnswer.revision_;
  Confirm(confirmedAt, aSource.host_);
  FollowAfterPause(aSentAt);
}

// The view is at least as new as the store was at that time.
void
ControlLoop::Impl::Confirm(TimePoint aConfirmedAt, const std::string& aSource)
{
  if (aConfirmedAt > confirmedAt_) {
    confirmedAt_ = aConfirmedAt;
    confirmedBy_ = aSource;
  }
  Publish();
}

// Of several configurations that arrived together only the last one is read.
void
ControlLoop::Impl::ApplyEvents(const std::vector<KvItem>& aItems)
{
  const KvItem* configuration = nullptr;
  for (const KvItem& item : aItems) {
    if (codec_.classify_(item.key_).kind_ == Kind::Configuration) {
      configuration = &item;
    }
  }
  for (const KvItem& item : aItems) {
    const bool superseded = configuration != nullptr &&
                            item.key_ == configuration->key_ &&
                            &item != configuration;
    if (!superseded) {
      Apply(item);
    }
  }
}

void
ControlLoop::Impl::Apply(const KvItem& aItem)
{
  const ControlCodec::Key key = codec_.classify_(aItem.key_);
  switch (key.kind_) {
    case Kind::Configuration:
      ApplyConfiguration(aItem);
      break;
    case Kind::Instance:
      ApplyInstance(key.name_, aItem);
      break;
    case Kind::Evacuation: {
      const bool changed = aItem.removed_
                             ? view_.evacuated_.erase(key.name_) > 0
                             : view_.evacuated_.insert(key.name_).second;
      if (changed) {
        changed_ = true;
        LogEvent(Event::EvacuationChanged,
                 { { "failure_domain", key.name_ },
                   { "evacuated", aItem.removed_ ? 0 : 1 },
                   { "revision", aItem.revision_ } });
      }
      break;
    }
    case Kind::Host:
      ApplyHost(key.name_, aItem);
      break;
    case Kind::Other:
      break;
  }
}

void
ControlLoop::Impl::ApplyConfiguration(const KvItem& aItem)
{
  if (aItem.removed_) {
    return;
  }
  std::string reason;
  const RoutingTablePtr table = codec_.decodeTable_(aItem.value_, reason);
  if (!table) {
    LogEvent(Event::ConfigurationRefused,
             { { "reason", reason }, { "revision", aItem.revision_ } });
    return;
  }
  const std::uint64_t current = view_.table_ ? view_.table_->Version() : 0;
  if (table->Version() < current) {
    LogEvent(Event::ConfigurationReverted,
             { { "version", table->Version() }, { "in_force", current } });
    return;
  }
  if (table->Version() == current && view_.table_) {
    return;
  }
  view_.table_ = table;
  changed_ = true;
  LogEvent(
    Event::ConfigurationInForce,
    { { "version", table->Version() }, { "revision", aItem.revision_ } });
}

void
ControlLoop::Impl::RemoveInstance(const std::string& aId)
{
  const TimePoint now = BootClock::now();
  if (view_.instances_.count(aId) == 0) {
    return;
  }
  if (!reachable_ || StoreReturnedLately(now)) {
    const TimePoint until =
      (reachable_ ? returnedAt_ : now) + options_.reregistrationTime_;
    // A further return does not give it more time.
    if (missing_.try_emplace(aId, until).second) {
      After(until - now,
            [aId, until](Impl& aSelf) { aSelf.DropMissing(aId, until); });
    }
    return;
  }
  view_.instances_.erase(aId);
  view_.readAt_.erase(aId);
  changed_ = true;
}

// A backend server that did not come back after the store's return is gone.
void
ControlLoop::Impl::DropMissing(const std::string& aId, TimePoint aUntil)
{
  const auto found = missing_.find(aId);
  if (found == missing_.end() || found->second != aUntil) {
    return;
  }
  missing_.erase(found);
  view_.instances_.erase(aId);
  view_.readAt_.erase(aId);
  changed_ = true;
  Publish();
}

void
ControlLoop::Impl::ApplyInstance(const std::string& aId, const KvItem& aItem)
{
  if (aItem.removed_) {
    RemoveInstance(aId);
    return;
  }
  std::string reason;
  const auto record = codec_.decodeInstance_(aId, aItem.value_, reason);
  if (!record) {
    LogEvent(Event::InstanceRecordRefused,
             { { "server", aId }, { "reason", reason } });
    missing_.erase(aId);
    if (view_.instances_.erase(aId) > 0) {
      view_.readAt_.erase(aId);
      changed_ = true;
    }
    return;
  }
  missing_.erase(aId);
  const auto known = view_.instances_.find(aId);
  if (known != view_.instances_.end()) {
    const InstanceRecord& old = known->second;
    const bool late =
      record->born_ < old.born_ ||
      (record->born_ == old.born_ && record->sequence_ < old.sequence_);
    if (late) {
      return;
    }
  }
  view_.instances_[aId] = *record;
  view_.readAt_[aId] = BootClock::now();
  changed_ = true;
}

void
ControlLoop::Impl::ApplyHost(const std::string& aName, const KvItem& aItem)
{
  if (aName == options_.name_) {
    registration_.OnStored(aItem.removed_ ? 0 : aItem.revision_);
  }
  if (aItem.removed_) {
    changed_ = view_.hosts_.erase(aName) > 0 || changed_;
    return;
  }
  const auto host = DecodeHostRecord(aName, aItem.value_);
  if (!host) {
    LogEvent(Event::HostRecordRefused, { { "name", aName } });
    return;
  }
  view_.hosts_[aName] = *host;
  changed_ = true;
}

void
ControlLoop::Impl::Publish()
{
  if (changed_ || !snapshot_) {
    changed_ = false;
    view_.registered_ = view_.hosts_.count(options_.name_) > 0;
    snapshot_ = std::make_shared<const FleetSnapshot>(view_);
    sources_.SetHosts(view_.hosts_);
  }
  hooks_.onView_(snapshot_, confirmedAt_);
  if (hooks_.onConfirmed_) {
    hooks_.onConfirmed_(cache_, { confirmedAt_, confirmedBy_, returnedAt_ });
  }
}

ControlLoop::ControlLoop(asio::io_context& aContext,
                         KvStore& aStore,
                         ControlCodec aCodec,
                         ControlOptions aOptions,
                         ControlHooks aHooks)
  : impl_(std::make_shared<Impl>(aContext,
                                 aStore,
                                 std::move(aCodec),
                                 std::move(aOptions),
                                 std::move(aHooks)))
{
}

ControlLoop::~ControlLoop() = default;

void
ControlLoop::Start()
{
  impl_->registration_.Start();
  impl_->After(impl_->options_.registrationWait_,
               [](Impl& aSelf) { aSelf.ReadFirst(); });
}

void
ControlLoop::SetSelf(HostRecord aSelf)
{
  impl_->registration_.Set(std::move(aSelf));
}

void
ControlLoop::Deregister(std::function<void()> aDone)
{
  impl_->registration_.Deregister(std::move(aDone));
}

}
