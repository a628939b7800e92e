#pragma once

// The components of an entry host. Included only by the source files of
// EntryHost: EntryHost.cc contains construction and start, EntryHostHooks.cc
// the hooks between components, and EntryHostShutdown.cc the graceful shutdown.

#include "app/EntryHost.h"

#include "app/BudgetManager.h"
#include "app/ConfigurationAgent.h"
#include "app/ConfigurationApi.h"
#include "app/HostDirectory.h"
#include "app/OnceTransport.h"
#include "app/OperatorServer.h"
#include "app/PlatformReader.h"
#include "app/SlotDirectory.h"
#include "app/SlotLeaseManager.h"
#include "app/Snapshots.h"
#include "app/TrafficHooks.h"
#include "base/EventLog.h"
#include "base/EventLoopThread.h"
#include "base/Hash.h"
#include "http/BeastTypes.h"
#include "memory/ScheduledMemoryPool.h"
#include "peer/PeerNode.h"
#include "proxy/CallerServer.h"
#include "proxy/RequestPipeline.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace peridotsail {

// Gauges of what the host holds for its callers.
struct LoadMetrics
{
  explicit LoadMetrics(Metrics& aMetrics);
  MetricGauge& heldBytes_;
  MetricGauge& memoryRefused_;
  MetricGauge& memoryClosed_;
  MetricGauge& connections_;
  MetricGauge& connectionsClosed_;
};

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
  SlotLeaseManagerHooks MakeSlotLeaseHooks();
  SlotDirectoryHooks MakeSlotDirectoryHooks();
  CallerServerOptions MakeCallerOptions();
  // Updates the metrics of memory and connections now and then. Runs on the
  // traffic thread.
  void UpdateLoadMetrics();
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
  void Exit(int aCode);

  Settings settings_;
  std::string incarnation_;
  Metrics metrics_;
  Snapshot<Configuration> configuration_;
  std::atomic<TimePoint> freshUntil_{ TimePoint::min() };
  Snapshot<SlotValidity> slot_;

  EventLoopThread trafficThread_;
  EventLoopThread peerThread_;
  EventLoopThread platformThread_;
  EventLoopThread operatorThread_;

  // Owned by the traffic thread.
  HostDirectory hostDirectory_;
  BudgetManager budgetManager_;
  SlotDirectory slotDirectory_;
  BackendDispatcher backendDispatcher_;
  TrafficHooks trafficHooks_;

  // Bounds what is held for callers; owned by the traffic thread.
  ScheduledMemoryPool memory_;
  boost::asio::steady_timer loadTimer_;
  LoadMetrics loadMetrics_;

  PeerNode peerNode_;
  RelayNode relayNode_;
  RequestPipeline pipeline_;
  CallerServer callerServer_;
  PlatformReader platformReader_;
  ConfigurationAgent configurationAgent_;
  OnceTransport onceTransport_;
  // Owned by the platform thread.
  SlotLeaseManager slotLeaseManager_;
  OperatorServer operatorServer_;
  ConfigurationApi configurationApi_;

  // Event loop of the main thread, which handles signals and the shutdown.
  boost::asio::io_context mainContext_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer leavingTimer_;
  bool draining_ = false;
  TimePoint drainDeadline_;
  std::optional<TimePoint> releaseDeadline_;
  int exitCode_ = 0;
};

// Returns this host's own entry of the host list.
ListedHost
MakeListedHost(const Settings& aSettings);

}
