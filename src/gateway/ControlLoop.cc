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
  void ReadPage(std::size_t aPrefix, const std::string& aAfter);
  void OnPage(std::size_t aPrefix, KvStatus aStatus, const KvItems& aItems);
  void OnAllRead();
  void Watch();
  void OnWatch(TimePoint aSentAt, KvStatus aStatus, const KvItems& aItems);
  // A call that was sent at aSentAt failed.
  void OnStoreFailed(KvStatus aStatus, TimePoint aSentAt);
  void OnStoreAnswered();
  RegistrationOptions MakeRegistrationOptions();

  void ApplyEvents(const std::vector<KvItem>& aItems);
  void Apply(const KvItem& aItem);
  void ApplyConfiguration(const KvItem& aItem);
  void ApplyInstance(const std::string& aId, const KvItem& aItem);
  void ApplyHost(const std::string& aName, const KvItem& aItem);
  void RemoveInstance(const std::string& aId);
  bool StoreReturnedLately(TimePoint aNow) const;
  void CheckMissing();
  void Publish();

  asio::io_context& context_;
  KvStore& store_;
  ControlCodec codec_;
  ControlOptions options_;
  ControlHooks hooks_;

  FleetSnapshot view_;
  FleetSnapshotPtr snapshot_;
  TimePoint confirmedAt_ = TimePoint::min();
  bool changed_ = false;
  // The revision up to which changes were read.
  std::uint64_t revision_ = 0;
  std::uint64_t firstRevision_ = 0;
  TimePoint readBegun_;
  // What a complete read has found.
  std::set<std::pair<Kind, std::string>> found_;
  // Instances that are gone from the store since its return.
  std::set<std::string> missing_;
  bool reachable_ = true;
  TimePoint returnedAt_ = TimePoint::min();
  // The store's last answer to any call.
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
  // A later call may have been answered meanwhile.
  if (reachable_ && aSentAt >= answeredAt_) {
    reachable_ = false;
    LogEvent(Event::StoreUnreachable, { { "status", NameOf(aStatus) } });
  }
}

void
ControlLoop::Impl::OnStoreAnswered()
{
  answeredAt_ = BootClock::now();
  if (!reachable_) {
    reachable_ = true;
    returnedAt_ = BootClock::now();
    LogEvent(Event::StoreReachable);
    After(options_.returnTime_, [](Impl& aSelf) { aSelf.CheckMissing(); });
  }
}

bool
ControlLoop::Impl::StoreReturnedLately(TimePoint aNow) const
{
  return returnedAt_ != TimePoint::min() &&
         aNow - returnedAt_ < options_.returnTime_;
}

// Reads all keys and then follows their changes from the revision before.
void
ControlLoop::Impl::ReadAll()
{
  firstRevision_ = 0;
  found_.clear();
  readBegun_ = BootClock::now();
  ReadPage(0, "");
}

void
ControlLoop::Impl::ReadPage(std::size_t aPrefix, const std::string& aAfter)
{
  store_.Range(options_.prefixes_[aPrefix],
               aAfter,
               [weak = weak_from_this(), aPrefix](KvStatus aStatus,
                                                  const KvItems& aItems) {
                 if (const auto self = weak.lock()) {
                   self->OnPage(aPrefix, aStatus, aItems);
                 }
               });
}

void
ControlLoop::Impl::OnPage(std::size_t aPrefix,
                          KvStatus aStatus,
                          const KvItems& aItems)
{
  if (aStatus != KvStatus::Done) {
    OnStoreFailed(aStatus, readBegun_);
    After(options_.retryPause_, [](Impl& aSelf) { aSelf.ReadAll(); });
    return;
  }
  OnStoreAnswered();
  if (firstRevision_ == 0) {
    firstRevision_ = aItems.revision_;
  }
  for (const KvItem& item : aItems.items_) {
    const ControlCodec::Key key = codec_.classify_(item.key_);
    found_.emplace(key.kind_, key.name_);
    Apply(item);
  }
  if (aItems.more_ && !aItems.items_.empty()) {
    ReadPage(aPrefix, aItems.items_.back().key_);
  } else if (aPrefix + 1 < options_.prefixes_.size()) {
    ReadPage(aPrefix + 1, "");
  } else {
    OnAllRead();
  }
}

void
ControlLoop::Impl::OnAllRead()
{
  const auto isFound = [this](Kind aKind, const std::string& aName) {
    return found_.count({ aKind, aName }) > 0;
  };
  std::vector<std::string> gone;
  for (const auto& [id, record] : view_.instances_) {
    if (!isFound(Kind::Instance, id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    RemoveInstance(id);
  }
  for (auto it = view_.hosts_.begin(); it != view_.hosts_.end();) {
    const bool there = isFound(Kind::Host, it->first);
    changed_ = changed_ || !there;
    it = there ? std::next(it) : view_.hosts_.erase(it);
  }
  for (auto it = view_.evacuated_.begin(); it != view_.evacuated_.end();) {
    const bool there = isFound(Kind::Evacuation, *it);
    changed_ = changed_ || !there;
    it = there ? std::next(it) : view_.evacuated_.erase(it);
  }
  revision_ = firstRevision_;
  confirmedAt_ = readBegun_;
  Publish();
  Watch();
}

void
ControlLoop::Impl::Watch()
{
  const TimePoint sentAt = BootClock::now();
  store_.Watch(
    "",
    revision_,
    options_.watchWait_,
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
    After(options_.retryPause_, [](Impl& aSelf) { aSelf.Watch(); });
    return;
  }
  OnStoreAnswered();
  if (aItems.items_.empty() && aItems.revision_ > revision_) {
    LogEvent(Event::StoreHistoryGone, { { "revision", revision_ } });
    ReadAll();
    return;
  }
  ApplyEvents(aItems.items_);
  revision_ = std::max(revision_, aItems.revision_);
  confirmedAt_ = aSentAt;
  Publish();
  const Duration spent = BootClock::now() - aSentAt;
  if (spent >= options_.watchPause_) {
    Watch();
  } else {
    After(options_.watchPause_ - spent, [](Impl& aSelf) { aSelf.Watch(); });
  }
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
    missing_.insert(aId);
    return;
  }
  view_.instances_.erase(aId);
  view_.readAt_.erase(aId);
  changed_ = true;
}

// Backend servers that did not come back after the store's return are gone.
void
ControlLoop::Impl::CheckMissing()
{
  for (const std::string& id : missing_) {
    view_.instances_.erase(id);
    view_.readAt_.erase(id);
    changed_ = true;
  }
  missing_.clear();
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
  }
  hooks_.onView_(snapshot_, confirmedAt_);
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
  impl_->ReadAll();
  impl_->registration_.Start();
}

void
ControlLoop::SetSelf(HostRecord aSelf)
{
  impl_->registration_.Set(std::move(aSelf));
}

void
ControlLoop::Leave(std::function<void()> aDone)
{
  impl_->registration_.Leave(std::move(aDone));
}

}
