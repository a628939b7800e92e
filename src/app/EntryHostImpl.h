#pragma once

// The parts of an entry host. Included by the .cc files of EntryHost only:
// EntryHost.cc has the set-up, EntryHostHooks.cc the connections between the
// parts, and EntryHostShutdown.cc the graceful shutdown.

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
#include "base/EventLog.h"
#include "base/EventLoopThread.h"
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
  void PostToTraffic(EventLoopThread::Task aTask);
  void PostToPlatform(EventLoopThread::Task aTask);
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

  EventLoopThread traffic_;
  EventLoopThread peer_;
  EventLoopThread platform_;
  EventLoopThread operator_;

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

// This host as the host list should show it.
ListedHost
SelfOf(const Settings& aSettings);

}
