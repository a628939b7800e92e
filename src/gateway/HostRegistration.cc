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
  void OnLeaseLost();
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
  std::uint64_t revision_ = 0;
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
  store_.RenewLease(
    lease_, [weak = weak_from_this()](KvStatus aStatus, std::uint64_t) {
      const auto self = weak.lock();
      const bool expired = aStatus == KvStatus::Gone;
      const bool answered = expired || aStatus == KvStatus::Done;
      if (self && answered && self->options_.onAnswered_) {
        self->options_.onAnswered_();
      }
      if (self && expired) {
        self->OnLeaseLost();
      }
    });
  Write();
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
    [weak = weak_from_this()](KvStatus aStatus, std::uint64_t aLease) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->granting_ = false;
      if (aStatus == KvStatus::Done && !self->leaving_) {
        self->lease_ = aLease;
        self->changed_ = true;
        self->writtenAt_ = TimePoint::min();
        self->Write();
      }
    });
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
  put.expectedRevision_ = revision_;
  put.lease_ = lease_;
  store_.Put(
    put, [weak = weak_from_this()](KvStatus aStatus, std::uint64_t aNumber) {
      if (const auto self = weak.lock()) {
        self->OnWritten(aStatus, aNumber);
      }
    });
}

void
HostRegistration::Impl::OnWritten(KvStatus aStatus, std::uint64_t aNumber)
{
  writing_ = false;
  if (aStatus == KvStatus::Done) {
    revision_ = std::max(revision_, aNumber);
    if (options_.onRegistered_) {
      options_.onRegistered_();
    }
    return;
  }
  changed_ = true;
  if (aStatus == KvStatus::Gone) {
    OnLeaseLost();
  } else if (aStatus == KvStatus::Conflict) {
    revision_ = aNumber;
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
    lease_, [done = std::move(aDone)](KvStatus, std::uint64_t) { done(); });
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
HostRegistration::OnStoredRevision(std::uint64_t aRevision)
{
  if (aRevision > 0) {
    impl_->revision_ = std::max(impl_->revision_, aRevision);
  } else if (impl_->lease_ != 0 && !impl_->leaving_) {
    impl_->revision_ = 0;
    impl_->changed_ = true;
  }
}

void
HostRegistration::Deregister(std::function<void()> aDone)
{
  impl_->Deregister(std::move(aDone));
}

}
