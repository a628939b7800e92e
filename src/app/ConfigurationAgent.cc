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

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// A withdrawal applies to any version of the document, so after a version
// conflict it is retried on the document that was committed first.
constexpr int kMaxWithdrawalAttempts = 5;

// Returns a sequence number that earlier processes of this host have not used.
std::uint64_t
MakeFirstSequence()
{
  // 15 hexadecimal digits leave the upper bits clear, so that the sequence
  // numbers do not wrap around.
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
    , node_(aHost, aRegion, MakeFirstSequence())
    , timer_(aContext)
  {
  }

  void Tick()
  {
    node_.OnTimer(BootClock::now());
    ExecuteActions();
    timer_.expires_after(detail::ToSteady(kTickInterval));
    timer_.async_wait([this](auto aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Executes the node's actions and publishes the resulting key state.
  void ExecuteActions()
  {
    for (NodeAction& action : node_.TakeActions(BootClock::now())) {
      switch (action.kind_) {
        case NodeAction::Kind::Tracker:
          ExecuteTrackerAction(action.tracker_);
          break;
        case NodeAction::Kind::SendGossip:
          hooks_.send_(
            action.peer_,
            { PeerMessageType::Gossip, EncodeGossip(action.gossip_) });
          break;
        case NodeAction::Kind::SendWithdrawn:
          hooks_.send_(action.peer_,
                       { PeerMessageType::WithdrawnKeys,
                         EncodeWithdrawnKeys(action.withdrawn_) });
          break;
        case NodeAction::Kind::CommitWithdrawals:
          CommitWithdrawals(action.withdrawn_);
          break;
      }
    }
    LogStoreReachability();
    PublishKeyState();
  }

  void ExecuteTrackerAction(const TrackerAction& aAction)
  {
    switch (aAction.kind_) {
      case TrackerAction::Kind::StartWatch:
        StartWatch();
        break;
      case TrackerAction::Kind::StopWatch:
        StopWatch();
        break;
      case TrackerAction::Kind::ReadStore:
        ReadStore(aAction.readId_);
        break;
      case TrackerAction::Kind::SendGossip:
        break;
      case TrackerAction::Kind::SendRequest:
        hooks_.send_(
          aAction.peer_,
          { PeerMessageType::ConfigurationRequest,
            EncodeConfigurationRequest(
              { aAction.version_, aAction.hash_, aAction.whole_ }) });
        break;
      case TrackerAction::Kind::SendDelta:
        hooks_.send_(aAction.peer_,
                     { PeerMessageType::ConfigurationDelta, aAction.bytes_ });
        break;
      case TrackerAction::Kind::Adopted:
        LogEvent(Event::ConfigurationInForce,
                 { { "version", aAction.version_ },
                   { "hash", aAction.hash_ },
                   { "source", aAction.source_ } });
        PublishKeyState();
        hooks_.onConfiguration_(aAction.snapshot_);
        break;
      case TrackerAction::Kind::OlderIgnored:
        LogEvent(
          Event::ConfigurationReverted,
          { { "offered", aAction.version_ }, { "source", aAction.source_ } });
        break;
      case TrackerAction::Kind::Refused:
        LogEvent(
          Event::ConfigurationRefused,
          { { "source", aAction.source_ }, { "detail", aAction.bytes_ } });
        break;
    }
  }

  void PublishKeyState()
  {
    const SnapshotPtr& inForce = node_.InForce();
    const KeyState state{ inForce ? inForce->configuration_ : nullptr,
                          node_.Withdrawn().Ids(),
                          node_.FreshUntil() };
    const bool unchanged = published_ &&
                           published_->configuration_ == state.configuration_ &&
                           *published_->withdrawn_ == *state.withdrawn_ &&
                           published_->freshUntil_ == state.freshUntil_;
    if (!unchanged && hooks_.onKeys_(state)) {
      published_ = state;
    }
    const bool fresh = BootClock::now() < state.freshUntil_;
    if (fresh != loggedFresh_) {
      loggedFresh_ = fresh;
      LogEvent(fresh ? Event::HostConfirmed : Event::HostIsolated);
    }
  }

  void LogStoreReachability()
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
        ExecuteActions();
      });
  }

  void StartWatch()
  {
    StopWatch();
    const std::uint64_t watchId = ++watchId_;
    StoreWatchHooks hooks;
    hooks.onRecord_ =
      [this, watchId, weak = weak_from_this()](const StoreRecord& aRecord) {
        const auto self = weak.lock();
        if (self && watchId == watchId_ && !aRecord.value_.empty()) {
          node_.OnWatchEvent(aRecord.value_);
          ExecuteActions();
        }
      };
    hooks.onEnd_ = [this, watchId, weak = weak_from_this()](const Error&) {
      const auto self = weak.lock();
      if (self && watchId == watchId_) {
        node_.OnWatchEnded(BootClock::now());
        ExecuteActions();
      }
    };
    watch_ = store_.Watch(kConfigurationKey, hooks);
  }

  void StopWatch()
  {
    ++watchId_;
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
    ExecuteActions();
  }

  std::int64_t VersionInForce() const
  {
    return node_.InForce() ? node_.InForce()->version_ : 0;
  }

  void Apply(ChangeRequest aRequest, const ChangeCallback& aCallback)
  {
    aRequest.attempt_ = RandomId();
    aRequest.inForceVersion_ = VersionInForce();
    AdvanceChange(std::make_shared<ConfigurationChange>(std::move(aRequest)),
                  aCallback);
  }

  using ChangePtr = std::shared_ptr<ConfigurationChange>;

  void AdvanceChange(const ChangePtr& aChange, const ChangeCallback& aCallback)
  {
    const auto next = [self = shared_from_this(), aChange, aCallback] {
      self->AdvanceChange(aChange, aCallback);
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
      ExecuteActions();
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
    CommitWithdrawal("store outage",
                     ids,
                     kMaxWithdrawalAttempts,
                     [](const std::optional<ChangeOutcome>&) {});
  }

  using CommitCallback =
    std::function<void(const std::optional<ChangeOutcome>&)>;

  // Reads the stored document, marks the keys as withdrawn and commits it.
  // Retries on a version conflict while attempts are left.
  void CommitWithdrawal(const std::string& aAuthor,
                        const std::vector<std::string>& aIds,
                        int aAttemptsLeft,
                        const CommitCallback& aCallback)
  {
    store_.Get(
      kConfigurationKey,
      [self = shared_from_this(), aAuthor, aIds, aAttemptsLeft, aCallback](
        auto aRecords, const Error&) {
        const auto record = aRecords && !aRecords->empty()
                              ? ParseRecord(aRecords->front().value_)
                              : std::nullopt;
        const auto document =
          record ? WithdrawKeys(record->document_, aIds) : std::nullopt;
        if (!document) {
          aCallback(std::nullopt);
          return;
        }
        self->Apply({ aAuthor, "", *document, record->version_, 0 },
                    [=](const ChangeOutcome& aOutcome) {
                      const bool retry =
                        aOutcome.result_ == ChangeResult::Conflict &&
                        aAttemptsLeft > 1;
                      if (retry) {
                        self->CommitWithdrawal(
                          aAuthor, aIds, aAttemptsLeft - 1, aCallback);
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
    CommitWithdrawal(
      aAuthor,
      aIds,
      kMaxWithdrawalAttempts,
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
          self->ExecuteActions();
        }
        aCallback(outcome);
      });
  }

  StoreClient& store_;
  ConfigurationAgentHooks hooks_;
  ConfigurationNode node_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpStream> watch_;
  std::uint64_t watchId_ = 0;
  std::optional<KeyState> published_;
  std::optional<bool> loggedReachable_;
  bool loggedFresh_ = false;
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
  impl_->ExecuteActions();
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
