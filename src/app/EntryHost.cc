#include "app/EntryHost.h"

#include "app/EntryHostImpl.h"

namespace peridotsail {

namespace {

constexpr std::size_t kRingCapacity = 16 << 10;

}

ListedHost
SelfOf(const Settings& aSettings)
{
  ListedHost self;
  self.name_ = aSettings.hostName_;
  self.region_ = aSettings.region_;
  self.failureDomain_ = aSettings.failureDomain_;
  self.callersAddress_ = AddressText(aSettings.callers_);
  self.peersAddress_ = AddressText(aSettings.peers_);
  self.operatorsAddress_ = AddressText(aSettings.operators_);
  return self;
}

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
  const bool holds = slot && slot->IsValidAt(BootClock::now());
  return { { "host", settings_.hostName_ },
           { "slot", holds ? slot->index_ : -1 },
           { "region", settings_.region_ },
           { "failure_domain", settings_.failureDomain_ },
           { "incarnation", incarnation_ },
           { "config_version", configuration ? configuration->version_ : 0 },
           { "keys_fresh", BootClock::now() < freshUntil_.load() },
           { "peers", peerNode_.LinkedPeers() } };
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