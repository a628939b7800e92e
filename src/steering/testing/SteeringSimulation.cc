#include "steering/testing/SteeringSimulation.h"

#include "base/Hash.h"
#include "steering/HostSteering.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace peridotsail::testing {

namespace {

using namespace std::chrono_literals;

constexpr int kRegions = 3;
constexpr std::array<const char*, kRegions> kNames{ "a", "b", "c" };
constexpr std::array<int, kRegions> kHosts{ 3, 2, 2 };
constexpr std::array<int, kRegions> kSlots{ 24, 24, 24 };
// Requests per second of each region's own callers.
constexpr std::array<double, kRegions> kDemand{ 240, 100, 100 };
constexpr int kBlocks = 1500;
constexpr Duration kServiceTime = 50ms;
// The cache is cold for a block whose last request in the region is older.
constexpr Duration kCacheLifetime = 60s;
constexpr Duration kOneWay = 55ms;
constexpr Duration kToClient = 8ms;
constexpr Duration kDeadline = 2s;
constexpr Duration kTimeToLive = 5s;
constexpr Duration kReportLag = 300ms;
constexpr double kCapMbit = 12;
constexpr double kBytesPerMbit = 125'000;
constexpr double kRequestBytes = 2'000;
constexpr double kResponseBytes = 40'000;
constexpr Duration kFailureStart = 20s;
constexpr Duration kFailureEnd = 60s;
constexpr Duration kDrainStart = 90s;
constexpr Duration kEnd = 180s;

struct Request
{
  int block_ = 0;
  // The regions of the caller, of the entry host and of the backend servers.
  int home_ = 0;
  int entry_ = 0;
  int pool_ = 0;
  int entryHost_ = 0;
  int poolHost_ = 0;
  TimePoint start_{};
  std::vector<std::string> triedRegions_;
  ShiftReservation response_;
};
using RequestPtr = std::shared_ptr<Request>;

struct Pool
{
  int slots_ = 0;
  int busy_ = 0;
  std::deque<RequestPtr> queue_;
  double Utilization() const
  {
    return double(busy_ + int(queue_.size())) / std::max(1, slots_);
  }
  Duration Wait() const
  {
    if (busy_ < slots_) {
      return Duration::zero();
    }
    return kServiceTime * int(queue_.size() + 1) / std::max(1, slots_);
  }
};

struct LeakyBucket
{
  double level_ = 0;
  TimePoint last_{};
};

struct CachedAnswer
{
  TimePoint until_{};
  int region_ = 0;
  int host_ = 0;
};

class Simulation
{
public:
  explicit Simulation(const SimulationOptions& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , arrivals_(~aOptions.seed_)
  {
    configuration_ = MakeConfiguration(false);
    std::vector<LookupHost> list;
    for (int region = 0; region < kRegions; ++region) {
      pools_[region].slots_ = kSlots[region];
      reportedUtilization_[region] = 0;
      for (int i = 0; i < kHosts[region]; ++i) {
        list.push_back({ kNames[region] + std::to_string(i),
                         kNames[region],
                         kNames[region] + std::to_string(i % 2),
                         "x" });
      }
    }
    for (int region = 0; region < kRegions; ++region) {
      for (int i = 0; i < kHosts[region]; ++i) {
        auto host = std::make_unique<HostSteering>(kNames[region]);
        host->SetHosts(list);
        host->SetSlot(1, TimePoint::max(), now_);
        for (const char* other : kNames) {
          host->SetRoundTrip(other, 2 * kOneWay);
        }
        host->SetConfiguration(configuration_, now_);
        hosts_[region].push_back(std::move(host));
      }
    }
  }

  SimulationResult Run()
  {
    for (int region = 0; region < kRegions; ++region) {
      ScheduleArrival(region);
    }
    At(1s, [this] { OnSecond(); });
    At(kFailureStart, [this] { pools_[0].slots_ = kSlots[0] / 4; });
    At(kFailureEnd, [this] {
      pools_[0].slots_ = kSlots[0];
      StartQueued(0);
    });
    At(kDrainStart, [this] { BeginDrain(); });
    while (!events_.empty() && events_.top().at_ <= start_ + kEnd) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.run_();
    }
    std::sort(latencies_.begin(), latencies_.end());
    if (!latencies_.empty()) {
      result_.medianMs_ = latencies_[latencies_.size() / 2];
      result_.p99Ms_ = latencies_[latencies_.size() * 99 / 100];
    }
    return result_;
  }

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t order_;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  bool UsesHostSteering() const
  {
    return options_.policy_ == SteeringPolicy::Peridotsail ||
           options_.policy_ == SteeringPolicy::NoCaps;
  }

  ConfigurationPtr MakeConfiguration(bool aDrain) const
  {
    auto configuration = std::make_shared<Configuration>();
    for (int region = 0; region < kRegions; ++region) {
      const double capacity = kSlots[region] / ToSeconds(kServiceTime);
      configuration->regions_.push_back(
        { kNames[region], {}, kHosts[region], capacity });
      configuration->backendServers_.push_back(
        { kNames[region], "p", kNames[region], "", "", kSlots[region], 400 });
      for (const char* to : kNames) {
        if (to != configuration->regions_.back().name_ &&
            options_.policy_ != SteeringPolicy::NoCaps) {
          configuration->shiftCaps_.push_back({ kNames[region], to, kCapMbit });
        }
      }
    }
    PoolConfig pool;
    pool.name_ = "p";
    pool.warmUp_ = 10s;
    configuration->pools_.push_back(pool);
    RouteConfig route;
    route.name_ = "r";
    route.timeout_ = kDeadline;
    configuration->routes_.push_back(route);
    if (aDrain) {
      configuration->drains_.push_back({ DrainKind::Region, kNames[0] });
    }
    return configuration;
  }

  void At(Duration aTime, std::function<void()> aRun)
  {
    events_.push({ start_ + aTime, ++order_, std::move(aRun) });
  }
  void After(Duration aDelay, std::function<void()> aRun)
  {
    events_.push({ now_ + aDelay, ++order_, std::move(aRun) });
  }

  void OnSecond()
  {
    const Duration since = now_ - start_;
    const bool stopped =
      options_.measurementsStop_ && since >= 40s && since < kFailureEnd;
    for (int region = 0; region < kRegions && !stopped; ++region) {
      const Pool& pool = pools_[region];
      const double utilization = pool.Utilization();
      const double headroom = std::max(0.0, pool.slots_ * 0.9 - pool.busy_);
      const RegionMeasurement report{ now_,
                                      utilization,
                                      headroom / ToSeconds(kServiceTime) };
      After(kReportLag, [this, region, report] {
        reportedUtilization_[region] = report.utilization_;
        for (auto& group : hosts_) {
          for (auto& host : group) {
            host->Observe(kNames[region], report, now_);
          }
        }
      });
    }
    for (auto& group : hosts_) {
      for (auto& host : group) {
        host->Tick(now_);
      }
    }
    if (draining_) {
      double maxUtilization = 0;
      for (int region = 1; region < kRegions; ++region) {
        maxUtilization = std::max(maxUtilization, pools_[region].Utilization());
      }
      result_.minDrainHeadroom_ =
        std::min(result_.minDrainHeadroom_, 1 - maxUtilization);
    }
    After(1s, [this] { OnSecond(); });
  }

  void BeginDrain()
  {
    draining_ = true;
    configuration_ = MakeConfiguration(true);
    for (auto& group : hosts_) {
      for (auto& host : group) {
        host->SetConfiguration(configuration_, now_);
      }
    }
    if (UsesHostSteering()) {
      const DrainPlan& plan = hosts_[0][0]->Drains().front().plan_;
      result_.forecastSeconds_ = ToSeconds(plan.moveTime_ + kTimeToLive);
    }
  }

  int RegionIndex(const std::string& aName) const { return aName[0] - 'a'; }

  // Returns the cached lookup answer, renewed when its time to live has passed.
  const CachedAnswer& Cached(int aBlock, int aHome)
  {
    CachedAnswer& cached = cache_[aBlock];
    if (now_ < cached.until_) {
      return cached;
    }
    cached.until_ = now_ + kTimeToLive;
    const std::string block = std::to_string(aBlock);
    if (UsesHostSteering()) {
      const LookupHost* first = hosts_[aHome][0]->Lookup(block).hosts_.front();
      cached.region_ = RegionIndex(first->region_);
      cached.host_ = first->name_[1] - '0';
      return cached;
    }
    cached.region_ = options_.policy_ == SteeringPolicy::LeastLoaded
                       ? LeastLoaded()
                       : (draining_ && aHome == 0 ? 1 : aHome);
    cached.host_ = int(StableHash(block) % kHosts[cached.region_]);
    return cached;
  }

  int LeastLoaded() const
  {
    int best = draining_ ? 1 : 0;
    for (int region = best; region < kRegions; ++region) {
      best = reportedUtilization_[region] < reportedUtilization_[best] ? region
                                                                       : best;
    }
    return best;
  }

  void ScheduleArrival(int aRegion)
  {
    std::exponential_distribution<> gap(kDemand[aRegion]);
    After(FromSeconds(gap(arrivals_)), [this, aRegion] {
      auto request = std::make_shared<Request>();
      request->block_ =
        int(arrivals_() % (kBlocks / kRegions)) * kRegions + aRegion;
      request->home_ = aRegion;
      request->start_ = now_;
      ++result_.requests_;
      const CachedAnswer& cached = Cached(request->block_, aRegion);
      request->entry_ = cached.region_;
      request->entryHost_ = cached.host_;
      const Duration latency =
        kToClient + (cached.region_ == aRegion ? Duration::zero() : kOneWay);
      After(latency, [this, request] { OnEntry(request); });
      ScheduleArrival(aRegion);
    });
  }

  Duration RemainingTime(const Request& aRequest) const
  {
    return aRequest.start_ + kDeadline - now_;
  }

  void OnEntry(const RequestPtr& aRequest)
  {
    if (draining_ && aRequest->entry_ == 0 && aRequest->triedRegions_.empty()) {
      result_.drainSeconds_ = ToSeconds(now_ - start_ - kDrainStart);
    }
    if (!UsesHostSteering()) {
      const bool choose = options_.policy_ == SteeringPolicy::LeastLoaded;
      aRequest->pool_ = choose ? LeastLoaded() : aRequest->entry_;
      if (aRequest->pool_ == aRequest->entry_) {
        Enqueue(aRequest);
      } else {
        ++result_.relayed_;
        RecordTransfer(aRequest->entry_, aRequest->pool_, kRequestBytes);
        After(kOneWay, [this, aRequest] { Enqueue(aRequest); });
      }
      return;
    }
    const Pool& pool = pools_[aRequest->entry_];
    SteerRequestInput input;
    input.key_ = random_();
    input.requestBytes_ = kRequestBytes;
    input.localWait_ = pool.Wait();
    input.hasLocalServer_ = true;
    input.remainingTime_ = RemainingTime(*aRequest);
    input.triedRegions_ = aRequest->triedRegions_;
    HostSteering& host = *hosts_[aRequest->entry_][aRequest->entryHost_];
    SteerDecision decision = host.Steer(input, now_);
    if (decision.action_ == SteerAction::ServeLocally) {
      aRequest->pool_ = aRequest->entry_;
      Enqueue(aRequest);
    } else if (decision.action_ == SteerAction::Refuse) {
      ++result_.refused_;
    } else {
      ++result_.relayed_;
      host.Caps().Consume(decision.reservation_, kRequestBytes, now_);
      host.Caps().Release(decision.reservation_, now_);
      aRequest->pool_ = RegionIndex(decision.region_);
      RecordTransfer(aRequest->entry_, aRequest->pool_, kRequestBytes);
      After(kOneWay, [this, aRequest] { Admit(aRequest); });
    }
  }

  // Admission of a relayed request at the destination.
  void Admit(const RequestPtr& aRequest)
  {
    const int region = aRequest->pool_;
    aRequest->poolHost_ = int(random_() % kHosts[region]);
    HostSteering& host = *hosts_[region][aRequest->poolHost_];
    const Pool& pool = pools_[region];
    auto reservation =
      host.Caps().Reserve(kNames[aRequest->entry_], kResponseBytes, now_);
    if (reservation &&
        !host.Admission().AdmitRelayed(pool.slots_ - pool.busy_, now_)) {
      aRequest->response_ = *reservation;
      Enqueue(aRequest);
      return;
    }
    if (reservation) {
      host.Caps().Release(*reservation, now_);
    }
    After(kOneWay, [this, aRequest, region] {
      HostSteering& entry = *hosts_[aRequest->entry_][aRequest->entryHost_];
      entry.Weights().RecordRefusal(kNames[region], now_);
      aRequest->triedRegions_.push_back(kNames[region]);
      OnEntry(aRequest);
    });
  }

  void Enqueue(const RequestPtr& aRequest)
  {
    Pool& pool = pools_[aRequest->pool_];
    if (pool.Wait() + kServiceTime > RemainingTime(*aRequest)) {
      ++result_.refused_;
      return;
    }
    pool.queue_.push_back(aRequest);
    StartQueued(aRequest->pool_);
    result_.maxQueueRatio_ = std::max(result_.maxQueueRatio_,
                                      double(pool.queue_.size()) / pool.slots_);
  }

  void StartQueued(int aRegion)
  {
    Pool& pool = pools_[aRegion];
    while (pool.busy_ < pool.slots_ && !pool.queue_.empty()) {
      const RequestPtr request = pool.queue_.front();
      pool.queue_.pop_front();
      ++pool.busy_;
      TimePoint& lastServed = lastServed_[{ aRegion, request->block_ }];
      const bool isWarm =
        now_ - lastServed < kCacheLifetime || now_ - start_ < 10s;
      lastServed = now_;
      After(isWarm ? kServiceTime : 2 * kServiceTime, [this, request, aRegion] {
        --pools_[aRegion].busy_;
        StartQueued(aRegion);
        Respond(request, kResponseBytes);
      });
    }
  }

  // Sends the response, in several parts if the shift cap delays it.
  void Respond(const RequestPtr& aRequest, double aBytes)
  {
    if (aRequest->pool_ != aRequest->entry_) {
      double sent = aBytes;
      if (UsesHostSteering()) {
        ShiftCaps& caps = hosts_[aRequest->pool_][aRequest->poolHost_]->Caps();
        sent = caps.Consume(aRequest->response_, aBytes, now_);
        if (sent >= aBytes) {
          caps.Release(aRequest->response_, now_);
        }
      }
      RecordTransfer(aRequest->pool_, aRequest->entry_, sent);
      if (sent < aBytes) {
        After(10ms, [this, aRequest, aBytes, sent] {
          Respond(aRequest, aBytes - sent);
        });
        return;
      }
    }
    Duration latency = kToClient;
    latency += aRequest->pool_ != aRequest->entry_ ? kOneWay : Duration::zero();
    latency += aRequest->entry_ != aRequest->home_ ? kOneWay : Duration::zero();
    latencies_.push_back(ToSeconds(now_ + latency - aRequest->start_) * 1000);
  }

  void RecordTransfer(int aFrom, int aTo, double aBytes)
  {
    constexpr double kRate = kCapMbit * kBytesPerMbit;
    LeakyBucket& bucket = buckets_[{ aFrom, aTo }];
    bucket.level_ =
      std::max(0.0, bucket.level_ - kRate * ToSeconds(now_ - bucket.last_));
    bucket.level_ += aBytes;
    bucket.last_ = now_;
    result_.maxCapSeconds_ =
      std::max(result_.maxCapSeconds_, bucket.level_ / kRate);
  }

  SimulationOptions options_;
  std::mt19937_64 random_;
  // A separate generator, so that all policies receive the same requests.
  std::mt19937_64 arrivals_;
  TimePoint start_{ 1000s };
  TimePoint now_ = start_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  ConfigurationPtr configuration_;
  std::array<std::vector<std::unique_ptr<HostSteering>>, kRegions> hosts_;
  std::array<Pool, kRegions> pools_;
  std::array<double, kRegions> reportedUtilization_{};
  std::map<int, CachedAnswer> cache_;
  std::map<std::pair<int, int>, TimePoint> lastServed_;
  std::map<std::pair<int, int>, LeakyBucket> buckets_;
  std::vector<double> latencies_;
  bool draining_ = false;
  SimulationResult result_;
};

}

SimulationResult
RunSteeringSimulation(const SimulationOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

std::string_view
NameOf(SteeringPolicy aPolicy)
{
  switch (aPolicy) {
    case SteeringPolicy::Peridotsail:
      return "peridotsail";
    case SteeringPolicy::NoCaps:
      return "no-caps";
    case SteeringPolicy::NearestOnly:
      return "nearest-only";
    case SteeringPolicy::LeastLoaded:
      break;
  }
  return "least-loaded";
}

}
