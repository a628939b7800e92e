#include "app/EntryHost.h"

#include "app/BudgetKeeper.h"
#include "app/ConfigurationAgent.h"
#include "app/ConfigurationApi.h"
#include "app/HostDirectory.h"
#include "app/OnceTransport.h"
#include "app/OperatorServer.h"
#include "app/PlatformReader.h"
#include "app/SlotDirectory.h"
#include "app/SlotKeeper.h"
#include "app/Snapshots.h"
#include "app/TrafficHooks.h"
#include "base/DutyThread.h"
#include "base/EventLog.h"
#include "base/Hash.h"
#include "http/BeastTypes.h"
#include "peer/PeerNode.h"
#include "proxy/CallerServer.h"
#include "proxy/RequestPipeline.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

constexpr std::size_t kRingCapacity = 16 << 10;

// How often a stopping host looks for requests in flight.
constexpr Duration kDrainCheck = std::chrono::milliseconds(20);

// How long a stopping host waits for the release of its slot. Without it the
// slot is free after its lease and the guard time.
constexpr Duration kReleaseLimit = std::chrono::seconds(4);

// How often a leaving host tells its peers so.
constexpr Duration kLeavingInterval = std::chrono::seconds(1);

ListedHost
SelfOf(const Settings& aSettings)
{
  const auto text = [](const Address& aAddress) {
    return aAddress.ip_ + ":" + std::to_string(aAddress.port_);
  };
  ListedHost self;
  self.name_ = aSettings.hostName_;
  self.region_ = aSettings.region_;
  self.failureDomain_ = aSettings.failureDomain_;
  self.callersAddress_ = text(aSettings.callers_);
  self.peersAddress_ = text(aSettings.peers_);
  self.operatorsAddress_ = text(aSettings.operators_);
  return self;
}

// The hosts that take part in the dissemination of configurations.
std::vector<TrackerHost>
LiveHosts(const std::vector<ListedHost>& aHosts)
{
  std::vector<TrackerHost> live;
  for (const ListedHost& host : aHosts) {
    if (!host.leaving_) {
      live.push_back({ host.name_, host.region_ });
    }
  }
  return live;
}

bool
IsForAgent(PeerMessageType aType)
{
  return aType == PeerMessageType::Gossip ||
         aType == PeerMessageType::ConfigurationRequest ||
         aType == PeerMessageType::ConfigurationDelta ||
         aType == PeerMessageType::WithdrawnKeys;
}

}

struct EntryHost::Impl
{
  explicit Impl(Settings aSettings);
  ~Impl();

  bool Start(Error& aError);
  int Run();

  PeerHello Hello() const;
  PeerOptions MakePeerOptions() const;
  PeerHooks MakePeerHooks();
  RelayHooks MakeRelayHooks();
  PipelineHooks MakePipelineHooks();
  PlatformReaderHooks MakePlatformHooks();
  ConfigurationAgentHooks MakeAgentHooks();
  SlotKeeperHooks MakeSlotHooks();
  SlotDirectoryHooks MakeSlotDirectoryHooks();
  CallerServerOptions MakeCallerOptions() const;
  void AddOperatorPaths();
  nlohmann::json Status() const;
  void OnPeerMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  void PostToAgent(const PeerHello& aFrom, PeerMessage aMessage);
  void PostToTraffic(DutyThread::Task aTask);
  void PostToPlatform(DutyThread::Task aTask);
  void ReleaseSlot();
  void StopThreads();

  // Graceful shutdown, on the main thread.
  void OnSignal();
  void AnnounceLeaving();
  void StopAccepting();
  void WaitForRequests();
  bool IsIdle();
  bool IsSlotReleased();
  void End(int aCode);

  Settings settings_;
  std::string incarnation_;
  Metrics metrics_;
  Snapshot<Configuration> configuration_;
  std::atomic<TimePoint> freshUntil_{ TimePoint::min() };
  Snapshot<SlotValidity> slot_;

  DutyThread traffic_;
  DutyThread peer_;
  DutyThread platform_;
  DutyThread operator_;

  // Owned by the traffic thread.
  HostDirectory directory_;
  BudgetKeeper budgets_;
  SlotDirectory slotDirectory_;
  BackendDispatcher backends_;
  TrafficHooks hooks_;

  PeerNode peerNode_;
  RelayNode relays_;
  RequestPipeline pipeline_;
  CallerServer callers_;
  PlatformReader platformReader_;
  ConfigurationAgent agent_;
  OnceTransport once_;
  // Owned by the platform thread.
  SlotKeeper slotKeeper_;
  OperatorServer operatorServer_;
  ConfigurationApi configurationApi_;

  // The main thread's own loop: signals and the shutdown.
  boost::asio::io_context main_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer leavingTimer_;
  bool draining_ = false;
  TimePoint drainEnd_;
  std::optional<TimePoint> releaseEnd_;
  int exitCode_ = 0;
};

EntryHost::Impl::Impl(Settings aSettings)
  : settings_(std::move(aSettings))
  , incarnation_(RandomId())
  , traffic_("traffic", kRingCapacity)
  , peer_("peer", kRingCapacity)
  , platform_("platform", kRingCapacity)
  , operator_("operator", kRingCapacity)
  , directory_(SelfOf(settings_))
  , budgets_(traffic_.Context(),
             Hello(),
             metrics_,
             [this](const std::string& aHost, PeerMessage aMessage) {
               peerNode_.Send(aHost, std::move(aMessage));
             })
  , slotDirectory_(traffic_.Context(), Hello(), MakeSlotDirectoryHooks())
  , backends_(
      traffic_.Context(),
      { settings_.region_ },
      metrics_,
      [this](const std::string& aNotice) {
        for (const std::string& peer : peerNode_.LinkedPeers()) {
          peerNode_.Send(peer, { PeerMessageType::QuarantineNotice, aNotice });
        }
      })
  , hooks_(settings_, configuration_, directory_, budgets_, backends_, metrics_)
  , peerNode_(peer_, MakePeerOptions(), MakePeerHooks())
  , relays_(traffic_.Context(), MakeRelayHooks())
  , pipeline_(traffic_.Context(), {}, MakePipelineHooks(), relays_, metrics_)
  , callers_(traffic_.Context(),
             MakeCallerOptions(),
             [this](IncomingRequestPtr aRequest) {
               pipeline_.Handle(std::move(aRequest));
             })
  , platformReader_(platform_.Context(),
                    { settings_.store_, settings_.hostList_ },
                    MakePlatformHooks())
  , agent_(platform_.Context(),
           platformReader_.Store(),
           settings_.hostName_,
           settings_.region_,
           MakeAgentHooks())
  , once_(traffic_, platform_, platformReader_.Store(), incarnation_)
  , slotKeeper_(
      platform_.Context(),
      platformReader_.Store(),
      settings_.region_,
      { settings_.hostName_, SelfOf(settings_).peersAddress_, incarnation_ },
      MakeSlotHooks())
  , operatorServer_(operator_.Context(),
                    { settings_.operators_, settings_.operatorToken_ },
                    metrics_)
  , configurationApi_(operator_, platform_, agent_, platformReader_.Store())
  , signals_(main_, SIGTERM, SIGINT)
  , drainTimer_(main_)
  , leavingTimer_(main_)
{
  AddOperatorPaths();
  configurationApi_.AddTo(operatorServer_);
}

EntryHost::Impl::~Impl()
{
  StopThreads();
}

PeerHello
EntryHost::Impl::Hello() const
{
  return { settings_.hostName_,
           settings_.region_,
           settings_.failureDomain_,
           incarnation_ };
}

PeerOptions
EntryHost::Impl::MakePeerOptions() const
{
  PeerOptions options;
  options.self_ = Hello();
  options.listen_ = settings_.peers_;
  options.token_ = settings_.peerToken_;
  return options;
}

PeerHooks
EntryHost::Impl::MakePeerHooks()
{
  PeerHooks hooks;
  hooks.onMessage_ = [this](const PeerHello& aFrom, PeerMessage aMessage) {
    if (IsForAgent(aMessage.type_)) {
      PostToAgent(aFrom, std::move(aMessage));
      return;
    }
    if (aMessage.type_ == PeerMessageType::ReachabilityQuery ||
        aMessage.type_ == PeerMessageType::ReachabilityAnswer) {
      PostToPlatform([this, aFrom, message = std::move(aMessage)] {
        slotKeeper_.OnMessage(aFrom, message);
      });
      return;
    }
    PostToTraffic([this, aFrom, message = std::move(aMessage)] {
      OnPeerMessage(aFrom, message);
    });
  };
  hooks.onLink_ = [this](const PeerHello& aPeer, bool aUp) {
    PostToPlatform([this, aPeer, aUp] { slotKeeper_.OnLink(aPeer, aUp); });
    PostToTraffic([this, aPeer, aUp] {
      hooks_.OnLink(aPeer, aUp);
      budgets_.OnLink(aPeer, aUp);
      slotDirectory_.OnLink(aPeer, aUp);
      if (!aUp) {
        relays_.OnLinkDown(aPeer);
      }
    });
  };
  return hooks;
}

RelayHooks
EntryHost::Impl::MakeRelayHooks()
{
  RelayHooks hooks;
  hooks.send_ = [this](const std::string& aHost, PeerMessage aMessage) {
    return peerNode_.Send(aHost, std::move(aMessage));
  };
  hooks.onRequest_ = [this](RelayedRequest aRelayed) {
    pipeline_.HandleRelayed(std::move(aRelayed));
  };
  return hooks;
}

PipelineHooks
EntryHost::Impl::MakePipelineHooks()
{
  PipelineHooks hooks = hooks_.Make();
  hooks.once_ = [this] { return once_.Service(); };
  hooks.hostName_ = settings_.hostName_;
  return hooks;
}

PlatformReaderHooks
EntryHost::Impl::MakePlatformHooks()
{
  PlatformReaderHooks hooks;
  hooks.onHostsRead_ = [this](const std::vector<ListedHost>& aHosts) {
    slotKeeper_.SetHosts(aHosts);
  };
  hooks.onHosts_ = [this](std::vector<ListedHost> aHosts) {
    agent_.SetHosts(LiveHosts(aHosts));
    PostToTraffic([this, hosts = std::move(aHosts)] {
      directory_.SetList(hosts);
      std::vector<PeerAddress> peers;
      for (const ListedHost& host : directory_.Peers()) {
        if (const auto address = ParseAddress(host.peersAddress_)) {
          peers.push_back({ host.name_, *address });
        }
      }
      peerNode_.SetPeers(std::move(peers));
      hooks_.OnSnapshotChanged();
    });
  };
  hooks.onLeavingServers_ = [this](const std::string& aPool,
                                   std::set<std::string> aServers) {
    PostToTraffic([this, aPool, servers = std::move(aServers)] {
      backends_.SetLeaving(aPool, servers);
    });
  };
  return hooks;
}

ConfigurationAgentHooks
EntryHost::Impl::MakeAgentHooks()
{
  ConfigurationAgentHooks hooks;
  hooks.send_ = [this](const std::string& aHost, PeerMessage aMessage) {
    return peerNode_.Send(aHost, std::move(aMessage));
  };
  hooks.onKeys_ = [this](KeyState aState) {
    freshUntil_ = aState.freshUntil_;
    return traffic_.Post(
      [this, state = std::move(aState)] { hooks_.SetKeyState(state); });
  };
  hooks.onConfiguration_ = [this](const SnapshotPtr& aSnapshot) {
    const ConfigurationPtr configuration = aSnapshot->configuration_;
    configuration_.Set(configuration);
    slotKeeper_.SetConfiguration(*configuration);
    once_.SetConfiguration(configuration);
    platformReader_.SetPools(configuration->pools_);
    PostToTraffic([this, configuration] {
      budgets_.SetConfiguration(*configuration);
      backends_.SetConfiguration(configuration);
      hooks_.OnSnapshotChanged();
    });
    metrics_
      .Gauge("peridotsail_configuration_version",
             "Configuration version in force on this host.")
      .Set(static_cast<double>(aSnapshot->version_));
  };
  return hooks;
}

SlotKeeperHooks
EntryHost::Impl::MakeSlotHooks()
{
  SlotKeeperHooks hooks;
  hooks.send_ = [this](const std::string& aHost, PeerMessage aMessage) {
    peerNode_.Send(aHost, std::move(aMessage));
  };
  hooks.onValidity_ = [this](const SlotValidity& aValidity) {
    slot_.Set(std::make_shared<const SlotValidity>(aValidity));
    once_.SetValidity(aValidity);
    PostToTraffic([this, aValidity] {
      budgets_.SetSlot(aValidity);
      slotDirectory_.SetSlot(aValidity);
      hooks_.SetSlot(aValidity);
    });
  };
  return hooks;
}

SlotDirectoryHooks
EntryHost::Impl::MakeSlotDirectoryHooks()
{
  SlotDirectoryHooks hooks;
  hooks.sendToAll_ = [this](const PeerMessage& aMessage) {
    for (const std::string& peer : peerNode_.LinkedPeers()) {
      peerNode_.Send(peer, aMessage);
    }
  };
  hooks.onHolders_ = [this](std::map<std::string, SlotHolderHost> aHolders) {
    once_.SetHolders(std::move(aHolders));
  };
  return hooks;
}

CallerServerOptions
EntryHost::Impl::MakeCallerOptions() const
{
  CallerServerOptions options;
  options.listen_ = settings_.callers_;
  return options;
}

void
EntryHost::Impl::AddOperatorPaths()
{
  operatorServer_.Add(
    "GET", "/status", [this](const HttpRequest&, auto aReply) {
      aReply->Send(
        { 200, { { "Content-Type", "application/json" } }, Status().dump() });
    });
}

nlohmann::json
EntryHost::Impl::Status() const
{
  const ConfigurationPtr configuration = configuration_.Get();
  const auto slot = slot_.Get();
  const bool holds = slot && slot->ValidAt(BootClock::now());
  return { { "host", settings_.hostName_ },
           { "slot", holds ? slot->index_ : -1 },
           { "region", settings_.region_ },
           { "failure_domain", settings_.failureDomain_ },
           { "incarnation", incarnation_ },
           { "config_version", configuration ? configuration->version_ : 0 },
           { "keys_fresh", BootClock::now() < freshUntil_.load() },
           { "peers", peerNode_.LinkedPeers() } };
}

// Runs on the traffic thread.
void
EntryHost::Impl::OnPeerMessage(const PeerHello& aFrom,
                               const PeerMessage& aMessage)
{
  switch (aMessage.type_) {
    case PeerMessageType::RelayHead:
    case PeerMessageType::RelayBody:
    case PeerMessageType::RelayCredit:
    case PeerMessageType::RelayEnd:
      relays_.OnMessage(aFrom, aMessage);
      break;
    case PeerMessageType::TokenRequest:
    case PeerMessageType::TokenGrant:
      budgets_.OnMessage(aFrom, aMessage);
      break;
    case PeerMessageType::SlotHeld:
      slotDirectory_.OnMessage(aFrom, aMessage.payload_);
      break;
    case PeerMessageType::QuarantineNotice:
      backends_.OnNotice(aMessage.payload_);
      break;
    case PeerMessageType::HostLeaving:
      directory_.SetLeaving(aFrom.hostName_, BootClock::now());
      break;
    default:
      break;
  }
}

void
EntryHost::Impl::PostToAgent(const PeerHello& aFrom, PeerMessage aMessage)
{
  const bool posted =
    platform_.Post([this, aFrom, message = std::move(aMessage)] {
      agent_.OnPeerMessage(aFrom, message);
    });
  if (!posted) {
    LogEvent(Event::RingFull, { { "thread", "platform" } });
  }
}

void
EntryHost::Impl::PostToTraffic(DutyThread::Task aTask)
{
  if (!traffic_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "traffic" } });
  }
}

void
EntryHost::Impl::PostToPlatform(DutyThread::Task aTask)
{
  if (!platform_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "platform" } });
  }
}

void
EntryHost::Impl::ReleaseSlot()
{
  releaseEnd_ = BootClock::now() + kReleaseLimit;
  platform_.RunAndWait([this] { slotKeeper_.Release(); });
}

bool
EntryHost::Impl::Start(Error& aError)
{
  const bool open = callers_.Listen(aError) && peerNode_.Listen(aError) &&
                    operatorServer_.Listen(aError);
  if (!open) {
    return false;
  }
  platformReader_.Start();
  agent_.Start();
  slotKeeper_.Start();
  budgets_.Start();
  slotDirectory_.Start();
  traffic_.Start();
  peer_.Start();
  platform_.Start();
  operator_.Start();
  LogEvent(Event::ProcessStarted,
           { { "region", settings_.region_ },
             { "failure_domain", settings_.failureDomain_ },
             { "incarnation", incarnation_ } });
  return true;
}

int
EntryHost::Impl::Run()
{
  signals_.async_wait([this](auto aError, int) {
    if (!aError) {
      OnSignal();
    }
  });
  main_.run();
  StopThreads();
  LogEvent(Event::ProcessStopped, { { "exit_code", exitCode_ } });
  return exitCode_;
}

void
EntryHost::Impl::OnSignal()
{
  if (draining_) {
    End(1);
    return;
  }
  draining_ = true;
  drainEnd_ = BootClock::now() + settings_.lookupTtl_ + settings_.drainLimit_;
  LogEvent(Event::ProcessStopping);
  signals_.async_wait([this](auto aError, int) {
    if (!aError) {
      OnSignal();
    }
  });
  traffic_.RunAndWait([this] { directory_.SetSelfLeaving(); });
  AnnounceLeaving();
  // Callers may use answers to look-ups until their time to live is over.
  drainTimer_.expires_after(detail::ToSteady(settings_.lookupTtl_));
  drainTimer_.async_wait([this](auto aError) {
    if (!aError) {
      StopAccepting();
    }
  });
}

void
EntryHost::Impl::AnnounceLeaving()
{
  for (const std::string& peer : peerNode_.LinkedPeers()) {
    peerNode_.Send(peer, { PeerMessageType::HostLeaving, "" });
  }
  leavingTimer_.expires_after(detail::ToSteady(kLeavingInterval));
  leavingTimer_.async_wait([this](auto aError) {
    if (!aError) {
      AnnounceLeaving();
    }
  });
}

void
EntryHost::Impl::StopAccepting()
{
  traffic_.RunAndWait([this] {
    callers_.CloseConnectionsAfterAnswers();
    callers_.Close();
  });
  WaitForRequests();
}

bool
EntryHost::Impl::IsIdle()
{
  bool idle = false;
  traffic_.RunAndWait([this, &idle] {
    idle = pipeline_.InFlight() == 0 && relays_.InFlight() == 0 &&
           callers_.Connections() == 0;
    // A successor answers repeated requests only with written outcomes.
    if (OnceService* once = once_.Service()) {
      once->Flush();
      once->Pump(BootClock::now());
      idle = idle && once->IsQuiet();
    }
  });
  return idle;
}

// Requests in flight need the slot until they have ended, so it is released
// after them.
bool
EntryHost::Impl::IsSlotReleased()
{
  if (!releaseEnd_) {
    ReleaseSlot();
  }
  bool released = BootClock::now() >= *releaseEnd_;
  platform_.RunAndWait(
    [&] { released = released || slotKeeper_.IsReleased(); });
  return released;
}

void
EntryHost::Impl::WaitForRequests()
{
  if (IsIdle() && IsSlotReleased()) {
    End(0);
    return;
  }
  if (BootClock::now() >= drainEnd_) {
    End(1);
    return;
  }
  drainTimer_.expires_after(detail::ToSteady(kDrainCheck));
  drainTimer_.async_wait([this](auto aError) {
    if (!aError) {
      WaitForRequests();
    }
  });
}

void
EntryHost::Impl::End(int aCode)
{
  exitCode_ = aCode;
  main_.stop();
}

void
EntryHost::Impl::StopThreads()
{
  operator_.Stop();
  platform_.Stop();
  traffic_.Stop();
  peer_.Stop();
}

EntryHost::EntryHost(Settings aSettings)
  : impl_(std::make_unique<Impl>(std::move(aSettings)))
{
}

EntryHost::~EntryHost() = default;

bool
EntryHost::Start(Error& aError)
{
  return impl_->Start(aError);
}

int
EntryHost::Run()
{
  return impl_->Run();
}

}
