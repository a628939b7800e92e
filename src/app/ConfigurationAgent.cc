#include "app/ConfigurationAgent.h"

#include "app/StoreKeys.h"
#include "base/EventLog.h"
#include "base/Hash.h"
#include "config/DocumentEdit.h"
#include "http/BeastTypes.h"
#include "keys/DisseminationMessages.h"

#include <boost/asio/steady_timer.hpp>

namespace peridotsail {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
// A withdrawal does not depend on the operator's version, so a lost race is
// tried again with the winner's document.
constexpr int kWithdrawalRounds = 5;

// A number that former processes of this host have not used.
std::uint64_t
FirstSequence()
{
  // The top bit stays clear, so the numbers do not wrap around.
  return std::stoull(RandomId().substr(0, 15), nullptr, 16) + 1;
}

}

struct ConfigurationAgent::Impl : std::enable_shared_from_this<Impl>
{
  Impl(boost::asio::io_context& aContext,
       StoreClient& aStore,
       const std::string& aHost,
       const std::string& aRegion,
       ConfigurationAgentHooks aHooks)
    : store_(aStore)
    , hooks_(std::move(aHooks))
    , node_(aHost, aRegion, FirstSequence())
    , timer_(aContext)
  {
  }

  void Tick()
  {
    node_.OnTimer(BootClock::now());
    Carry();
    timer_.expires_after(detail::ToSteady(kTick));
    timer_.async_wait([this](auto aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Carries out what the node decided and publishes what changed.
  void Carry()
  {
    for (NodeIntent& intent : node_.TakeIntents(BootClock::now())) {
      switch (intent.kind_) {
        case NodeIntent::Kind::Tracker:
          CarryTracker(intent.tracker_);
          break;
        case NodeIntent::Kind::SendGossip:
          hooks_.send_(
            intent.peer_,
            { PeerMessageType::Gossip, EncodeGossip(intent.gossip_) });
          break;
        case NodeIntent::Kind::SendWithdrawn:
          hooks_.send_(intent.peer_,
                       { PeerMessageType::WithdrawnKeys,
                         EncodeWithdrawnKeys(intent.withdrawn_) });
          break;
        case NodeIntent::Kind::CommitWithdrawals:
          CommitWithdrawals(intent.withdrawn_);
          break;
      }
    }
    LogReachability();
    Publish();
  }

  void CarryTracker(const TrackerIntent& aIntent)
  {
    switch (aIntent.kind_) {
      case TrackerIntent::Kind::StartWatch:
        StartWatch();
        break;
      case TrackerIntent::Kind::StopWatch:
        StopWatch();
        break;
      case TrackerIntent::Kind::ReadStore:
        ReadStore(aIntent.readId_);
        break;
      case TrackerIntent::Kind::SendGossip:
        break;
      case TrackerIntent::Kind::SendRequest:
        hooks_.send_(
          aIntent.peer_,
          { PeerMessageType::ConfigurationRequest,
            EncodeConfigurationRequest(
              { aIntent.version_, aIntent.hash_, aIntent.whole_ }) });
        break;
      case TrackerIntent::Kind::SendDelta:
        hooks_.send_(aIntent.peer_,
                     { PeerMessageType::ConfigurationDelta, aIntent.bytes_ });
        break;
      case TrackerIntent::Kind::Adopted:
        LogEvent(Event::ConfigurationInForce,
                 { { "version", aIntent.version_ },
                   { "hash", aIntent.hash_ },
                   { "source", aIntent.source_ } });
        Publish();
        hooks_.onConfiguration_(aIntent.snapshot_);
        break;
      case TrackerIntent::Kind::OlderIgnored:
        LogEvent(
          Event::ConfigurationReverted,
          { { "offered", aIntent.version_ }, { "source", aIntent.source_ } });
        break;
      case TrackerIntent::Kind::Refused:
        LogEvent(
          Event::ConfigurationRefused,
          { { "source", aIntent.source_ }, { "detail", aIntent.bytes_ } });
        break;
    }
  }

  void Publish()
  {
    const SnapshotPtr& inForce = node_.InForce();
    const KeyState state{ inForce ? inForce->configuration_ : nullptr,
                          node_.Withdrawn().Ids(),
                          node_.FreshUntil() };
    const bool same = published_ &&
                      published_->configuration_ == state.configuration_ &&
                      *published_->withdrawn_ == *state.withdrawn_ &&
                      published_->freshUntil_ == state.freshUntil_;
    if (!same && hooks_.onKeys_(state)) {
      published_ = state;
    }
    const bool fresh = BootClock::now() < state.freshUntil_;
    if (fresh != fresh_) {
      fresh_ = fresh;
      LogEvent(fresh ? Event::HostConfirmed : Event::HostIsolated);
    }
  }

  void LogReachability()
  {
    const std::optional<bool> reachable = node_.StoreReachable();
    if (reachable != loggedReachable_ && reachable) {
      if (loggedReachable_ || !*reachable) {
        LogEvent(*reachable ? Event::StoreReachable : Event::StoreUnreachable);
      }
      loggedReachable_ = reachable;
    }
  }

  void ReadStore(std::uint64_t aReadId)
  {
    store_.Get(
      kConfigurationKey,
      [this, aReadId, weak = weak_from_this()](auto aRecords, const Error&) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (!aRecords) {
          node_.OnReadFailed(BootClock::now(), aReadId);
        } else {
          std::optional<std::string> record;
          if (!aRecords->empty()) {
            record = aRecords->front().value_;
          }
          node_.OnReadResult(BootClock::now(), aReadId, record);
        }
        Carry();
      });
  }

  void StartWatch()
  {
    StopWatch();
    const std::uint64_t number = ++watchNumber_;
    StoreWatchHooks hooks;
    hooks.onRecord_ =
      [this, number, weak = weak_from_this()](const StoreRecord& aRecord) {
        const auto self = weak.lock();
        if (self && number == watchNumber_ && !aRecord.value_.empty()) {
          node_.OnWatchEvent(aRecord.value_);
          Carry();
        }
      };
    hooks.onEnd_ = [this, number, weak = weak_from_this()](const Error&) {
      const auto self = weak.lock();
      if (self && number == watchNumber_) {
        node_.OnWatchEnded(BootClock::now());
        Carry();
      }
    };
    watch_ = store_.Watch(kConfigurationKey, hooks);
  }

  void StopWatch()
  {
    ++watchNumber_;
    if (watch_) {
      watch_->Cancel();
      watch_.reset();
    }
  }

  void OnPeerMessage(const PeerHello& aFrom, const PeerMessage& aMessage)
  {
    const std::string& peer = aFrom.hostName_;
    bool valid = true;
    if (aMessage.type_ == PeerMessageType::Gossip) {
      const auto gossip = DecodeGossip(aMessage.payload_);
      valid = gossip.has_value();
      if (valid) {
        node_.OnGossip(BootClock::now(), peer, *gossip);
      }
    } else if (aMessage.type_ == PeerMessageType::ConfigurationRequest) {
      const auto request = DecodeConfigurationRequest(aMessage.payload_);
      valid = request.has_value();
      if (valid) {
        node_.OnRequest(
          peer, request->version_, request->hash_, request->whole_);
      }
    } else if (aMessage.type_ == PeerMessageType::ConfigurationDelta) {
      node_.OnDelta(BootClock::now(), peer, aMessage.payload_);
    } else if (aMessage.type_ == PeerMessageType::WithdrawnKeys) {
      const auto keys = DecodeWithdrawnKeys(aMessage.payload_);
      valid = keys.has_value();
      if (valid) {
        node_.OnWithdrawnKeys(*keys);
      }
    }
    if (!valid) {
      LogEvent(Event::PeerMessageMalformed, { { "peer", peer } });
    }
    Carry();
  }

  std::int64_t VersionInForce() const
  {
    return node_.InForce() ? node_.InForce()->version_ : 0;
  }

  void Apply(ChangeRequest aRequest, const ChangeCallback& aCallback)
  {
    aRequest.attempt_ = RandomId();
    aRequest.inForceVersion_ = VersionInForce();
    Step(std::make_shared<ConfigurationChange>(std::move(aRequest)), aCallback);
  }

  using ChangePtr = std::shared_ptr<ConfigurationChange>;

  void Step(const ChangePtr& aChange, const ChangeCallback& aCallback)
  {
    const auto next = [self = shared_from_this(), aChange, aCallback] {
      self->Step(aChange, aCallback);
    };
    switch (aChange->Step()) {
      case ChangeStep::Read:
        store_.Get(kConfigurationKey,
                   [aChange, next](auto aRecords, const Error&) {
                     if (!aRecords) {
                       aChange->OnStepFailed();
                     } else if (aRecords->empty()) {
                       aChange->OnRead({});
                     } else {
                       aChange->OnRead({ aRecords->front().value_,
                                         aRecords->front().modRevision_ });
                     }
                     next();
                   });
        break;
      case ChangeStep::Write:
        WriteChange(aChange, next);
        break;
      case ChangeStep::ReadHistory:
        store_.Get(kConfigurationHistoryPrefix +
                     std::to_string(aChange->Write().version_),
                   [aChange, next](auto aRecords, const Error&) {
                     if (!aRecords) {
                       aChange->OnStepFailed();
                     } else if (aRecords->empty()) {
                       aChange->OnHistory(std::nullopt);
                     } else {
                       aChange->OnHistory(aRecords->front().value_);
                     }
                     next();
                   });
        break;
      case ChangeStep::Done:
        FinishChange(aChange->Outcome(), aCallback);
        break;
    }
  }

  void WriteChange(const ChangePtr& aChange, const std::function<void()>& aNext)
  {
    const ConfigurationWrite& write = aChange->Write();
    StoreTransaction transaction;
    transaction.compares_ = { { kConfigurationKey, write.modRevision_ } };
    transaction.puts_ = { { kConfigurationKey, write.record_, 0 },
                          { kConfigurationHistoryPrefix +
                              std::to_string(write.version_),
                            write.record_,
                            0 } };
    store_.Commit(transaction, [aChange, aNext](auto aResult, const Error&) {
      if (aResult) {
        aChange->OnWritten(aResult->succeeded_);
      } else {
        aChange->OnStepFailed();
      }
      aNext();
    });
  }

  void FinishChange(const ChangeOutcome& aOutcome,
                    const ChangeCallback& aCallback)
  {
    if (aOutcome.result_ == ChangeResult::Committed) {
      LogEvent(Event::ConfigurationCommitted,
               { { "version", aOutcome.record_.version_ },
                 { "author", aOutcome.record_.author_ } });
      node_.OnCommitted(aOutcome.record_);
      Carry();
    } else if (aOutcome.result_ == ChangeResult::Conflict) {
      LogEvent(Event::ConfigurationConflict,
               { { "stored", aOutcome.record_.version_ },
                 { "author", aOutcome.record_.author_ } });
    }
    aCallback(aOutcome);
  }

  void CommitWithdrawals(const std::vector<WithdrawnKey>& aKeys)
  {
    std::vector<std::string> ids;
    ids.reserve(aKeys.size());
    for (const WithdrawnKey& key : aKeys) {
      ids.push_back(key.id_);
    }
    WithdrawInStore("store outage",
                    ids,
                    kWithdrawalRounds,
                    [](const std::optional<ChangeOutcome>&) {});
  }

  using StoreCallback =
    std::function<void(const std::optional<ChangeOutcome>&)>;

  // Reads the stored document, withdraws the keys in it and commits.
  void WithdrawInStore(const std::string& aAuthor,
                       const std::vector<std::string>& aIds,
                       int aRounds,
                       const StoreCallback& aCallback)
  {
    store_.Get(kConfigurationKey,
               [self = shared_from_this(), aAuthor, aIds, aRounds, aCallback](
                 auto aRecords, const Error&) {
                 const auto record = aRecords && !aRecords->empty()
                                       ? ParseRecord(aRecords->front().value_)
                                       : std::nullopt;
                 const auto document = record
                                         ? WithdrawKeys(record->document_, aIds)
                                         : std::nullopt;
                 if (!document) {
                   aCallback(std::nullopt);
                   return;
                 }
                 self->Apply({ aAuthor, "", *document, record->version_, 0 },
                             [=](const ChangeOutcome& aOutcome) {
                               const bool again =
                                 aOutcome.result_ == ChangeResult::Conflict &&
                                 aRounds > 1;
                               if (again) {
                                 self->WithdrawInStore(
                                   aAuthor, aIds, aRounds - 1, aCallback);
                               } else {
                                 aCallback(aOutcome);
                               }
                             });
               });
  }

  void Withdraw(const std::string& aAuthor,
                const std::vector<std::string>& aIds,
                const WithdrawalCallback& aCallback)
  {
    WithdrawInStore(
      aAuthor,
      aIds,
      kWithdrawalRounds,
      [self = shared_from_this(), aIds, aCallback](
        const std::optional<ChangeOutcome>& aChange) {
        WithdrawalOutcome outcome;
        outcome.change_ = aChange;
        const bool failed =
          !aChange || aChange->result_ == ChangeResult::StoreUnreachable ||
          aChange->result_ == ChangeResult::Unknown;
        if (failed) {
          outcome.disseminating_ = true;
          for (const std::string& id : aIds) {
            outcome.disseminating_ =
              self->node_.WithdrawDuringOutage(BootClock::now(), id) &&
              outcome.disseminating_;
          }
          self->Carry();
        }
        aCallback(outcome);
      });
  }

  StoreClient& store_;
  ConfigurationAgentHooks hooks_;
  ConfigurationNode node_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpStream> watch_;
  std::uint64_t watchNumber_ = 0;
  std::optional<KeyState> published_;
  std::optional<bool> loggedReachable_;
  bool fresh_ = false;
};

ConfigurationAgent::ConfigurationAgent(boost::asio::io_context& aContext,
                                       StoreClient& aStore,
                                       const std::string& aHost,
                                       const std::string& aRegion,
                                       ConfigurationAgentHooks aHooks)
  : impl_(std::make_shared<Impl>(aContext,
                                 aStore,
                                 aHost,
                                 aRegion,
                                 std::move(aHooks)))
{
}

ConfigurationAgent::~ConfigurationAgent() = default;

void
ConfigurationAgent::Start()
{
  impl_->Tick();
}

void
ConfigurationAgent::SetHosts(const std::vector<TrackerHost>& aHosts)
{
  impl_->node_.SetHosts(BootClock::now(), aHosts);
  impl_->Carry();
}

void
ConfigurationAgent::OnPeerMessage(const PeerHello& aFrom,
                                  const PeerMessage& aMessage)
{
  impl_->OnPeerMessage(aFrom, aMessage);
}

void
ConfigurationAgent::Apply(ChangeRequest aRequest,
                          const ChangeCallback& aCallback)
{
  impl_->Apply(std::move(aRequest), aCallback);
}

void
ConfigurationAgent::Withdraw(const std::string& aAuthor,
                             const std::vector<std::string>& aIds,
                             const WithdrawalCallback& aCallback)
{
  impl_->Withdraw(aAuthor, aIds, aCallback);
}

ConfigurationNode&
ConfigurationAgent::Node()
{
  return impl_->node_;
}

}
