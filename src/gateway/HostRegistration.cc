#include "gateway/HostRegistration.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"

#include <algorithm>

namespace peridotsail {

using namespace detail;

struct HostRegistration::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext,
       KvStore& aStore,
       std::string aKey,
       RegistrationOptions aOptions)
    : store_(aStore)
    , key_(std::move(aKey))
    , options_(std::move(aOptions))
    , timer_(aContext)
  {
  }

  void ScheduleRenewal();
  void RenewLease();
  void GrantLease();
  void OnRenewed(KvStatus aStatus);
  void OnGranted(KvStatus aStatus, const KvNumber& aLease);
  void OnLeaseLost();
  void OnEra(std::uint64_t aEra);
  // Returns whether the response is of the store's era as far as it is known.
  bool IsCurrent(const KvNumber& aResponse);
  // The same for a call about a lease or a revision of an era.
  bool IsCurrent(const KvNumber& aResponse, std::uint64_t aSentInEra);
  void Write();
  void OnWritten(KvStatus aStatus, std::uint64_t aNumber);
  void Deregister(std::function<void()> aDone);

  KvStore& store_;
  std::string key_;
  RegistrationOptions options_;
  asio::steady_timer timer_;
  HostRecord record_;
  bool changed_ = true;
  bool writing_ = false;
  TimePoint writtenAt_ = TimePoint::min();
  // 0 until the store has stated it.
  std::uint64_t era_ = 0;
  // The record's last known change.
  StorePosition stored_;
  std::uint64_t lease_ = 0;
  bool granting_ = false;
  bool leaving_ = false;
};

void
HostRegistration::Impl::ScheduleRenewal()
{
  timer_.expires_after(ToSteady(options_.renewalInterval_));
  timer_.async_wait([weak = weak_from_this()](ErrorCode aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->RenewLease();
    }
  });
}

// Renews the lease or requests a new one, and writes this host's record if it
// has changed.
void
HostRegistration::Impl::RenewLease()
{
  if (leaving_) {
    return;
  }
  ScheduleRenewal();
  if (lease_ == 0) {
    GrantLease();
    return;
  }
  store_.RenewLease(lease_,
                    [weak = weak_from_this(),
                     era = era_](KvStatus aStatus, const KvNumber& aResponse) {
                      const auto self = weak.lock();
                      if (self && self->IsCurrent(aResponse, era)) {
                        self->OnRenewed(aStatus);
                      }
                    });
  Write();
}

void
HostRegistration::Impl::OnRenewed(KvStatus aStatus)
{
  const bool expired = aStatus == KvStatus::Gone;
  const bool answered = expired || aStatus == KvStatus::Done;
  if (answered && options_.onAnswered_) {
    options_.onAnswered_();
  }
  if (expired) {
    OnLeaseLost();
  }
}

void
HostRegistration::Impl::OnEra(std::uint64_t aEra)
{
  if (aEra <= era_) {
    return;
  }
  const bool restored = era_ != 0;
  era_ = aEra;
  if (restored) {
    stored_ = {};
    OnLeaseLost();
  }
}

bool
HostRegistration::Impl::IsCurrent(const KvNumber& aResponse)
{
  if (aResponse.era_ > era_) {
    OnEra(aResponse.era_);
    if (options_.onEra_) {
      options_.onEra_(aResponse.era_);
    }
  }
  return aResponse.era_ == 0 || aResponse.era_ == era_;
}

bool
HostRegistration::Impl::IsCurrent(const KvNumber& aResponse,
                                  std::uint64_t aSentInEra)
{
  return IsCurrent(aResponse) && (aSentInEra == era_ || aSentInEra == 0);
}

void
HostRegistration::Impl::OnLeaseLost()
{
  if (leaving_) {
    return;
  }
  LogEvent(Event::HostLeaseLost, { { "lease", lease_ } });
  lease_ = 0;
  changed_ = true;
  GrantLease();
}

void
HostRegistration::Impl::GrantLease()
{
  if (granting_ || leaving_) {
    return;
  }
  granting_ = true;
  store_.GrantLease(
    options_.leaseTtl_,
    [weak = weak_from_this()](KvStatus aStatus, const KvNumber& aLease) {
      if (const auto self = weak.lock()) {
        self->OnGranted(aStatus, aLease);
      }
    });
}

void
HostRegistration::Impl::OnGranted(KvStatus aStatus, const KvNumber& aLease)
{
  const bool current = IsCurrent(aLease);
  granting_ = false;
  if (aStatus == KvStatus::Done && current && !leaving_) {
    lease_ = aLease.number_;
    changed_ = true;
    writtenAt_ = TimePoint::min();
    Write();
  }
}

void
HostRegistration::Impl::Write()
{
  const TimePoint now = BootClock::now();
  const bool tooSoon = writtenAt_ != TimePoint::min() &&
                       now - writtenAt_ < options_.minWriteInterval_;
  if (writing_ || lease_ == 0 || !changed_ || tooSoon || leaving_) {
    return;
  }
  writing_ = true;
  changed_ = false;
  writtenAt_ = now;
  KvPut put;
  put.key_ = key_;
  put.value_ = EncodeHostRecord(record_);
  put.expectedRevision_ = stored_.revision_;
  put.lease_ = lease_;
  store_.Put(put,
             [weak = weak_from_this(), era = era_](KvStatus aStatus,
                                                   const KvNumber& aResponse) {
               const auto self = weak.lock();
               if (!self) {
                 return;
               }
               self->writing_ = false;
               if (self->IsCurrent(aResponse, era)) {
                 self->OnWritten(aStatus, aResponse.number_);
               } else {
                 self->changed_ = true;
                 self->writtenAt_ = TimePoint::min();
                 self->Write();
               }
             });
}

void
HostRegistration::Impl::OnWritten(KvStatus aStatus, std::uint64_t aNumber)
{
  if (aStatus == KvStatus::Done) {
    stored_ = std::max(stored_, StorePosition(aNumber, era_));
    if (options_.onRegistered_) {
      options_.onRegistered_();
    }
    return;
  }
  changed_ = true;
  if (aStatus == KvStatus::Gone) {
    OnLeaseLost();
  } else if (aStatus == KvStatus::Conflict) {
    stored_ = { aNumber, era_ };
    writtenAt_ = TimePoint::min();
    Write();
  }
}

void
HostRegistration::Impl::Deregister(std::function<void()> aDone)
{
  leaving_ = true;
  if (lease_ == 0) {
    aDone();
    return;
  }
  store_.RevokeLease(
    lease_, [done = std::move(aDone)](KvStatus, const KvNumber&) { done(); });
}

HostRegistration::HostRegistration(asio::io_context& aContext,
                                   KvStore& aStore,
                                   std::string aKey,
                                   RegistrationOptions aOptions)
  : impl_(std::make_shared<Impl>(aContext,
                                 aStore,
                                 std::move(aKey),
                                 std::move(aOptions)))
{
}

HostRegistration::~HostRegistration() = default;

void
HostRegistration::Start()
{
  impl_->RenewLease();
}

void
HostRegistration::Set(HostRecord aRecord)
{
  const bool urgent = aRecord.draining_ != impl_->record_.draining_;
  impl_->record_ = std::move(aRecord);
  impl_->changed_ = true;
  if (urgent) {
    impl_->writtenAt_ = TimePoint::min();
  }
  impl_->Write();
}

void
HostRegistration::OnStored(const StorePosition& aPosition, bool aRemoved)
{
  if (aPosition < impl_->stored_ || aPosition.era_ < impl_->era_) {
    return;
  }
  if (!aRemoved) {
    impl_->stored_ = aPosition;
  } else if (impl_->lease_ != 0 && !impl_->leaving_) {
    impl_->stored_ = {};
    impl_->changed_ = true;
  }
}

void
HostRegistration::OnEra(std::uint64_t aEra)
{
  impl_->OnEra(aEra);
}

void
HostRegistration::Deregister(std::function<void()> aDone)
{
  impl_->Deregister(std::move(aDone));
}

}
