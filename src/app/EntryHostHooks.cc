// The hooks that connect the components of an entry host across its threads.

#include "app/EntryHostImpl.h"

#include <algorithm>
#include <sys/resource.h>

namespace peridotsail {

namespace {

// Returns the hosts between which configurations are disseminated.
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

constexpr Duration kLoadMetricsInterval = std::chrono::seconds(1);

// Returns how many of the process's descriptors callers' connections may use:
// three quarters. The others are for servers and other processes.
std::size_t
CallerDescriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur / 4 * 3);
}

// Returns the size of the largest body that is buffered whole.
std::size_t
LargestBufferedBody(const Configuration& aConfiguration)
{
  std::uint64_t largest = 0;
  for (const RouteConfig& route : aConfiguration.routes_) {
    largest = std::max(largest, route.idempotent_ ? 0 : route.maxBodyBytes_);
  }
  return static_cast<std::size_t>(largest);
}

bool
IsConfigurationMessage(PeerMessageType aType)
{
  return aType == PeerMessageType::Gossip ||
         aType == PeerMessageType::ConfigurationRequest ||
         aType == PeerMessageType::ConfigurationDelta ||
         aType == PeerMessageType::WithdrawnKeys;
}

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
    if (IsConfigurationMessage(aMessage.type_)) {
      PostToAgent(aFrom, std::move(aMessage));
      return;
    }
    if (aMessage.type_ == PeerMessageType::ReachabilityQuery ||
        aMessage.type_ == PeerMessageType::ReachabilityAnswer) {
      PostToPlatform([this, aFrom, message = std::move(aMessage)] {
        slotLeaseManager_.OnMessage(aFrom, message);
      });
      return;
    }
    PostToTraffic([this, aFrom, message = std::move(aMessage)] {
      OnPeerMessage(aFrom, message);
    });
  };
  hooks.onLink_ = [this](const PeerHello& aPeer, bool aUp) {
    PostToPlatform(
      [this, aPeer, aUp] { slotLeaseManager_.OnLink(aPeer, aUp); });
    PostToTraffic([this, aPeer, aUp] {
      trafficHooks_.OnLink(aPeer, aUp);
      budgetManager_.OnLink(aPeer, aUp);
      slotDirectory_.OnLink(aPeer, aUp);
      if (!aUp) {
        relayNode_.OnLinkDown(aPeer);
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
  hooks.onRequest_ = [this](const RelayedRequest& aRelayed) {
    pipeline_.HandleRelayed(aRelayed);
  };
  hooks.memory_ = &memory_;
  return hooks;
}

PipelineHooks
EntryHost::Impl::MakePipelineHooks()
{
  PipelineHooks hooks = trafficHooks_.Make();
  hooks.atMostOnce_ = [this] { return onceTransport_.Service(); };
  hooks.hostName_ = settings_.hostName_;
  return hooks;
}

PlatformReaderHooks
EntryHost::Impl::MakePlatformHooks()
{
  PlatformReaderHooks hooks;
  hooks.onHostsRead_ = [this](const std::vector<ListedHost>& aHosts) {
    slotLeaseManager_.SetHosts(aHosts);
  };
  hooks.onHosts_ = [this](std::vector<ListedHost> aHosts) {
    configurationAgent_.SetHosts(LiveHosts(aHosts));
    PostToTraffic([this, hosts = std::move(aHosts)] {
      hostDirectory_.SetList(hosts);
      std::vector<PeerAddress> peers;
      for (const ListedHost& host : hostDirectory_.Peers()) {
        if (const auto address = ParseAddress(host.peersAddress_)) {
          peers.push_back({ host.name_, *address });
        }
      }
      peerNode_.SetPeers(std::move(peers));
      trafficHooks_.OnSnapshotChanged();
    });
  };
  hooks.onLeavingServers_ = [this](const std::string& aPool,
                                   std::set<std::string> aServers) {
    PostToTraffic([this, aPool, servers = std::move(aServers)] {
      backendDispatcher_.SetLeaving(aPool, servers);
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
    return trafficThread_.Post(
      [this, state = std::move(aState)] { trafficHooks_.SetKeyState(state); });
  };
  hooks.onConfiguration_ = [this](const SnapshotPtr& aSnapshot) {
    const ConfigurationPtr configuration = aSnapshot->configuration_;
    configuration_.Set(configuration);
    slotLeaseManager_.SetConfiguration(*configuration);
    onceTransport_.SetConfiguration(configuration);
    platformReader_.SetPools(configuration->pools_);
    PostToTraffic([this, configuration] {
      memory_.SetLargestBody(LargestBufferedBody(*configuration));
      budgetManager_.SetConfiguration(*configuration);
      backendDispatcher_.SetConfiguration(configuration);
      trafficHooks_.OnSnapshotChanged();
    });
    metrics_
      .Gauge("peridotsail_configuration_version",
             "Configuration version in force on this host.")
      .Set(static_cast<double>(aSnapshot->version_));
  };
  return hooks;
}

SlotLeaseManagerHooks
EntryHost::Impl::MakeSlotLeaseHooks()
{
  SlotLeaseManagerHooks hooks;
  hooks.send_ = [this](const std::string& aHost, PeerMessage aMessage) {
    peerNode_.Send(aHost, std::move(aMessage));
  };
  hooks.onValidity_ = [this](const SlotValidity& aValidity) {
    slot_.Set(std::make_shared<const SlotValidity>(aValidity));
    onceTransport_.SetValidity(aValidity);
    PostToTraffic([this, aValidity] {
      budgetManager_.SetSlot(aValidity);
      slotDirectory_.SetSlot(aValidity);
      trafficHooks_.SetSlot(aValidity);
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
    onceTransport_.SetHolders(std::move(aHolders));
  };
  return hooks;
}

CallerServerOptions
EntryHost::Impl::MakeCallerOptions()
{
  CallerServerOptions options;
  options.listen_ = settings_.callers_;
  options.maxConnections_ =
    std::min({ settings_.maxConnections_,
               MaxConnections(MemoryOptions{ settings_.memoryLimit_ }),
               CallerDescriptors() });
  options.memory_ = &memory_;
  return options;
}

void
EntryHost::Impl::UpdateLoadMetrics()
{
  const MemoryPoolStatistics memory = memory_.Statistics();
  loadMetrics_.heldBytes_.Set(static_cast<double>(memory.held_));
  loadMetrics_.memoryRefused_.Set(static_cast<double>(memory.refused_));
  loadMetrics_.memoryClosed_.Set(static_cast<double>(memory.closed_));
  loadMetrics_.connections_.Set(
    static_cast<double>(callerServer_.Connections()));
  loadMetrics_.connectionsClosed_.Set(
    static_cast<double>(callerServer_.Closed()));
  loadTimer_.expires_after(detail::ToSteady(kLoadMetricsInterval));
  loadTimer_.async_wait([this](auto aError) {
    if (!aError) {
      UpdateLoadMetrics();
    }
  });
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
      relayNode_.OnMessage(aFrom, aMessage);
      break;
    case PeerMessageType::TokenRequest:
    case PeerMessageType::TokenGrant:
      budgetManager_.OnMessage(aFrom, aMessage);
      break;
    case PeerMessageType::SlotHeld:
      slotDirectory_.OnMessage(aFrom, aMessage.payload_);
      break;
    case PeerMessageType::QuarantineNotice:
      backendDispatcher_.OnQuarantineNotice(aMessage.payload_);
      break;
    case PeerMessageType::HostLeaving:
      hostDirectory_.SetLeaving(aFrom.hostName_, BootClock::now());
      break;
    default:
      break;
  }
}

void
EntryHost::Impl::PostToAgent(const PeerHello& aFrom, PeerMessage aMessage)
{
  const bool posted =
    platformThread_.Post([this, aFrom, message = std::move(aMessage)] {
      configurationAgent_.OnPeerMessage(aFrom, message);
    });
  if (!posted) {
    LogEvent(Event::RingFull, { { "thread", "platform" } });
  }
}

void
EntryHost::Impl::PostToTraffic(EventLoopThread::Task aTask)
{
  if (!trafficThread_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "traffic" } });
  }
}

void
EntryHost::Impl::PostToPlatform(EventLoopThread::Task aTask)
{
  if (!platformThread_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "platform" } });
  }
}

}
