#include "keys/testing/FleetSimulation.h"

#include "config/DocumentEdit.h"

#include <utility>

namespace peridotsail::testing {

namespace {

constexpr Duration kTick = 100ms;
constexpr Duration kCallTimeout = 1s;
const char* const kRegions[] = { "eu-west", "eu-west",  "eu-west", "ap-east",
                                 "ap-east", "sa-south", "sa-south" };

}

struct FleetSimulation::RunningChange
{
  ConfigurationChange change_;
  std::size_t host_;
  int incarnation_;
  ChangeDone done_;
};

FleetSimulation::FleetSimulation(unsigned aSeed)
  : random_(aSeed)
  , hosts_(kHosts)
{
  store_.upSince_ = now_;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts_[i].name_ = "host-" + std::to_string(i);
    Restart(i);
  }
}

void
FleetSimulation::Run(Duration aTime, const std::function<void()>& aStep)
{
  const TimePoint end = now_ + aTime;
  while (now_ < end) {
    const TimePoint next = now_ + kTick;
    while (!events_.empty() && events_.top().at_ <= next) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at_);
      event.run_();
    }
    now_ = next;
    for (std::size_t i = 0; i < kHosts; ++i) {
      FakeHost& host = hosts_[i];
      if (!host.paused_) {
        host.node_->OnTimer(now_);
        ExecuteActions(i);
      }
      const SnapshotPtr& inForce = host.node_->InForce();
      host.versions_[now_] = inForce ? inForce->version_ : 0;
    }
    aStep();
  }
}

bool
FleetSimulation::IsConnected(const FakeHost& aHost) const
{
  return !aHost.paused_ && aHost.partition_ == 0;
}

bool
FleetSimulation::Accepts(const FakeHost& aHost, int aKey) const
{
  const std::string number = std::to_string(aKey);
  const std::string header = "Bearer k" + number + ".secret" + number;
  return !aHost.paused_ && !aHost.table_.Check(now_, header).refusal_;
}

bool
FleetSimulation::IsFresh(const FakeHost& aHost) const
{
  return aHost.table_.Check(now_, "").refusal_ == ErrorKind::Unauthenticated;
}

void
FleetSimulation::Schedule(Duration aDelay, std::function<void()> aRun)
{
  events_.push({ now_ + aDelay, ++lastEvent_, std::move(aRun) });
}

void
FleetSimulation::Deliver(Duration aDelay,
                         std::size_t aHost,
                         std::function<void()> aRun)
{
  const int incarnation = hosts_[aHost].incarnation_;
  Schedule(aDelay, [this, aHost, incarnation, run = std::move(aRun)] {
    FakeHost& host = hosts_[aHost];
    if (host.incarnation_ != incarnation) {
      return;
    }
    if (host.paused_) {
      host.buffer_.push_back(run);
      return;
    }
    run();
    ExecuteActions(aHost);
  });
}

Duration
FleetSimulation::RandomDuration(Duration aLow, Duration aHigh)
{
  return std::uniform_int_distribution<Duration::rep>(aLow.count(),
                                                      aHigh.count())(random_) *
         Duration(1);
}

Duration
FleetSimulation::StoreDelay()
{
  return store_.slow_ ? RandomDuration(200ms, 3s) : RandomDuration(2ms, 60ms);
}

bool
FleetSimulation::ReachesStore(std::size_t aHost) const
{
  const FakeHost& host = hosts_[aHost];
  return !store_.down_ && !host.storeUnreachable_ && host.partition_ == 0;
}

void
FleetSimulation::UpdateConnectedSince(FakeHost& aHost, bool aWasConnected)
{
  if (!aWasConnected && IsConnected(aHost)) {
    aHost.connectedSince_ = now_;
  }
}

void
FleetSimulation::Pause(std::size_t aHost)
{
  hosts_[aHost].paused_ = true;
}

void
FleetSimulation::Resume(std::size_t aHost)
{
  FakeHost& host = hosts_[aHost];
  const bool before = IsConnected(host);
  host.paused_ = false;
  UpdateConnectedSince(host, before);
  for (const auto& run : std::exchange(host.buffer_, {})) {
    run();
    ExecuteActions(aHost);
  }
}

void
FleetSimulation::Restart(std::size_t aHost)
{
  FakeHost& host = hosts_[aHost];
  ++host.incarnation_;
  host.paused_ = false;
  host.watching_ = false;
  host.buffer_.clear();
  host.versions_ = { { now_, 0 } };
  host.connectedSince_ = now_;
  host.table_ = KeyTable();
  host.node_ = std::make_unique<ConfigurationNode>(
    host.name_, kRegions[aHost], std::uint64_t{ random_() } << 20);
  std::vector<TrackerHost> list;
  for (std::size_t i = 0; i < kHosts; ++i) {
    list.push_back({ "host-" + std::to_string(i), kRegions[i] });
  }
  host.node_->SetHosts(now_, list);
  ExecuteActions(aHost);
}

void
FleetSimulation::SetPartition(std::size_t aHost, int aPartition)
{
  FakeHost& host = hosts_[aHost];
  const bool before = IsConnected(host);
  host.partition_ = aPartition;
  UpdateConnectedSince(host, before);
}

void
FleetSimulation::SetStoreDown(bool aOut)
{
  store_.down_ = aOut;
  store_.upSince_ = now_;
  for (std::size_t i = 0; aOut && i < kHosts; ++i) {
    // Some watches end; the others stay open and deliver nothing more.
    if (hosts_[i].watching_ && OneIn(2)) {
      hosts_[i].watching_ = false;
      Deliver(10ms, i, [this, i] { hosts_[i].node_->OnWatchEnded(now_); });
    }
    hosts_[i].watchSilent_ = true;
  }
}

void
FleetSimulation::SilenceWatches()
{
  for (FakeHost& host : hosts_) {
    host.watchSilent_ = true;
  }
}

void
FleetSimulation::InjectRandomFault()
{
  const std::size_t host = random_() % kHosts;
  const Duration time = RandomDuration(200ms, 20s);
  FakeHost& target = hosts_[host];
  switch (random_() % 8) {
    case 0:
    case 1:
      if (!target.paused_) {
        Pause(host);
        const int incarnation = target.incarnation_;
        Schedule(time, [this, host, incarnation] {
          if (hosts_[host].incarnation_ == incarnation) {
            Resume(host);
          }
        });
      }
      break;
    case 2:
      // One to three of the seven hosts are partitioned together.
      for (std::size_t i = 0; i < 1 + random_() % 3; ++i) {
        const std::size_t member = (host + i) % kHosts;
        SetPartition(member, 1);
        Schedule(time, [this, member] { SetPartition(member, 0); });
      }
      break;
    case 3:
      SetStoreDown(true);
      Schedule(time, [this] { SetStoreDown(false); });
      break;
    case 4:
      store_.slow_ = true;
      Schedule(time, [this] { store_.slow_ = false; });
      break;
    case 5:
      SilenceWatches();
      break;
    case 6:
      store_.servesStale_ = true;
      target.storeUnreachable_ = true;
      Schedule(time, [this, host] {
        store_.servesStale_ = false;
        hosts_[host].storeUnreachable_ = false;
      });
      break;
    default:
      Restart(host);
      break;
  }
}

void
FleetSimulation::Publish(std::size_t aHost)
{
  FakeHost& host = hosts_[aHost];
  host.table_.SetWithdrawn(host.node_->Withdrawn().Ids());
  host.table_.SetFreshUntil(host.node_->FreshUntil());
}

void
FleetSimulation::ExecuteActions(std::size_t aHost)
{
  FakeHost& host = hosts_[aHost];
  for (NodeAction& action : host.node_->TakeActions(now_)) {
    switch (action.kind_) {
      case NodeAction::Kind::Tracker:
        ExecuteTrackerAction(aHost, action.tracker_);
        break;
      case NodeAction::Kind::SendGossip:
        Send(
          aHost,
          action.peer_,
          [this, from = host.name_, gossip = action.gossip_](
            ConfigurationNode& aNode) { aNode.OnGossip(now_, from, gossip); });
        break;
      case NodeAction::Kind::SendWithdrawn:
        Send(aHost,
             action.peer_,
             [keys = action.withdrawn_](ConfigurationNode& aNode) {
               aNode.OnWithdrawnKeys(keys);
             });
        break;
      case NodeAction::Kind::CommitWithdrawals:
        CommitWithdrawals(aHost, action.withdrawn_);
        break;
    }
  }
  Publish(aHost);
}

void
FleetSimulation::ExecuteTrackerAction(std::size_t aHost,
                                      const TrackerAction& aAction)
{
  using Kind = TrackerAction::Kind;
  FakeHost& host = hosts_[aHost];
  const std::string from = host.name_;
  if (aAction.kind_ == Kind::StartWatch || aAction.kind_ == Kind::StopWatch) {
    host.watching_ = aAction.kind_ == Kind::StartWatch;
    // One of four new watches never delivers an event.
    host.watchSilent_ = OneIn(4);
  } else if (aAction.kind_ == Kind::ReadStore) {
    ReadStore(aHost, aAction.readId_);
  } else if (aAction.kind_ == Kind::Adopted) {
    host.table_.SetConfiguration(aAction.snapshot_->configuration_);
  } else if (aAction.kind_ == Kind::SendRequest) {
    Send(aHost, aAction.peer_, [from, aAction](ConfigurationNode& aNode) {
      aNode.OnRequest(from, aAction.version_, aAction.hash_, aAction.whole_);
    });
  } else if (aAction.kind_ == Kind::SendDelta) {
    ++(aAction.whole_ ? sentFullDocuments_ : sentDeltas_);
    std::string bytes = aAction.bytes_;
    if (OneIn(50)) {
      bytes[random_() % bytes.size()] ^= 1;
    }
    Send(aHost, aAction.peer_, [this, from, bytes](ConfigurationNode& aNode) {
      aNode.OnDelta(now_, from, bytes);
    });
  }
}

void
FleetSimulation::Send(std::size_t aFrom,
                      const std::string& aTo,
                      std::function<void(ConfigurationNode&)> aReceive)
{
  const std::size_t to = std::stoul(aTo.substr(5));
  // One of a hundred messages is lost, as when a ring buffer is full.
  if (hosts_[aFrom].partition_ != hosts_[to].partition_ || OneIn(100)) {
    return;
  }
  Deliver(
    RandomDuration(1ms, 60ms), to, [this, to, receive = std::move(aReceive)] {
      receive(*hosts_[to].node_);
    });
}

void
FleetSimulation::ReadStore(std::size_t aHost, std::uint64_t aReadId)
{
  const bool refuses = store_.down_ && OneIn(2);
  if (!ReachesStore(aHost)) {
    if (refuses) {
      Deliver(1ms, aHost, [this, aHost, aReadId] {
        hosts_[aHost].node_->OnReadFailed(now_, aReadId);
      });
    }
    return;
  }
  const Duration delay = StoreDelay();
  Schedule(delay / 2, [this, aHost, aReadId, delay] {
    const bool old = store_.servesStale_ && store_.previous_ && OneIn(3);
    const std::optional<std::string> value =
      old ? store_.previous_ : store_.current_.record_;
    Deliver(delay / 2, aHost, [this, aHost, aReadId, value] {
      hosts_[aHost].node_->OnReadResult(now_, aReadId, value);
    });
  });
}

bool
FleetSimulation::ApplyWrite(const ConfigurationWrite& aWrite)
{
  if (aWrite.modRevision_ != store_.current_.modRevision_) {
    return false;
  }
  store_.previous_ = store_.current_.record_;
  store_.current_ = { aWrite.record_, store_.current_.modRevision_ + 1 };
  store_.history_[aWrite.version_] = aWrite.record_;
  store_.version_ = aWrite.version_;
  for (std::size_t i = 0; i < kHosts; ++i) {
    FakeHost& host = hosts_[i];
    if (host.watching_ && !host.watchSilent_ && ReachesStore(i)) {
      const bool old = store_.servesStale_ && store_.previous_ && OneIn(3);
      Deliver(StoreDelay(),
              i,
              [this, i, value = old ? *store_.previous_ : aWrite.record_] {
                hosts_[i].node_->OnWatchEvent(value);
              });
    }
  }
  return true;
}

std::string
FleetSimulation::StoredDocument() const
{
  const auto record = store_.current_.record_
                        ? ParseRecord(*store_.current_.record_)
                        : std::nullopt;
  return record ? record->document_ : "";
}

void
FleetSimulation::Commit(std::size_t aHost,
                        ChangeRequest aRequest,
                        ChangeDone aDone)
{
  StepChange(std::make_shared<RunningChange>(
    RunningChange{ ConfigurationChange(std::move(aRequest)),
                   aHost,
                   hosts_[aHost].incarnation_,
                   std::move(aDone) }));
}

void
FleetSimulation::StepChange(const std::shared_ptr<RunningChange>& aChange)
{
  ConfigurationChange& change = aChange->change_;
  const std::size_t host = aChange->host_;
  if (change.Step() == ChangeStep::Done) {
    if (change.Outcome().result_ == ChangeResult::Committed) {
      hosts_[host].node_->OnCommitted(change.Outcome().record_);
    }
    aChange->done_(change.Outcome());
    return;
  }
  if (!ReachesStore(host)) {
    Deliver(kCallTimeout, host, [this, aChange] {
      aChange->change_.OnStepFailed();
      StepChange(aChange);
    });
    return;
  }
  const Duration delay = StoreDelay();
  Schedule(delay / 2, [this, aChange, host, delay] {
    ConfigurationChange& step = aChange->change_;
    std::function<void()> answer;
    if (step.Step() == ChangeStep::Read) {
      answer = [&step, stored = store_.current_] { step.OnRead(stored); };
    } else if (step.Step() == ChangeStep::Write) {
      const bool written = ApplyWrite(step.Write());
      answer = [&step, written] { step.OnWritten(written); };
    } else {
      const auto found = store_.history_.find(step.Write().version_);
      std::optional<std::string> record;
      if (found != store_.history_.end()) {
        record = found->second;
      }
      answer = [&step, record] { step.OnHistory(record); };
    }
    if (OneIn(8)) {
      answer = [&step] { step.OnStepFailed(); };
    }
    Deliver(delay / 2, host, [this, aChange, answer] {
      answer();
      StepChange(aChange);
    });
  });
}

void
FleetSimulation::CommitWithdrawals(std::size_t aHost,
                                   const std::vector<WithdrawnKey>& aKeys)
{
  // The document is read without faults; the write is subject to them.
  std::vector<std::string> ids;
  ids.reserve(aKeys.size());
  for (const WithdrawnKey& key : aKeys) {
    ids.push_back(key.id_);
  }
  const auto document = WithdrawKeys(StoredDocument(), ids);
  if (document) {
    Commit(aHost,
           { "outage",
             std::to_string(random_()),
             *document,
             store_.version_,
             hosts_[aHost].node_->InForce()->version_ },
           [](const ChangeOutcome&) {});
  }
}

}
