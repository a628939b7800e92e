#include "gateway/ControlLoop.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace peridotsail {

using namespace detail;

namespace {

// A host that does not answer may be frozen, or cut off from this one.
constexpr int kAskedNeighbours = 3;

// Returns whether the items contain several versions of a large value.
bool
HasSupersededLargeValue(const KvItems& aItems)
{
  std::set<std::string_view> keys;
  for (const KvItem& item : aItems.items_) {
    const bool large = item.value_.size() > kMaxInlineValueBytes;
    if (large && !keys.insert(item.key_).second) {
      return true;
    }
  }
  return false;
}

// Returns the items as items of the era.
std::vector<KvItem>
WithEra(std::vector<KvItem> aItems, std::uint64_t aEra)
{
  for (KvItem& item : aItems) {
    item.era_ = aEra;
  }
  return aItems;
}

// Removes and returns the changes of eras before aEra.
std::vector<KvItem>
TakeEarlier(std::vector<KvItem>& aChanges, std::uint64_t aEra)
{
  const auto split = std::stable_partition(
    aChanges.begin(), aChanges.end(), [aEra](const KvItem& aChange) {
      return aChange.era_ < aEra;
    });
  std::vector<KvItem> earlier(aChanges.begin(), split);
  aChanges.erase(aChanges.begin(), split);
  return earlier;
}

}

struct ControlLoop::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext,
       KvStore& aStore,
       ControlCodec aCodec,
       ControlOptions aOptions,
       ControlHooks aHooks);

  // Runs the task after the delay, unless the loop has been destroyed.
  void After(Duration aPause, std::function<void(Impl&)> aTask);
  void ReadAll();
  void ReadPage(const std::string& aAfter);
  void OnPage(const std::string& aAfter,
              KvStatus aStatus,
              const KvItems& aItems);
  void OnReadComplete();
  // Waits for the next changes from the store or from a neighbour.
  void Follow();
  void FollowAfterInterval(TimePoint aSentAt);
  void WatchStore();
  void OnWatch(TimePoint aSentAt, KvStatus aStatus, const KvItems& aItems);
  void PollNeighbour(const ViewSource& aSource);
  void OnNeighbourResponse(const ViewSource& aSource,
                           TimePoint aSentAt,
                           const ViewResponse& aResponse);
  // Records the era that the store stated, and the consequences of a restore.
  void OnEra(std::uint64_t aEra);
  // Records the era of a response of the store, and returns the era that the
  // response belongs to. It is of no use if this is not the current one.
  std::uint64_t EraOf(const KvItems& aItems);
  // Applies changes that lead to the position. Returns whether the store was
  // restored since the last one.
  bool Advance(std::vector<KvItem> aChanges, const StorePosition& aPosition);
  // Asks up to so many neighbours, until one answers, whether the store has
  // lost a newer configuration, then confirms the view as of the current
  // complete read.
  void ConfirmWithNeighbour(int aNeighbours);
  // Records what a neighbour states about the store.
  void Require(const ViewResponse& aResponse);
  // Returns true if the response continues this host's view without a gap.
  bool Continues(const ViewResponse& aResponse) const;
  // aSource is empty for the store.
  void Confirm(TimePoint aConfirmedAt, const std::string& aSource);
  // Requests the large values that this host does not have.
  void FetchValues();
  void FetchFromNeighbour(const ValueRequest& aRequest);
  void FetchFromStore(const ValueRequest& aRequest);
  void OnValue(const std::string& aKey, const std::optional<KvItem>& aItem);
  // Starts the first complete read, once this host is registered or
  // registrationWait_ has elapsed.
  void StartFirstRead();
  // Handles the failure of a call that was sent at aSentAt.
  void OnStoreFailed(KvStatus aStatus, TimePoint aSentAt);
  void OnStoreAnswered();
  StoreAvailabilityOptions MakeAvailabilityOptions() const;
  RegistrationOptions MakeRegistrationOptions();

  FleetViewHooks MakeViewHooks();
  // Removes the server at that time unless it registers again.
  void OnRemovalDelayed(const std::string& aId, TimePoint aUntil);
  void UpdateSnapshot();
  void Publish();

  asio::io_context& context_;
  KvStore& store_;
  ControlCodec codec_;
  ControlOptions options_;
  ControlHooks hooks_;

  FleetView view_;
  FleetSnapshotPtr snapshot_;
  TimePoint confirmedAt_ = TimePoint::min();
  // The neighbour that confirmed the view; empty for the store.
  std::string confirmedBy_;
  bool firstReadStarted_ = false;
  // The highest era that the store or a neighbour has stated; 0 for none.
  std::uint64_t era_ = 0;
  // The highest version that the store has lost and a neighbour has in force.
  std::uint64_t requiredVersion_ = 0;
  // All changes up to this position have been read.
  StorePosition position_;
  // The position at the first page of the current complete read.
  StorePosition firstPosition_;
  TimePoint readStartedAt_;
  // The items found so far by the current complete read.
  std::vector<KvItem> readItems_;
  ViewCache cache_;
  PendingValues pendingValues_;
  // The neighbour that responded last.
  std::string neighbourAddress_;
  ViewSources sources_;
  StoreAvailability availability_;
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
  , view_(codec_, options_.name_, MakeViewHooks())
  , sources_(options_.name_, options_.region_, options_.sources_)
  , availability_(MakeAvailabilityOptions())
  , registration_(aContext,
                  aStore,
                  codec_.hostKey_(options_.name_),
                  MakeRegistrationOptions())
{
}

StoreAvailabilityOptions
ControlLoop::Impl::MakeAvailabilityOptions() const
{
  StoreAvailabilityOptions options;
  options.callInterval_ = options_.registration_.renewalInterval_;
  options.reregistrationTime_ = options_.reregistrationTime_;
  return options;
}

FleetViewHooks
ControlLoop::Impl::MakeViewHooks()
{
  FleetViewHooks hooks;
  hooks.onOwnRecord_ = [this](const StorePosition& aPosition, bool aRemoved) {
    registration_.OnStored(aPosition, aRemoved);
  };
  hooks.keepUntil_ = [this](TimePoint aNow) {
    return availability_.KeepUntil(aNow);
  };
  hooks.onDelayed_ = [this](const std::string& aId, TimePoint aUntil) {
    OnRemovalDelayed(aId, aUntil);
  };
  return hooks;
}

RegistrationOptions
ControlLoop::Impl::MakeRegistrationOptions()
{
  RegistrationOptions options = options_.registration_;
  options.onAnswered_ = [this] { OnStoreAnswered(); };
  options.onRegistered_ = [this] { StartFirstRead(); };
  options.onEra_ = [this](std::uint64_t aEra) { OnEra(aEra); };
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
  if (availability_.Failed(aSentAt, BootClock::now())) {
    LogEvent(Event::StoreUnreachable, { { "status", NameOf(aStatus) } });
  }
}

void
ControlLoop::Impl::OnStoreAnswered()
{
  if (availability_.Responded(BootClock::now())) {
    LogEvent(Event::StoreReachable);
  }
}

void
ControlLoop::Impl::OnEra(std::uint64_t aEra)
{
  if (aEra <= era_) {
    return;
  }
  const bool restored = era_ != 0;
  if (restored) {
    LogEvent(Event::StoreRestored,
             { { "era", aEra },
               { "former_era", era_ },
               { "revision", position_.revision_ } });
    availability_.Restored(BootClock::now());
  }
  era_ = aEra;
  registration_.OnEra(aEra);
  if (hooks_.onEra_) {
    hooks_.onEra_(aEra);
  }
}

std::uint64_t
ControlLoop::Impl::EraOf(const KvItems& aItems)
{
  OnEra(aItems.era_);
  return aItems.era_ == 0 ? era_ : aItems.era_;
}

bool
ControlLoop::Impl::Advance(std::vector<KvItem> aChanges,
                           const StorePosition& aPosition)
{
  const bool restored = position_.era_ != 0 && aPosition.era_ > position_.era_;
  if (restored) {
    view_.Apply(TakeEarlier(aChanges, aPosition.era_));
    const TimePoint now = BootClock::now();
    // A host that is cut off may act on its view until then, as if its lease
    // had expired.
    const Duration hosts = options_.registration_.leaseTtl_;
    const Duration evacuations = options_.reregistrationTime_;
    view_.ApplyRestored(aChanges, { now + hosts, now + evacuations });
    for (const Duration delay : { hosts, evacuations }) {
      After(delay, [](Impl& aSelf) {
        aSelf.view_.ExpireMissing(BootClock::now());
        aSelf.Publish();
      });
    }
  } else {
    view_.Apply(aChanges);
  }
  position_ = std::max(position_, aPosition);
  return restored;
}

void
ControlLoop::Impl::StartFirstRead()
{
  if (!firstReadStarted_) {
    firstReadStarted_ = true;
    ReadAll();
  }
}

// Reads all keys, then follows their changes from the revision before the read.
void
ControlLoop::Impl::ReadAll()
{
  firstPosition_ = {};
  readItems_.clear();
  readStartedAt_ = BootClock::now();
  ReadPage("");
}

void
ControlLoop::Impl::ReadPage(const std::string& aAfter)
{
  store_.Range(
    "",
    aAfter,
    [weak = weak_from_this(), aAfter](KvStatus aStatus, const KvItems& aItems) {
      if (const auto self = weak.lock()) {
        self->OnPage(aAfter, aStatus, aItems);
      }
    });
}

void
ControlLoop::Impl::OnPage(const std::string& aAfter,
                          KvStatus aStatus,
                          const KvItems& aItems)
{
  const std::uint64_t era = EraOf(aItems);
  if (aStatus != KvStatus::Done) {
    OnStoreFailed(aStatus, readStartedAt_);
    // Only this page is read again: when many hosts start at once, the store
    // refuses a part of their calls, and a read that began again with the first
    // page would add to its load. The changes since the first page follow from
    // the watch.
    After(options_.retryDelay_,
          [aAfter](Impl& aSelf) { aSelf.ReadPage(aAfter); });
    return;
  }
  if (era != era_) {
    After(options_.retryDelay_, [](Impl& aSelf) { aSelf.ReadAll(); });
    return;
  }
  OnStoreAnswered();
  if (firstPosition_.revision_ == 0) {
    firstPosition_ = { aItems.revision_, era };
  }
  if (firstPosition_.era_ != era) {
    ReadAll();
    return;
  }
  for (KvItem& item : WithEra(aItems.items_, era)) {
    readItems_.push_back(std::move(item));
  }
  if (aItems.more_ && !aItems.items_.empty()) {
    ReadPage(aItems.items_.back().key_);
  } else {
    OnReadComplete();
  }
}

void
ControlLoop::Impl::OnReadComplete()
{
  // A host that starts knows nothing of what the store may have lost.
  const bool first = position_.revision_ == 0 && firstPosition_.era_ > 1;
  const bool restored = Advance(
    cache_.Replace(std::move(readItems_), firstPosition_), firstPosition_);
  readItems_.clear();
  if (first || restored) {
    // Followers must not take the restored view for the one confirmed before.
    if (restored) {
      Publish();
    }
    UpdateSnapshot();
    ConfirmWithNeighbour(kAskedNeighbours);
    return;
  }
  Confirm(readStartedAt_, "");
  Follow();
}

void
ControlLoop::Impl::ConfirmWithNeighbour(int aNeighbours)
{
  const bool ask = aNeighbours > 0 && hooks_.pollNeighbour_;
  const ViewSource source =
    ask ? sources_.AnyNeighbour(BootClock::now()) : ViewSource();
  if (source.IsStore()) {
    Confirm(readStartedAt_, "");
    Follow();
    return;
  }
  hooks_.pollNeighbour_(
    source.address_,
    position_,
    Duration::zero(),
    [weak = weak_from_this(), source, aNeighbours](
      const ViewResponse& aResponse) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->Require(aResponse);
      const bool answered = aResponse.status_ != KvStatus::Unknown;
      if (!answered) {
        self->sources_.Failed(source, ViewFailure::Unusable, BootClock::now());
      }
      self->ConfirmWithNeighbour(answered ? 0 : aNeighbours - 1);
    });
}

void
ControlLoop::Impl::Require(const ViewResponse& aResponse)
{
  OnEra(aResponse.position_.era_);
  // A neighbour that has not noticed the restore may know of it too.
  const bool lost = aResponse.unstored_ || aResponse.position_.era_ < era_;
  if (lost) {
    requiredVersion_ = std::max(requiredVersion_, aResponse.version_);
  }
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
    PollNeighbour(source);
  }
}

void
ControlLoop::Impl::FollowAfterInterval(TimePoint aSentAt)
{
  const Duration elapsed = BootClock::now() - aSentAt;
  if (elapsed >= options_.minWatchInterval_) {
    Follow();
  } else {
    After(options_.minWatchInterval_ - elapsed,
          [](Impl& aSelf) { aSelf.Follow(); });
  }
}

void
ControlLoop::Impl::WatchStore()
{
  // The store has given out this revision again, or will.
  if (position_.era_ < era_) {
    ReadAll();
    return;
  }
  const TimePoint sentAt = BootClock::now();
  const bool longWait = !hooks_.pollNeighbour_ || sources_.ReadsStore() ||
                        sentAt - confirmedAt_ < options_.shortWatchAge_;
  store_.Watch(
    "",
    position_.revision_,
    longWait ? options_.watchWait_ : options_.shortWatchWait_,
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
  const std::uint64_t era = EraOf(aItems);
  const bool earlier = era < era_;
  if (aStatus == KvStatus::Gone && !earlier) {
    OnStoreAnswered();
    LogEvent(Event::StoreHistoryGone, { { "revision", position_.revision_ } });
    ReadAll();
    return;
  }
  if (aStatus != KvStatus::Done) {
    OnStoreFailed(aStatus, aSentAt);
  }
  if (aStatus != KvStatus::Done || earlier) {
    sources_.Failed({}, ViewFailure::Unusable, BootClock::now());
    Follow();
    return;
  }
  OnStoreAnswered();
  sources_.Answered({});
  if (era != position_.era_) {
    ReadAll();
    return;
  }
  const StorePosition position(aItems.revision_, era);
  if (aItems.items_.empty() && position > position_) {
    LogEvent(Event::StoreHistoryGone, { { "revision", position_.revision_ } });
    ReadAll();
    return;
  }
  Advance(cache_.Add(WithEra(aItems.items_, era), position), position);
  Confirm(aSentAt, "");
  const Duration elapsed = BootClock::now() - aSentAt;
  if (elapsed > options_.watchWait_ + options_.slowWatchTime_ &&
      HasSupersededLargeValue(aItems)) {
    ReadAll();
  } else {
    FollowAfterInterval(aSentAt);
  }
}

void
ControlLoop::Impl::PollNeighbour(const ViewSource& aSource)
{
  const TimePoint sentAt = BootClock::now();
  hooks_.pollNeighbour_(
    aSource.address_,
    position_,
    aSource.preferred_ ? options_.neighbourWait_ : options_.fallbackWait_,
    [weak = weak_from_this(), aSource, sentAt](const ViewResponse& aResponse) {
      if (const auto self = weak.lock()) {
        self->OnNeighbourResponse(aSource, sentAt, aResponse);
      }
    });
}

bool
ControlLoop::Impl::Continues(const ViewResponse& aResponse) const
{
  const StorePosition& position = aResponse.position_;
  const bool gap = aResponse.events_.empty() && position > position_;
  // Two hosts that follow each other would never receive changes from the
  // store.
  const bool cycle = aResponse.source_ == options_.name_;
  return aResponse.status_ == KvStatus::Done && position >= position_ && !gap &&
         !cycle;
}

void
ControlLoop::Impl::OnNeighbourResponse(const ViewSource& aSource,
                                       TimePoint aSentAt,
                                       const ViewResponse& aResponse)
{
  const TimePoint now = BootClock::now();
  Require(aResponse);
  if (!Continues(aResponse)) {
    LogEvent(Event::ViewNeighbourBehind,
             { { "neighbour", aSource.host_ },
               { "status", NameOf(aResponse.status_) },
               { "neighbour_era", aResponse.position_.era_ },
               { "neighbour_revision", aResponse.position_.revision_ },
               { "era", era_ },
               { "revision", position_.revision_ } });
    sources_.Failed(aSource, ViewFailure::Unusable, now);
    Follow();
    return;
  }
  // Relative to when this host sent the request, which is earlier than its
  // arrival at the neighbour. The result is never too recent.
  const TimePoint confirmedAt =
    std::min(now, aSentAt + aResponse.confirmedOffset_);
  const bool stale = now - confirmedAt > options_.maxNeighbourAge_;
  if (stale) {
    LogEvent(Event::ViewNeighbourBehind,
             { { "neighbour", aSource.host_ },
               { "age_ms", ToMilliseconds(now - confirmedAt) } });
    sources_.Failed(aSource, ViewFailure::Stale, now);
  } else {
    sources_.Answered(aSource);
  }
  if (availability_.RespondedToNeighbour(
        confirmedAt, aResponse.storeRecoveredAgo_, now)) {
    LogEvent(Event::StoreReachable);
  }
  neighbourAddress_ = aSource.address_;
  Advance(cache_.Add(aResponse.events_, aResponse.position_),
          aResponse.position_);
  Confirm(confirmedAt, aSource.host_);
  FollowAfterInterval(aSentAt);
}

// Records that the view is at least as recent as the store was at aConfirmedAt.
void
ControlLoop::Impl::Confirm(TimePoint aConfirmedAt, const std::string& aSource)
{
  const bool behind = view_.Version() < requiredVersion_;
  if (!behind && aConfirmedAt > confirmedAt_) {
    confirmedBy_ = aSource;
  }
  pendingValues_.Confirmed(behind ? TimePoint::min() : aConfirmedAt,
                           cache_.Missing());
  confirmedAt_ = pendingValues_.ConfirmedAt();
  Publish();
  FetchValues();
}

void
ControlLoop::Impl::FetchValues()
{
  for (const ValueRequest& request : pendingValues_.TakeRequests()) {
    // The store is asked if the neighbour did not have the value.
    const bool askNeighbour = hooks_.fetchValue_ &&
                              !neighbourAddress_.empty() &&
                              request.failures_ % 2 == 0;
    if (askNeighbour) {
      FetchFromNeighbour(request);
    } else {
      FetchFromStore(request);
    }
  }
}

void
ControlLoop::Impl::FetchFromNeighbour(const ValueRequest& aRequest)
{
  hooks_.fetchValue_(neighbourAddress_,
                     aRequest.key_,
                     aRequest.position_,
                     [weak = weak_from_this(),
                      key = aRequest.key_](const std::optional<KvItem>& aItem) {
                       if (const auto self = weak.lock()) {
                         self->OnValue(key, aItem);
                       }
                     });
}

void
ControlLoop::Impl::FetchFromStore(const ValueRequest& aRequest)
{
  store_.Range(aRequest.key_,
               "",
               [weak = weak_from_this(),
                key = aRequest.key_](KvStatus, const KvItems& aItems) {
                 const auto self = weak.lock();
                 if (!self) {
                   return;
                 }
                 const std::uint64_t era = self->EraOf(aItems);
                 const std::vector<KvItem> items = WithEra(aItems.items_, era);
                 // Keys that begin with this key come after it.
                 const bool found = !items.empty() && items.front().key_ == key;
                 self->OnValue(
                   key, found ? std::optional(items.front()) : std::nullopt);
               });
}

void
ControlLoop::Impl::OnValue(const std::string& aKey,
                           const std::optional<KvItem>& aItem)
{
  // A value of another era says nothing about this view.
  if (!aItem || aItem->key_ != aKey || aItem->era_ != position_.era_) {
    pendingValues_.Failed(aKey);
    After(options_.retryDelay_, [](Impl& aSelf) { aSelf.FetchValues(); });
    return;
  }
  if (cache_.SetValue(*aItem)) {
    view_.Apply({ *aItem });
  }
  pendingValues_.Received(aKey, aItem->Position());
  confirmedAt_ = pendingValues_.ConfirmedAt();
  Publish();
  FetchValues();
}

void
ControlLoop::Impl::OnRemovalDelayed(const std::string& aId, TimePoint aUntil)
{
  const TimePoint now = BootClock::now();
  LogEvent(
    Event::ServerRemovalDelayed,
    { { "server", aId },
      { "delay_ms", ToMilliseconds(aUntil - now) },
      { "view_age_ms", ToMilliseconds(now - confirmedAt_) },
      { "store_silence_ms", ToMilliseconds(availability_.LastSilence()) },
      { "reachable", availability_.IsReachable() ? 1 : 0 } });
  After(aUntil - now, [aId, aUntil](Impl& aSelf) {
    if (aSelf.view_.ExpireDelayed(aId, aUntil)) {
      aSelf.Publish();
    }
  });
}

void
ControlLoop::Impl::UpdateSnapshot()
{
  const FleetSnapshotPtr snapshot = view_.Snapshot();
  if (snapshot != snapshot_) {
    snapshot_ = snapshot;
    sources_.SetHosts(snapshot_->hosts_);
  }
}

void
ControlLoop::Impl::Publish()
{
  UpdateSnapshot();
  hooks_.onView_(snapshot_, confirmedAt_);
  if (hooks_.onConfirmed_) {
    hooks_.onConfirmed_(cache_,
                        { confirmedAt_,
                          confirmedBy_,
                          availability_.RecoveredAt(),
                          view_.Version(),
                          view_.IsUnstored() });
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
               [](Impl& aSelf) { aSelf.StartFirstRead(); });
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
