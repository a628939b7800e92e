#include "regions/RegionExchange.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;
const std::vector<std::string> kNames{ "east", "north", "west" };
constexpr int kHostsPerRegion = 5;
// Requests per second of each host in a region, with a service time of 0.3 s:
// 30, 30 and 30 busy slots.
constexpr int kRequests = 20;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

struct NetworkFaults
{
  double lost_ = 0;
  double repeated_ = 0;
  // Datagrams arrive up to this much later.
  double maxDelay_ = 0;
};

// Hosts of three regions that exchange datagrams in simulated time.
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, std::vector<double> aSlots)
    : slots_(std::move(aSlots))
    , random_(aSeed)
  {
    for (std::size_t region = 0; region < kNames.size(); ++region) {
      for (int i = 0; i < kHostsPerRegion; ++i) {
        AddHost(region, kNames[region] + "-" + std::to_string(i));
      }
    }
    ApplyView();
  }

  // The hosts that the store lists; the others run on.
  void ApplyView()
  {
    for (auto& [address, host] : hosts_) {
      std::vector<std::vector<RegionHost>> view(kNames.size());
      for (const auto& [other, record] : hosts_) {
        if (!record.removed_) {
          view[record.region_].push_back({ other, other, other == address });
        }
      }
      host.exchange_->SetHosts(view);
      host.exchange_->SetCapacity({ { "s", { slots_, 0 } } });
    }
  }

  void Run(double aSeconds)
  {
    constexpr double kStep = 0.01;
    const double end = now_ + aSeconds;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      for (auto& [address, host] : hosts_) {
        if (host.frozen_ || now_ < host.nextTick_) {
          continue;
        }
        host.nextTick_ = now_ + 0.5;
        for (int i = 0; i < requests_[host.region_] / 2; ++i) {
          host.exchange_->Meter().RecordArrival(
            "s", "r", std::nullopt, std::chrono::milliseconds(500));
        }
        host.exchange_->OnTick(At(now_));
      }
    }
  }

  struct Host
  {
    std::size_t region_ = 0;
    std::unique_ptr<RegionExchange> exchange_;
    double nextTick_ = 0;
    bool frozen_ = false;
    bool removed_ = false;
    std::size_t bytes_ = 0;
    std::size_t datagrams_ = 0;
  };

  double KeptBy(const Host& aHost) const
  {
    return aHost.exchange_->PlanFor("s", At(now_))->shares_[aHost.region_];
  }

  // The largest difference between two hosts of a region.
  double Disagreement() const
  {
    double largest = 0;
    for (const auto& [address, host] : hosts_) {
      for (const auto& [other, peer] : hosts_) {
        if (host.region_ == peer.region_ && !host.frozen_ && !peer.frozen_) {
          largest = std::max(largest, std::abs(KeptBy(host) - KeptBy(peer)));
        }
      }
    }
    return largest;
  }

  std::vector<Host*> Coordinators()
  {
    std::vector<Host*> found;
    for (auto& [address, host] : hosts_) {
      if (!host.frozen_ && host.exchange_->IsCoordinator()) {
        found.push_back(&host);
      }
    }
    return found;
  }

  Host* Planner()
  {
    for (auto& [address, host] : hosts_) {
      if (!host.frozen_ && host.exchange_->IsPlanner()) {
        return &host;
      }
    }
    return nullptr;
  }

  std::uint64_t LowestVersion() const
  {
    std::uint64_t lowest = ~std::uint64_t(0);
    for (const auto& [address, host] : hosts_) {
      if (!host.frozen_) {
        lowest = std::min(lowest, host.exchange_->PlanVersion());
      }
    }
    return lowest;
  }

  Host& AnyHost(std::size_t aRegion)
  {
    return hosts_.at(kNames[aRegion] + "-0");
  }

  std::map<std::string, Host> hosts_;
  std::vector<int> requests_{ kRequests, kRequests, kRequests };
  NetworkFaults faults_;
  // Datagrams to and from this region are lost.
  std::optional<std::size_t> cutRegion_;
  double now_ = 0;
  std::vector<double> slots_;
  // What hosts have sent, for replays.
  std::vector<std::string> sent_;

private:
  struct Datagram
  {
    std::string bytes_;
    std::string from_;
    std::string to_;
  };

  void AddHost(std::size_t aRegion, const std::string& aName)
  {
    Host& host = hosts_[aName];
    host.region_ = aRegion;
    host.nextTick_ = std::uniform_real_distribution<double>(0, 0.5)(random_);
    RegionExchangeOptions options;
    options.regions_ = kNames;
    options.region_ = aRegion;
    RegionExchangeHooks hooks;
    hooks.send_ = [this, aName](const std::string& aBytes,
                                const std::string& aAddress) {
      Send({ aBytes, aName, aAddress });
    };
    hooks.roundTrips_ = [aRegion] {
      std::vector<Duration> ways(kNames.size(), std::chrono::milliseconds(110));
      ways[aRegion] = Duration::zero();
      return ways;
    };
    hooks.onChange_ = [](const RegionPlanChange&) {};
    host.exchange_ = std::make_unique<RegionExchange>(options, hooks);
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(random_) < aProbability;
  }

  void Send(const Datagram& aDatagram)
  {
    Host& from = hosts_.at(aDatagram.from_);
    const Host& to = hosts_.at(aDatagram.to_);
    from.bytes_ += aDatagram.bytes_.size();
    ++from.datagrams_;
    sent_.push_back(aDatagram.bytes_);
    const bool cut = cutRegion_ && from.region_ != to.region_ &&
                     (from.region_ == *cutRegion_ || to.region_ == *cutRegion_);
    if (cut || Chance(faults_.lost_)) {
      return;
    }
    const int copies = Chance(faults_.repeated_) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const double way = from.region_ == to.region_ ? 0.001 : 0.055;
      const double late =
        std::uniform_real_distribution<double>(0, faults_.maxDelay_)(random_);
      network_.emplace(now_ + way + late, aDatagram);
    }
  }

  void Deliver()
  {
    while (!network_.empty() && network_.begin()->first <= now_) {
      const Datagram datagram = network_.begin()->second;
      network_.erase(network_.begin());
      Host& host = hosts_.at(datagram.to_);
      if (!host.frozen_) {
        host.exchange_->OnMessage(datagram.bytes_, datagram.from_, At(now_));
      }
    }
  }

  std::mt19937_64 random_;
  std::multimap<double, Datagram> network_;
};

// The share that a region with these slots keeps of 30 busy slots.
double
KeptOf(double aSlots)
{
  return 0.7 * aSlots / (kRequests * kHostsPerRegion * 0.3);
}

}

// Guards against hosts of one region that use different plans for longer than a
// plan takes to reach them, and against traffic that grows with the fleet.
TEST_CASE("All hosts of a region use the plan from the measured demand")
{
  Fleet fleet(kSeed, { 100, 100, 20 });
  fleet.Run(2);
  // The callers are spread evenly, but need less than the target of all slots,
  // so that the region keeps more than its part of the slots.
  CHECK(KeptOf(20) > 3.0 * 20 / 220);
  fleet.Run(28);
  for (const auto& [name, host] : fleet.hosts_) {
    INFO(name);
    const double expected = host.region_ == 2 ? KeptOf(20) : 1;
    CHECK(fleet.KeptBy(host) == Approx(expected).margin(0.05));
    CHECK(host.exchange_->Dropped() == 0);
  }
  CHECK(fleet.Coordinators().size() == 3);
  std::size_t reporters = 0;
  for (const auto& [name, host] : fleet.hosts_) {
    const bool reports = !host.exchange_->IsCoordinator();
    reporters += reports ? 1 : 0;
    // Two datagrams a second, below 300 bytes each.
    CHECK((!reports || host.datagrams_ <= 2 * 30 + 2));
    CHECK((!reports || host.bytes_ <= host.datagrams_ * 300));
  }
  CHECK(reporters == 12);
}

// Guards against shares that stop, jump or differ between the hosts when
// datagrams are lost, late or repeated.
TEST_CASE("Lost, late and repeated messages delay the plan only")
{
  for (std::uint64_t seed = kSeed; seed < kSeed + 5; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(seed, { 100, 100, 20 });
    fleet.faults_ = { 0.2, 0.2, 0.4 };
    fleet.Run(40);
    CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(KeptOf(20)).margin(0.05));
    CHECK(fleet.Disagreement() < 0.05);
    const std::uint64_t version = fleet.LowestVersion();
    fleet.Run(5);
    CHECK(fleet.LowestVersion() > version);
  }
}

// Guards against a plan that stands still until the store drops the
// registration of a coordinator or planner that is lost or frozen.
TEST_CASE("The next host in order takes over at once")
{
  for (const bool planner : { true, false }) {
    INFO("planner " << planner);
    Fleet fleet(kSeed, { 100, 100, 20 });
    fleet.Run(30);
    Fleet::Host* lost = fleet.Planner();
    for (Fleet::Host* host : fleet.Coordinators()) {
      if (!planner && !host->exchange_->IsPlanner()) {
        lost = host;
      }
    }
    lost->frozen_ = true;
    const std::uint64_t version = fleet.Planner() == nullptr
                                    ? lost->exchange_->PlanVersion()
                                    : fleet.Planner()->exchange_->PlanVersion();
    const double kept = fleet.KeptBy(fleet.AnyHost(2));
    for (int i = 0; i < 12; ++i) {
      fleet.Run(0.5);
      CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(kept).margin(0.08));
    }
    CHECK(fleet.LowestVersion() > version);
    CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(KeptOf(20)).margin(0.06));
    // It wakes up with an old plan and old reports.
    lost->frozen_ = false;
    fleet.Run(10);
    CHECK(fleet.Disagreement() < 0.05);
    CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(KeptOf(20)).margin(0.06));
    lost->removed_ = true;
    fleet.ApplyView();
    fleet.Run(5);
    CHECK(fleet.Disagreement() < 0.05);
  }
}

// Guards against hosts that use an old plan without end, or that do not return
// to the plan.
TEST_CASE("A region that is cut off divides its work by the slots")
{
  Fleet fleet(kSeed, { 100, 100, 20 });
  fleet.requests_ = { 2 * kRequests, kRequests, kRequests };
  fleet.Run(40);
  const double planned = fleet.KeptBy(fleet.AnyHost(2));
  fleet.cutRegion_ = 2;
  fleet.Run(3);
  CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(planned).margin(0.05));
  fleet.Run(15);
  CHECK(fleet.Disagreement() < 0.08);
  fleet.cutRegion_.reset();
  fleet.Run(30);
  CHECK(fleet.KeptBy(fleet.AnyHost(2)) == Approx(KeptOf(20)).margin(0.05));
}

// Guards against malformed messages that stop a host or change its plan.
TEST_CASE("Malformed messages are counted and dropped")
{
  Fleet fleet(kSeed, { 100, 100, 20 });
  fleet.Run(10);
  RegionExchange& host = *fleet.AnyHost(2).exchange_;
  std::mt19937_64 random(kSeed);
  const double kept = fleet.KeptBy(fleet.AnyHost(2));
  for (int i = 0; i < 3000; ++i) {
    std::string bytes = fleet.sent_[random() % fleet.sent_.size()];
    bytes.resize(random() % bytes.size());
    host.OnMessage(bytes, "east-0", At(fleet.now_));
  }
  const std::uint64_t dropped = host.Dropped();
  const auto send = [&](const nlohmann::json& aMessage) {
    std::string bytes;
    nlohmann::json::to_cbor(aMessage, bytes);
    return host.OnMessage(bytes, "east-0", At(fleet.now_));
  };
  CHECK_FALSE(send({ { "kind", "take" } }));
  CHECK_FALSE(send(7));
  CHECK(send({ { "kind", "region-plan" } }));
  CHECK(
    send({ { "kind", "region-plan" }, { "regions", 1 }, { "region", -1 } }));
  CHECK(host.Dropped() == dropped + 2);
  // Shares that do not add up to 1, of a region list that fits.
  const RegionMessageCodec codec(kNames);
  PlanMessage plan;
  plan.region_ = 2;
  plan.plan_.version_ = host.PlanVersion() + 1000;
  plan.plan_.services_["s"] = { { 0.5, 0.9, 0.5 }, { false, false, false } };
  for (const std::string& bytes : codec.Encode(plan)) {
    CHECK(host.OnMessage(bytes, "east-0", At(fleet.now_)));
  }
  CHECK(host.Dropped() == dropped + 3);
  CHECK(fleet.KeptBy(fleet.AnyHost(2)) == kept);
}

// Guards against datagrams that are larger than a packet, and against services
// that are lost when a message is split.
TEST_CASE("Messages with many services are split")
{
  const RegionMessageCodec codec(kNames);
  DemandReport report;
  report.region_ = 1;
  report.regional_ = true;
  report.roundTrips_.assign(3, std::chrono::milliseconds(110));
  for (int i = 0; i < 200; ++i) {
    const std::string service = "service-" + std::to_string(i);
    report.services_[service] = { 12.5, { 1, 2, 3 }, 40, Duration::zero() };
    report.shares_[service] = { 0.25, 0.5, 0.25 };
  }
  std::map<std::string, ServiceDemand> services;
  int asking = 0;
  for (const std::string& bytes : codec.Encode(report)) {
    CHECK(bytes.size() < 1400);
    const auto message = codec.Decode(bytes);
    REQUIRE(message);
    const auto& part = std::get<DemandReport>(*message);
    asking += part.wantsPlan_ ? 1 : 0;
    services.insert(part.services_.begin(), part.services_.end());
    CHECK(part.shares_.size() == part.services_.size());
  }
  CHECK(asking == 1);
  REQUIRE(services.size() == 200);
  CHECK(services.at("service-7").movable_ == Approx(12.5));
  CHECK(services.at("service-7").fixed_[2] == Approx(3));
  CHECK(services.at("service-7").requests_ == Approx(40));
}
