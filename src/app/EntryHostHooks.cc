// The connections between the parts of an entry host and the threads that they
// run on.

#include "app/EntryHostImpl.h"

namespace peridotsail {

namespace {

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
  hooks.onRequest_ = [this](const RelayedRequest& aRelayed) {
    pipeline_.HandleRelayed(aRelayed);
  };
  return hooks;
}

PipelineHooks
EntryHost::Impl::MakePipelineHooks()
{
  PipelineHooks hooks = hooks_.Make();
  hooks.atMostOnce_ = [this] { return once_.Service(); };
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
      backends_.OnQuarantineNotice(aMessage.payload_);
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
EntryHost::Impl::PostToTraffic(EventLoopThread::Task aTask)
{
  if (!traffic_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "traffic" } });
  }
}

void
EntryHost::Impl::PostToPlatform(EventLoopThread::Task aTask)
{
  if (!platform_.Post(std::move(aTask))) {
    LogEvent(Event::RingFull, { { "thread", "platform" } });
  }
}

}
