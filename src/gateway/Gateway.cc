#include "gateway/Gateway.h"

#include "base/EventLog.h"
#include "base/EventLoopThread.h"
#include "base/Metrics.h"
#include "gateway/CallerListener.h"
#include "gateway/ControlTiming.h"
#include "gateway/DrainSchedule.h"
#include "gateway/HostOrder.h"
#include "gateway/QuarantineRecords.h"
#include "gateway/RequestFlow.h"
#include "gateway/ViewAgeMonitor.h"
#include "gateway/ViewFeed.h"
#include "http/HttpServer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <future>

namespace peridotsail {

using namespace detail;

namespace {

constexpr std::size_t kRingTasks = 4096;
// How often quarantined requests are published and expired idle connections are
// closed.
constexpr Duration kTickInterval = std::chrono::milliseconds(1000);
// Keys are accepted for this fraction of the withdrawal bound after the last
// confirmation of the view. The rest covers a response of the store that was
// already out of date when it was sent.
constexpr double kKeyFreshnessFraction = 0.72;
// The cache lifetime of host lists that is sent to callers.
constexpr Duration kLookupTtl = std::chrono::seconds(2);
// The maximum number of addresses in a list of hosts.
constexpr std::size_t kMaxLookupHosts = 64;
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
// How long the end of the process waits for the removal of its registration. If
// the store does not respond, the lease expires by itself.
constexpr Duration kDeregisterTimeout = std::chrono::milliseconds(200);
// File descriptors that are reserved for other uses than callers' connections.
constexpr std::size_t kReservedDescriptors = 600;
// The ports for readiness, lookups and metrics serve short requests without a
// body.
constexpr std::size_t kControlMaxBodyBytes = 16 << 10;
constexpr std::size_t kControlMaxConnections = 100;
// One of these ports uses at most this part of the descriptors.
constexpr std::size_t kControlDescriptorsPart = 10;
constexpr std::size_t kControlPorts = 3;
// The input of one of these ports uses at most this part of the memory.
constexpr std::size_t kControlMemoryPart = 64;
// Descriptors for listening, for the store and for other hosts, and the most
// that they may be of all.
constexpr std::size_t kOwnDescriptors = 64;
constexpr std::size_t kOwnDescriptorsPart = 16;
// Connections to backend servers use at most this part of the descriptors.
constexpr std::size_t kServerDescriptorsPart = 4;

std::size_t
MaxCallerConnections(const GatewaySettings& aSettings)
{
  const std::size_t descriptors = aSettings.maxDescriptors_;
  return std::min(descriptors > 2 * kReservedDescriptors
                    ? descriptors - kReservedDescriptors
                    : descriptors / 2,
                  MaxConnections(MemoryOptions{ aSettings.memoryBytes_ }));
}

std::size_t
MaxControlConnections(const GatewaySettings& aSettings)
{
  return std::min(kControlMaxConnections,
                  aSettings.maxDescriptors_ / kControlDescriptorsPart);
}

// Returns the number of connections to servers that may be open besides
// aCallers connections of callers.
std::size_t
MaxServerConnections(const GatewaySettings& aSettings, std::size_t aCallers)
{
  const std::size_t descriptors = aSettings.maxDescriptors_;
  const std::size_t others =
    std::min(kOwnDescriptors, descriptors / kOwnDescriptorsPart) +
    kControlPorts * MaxControlConnections(aSettings) + aCallers;
  return std::min(descriptors / kServerDescriptorsPart,
                  descriptors - std::min(descriptors, others));
}

HttpServerOptions
ControlServerOptions(const GatewaySettings& aSettings)
{
  HttpServerOptions options;
  options.maxBodyBytes_ = kControlMaxBodyBytes;
  options.maxConnections_ = MaxControlConnections(aSettings);
  options.maxInputBytes_ = aSettings.memoryBytes_ / kControlMemoryPart;
  return options;
}

}

struct Gateway::Impl
{
  Impl(GatewaySettings aSettings, GatewayAdapter aAdapter);
  ~Impl();

  FlowOptions MakeFlowOptions();
  AllowanceOptions MakeAllowanceOptions() const;
  ViewFeedOptions MakeFeedOptions();
  ReadHook MakeReadHook();
  CallerHooks MakeCallerHooks();
  ControlHooks MakeControlHooks();
  ControlOptions MakeControlOptions() const;
  bool Start(Error& aError);
  bool Listen(Error& aError);
  void StartControl();
  int Run();
  // Applies a view that the control thread passed on at aPostedAt.
  void OnView(const FleetSnapshotPtr& aSnapshot,
              TimePoint aConfirmedAt,
              TimePoint aPostedAt);
  void OnSnapshot(const FleetSnapshotPtr& aSnapshot);
  // Logs when the view becomes older than the bound for changes.
  void CheckViewAge(TimePoint aNow);
  void OnTick();
  void PublishSelf();
  HttpServer::Handler MakeControlHandler();
  void HandleControl(const HttpRequest& aRequest, HttpReply& aReply);
  bool IsReady() const;
  bool CanFinish(TimePoint aDeadline) const;
  Duration ViewAge(TimePoint aNow) const;
  void WaitForSignal();
  void Reload();
  void BeginDrain();
  void CheckDrain();
  // Performs the next step of the shutdown on the traffic thread.
  DrainStep PerformDrainStep(Duration aElapsed);
  void BeginDeregistration();
  void Shutdown();

  GatewaySettings settings_;
  GatewayAdapter adapter_;
  Metrics metrics_;
  MetricGauge& droppedLines_;
  MetricGauge& viewAge_;
  MetricGauge& storeEra_;
  MetricGauge& controlClosed_;
  ReadRecorder readRecorder_;
  std::atomic<bool> draining_{ false };
  // Set before draining_, so that readers of draining_ see it.
  std::atomic<TimePoint> drainStartedAt_{ TimePoint::min() };
  EventLoopThread traffic_;
  EventLoopThread control_;

  // Used on the traffic thread only.
  InstanceTable instances_;
  FlowContext flow_;
  CallerListener callers_;
  HttpServer controlServer_;
  HttpServer directoryServer_;
  HttpServer metricsServer_;
  asio::steady_timer tickTimer_;
  FleetSnapshotPtr snapshot_;
  // The hosts of the snapshot, with the current state of this host.
  std::map<std::string, HostRecord> lookupHosts_;
  // When the snapshot was last confirmed to match the store.
  TimePoint confirmedAt_ = TimePoint::min();
  HostRecord self_;
  HostRecord lastPublished_;
  ViewAgeMonitor viewAgeMonitor_;

  // Used on the control thread only.
  ViewFeed feed_;
  std::unique_ptr<KvStore> store_;
  std::unique_ptr<ControlLoop> loop_;

  // Used on the calling thread only.
  asio::io_context mainContext_;
  asio::signal_set signals_;
  asio::steady_timer drainTimer_;
  DrainSchedule drain_;
  // Set when the removal of the registration has begun; done after it.
  std::optional<std::future<void>> deregistered_;
};

Gateway::Impl::Impl(GatewaySettings aSettings, GatewayAdapter aAdapter)
  : settings_(std::move(aSettings))
  , adapter_(std::move(aAdapter))
  , droppedLines_(metrics_.Gauge("peridotsail_log_lines_dropped",
                                 "Log lines over the limit or the queue."))
  , viewAge_(metrics_.Gauge("peridotsail_view_age_seconds",
                            "Time since the view was last confirmed."))
  , storeEra_(metrics_.Gauge("peridotsail_store_era",
                             "The era that the store states; 0 for none."))
  , controlClosed_(metrics_.Gauge(
      "peridotsail_control_connections_closed",
      "Connections of the ports for lookups, readiness and metrics that were "
      "closed to make room."))
  , readRecorder_(metrics_)
  , traffic_("traffic", kRingTasks)
  , control_("control", kRingTasks)
  , instances_(settings_.regions_, settings_.region_)
  , flow_(traffic_.Context(),
          MakeFlowOptions(),
          instances_,
          metrics_,
          MakeAllowanceOptions(),
          ColdStartOptions{ settings_.bounds_.coldOverage_,
                            settings_.bounds_.coldSlack_ },
          FleetRetryBudgetOptions{ settings_.bounds_.retryRatio_,
                                   settings_.bounds_.retrySlack_ })
  , callers_(traffic_.Context(),
             MakeCallerHooks(),
             MaxCallerConnections(settings_))
  , controlServer_(traffic_.Context(),
                   ControlServerOptions(settings_),
                   MakeControlHandler())
  , directoryServer_(traffic_.Context(),
                     ControlServerOptions(settings_),
                     MakeControlHandler())
  , metricsServer_(traffic_.Context(),
                   ControlServerOptions(settings_),
                   MakeControlHandler())
  , tickTimer_(traffic_.Context())
  , viewAgeMonitor_(settings_.bounds_.maxChangeDelay_)
  , feed_(control_.Context(), MakeFeedOptions())
  , signals_(mainContext_, SIGTERM, SIGINT, SIGHUP)
  , drainTimer_(mainContext_)
  , drain_(settings_.bounds_.grace_)
{
  self_.name_ = settings_.name_;
  self_.callers_ = AddressText(settings_.callers_);
  if (settings_.peers_) {
    self_.peers_ = AddressText(*settings_.peers_);
  }
  self_.failureDomain_ = settings_.failureDomain_;
  self_.region_ = settings_.region_;
  self_.linkMbps_ = settings_.linkMbps_;
}

Gateway::Impl::~Impl()
{
  control_.Stop();
  traffic_.Stop();
  loop_.reset();
  store_.reset();
}

FlowOptions
Gateway::Impl::MakeFlowOptions()
{
  FlowOptions options;
  options.name_ = settings_.name_;
  options.region_ = settings_.region_;
  options.regions_ = settings_.regions_;
  options.headers_ = adapter_.headers_;
  options.memory_.machineBytes_ = settings_.memoryBytes_;
  options.servers_.maxOpen_ = [this] {
    return MaxServerConnections(settings_, callers_.Connections());
  };
  options.viewAge_ = [this](TimePoint aNow) { return ViewAge(aNow); };
  options.canFinish_ = [this](TimePoint aDeadline) {
    return CanFinish(aDeadline);
  };
  options.maxRegionShift_ =
    settings_.peers_ ? settings_.bounds_.maxRegionShift_ : 0;
  options.maxChangeDelay_ = settings_.bounds_.maxChangeDelay_;
  options.maxViewAge_ = FromSeconds(
    kKeyFreshnessFraction * ToSeconds(settings_.bounds_.keyWithdrawal_));
  return options;
}

AllowanceOptions
Gateway::Impl::MakeAllowanceOptions() const
{
  AllowanceOptions options;
  options.window_ = settings_.bounds_.allowanceWindow_;
  options.overage_ = settings_.bounds_.allowanceOverage_;
  options.slack_ = settings_.bounds_.allowanceSlack_;
  return options;
}

Duration
Gateway::Impl::ViewAge(TimePoint aNow) const
{
  return confirmedAt_ == TimePoint::min() ? Duration::max()
                                          : aNow - confirmedAt_;
}

ReadHook
Gateway::Impl::MakeReadHook()
{
  return [this](const ReadReport& aReport) { readRecorder_.Record(aReport); };
}

ViewFeedOptions
Gateway::Impl::MakeFeedOptions()
{
  ViewFeedOptions options;
  options.onRead_ = MakeReadHook();
  return options;
}

CallerHooks
Gateway::Impl::MakeCallerHooks()
{
  CallerHooks hooks;
  hooks.limits_ = [this] {
    return flow_.table_ ? flow_.table_->Limits() : GatewayLimits();
  };
  hooks.onRequest_ = [this](std::shared_ptr<CallerExchange> aCaller) {
    return std::make_shared<RequestFlow>(flow_, std::move(aCaller))->Start();
  };
  hooks.onMalformed_ = [](int aStatus, const std::string& aReason) {
    LogEvent(Event::RequestMalformed,
             { { "status", aStatus }, { "reason", aReason } });
  };
  hooks.isDraining_ = [this] { return draining_.load(); };
  hooks.memory_ = &flow_.memory_;
  return hooks;
}

ControlHooks
Gateway::Impl::MakeControlHooks()
{
  ControlHooks hooks;
  // A message that is dropped because the ring is full is superseded by the
  // next one.
  hooks.onView_ = [this](FleetSnapshotPtr aSnapshot, TimePoint aConfirmedAt) {
    const bool posted = traffic_.Post([this,
                                       snapshot = std::move(aSnapshot),
                                       aConfirmedAt,
                                       postedAt = BootClock::now()] {
      OnView(snapshot, aConfirmedAt, postedAt);
    });
    if (!posted) {
      LogEvent(Event::RingFull, { { "ring", "traffic" } });
    }
  };
  hooks.onEra_ = [this](std::uint64_t aEra) {
    storeEra_.Set(static_cast<double>(aEra));
  };
  if (settings_.peers_) {
    hooks.onConfirmed_ = [this](const ViewCache& aCache,
                                const ViewConfirmation& aConfirmation) {
      feed_.Publish(aCache, aConfirmation);
    };
    hooks.pollNeighbour_ = [this](const std::string& aAddress,
                                  const StorePosition& aAfter,
                                  Duration aWait,
                                  std::function<void(ViewResponse)> aCallback) {
      feed_.Poll(aAddress, aAfter, aWait, std::move(aCallback));
    };
    hooks.fetchValue_ =
      [this](const std::string& aAddress,
             const std::string& aKey,
             const StorePosition& aPosition,
             std::function<void(std::optional<KvItem>)> aCallback) {
        feed_.FetchValue(aAddress, aKey, aPosition, std::move(aCallback));
      };
  }
  return hooks;
}

ControlOptions
Gateway::Impl::MakeControlOptions() const
{
  ControlOptions options;
  options.name_ = settings_.name_;
  options.region_ = settings_.region_;
  options.registration_.leaseTtl_ =
    std::max(options.registration_.leaseTtl_, settings_.bounds_.minLeaseTtl_);
  FitToBound(
    options, ViewFeedOptions().timeout_, settings_.bounds_.maxChangeDelay_);
  return options;
}

bool
Gateway::Impl::Listen(Error& aError)
{
  if (!callers_.Listen(settings_.callers_, aError) ||
      !controlServer_.Listen(settings_.readiness_, aError) ||
      !directoryServer_.Listen(settings_.directory_, aError)) {
    return false;
  }
  if (settings_.peers_ &&
      (!flow_.datagrams_.Listen(*settings_.peers_, aError) ||
       !feed_.Listen(*settings_.peers_, aError))) {
    return false;
  }
  return !settings_.metrics_ ||
         metricsServer_.Listen(*settings_.metrics_, aError);
}

bool
Gateway::Impl::Start(Error& aError)
{
  if (!Listen(aError)) {
    return false;
  }
  StartControl();
  OnTick();
  traffic_.Start();
  control_.Start();
  WaitForSignal();
  LogEvent(Event::ProcessStarted,
           { { "region", settings_.region_ },
             { "failure_domain", settings_.failureDomain_ },
             { "callers", self_.callers_ } });
  return true;
}

void
Gateway::Impl::StartControl()
{
  store_ = adapter_.makeStore_(control_.Context(), MakeReadHook());
  loop_ = std::make_unique<ControlLoop>(control_.Context(),
                                        *store_,
                                        adapter_.codec_,
                                        MakeControlOptions(),
                                        MakeControlHooks());
  loop_->SetSelf(self_);
  lastPublished_ = self_;
  loop_->Start();
}

void
Gateway::Impl::OnView(const FleetSnapshotPtr& aSnapshot,
                      TimePoint aConfirmedAt,
                      TimePoint aPostedAt)
{
  // The age just before the confirmation: how late its changes may be.
  CheckViewAge(BootClock::now());
  confirmedAt_ = aConfirmedAt;
  CheckViewAge(BootClock::now());
  if (aSnapshot == snapshot_) {
    return;
  }
  const RoutingTablePtr former = flow_.table_;
  OnSnapshot(aSnapshot);
  if (flow_.table_ && flow_.table_ != former) {
    LogEvent(
      Event::ConfigurationUsed,
      { { "version", flow_.table_->Version() },
        { "handover_ms", ToMilliseconds(BootClock::now() - aPostedAt) } });
  }
}

void
Gateway::Impl::CheckViewAge(TimePoint aNow)
{
  // Before the first view there is nothing that could be late.
  if (confirmedAt_ == TimePoint::min()) {
    return;
  }
  const Duration age = ViewAge(aNow);
  viewAge_.Set(ToSeconds(age));
  if (const auto change = viewAgeMonitor_.Update(age)) {
    LogEvent(
      *change == ViewAgeChange::Late ? Event::ViewLate : Event::ViewCurrent,
      { { "age_ms", ToMilliseconds(age) },
        { "limit_ms", ToMilliseconds(settings_.bounds_.maxChangeDelay_) },
        { "version", flow_.table_ ? flow_.table_->Version() : 0 } });
  }
}

void
Gateway::Impl::OnSnapshot(const FleetSnapshotPtr& aSnapshot)
{
  snapshot_ = aSnapshot;
  lookupHosts_ = aSnapshot->hosts_;
  instances_.Apply(*aSnapshot);
  const TimePoint now = BootClock::now();
  for (const auto& [name, host] : aSnapshot->hosts_) {
    if (name != settings_.name_) {
      flow_.quarantine_.ApplyPublished(host, UnixMilliseconds());
    }
  }
  flow_.coldStarts_.SetHosts(aSnapshot->registered_,
                             HostsInRegion(*aSnapshot, settings_.region_),
                             settings_.name_,
                             now);
  flow_.retries_.SetHosts(aSnapshot->hosts_.size());
  flow_.SetView(aSnapshot->hosts_, aSnapshot->table_);
}

void
Gateway::Impl::OnTick()
{
  tickTimer_.expires_after(ToSteady(kTickInterval));
  tickTimer_.async_wait([this](ErrorCode aError) {
    if (aError) {
      return;
    }
    const TimePoint now = BootClock::now();
    CheckViewAge(now);
    flow_.connections_.CloseExpired(now);
    flow_.UpdateMemoryMetrics();
    flow_.quarantine_.Publish(self_, UnixMilliseconds());
    droppedLines_.Set(static_cast<double>(DroppedLogLines()));
    controlClosed_.Set(static_cast<double>(controlServer_.Closed() +
                                           directoryServer_.Closed() +
                                           metricsServer_.Closed()));
    PublishSelf();
    OnTick();
  });
}

void
Gateway::Impl::PublishSelf()
{
  self_.draining_ = draining_.load();
  const bool changed = self_.draining_ != lastPublished_.draining_ ||
                       !(self_.refused_ == lastPublished_.refused_) ||
                       !(self_.suspected_ == lastPublished_.suspected_) ||
                       !(self_.completed_ == lastPublished_.completed_);
  if (!changed) {
    return;
  }
  if (control_.Post([this, self = self_] { loop_->SetSelf(self); })) {
    lastPublished_ = self_;
  } else {
    LogEvent(Event::RingFull, { { "ring", "control" } });
  }
}

bool
Gateway::Impl::IsReady() const
{
  return flow_.IsReady() && !draining_.load();
}

bool
Gateway::Impl::CanFinish(TimePoint aDeadline) const
{
  if (!draining_.load()) {
    return true;
  }
  const TimePoint since = drainStartedAt_.load();
  return drain_.AcceptsRequest(BootClock::now() - since, aDeadline - since);
}

HttpServer::Handler
Gateway::Impl::MakeControlHandler()
{
  return [this](const HttpRequest& aRequest,
                const std::shared_ptr<HttpReply>& aReply) {
    HandleControl(aRequest, *aReply);
  };
}

void
Gateway::Impl::HandleControl(const HttpRequest& aRequest, HttpReply& aReply)
{
  if (adapter_.isReadinessRequest_(aRequest)) {
    aReply.Send({ IsReady() ? 200 : 503, {}, "" });
    return;
  }
  if (const auto region = adapter_.lookupRegion_(aRequest)) {
    HostRecord& self = lookupHosts_[settings_.name_];
    self = self_;
    self.draining_ = draining_.load();
    const auto addresses =
      HostsForRegion(lookupHosts_, *region, kMaxLookupHosts);
    if (addresses.empty() || !flow_.table_) {
      aReply.Send({ 503, {}, "" });
      return;
    }
    const Duration ttl = std::min(kLookupTtl, settings_.bounds_.lookupTtl_);
    aReply.Send({ 200,
                  { { "Content-Type", "application/json" } },
                  adapter_.encodeHosts_(addresses, ttl) });
    return;
  }
  if (PathOf(aRequest.target_) == adapter_.metricsPath_) {
    aReply.Send(
      { 200, { { "Content-Type", "text/plain" } }, metrics_.Render() });
    return;
  }
  aReply.Send({ 404, {}, "" });
}

void
Gateway::Impl::WaitForSignal()
{
  signals_.async_wait([this](ErrorCode aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      Reload();
    } else if (!draining_.load()) {
      drainStartedAt_ = BootClock::now();
      draining_ = true;
      BeginDrain();
    }
    WaitForSignal();
  });
}

// Addresses and limits are fixed for the life of the process. The settings are
// only read and validated, so that an error in them is found before the next
// start.
void
Gateway::Impl::Reload()
{
  std::string reason;
  const auto settings = adapter_.readSettings_(reason);
  LogEvent(Event::SettingsReloaded,
           { { "usable", settings ? 1 : 0 }, { "reason", reason } });
}

void
Gateway::Impl::BeginDrain()
{
  LogEvent(Event::ProcessStopping);
  traffic_.Post([this] { PublishSelf(); });
  CheckDrain();
}

void
Gateway::Impl::CheckDrain()
{
  const Duration elapsed = BootClock::now() - drainStartedAt_.load();
  DrainStep step = DrainStep::Accept;
  if (!drain_.AcceptsConnections(elapsed)) {
    traffic_.RunAndWait(
      [this, elapsed, &step] { step = PerformDrainStep(elapsed); });
  }
  if (step == DrainStep::Exit) {
    Shutdown();
    return;
  }
  if (step == DrainStep::AnswerRemaining) {
    BeginDeregistration();
  }
  drainTimer_.expires_after(ToSteady(kDrainPollInterval));
  drainTimer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      CheckDrain();
    }
  });
}

DrainStep
Gateway::Impl::PerformDrainStep(Duration aElapsed)
{
  callers_.Close();
  callers_.CloseIdle();
  const DrainStep step =
    drain_.Next(aElapsed, { flow_.inFlight_, callers_.Connections() });
  // After a delay the last step may follow at once.
  if (step == DrainStep::AnswerRemaining || step == DrainStep::Exit) {
    callers_.AnswerRemaining();
  }
  return step;
}

void
Gateway::Impl::BeginDeregistration()
{
  if (deregistered_) {
    return;
  }
  const auto done = std::make_shared<std::promise<void>>();
  deregistered_ = done->get_future();
  const bool posted = control_.Post(
    [this, done] { loop_->Deregister([done] { done->set_value(); }); });
  if (!posted) {
    LogEvent(Event::RingFull, { { "ring", "control" } });
  }
}

void
Gateway::Impl::Shutdown()
{
  BeginDeregistration();
  const Duration elapsed = BootClock::now() - drainStartedAt_.load();
  deregistered_->wait_for(
    std::min(kDeregisterTimeout, drain_.TimeToExit(elapsed)));
  int requests = 0;
  std::size_t connections = 0;
  traffic_.RunAndWait([&] {
    requests = flow_.inFlight_;
    connections = callers_.Connections();
  });
  LogEvent(Event::ProcessStopped,
           { { "elapsed_ms",
               ToMilliseconds(BootClock::now() - drainStartedAt_.load()) },
             { "requests", requests },
             { "connections", connections } });
  mainContext_.stop();
}

int
Gateway::Impl::Run()
{
  mainContext_.run();
  control_.Stop();
  traffic_.Stop();
  return 0;
}

Gateway::Gateway(GatewaySettings aSettings, GatewayAdapter aAdapter)
  : impl_(std::make_unique<Impl>(std::move(aSettings), std::move(aAdapter)))
{
}

Gateway::~Gateway() = default;

bool
Gateway::Start(Error& aError)
{
  return impl_->Start(aError);
}

int
Gateway::Run()
{
  return impl_->Run();
}

}
