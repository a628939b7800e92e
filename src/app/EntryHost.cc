#include "app/EntryHost.h"

#include "app/HostDirectory.h"
#include "app/OperatorServer.h"
#include "app/PlatformReader.h"
#include "app/Snapshots.h"
#include "app/TrafficHooks.h"
#include "base/DutyThread.h"
#include "base/EventLog.h"
#include "base/Hash.h"
#include "http/BeastTypes.h"
#include "peer/PeerNode.h"
#include "proxy/CallerServer.h"
#include "proxy/RequestPipeline.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

constexpr std::size_t kRingCapacity = 16 * 1024;

// How often a stopping host looks for requests in flight.
constexpr Duration kDrainCheck = std::chrono::milliseconds(20);

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

}

struct EntryHost::Impl
{
  explicit Impl(Settings aSettings);
  ~Impl();

  bool Start(Error& aError);
  int Run();

  PeerOptions MakePeerOptions() const;
  PeerHooks MakePeerHooks();
  RelayHooks MakeRelayHooks();
  PlatformReaderHooks MakePlatformHooks();
  CallerServerOptions MakeCallerOptions() const;
  void AddOperatorPaths();
  nlohmann::json Status() const;
  void OnPeerMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  void PostToTraffic(DutyThread::Task aTask);
  void StopThreads();

  // Graceful shutdown, on the main thread.
  void OnSignal();
  void AnnounceLeaving();
  void StopAccepting();
  void WaitForRequests();
  bool IsIdle();
  void End(int aCode);

  Settings settings_;
  std::string incarnation_;
  Metrics metrics_;
  Snapshot<Configuration> configuration_;

  DutyThread traffic_;
  DutyThread peer_;
  DutyThread platform_;
  DutyThread operator_;

  // Owned by the traffic thread.
  HostDirectory directory_;
  TrafficHooks hooks_;

  PeerNode peerNode_;
  RelayNode relays_;
  RequestPipeline pipeline_;
  CallerServer callers_;
  PlatformReader platformReader_;
  OperatorServer operatorServer_;

  // The main thread's own loop: signals and the shutdown.
  boost::asio::io_context main_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer leavingTimer_;
  bool draining_ = false;
  TimePoint drainEnd_;
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
  , hooks_(settings_, configuration_, directory_, metrics_)
  , peerNode_(peer_, MakePeerOptions(), MakePeerHooks())
  , relays_(traffic_.Context(), MakeRelayHooks())
  , pipeline_(traffic_.Context(), {}, hooks_.Make(), relays_, metrics_)
  , callers_(traffic_.Context(),
             MakeCallerOptions(),
             [this](IncomingRequestPtr aRequest) {
               pipeline_.Handle(std::move(aRequest));
             })
  , platformReader_(platform_.Context(),
                    { settings_.store_, settings_.hostList_ },
                    MakePlatformHooks())
  , operatorServer_(operator_.Context(),
                    { settings_.operators_, settings_.operatorToken_ },
                    metrics_)
  , signals_(main_, SIGTERM, SIGINT)
  , drainTimer_(main_)
  , leavingTimer_(main_)
{
  AddOperatorPaths();
}

EntryHost::Impl::~Impl()
{
  StopThreads();
}

PeerOptions
EntryHost::Impl::MakePeerOptions() const
{
  PeerOptions options;
  options.self_ = { settings_.hostName_,
                    settings_.region_,
                    settings_.failureDomain_,
                    incarnation_ };
  options.listen_ = settings_.peers_;
  options.token_ = settings_.peerToken_;
  return options;
}

PeerHooks
EntryHost::Impl::MakePeerHooks()
{
  PeerHooks hooks;
  hooks.onMessage_ = [this](const PeerHello& aFrom, PeerMessage aMessage) {
    PostToTraffic([this, aFrom, message = std::move(aMessage)] {
      OnPeerMessage(aFrom, message);
    });
  };
  hooks.onLink_ = [this](const PeerHello& aPeer, bool aUp) {
    PostToTraffic([this, aPeer, aUp] {
      hooks_.OnLink(aPeer, aUp);
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

PlatformReaderHooks
EntryHost::Impl::MakePlatformHooks()
{
  PlatformReaderHooks hooks;
  hooks.onConfiguration_ = [this](ConfigurationPtr aConfiguration) {
    configuration_.Set(aConfiguration);
    metrics_
      .Gauge("peridotsail_configuration_version",
             "Configuration version in force on this host.")
      .Set(static_cast<double>(aConfiguration->version_));
    PostToTraffic([this] { hooks_.OnSnapshotChanged(); });
  };
  hooks.onHosts_ = [this](std::vector<ListedHost> aHosts) {
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
  return { { "host", settings_.hostName_ },
           { "region", settings_.region_ },
           { "failure_domain", settings_.failureDomain_ },
           { "incarnation", incarnation_ },
           { "config_version", configuration ? configuration->version_ : 0 },
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
    case PeerMessageType::HostLeaving:
      directory_.SetLeaving(aFrom.hostName_, BootClock::now());
      break;
    default:
      break;
  }
}

void
EntryHost::Impl::PostToTraffic(DutyThread::Task aTask)
{
  if (!traffic_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "traffic" } });
  }
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
  });
  return idle;
}

void
EntryHost::Impl::WaitForRequests()
{
  if (IsIdle()) {
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
