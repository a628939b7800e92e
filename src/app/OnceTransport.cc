#include "app/OnceTransport.h"

#include "base/EventLog.h"
#include "http/BeastTypes.h"
#include "once/ClaimSegment.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace peridotsail {

namespace {

ClaimRegistryOptions
MakeOptions(const std::string& aIncarnation)
{
  ClaimRegistryOptions options;
  options.incarnation_ = aIncarnation;
  return options;
}

StoreTransaction
MakeTransaction(const SlotLeaseTerm& aTerm, const ClaimRecord& aRecord)
{
  StoreTransaction transaction;
  transaction.compares_ = { { aTerm.fenceKey_, aTerm.fenceRevision_ },
                            { aRecord.key_, 0 } };
  transaction.puts_ = { { aRecord.key_, aRecord.value_, 0 } };
  transaction.deletes_ = aRecord.deletes_;
  return transaction;
}

}

OnceTransport::OnceTransport(EventLoopThread& aTraffic,
                             EventLoopThread& aPlatform,
                             StoreClient& aStore,
                             const std::string& aIncarnation)
  : traffic_(aTraffic)
  , platform_(aPlatform)
  , store_(aStore)
  , service_(MakeOptions(aIncarnation), MakeHooks())
  , timer_(aTraffic.Context())
{
}

ClaimStoreHooks
OnceTransport::MakeHooks()
{
  ClaimStoreHooks hooks;
  hooks.perform_ = [this](const SlotLeaseTerm& aTerm,
                          const StoreOperation& aOperation,
                          const ClaimStoreHooks::Answer& aAnswer) {
    Perform(aTerm, aOperation, aAnswer);
  };
  hooks.load_ = [this](const std::string& aPrefix,
                       const ClaimStoreHooks::Loaded& aLoaded) {
    Load(aPrefix, aLoaded);
  };
  hooks.wakeAt_ = [this](TimePoint aTime) { WakeAt(aTime); };
  return hooks;
}

void
OnceTransport::SetValidity(const SlotValidity& aValidity)
{
  PostToTraffic([this, validity = aValidity] {
    hasValidity_ = true;
    const bool sameProcess =
      validity.predecessor_ == PredecessorOutage::SameProcess;
    std::optional<SlotLeaseTerm> term;
    if (validity.index_ >= 0) {
      term = LeaseTermOf(validity);
    }
    service_.SetLeaseTerm(term, sameProcess, BootClock::now());
    service_.Pump(BootClock::now());
  });
}

void
OnceTransport::SetHolders(std::map<std::string, SlotHolderHost> aHolders)
{
  PostToTraffic(
    [this, holders = std::move(aHolders)] { service_.SetHolders(holders); });
}

void
OnceTransport::SetConfiguration(const ConfigurationPtr& aConfiguration)
{
  PostToTraffic([this, slots = SlotNames(*aConfiguration)] {
    service_.SetSlots(slots, BootClock::now());
  });
}

void
OnceTransport::Perform(const SlotLeaseTerm& aTerm,
                       const StoreOperation& aOperation,
                       const ClaimStoreHooks::Answer& aAnswer)
{
  const std::uint64_t id = aOperation.id_;
  // If the ring is full, the task is dropped and the operation gets no answer;
  // the registry then treats it as lost.
  platform_.Post([=] {
    if (aOperation.kind_ == StoreOperationKind::ReadBack) {
      ReadBack(aOperation, aAnswer);
      return;
    }
    store_.Commit(MakeTransaction(aTerm, aOperation.record_),
                  [=](std::optional<StoreCommitResult> aResult, const Error&) {
                    const StoreAnswerKind kind =
                      !aResult              ? StoreAnswerKind::Lost
                      : aResult->succeeded_ ? StoreAnswerKind::Written
                                            : StoreAnswerKind::Refused;
                    PostToTraffic([=] { aAnswer({ id, kind, "" }); });
                  });
  });
}

void
OnceTransport::ReadBack(const StoreOperation& aOperation,
                        const ClaimStoreHooks::Answer& aAnswer)
{
  const std::uint64_t id = aOperation.id_;
  store_.Get(
    aOperation.record_.key_,
    [=](std::optional<std::vector<StoreRecord>> aResult, const Error&) {
      StoreAnswer answer{ id, StoreAnswerKind::Lost, "" };
      if (aResult && aResult->empty()) {
        answer.kind_ = StoreAnswerKind::Absent;
      } else if (aResult) {
        std::string reason;
        const auto segment =
          ClaimSegment::Decode(aResult->front().value_, reason);
        answer.kind_ = StoreAnswerKind::Found;
        answer.attempt_ = segment ? segment->attempt_ : "";
      }
      PostToTraffic([=] { aAnswer(answer); });
    });
}

void
OnceTransport::Load(const std::string& aPrefix,
                    const ClaimStoreHooks::Loaded& aLoaded)
{
  platform_.Post([=] {
    store_.GetPrefix(
      aPrefix,
      [=](std::optional<std::vector<StoreRecord>> aResult, const Error&) {
        std::optional<std::vector<LoadedRecord>> records;
        if (aResult) {
          records.emplace();
          for (StoreRecord& record : *aResult) {
            records->push_back({ record.key_, std::move(record.value_) });
          }
        }
        PostToTraffic([=] { aLoaded(records); });
      });
  });
}

void
OnceTransport::WakeAt(TimePoint aTime)
{
  const Duration wait =
    std::max<Duration>(std::chrono::milliseconds(1), aTime - BootClock::now());
  timer_.expires_after(detail::ToSteady(wait));
  timer_.async_wait([this](auto aError) {
    if (!aError) {
      service_.Pump(BootClock::now());
    }
  });
}

void
OnceTransport::PostToTraffic(EventLoopThread::Task aTask)
{
  if (!traffic_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "traffic" } });
  }
}

}
