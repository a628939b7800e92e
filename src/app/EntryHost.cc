#include "app/EntryHost.h"

#include "app/EntryHostImpl.h"

namespace peridotsail {

namespace {

constexpr std::size_t kRingCapacity = 16 << 10;
// The input of the operators' port uses at most this part of the memory.
constexpr std::size_t kOperatorMemoryPart = 16;

MemoryOptions
MakeMemoryOptions(const Settings& aSettings)
{
  MemoryOptions options;
  options.machineBytes_ = aSettings.memoryLimit_;
  return options;
}

// Returns the memory for requests to the operators' port. The largest document
// fits.
std::size_t
OperatorInputBytes(const Settings& aSettings)
{
  return std::min(HttpServerOptions().maxInputBytes_,
                  aSettings.memoryLimit_ / kOperatorMemoryPart);
}

PipelineOptions
MakePipelineOptions(MemoryPool& aMemory)
{
  PipelineOptions options;
  options.memory_ = &aMemory;
  return options;
}

}

LoadMetrics::LoadMetrics(Metrics& aMetrics)
  : heldBytes_(aMetrics.Gauge("peridotsail_held_bytes",
                              "Bytes held for callers and servers."))
  , memoryRefused_(
      aMetrics.Gauge("peridotsail_memory_refused",
                     "Requests and responses refused for lack of memory."))
  , memoryClosed_(
      aMetrics.Gauge("peridotsail_memory_closed",
                     "Stalled connections closed for lack of memory."))
  , connections_(aMetrics.Gauge("peridotsail_caller_connections",
                                "Open connections of callers."))
  , connectionsClosed_(
      aMetrics.Gauge("peridotsail_caller_connections_closed",
                     "Connections of callers that were closed to make room."))
{
}

ListedHost
MakeListedHost(const Settings& aSettings)
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
  , trafficThread_("traffic", kRingCapacity)
  , peerThread_("peer", kRingCapacity)
  , platformThread_("platform", kRingCapacity)
  , operatorThread_("operator", kRingCapacity)
  , hostDirectory_(MakeListedHost(settings_))
  , budgetManager_(trafficThread_.Context(),
                   Hello(),
                   metrics_,
                   [this](const std::string& aHost, PeerMessage aMessage) {
                     peerNode_.Send(aHost, std::move(aMessage));
                   })
  , slotDirectory_(trafficThread_.Context(), Hello(), MakeSlotDirectoryHooks())
  , backendDispatcher_(
      trafficThread_.Context(),
      { settings_.region_ },
      metrics_,
      [this](const std::string& aNotice) {
        for (const std::string& peer : peerNode_.LinkedPeers()) {
          peerNode_.Send(peer, { PeerMessageType::QuarantineNotice, aNotice });
        }
      })
  , trafficHooks_(settings_,
                  configuration_,
                  hostDirectory_,
                  budgetManager_,
                  backendDispatcher_,
                  metrics_)
  , memory_(trafficThread_.Context(), MakeMemoryOptions(settings_))
  , loadTimer_(trafficThread_.Context())
  , loadMetrics_(metrics_)
  , peerNode_(peerThread_, MakePeerOptions(), MakePeerHooks())
  , relayNode_(trafficThread_.Context(), MakeRelayHooks())
  , pipeline_(trafficThread_.Context(),
              MakePipelineOptions(memory_),
              MakePipelineHooks(),
              relayNode_,
              metrics_)
  , callerServer_(trafficThread_.Context(),
                  MakeCallerOptions(),
                  [this](IncomingRequestPtr aRequest) {
                    pipeline_.Handle(std::move(aRequest));
                  })
  , platformReader_(platformThread_.Context(),
                    { settings_.store_, settings_.hostList_ },
                    MakePlatformHooks())
  , configurationAgent_(platformThread_.Context(),
                        platformReader_.Store(),
                        settings_.hostName_,
                        settings_.region_,
                        MakeAgentHooks())
  , onceTransport_(trafficThread_,
                   platformThread_,
                   platformReader_.Store(),
                   incarnation_)
  , slotLeaseManager_(platformThread_.Context(),
                      platformReader_.Store(),
                      settings_.region_,
                      { settings_.hostName_,
                        MakeListedHost(settings_).peersAddress_,
                        incarnation_ },
                      MakeSlotLeaseHooks())
  , operatorServer_(operatorThread_.Context(),
                    { settings_.operators_,
                      settings_.operatorToken_,
                      OperatorInputBytes(settings_) },
                    metrics_)
  , configurationApi_(operatorThread_,
                      platformThread_,
                      configurationAgent_,
                      platformReader_.Store())
  , signals_(mainContext_, SIGTERM, SIGINT)
  , drainTimer_(mainContext_)
  , leavingTimer_(mainContext_)
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
  const bool open = callerServer_.Listen(aError) && peerNode_.Listen(aError) &&
                    operatorServer_.Listen(aError);
  if (!open) {
    return false;
  }
  platformReader_.Start();
  configurationAgent_.Start();
  slotLeaseManager_.Start();
  budgetManager_.Start();
  slotDirectory_.Start();
  UpdateLoadMetrics();
  trafficThread_.Start();
  peerThread_.Start();
  platformThread_.Start();
  operatorThread_.Start();
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
  mainContext_.run();
  StopThreads();
  LogEvent(Event::ProcessStopped, { { "exit_code", exitCode_ } });
  return exitCode_;
}

void
EntryHost::Impl::StopThreads()
{
  operatorThread_.Stop();
  platformThread_.Stop();
  trafficThread_.Stop();
  peerThread_.Stop();
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