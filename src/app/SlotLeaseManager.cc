#include "app/SlotLeaseManager.h"

#include "base/EventLog.h"
#include "base/Hash.h"
#include "http/BeastTypes.h"
#include "peer/CborReader.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace peridotsail {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kPeerReportInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxNameBytes = 100;

PeerMessage
EncodeQuery(const ReachabilityQuery& aQuery)
{
  return { PeerMessageType::ReachabilityQuery,
           ToCbor({ { "query", aQuery.query_ },
                    { "region", aQuery.slot_.region_ },
                    { "slot", aQuery.slot_.number_ },
                    { "epoch", aQuery.epoch_ } }) };
}

std::optional<ReachabilityQuery>
DecodeQuery(const std::string& aBytes)
{
  CborReader reader{ std::string_view(aBytes) };
  ReachabilityQuery query;
  query.query_ = reader.Unsigned("query");
  query.slot_.region_ = reader.Text("region", kMaxNameBytes);
  const std::int64_t number = reader.Signed("slot");
  query.epoch_ = reader.Unsigned("epoch");
  if (!reader.Valid() || number < -1 || number > INT32_MAX) {
    return std::nullopt;
  }
  query.slot_.number_ = static_cast<int>(number);
  return query;
}

PeerMessage
EncodeAnswer(const ReachabilityAnswer& aAnswer)
{
  return {
    PeerMessageType::ReachabilityAnswer,
    ToCbor({ { "query", aAnswer.query_ },
             { "incarnation", aAnswer.incarnation_ },
             { "reachable", aAnswer.reachable_ },
             { "quiet_ms",
               static_cast<std::uint64_t>(ToMilliseconds(aAnswer.quietTime_)) },
             { "no_outage", aAnswer.noOutageSinceRenewal_ } })
  };
}

std::optional<ReachabilityAnswer>
DecodeAnswer(const std::string& aBytes)
{
  CborReader reader{ std::string_view(aBytes) };
  ReachabilityAnswer answer;
  answer.query_ = reader.Unsigned("query");
  answer.incarnation_ = reader.Text("incarnation", kMaxNameBytes);
  answer.reachable_ = reader.Flag("reachable");
  const std::uint64_t quiet = reader.Unsigned("quiet_ms");
  answer.noOutageSinceRenewal_ = reader.Flag("no_outage");
  if (!reader.Valid() || quiet > INT32_MAX) {
    return std::nullopt;
  }
  answer.quietTime_ = std::chrono::milliseconds(quiet);
  return answer;
}

SlotLeaseOptions
MakeLeaseOptions()
{
  SlotLeaseOptions options;
  options.makeId_ = [] { return RandomId(); };
  return options;
}

}

SlotLayoutPtr
MakeSlotLayout(const Configuration& aConfiguration)
{
  auto layout = std::make_shared<SlotLayout>();
  for (const RegionConfig& region : aConfiguration.regions_) {
    layout->regions_.emplace_back(region.name_, region.slots_);
  }
  return layout;
}

struct SlotLeaseManager::Impl
{
  Impl(boost::asio::io_context& aContext,
       StoreClient& aStore,
       const std::string& aRegion,
       SlotHolder aSelf,
       SlotLeaseManagerHooks aHooks)
    : store_(aStore)
    , hooks_(std::move(aHooks))
    , self_(aSelf)
    , lease_(MakeLeaseOptions(), aRegion, std::move(aSelf), BootClock::now())
    , timer_(aContext)
  {
  }

  void Tick()
  {
    ReportReachablePeers();
    Advance();
    timer_.expires_after(detail::ToSteady(kTickInterval));
    timer_.async_wait([this](auto aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Performs the lease's actions, logs its decisions and publishes its
  // validity.
  void Advance()
  {
    for (const SlotAction& action : lease_.Tick(BootClock::now())) {
      Perform(action);
    }
    for (const SlotDecision& decision : lease_.TakeDecisions()) {
      LogEvent(Event::SlotDecision,
               { { "decision", NameOf(decision.kind_) },
                 { "region", decision.slot_.region_ },
                 { "slot", decision.slot_.number_ },
                 { "epoch", decision.epoch_ },
                 { "reason", decision.reason_ } });
    }
    const SlotValidity validity = lease_.Validity();
    const bool isSame = validity.slot_ == published_.slot_ &&
                        validity.index_ == published_.index_ &&
                        validity.totalSlots_ == published_.totalSlots_ &&
                        validity.epoch_ == published_.epoch_ &&
                        validity.validUntil_ == published_.validUntil_ &&
                        validity.outageUntil_ == published_.outageUntil_;
    if (!isSame) {
      published_ = validity;
      hooks_.onValidity_(validity);
    }
  }

  void ReportReachablePeers()
  {
    const TimePoint now = BootClock::now();
    if (now - lastPeerReport_ < kPeerReportInterval) {
      return;
    }
    lastPeerReport_ = now;
    for (const auto& [host, incarnation] : linkedIncarnations_) {
      // The host with the smaller name opens the link (see PeerNode), so only
      // it knows that the peer is reachable at the listed address.
      const auto address = peerAddresses_.find(host);
      if (self_.host_ < host && address != peerAddresses_.end()) {
        lease_.OnPeerSeen({ host, address->second, incarnation }, now);
      }
    }
  }

  void HandleStoreResult(const SlotStoreResult& aResult)
  {
    lease_.OnStoreResult(aResult, BootClock::now());
    Advance();
  }

  void Perform(const SlotAction& aAction)
  {
    SlotStoreResult result;
    result.operationId_ = aAction.operationId_;
    switch (aAction.kind_) {
      case SlotActionKind::ReadTable:
        ReadTable(aAction.slot_.region_, result);
        break;
      case SlotActionKind::GrantLease:
        store_.GrantLease(aAction.ttl_,
                          [this, result](auto aLease, const Error&) mutable {
                            result.lease_ = aLease.value_or(0);
                            result.outcome_ = aLease ? StoreOutcome::Done
                                                     : StoreOutcome::Unknown;
                            HandleStoreResult(result);
                          });
        break;
      case SlotActionKind::KeepAlive:
        store_.KeepAlive(
          aAction.lease_, [this, result](auto aSeconds, const Error&) mutable {
            if (aSeconds) {
              result.outcome_ =
                *aSeconds > 0 ? StoreOutcome::Done : StoreOutcome::Refused;
            }
            HandleStoreResult(result);
          });
        break;
      case SlotActionKind::RevokeLease:
        store_.RevokeLease(aAction.lease_,
                           [this, result](auto aDone, const Error&) mutable {
                             result.outcome_ = aDone ? StoreOutcome::Done
                                                     : StoreOutcome::Unknown;
                             HandleStoreResult(result);
                           });
        break;
      case SlotActionKind::Claim:
      case SlotActionKind::UpdateRecord:
      case SlotActionKind::Release:
        Commit(aAction, result);
        break;
      case SlotActionKind::QueryPeers:
        for (const SlotHolder& peer : aAction.peers_) {
          hooks_.send_(peer.host_, EncodeQuery(aAction.query_));
        }
        break;
    }
  }

  void ReadTable(const std::string& aRegion, SlotStoreResult aResult)
  {
    store_.GetPrefix(
      SlotTablePrefix(aRegion),
      [this, aRegion, result = std::move(aResult)](auto aRecords,
                                                   const Error&) mutable {
        if (aRecords) {
          std::vector<SlotTableEntry> entries;
          for (const StoreRecord& record : *aRecords) {
            entries.push_back(
              { record.key_, record.value_, record.modRevision_ });
          }
          int malformed = 0;
          result.rows_ = ParseSlotTable(aRegion, entries, malformed);
          result.outcome_ = StoreOutcome::Done;
          if (malformed > 0) {
            LogEvent(Event::StoreAnswerMalformed, { { "path", "slots" } });
          }
        }
        HandleStoreResult(result);
      });
  }

  void Commit(const SlotAction& aAction, SlotStoreResult aResult)
  {
    const std::string record = SlotRecordKey(aAction.slot_);
    const std::string alive = SlotAliveKey(aAction.slot_);
    StoreTransaction transaction;
    transaction.compares_.push_back({ record, aAction.compareRevision_ });
    transaction.puts_.push_back(
      { record, EncodeSlotRecord(aAction.record_), 0 });
    if (aAction.kind_ == SlotActionKind::Claim) {
      transaction.compares_.push_back({ alive, 0 });
      transaction.puts_.push_back({ alive, "", aAction.lease_ });
    } else if (aAction.kind_ == SlotActionKind::UpdateRecord) {
      transaction.compares_.push_back({ alive, aAction.compareAliveRevision_ });
    } else {
      transaction.deletes_.push_back(alive);
    }
    store_.Commit(
      transaction,
      [this, result = std::move(aResult)](auto aCommit, const Error&) mutable {
        if (aCommit) {
          result.outcome_ =
            aCommit->succeeded_ ? StoreOutcome::Done : StoreOutcome::Refused;
          result.revision_ = aCommit->revision_;
        }
        HandleStoreResult(result);
      });
  }

  StoreClient& store_;
  SlotLeaseManagerHooks hooks_;
  SlotHolder self_;
  SlotLease lease_;
  boost::asio::steady_timer timer_;
  SlotValidity published_;
  // By host name: the incarnation of the linked process, and the listed address
  // of the peer port.
  std::map<std::string, std::string> linkedIncarnations_;
  std::map<std::string, std::string> peerAddresses_;
  TimePoint lastPeerReport_{};
};

SlotLeaseManager::SlotLeaseManager(boost::asio::io_context& aContext,
                                   StoreClient& aStore,
                                   const std::string& aRegion,
                                   SlotHolder aSelf,
                                   SlotLeaseManagerHooks aHooks)
  : impl_(std::make_unique<Impl>(aContext,
                                 aStore,
                                 aRegion,
                                 std::move(aSelf),
                                 std::move(aHooks)))
{
}

SlotLeaseManager::~SlotLeaseManager() = default;

void
SlotLeaseManager::Start()
{
  impl_->Tick();
}

void
SlotLeaseManager::SetConfiguration(const Configuration& aConfiguration)
{
  impl_->lease_.SetLayout(MakeSlotLayout(aConfiguration), BootClock::now());
  impl_->Advance();
}

void
SlotLeaseManager::SetHosts(const std::vector<ListedHost>& aHosts)
{
  std::set<std::string> names;
  impl_->peerAddresses_.clear();
  for (const ListedHost& host : aHosts) {
    names.insert(host.name_);
    impl_->peerAddresses_[host.name_] = host.peersAddress_;
  }
  impl_->lease_.SetHostList(names, BootClock::now());
}

void
SlotLeaseManager::OnLink(const PeerHello& aPeer, bool aUp)
{
  if (aUp) {
    impl_->linkedIncarnations_[aPeer.hostName_] = aPeer.incarnation_;
  } else {
    impl_->linkedIncarnations_.erase(aPeer.hostName_);
  }
}

void
SlotLeaseManager::OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage)
{
  if (aMessage.type_ == PeerMessageType::ReachabilityQuery) {
    if (const auto query = DecodeQuery(aMessage.payload_)) {
      impl_->hooks_.send_(
        aFrom.hostName_,
        EncodeAnswer(impl_->lease_.OnQuery(*query, BootClock::now())));
      return;
    }
  } else if (const auto answer = DecodeAnswer(aMessage.payload_)) {
    // The sender is identified by the hello of the link, not by the message.
    if (answer->incarnation_ == aFrom.incarnation_) {
      impl_->lease_.OnAnswer(*answer, BootClock::now());
      impl_->Advance();
      return;
    }
  }
  LogEvent(Event::PeerMessageMalformed, { { "peer", aFrom.hostName_ } });
}

void
SlotLeaseManager::Release()
{
  impl_->lease_.Release(BootClock::now());
  impl_->Advance();
}

bool
SlotLeaseManager::IsReleased() const
{
  return impl_->lease_.IsReleased();
}

}
