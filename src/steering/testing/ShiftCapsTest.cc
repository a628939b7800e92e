#include "steering/ShiftCaps.h"
#include "steering/RequestSteering.h"
#include "steering/ShareBucket.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace peridotsail;
using namespace std::chrono_literals;

namespace {

constexpr double kBytesPerMbit = 125'000;
constexpr Duration kStep = 5ms;
constexpr int kSeconds = 60;
constexpr std::uint64_t kSeeds = 6;
const std::vector<std::string> kRegions{ "a", "b", "c" };

Configuration
MakeConfiguration(double aMbit, int aSlotsOfA = 3)
{
  Configuration configuration;
  for (const std::string& name : kRegions) {
    configuration.regions_.push_back(
      { name, {}, name == "a" ? aSlotsOfA : 2, 0 });
    for (const std::string& to : kRegions) {
      if (to != name) {
        configuration.shiftCaps_.push_back({ name, to, aMbit });
      }
    }
  }
  return configuration;
}

// Leaky bucket that measures a flow: the flow stays within rate * t + burst in
// every window if and only if the level never exceeds the burst. Levels are
// recorded in seconds of the rate.
struct WindowMeter
{
  void Add(double aBytes, double aRate, TimePoint aNow)
  {
    level_ = std::max(0.0, level_ - aRate * ToSeconds(aNow - last_));
    level_ += aBytes;
    last_ = aNow;
    maxSeconds_ = std::max(maxSeconds_, level_ / aRate);
    total_ += aBytes;
  }

  double level_ = 0;
  double maxSeconds_ = 0;
  double total_ = 0;
  TimePoint last_{};
};

// A configuration version. Region a has two or three slots.
struct CapVersion
{
  double mbit_;
  int slotsOfA_;
  TimePoint at_;
};

// A host with its shift caps and relayed flows. A response is a flow from the
// serving region to the region of the request.
struct SimulatedHost
{
  SimulatedHost(std::string aRegion, int aSlot, std::uint64_t aEpoch)
    : region_(std::move(aRegion))
    , slot_(aSlot)
    , epoch_(aEpoch)
    , caps_(region_, [this](const std::string&) {
      auto bucket = std::make_unique<ShareBucket>();
      buckets_.push_back(bucket.get());
      return bucket;
    })
  {
  }

  void ApplyVersion(const CapVersion& aVersion, TimePoint aNow)
  {
    caps_.SetConfiguration(
      MakeConfiguration(aVersion.mbit_, aVersion.slotsOfA_), aNow);
    const bool had = hasSlot_;
    hasSlot_ = slot_ < (region_ == "a" ? aVersion.slotsOfA_ : 2);
    if (!hasSlot_) {
      validUntil_ = aNow;
    } else if (!had && !buckets_.empty() && validUntil_ != TimePoint{}) {
      // The slot was added by this version.
      ++epoch_;
      startAt_ = aNow + 10s;
    }
  }
  // Renews the lease.
  void Renew(TimePoint aNow)
  {
    if (hasSlot_ && aNow >= startAt_) {
      validUntil_ = aNow + 9s;
    }
    for (ShareBucket* bucket : buckets_) {
      bucket->SetSlot(epoch_, validUntil_, aNow);
    }
  }

  std::string region_;
  int slot_;
  std::uint64_t epoch_;
  std::vector<ShareBucket*> buckets_;
  ShiftCaps caps_;
  std::vector<std::pair<ShiftReservation, double>> flows_;
  bool hasSlot_ = false;
  TimePoint startAt_{};
  TimePoint validUntil_{};
  std::size_t version_ = 0;
};

class CapSimulation
{
public:
  explicit CapSimulation(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (const std::string& region : kRegions) {
      for (int i = 0; i < (region == "a" ? 3 : 2); ++i) {
        hosts_.push_back(std::make_unique<SimulatedHost>(region, i, 1));
        hosts_.back()->ApplyVersion(versions_.back(), now_);
      }
    }
  }

  void Run()
  {
    for (int step = 0; step < kSeconds * 200; ++step) {
      now_ += kStep;
      if (Chance(1.0 / 3000)) {
        const double mbit = 1 << (random_() % 3);
        versions_.push_back({ mbit, random_() % 2 == 0 ? 2 : 3, now_ });
      }
      // Bytes are reserved and held, as with slow servers, then the buckets
      // refill, then all reservations are used at once.
      phase_ = static_cast<Phase>(step / 200 % 3);
      for (auto& host : hosts_) {
        Advance(host);
      }
      for (auto& paused : paused_) {
        if (Chance(0.02)) {
          Send(*paused);
        }
      }
    }
  }

  double MaxBurstSeconds() const
  {
    double maximum = 0;
    for (const auto& [pair, meter] : meters_) {
      maximum = std::max(maximum, meter.maxSeconds_);
    }
    return maximum;
  }

  double SentBytes() const
  {
    double total = 0;
    for (const auto& [pair, meter] : meters_) {
      total += meter.total_;
    }
    return total;
  }

private:
  enum class Phase
  {
    Reserve,
    Refill,
    Burst,
  };

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(random_) < aProbability;
  }

  void Advance(std::unique_ptr<SimulatedHost>& aHost)
  {
    // The host is paused beyond the end of its lease. Its successor holds the
    // slot from the end of the lease and starts with empty buckets.
    if (Chance(1.0 / 2500)) {
      auto next = std::make_unique<SimulatedHost>(
        aHost->region_, aHost->slot_, aHost->epoch_ + 1);
      next->startAt_ = std::max(aHost->validUntil_, aHost->startAt_);
      next->version_ = versions_.size() - 1;
      next->ApplyVersion(versions_.back(), now_);
      paused_.push_back(std::move(aHost));
      aHost = std::move(next);
    }
    const std::size_t newest = versions_.size() - 1;
    const bool late = aHost->version_ < newest &&
                      versions_[aHost->version_ + 1].at_ + 9s < now_;
    if (aHost->version_ < newest && (late || Chance(0.002))) {
      aHost->version_ = newest;
      aHost->ApplyVersion(versions_.back(), now_);
    }
    aHost->Renew(now_);
    Reserve(*aHost);
    Send(*aHost);
  }

  void Reserve(SimulatedHost& aHost)
  {
    const std::string& to = kRegions[random_() % kRegions.size()];
    const double size =
      std::exp(std::uniform_real_distribution<>(6, 13)(random_));
    if (phase_ != Phase::Refill && to != aHost.region_ && Chance(0.5)) {
      auto reservation = aHost.caps_.Reserve(to, size, now_);
      if (reservation) {
        aHost.flows_.emplace_back(*reservation, size);
      }
    }
  }

  void Send(SimulatedHost& aHost)
  {
    for (std::size_t i = 0; i < aHost.flows_.size();) {
      auto& [reservation, left] = aHost.flows_[i];
      if (phase_ == Phase::Burst) {
        const double sent =
          aHost.caps_.Consume(reservation, std::min(left, 65'536.0), now_);
        left -= sent;
        meters_[{ aHost.region_, reservation.to_ }].Add(
          sent, LargestCap() * kBytesPerMbit, now_);
      }
      if (left <= 0 || Chance(0.0005)) {
        aHost.caps_.Release(reservation, now_);
        aHost.flows_.erase(aHost.flows_.begin() +
                           static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
  }

  // Returns the largest cap that any host may still apply.
  double LargestCap() const
  {
    double largest = versions_.back().mbit_;
    for (std::size_t i = 0; i + 1 < versions_.size(); ++i) {
      if (versions_[i + 1].at_ + 10s > now_) {
        largest = std::max(largest, versions_[i].mbit_);
      }
    }
    return largest;
  }

  std::mt19937_64 random_;
  TimePoint now_{ 1000s };
  Phase phase_ = Phase::Reserve;
  std::vector<CapVersion> versions_{ { 2, 3, TimePoint{} } };
  std::vector<std::unique_ptr<SimulatedHost>> hosts_;
  std::vector<std::unique_ptr<SimulatedHost>> paused_;
  std::map<std::pair<std::string, std::string>, WindowMeter> meters_;
};

}

// Tests invariant 1 in all time windows, while hosts are paused beyond their
// lease and resume, reservations are held and released, and cap changes reach
// the hosts at different times.
TEST_CASE("the hosts of a region together stay under its shift caps")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CapSimulation simulation(seed);
    simulation.Run();
    INFO("seed " << seed);
    // In seconds of the cap; the limit is 1.
    CHECK(simulation.MaxBurstSeconds() <= 1 + 1e-6);
    // The caps must also be usable: six pairs of about 2 Mbit/s for one minute.
    CHECK(simulation.SentBytes() > 6 * kSeconds * kBytesPerMbit * 0.3);
  }
}

// Tests invariant 1 for a host that reserved bytes and was paused beyond its
// lease: it must not send them, because its successor uses the same share.
TEST_CASE("a host that lost its slot cannot use its reservations")
{
  const TimePoint now{ 1000s };
  SimulatedHost paused("b", 0, 1);
  paused.ApplyVersion({ 2, 3, now }, now);
  paused.Renew(now);
  auto reservation = paused.caps_.Reserve("a", 50'000, now + 2s);
  REQUIRE(reservation);
  CHECK(paused.caps_.Consume(*reservation, 10'000, now + 8s) == 10'000);
  CHECK(paused.caps_.Consume(*reservation, 10'000, now + 9s) == 0);
  CHECK_FALSE(paused.caps_.Reserve("a", 1, now + 9s));
}

// Tests invariant 1 while hosts use versions with different numbers of slots:
// an increased share must wait until no host uses the older version.
TEST_CASE("shares add up to the limit while the number of slots is reduced")
{
  const TimePoint start{ 1000s };
  std::vector<ShareBucket> hosts(3);
  for (ShareBucket& host : hosts) {
    host.SetLimits({ 30, 30, 3 }, start);
    host.SetSlot(1, start + 60s, start);
  }
  TimePoint now = start + 20s;
  hosts[0].SetLimits({ 30, 30, 2 }, now);
  hosts[1].SetLimits({ 30, 30, 2 }, now);
  const auto sum = [&] {
    double tokens = 0;
    for (ShareBucket& host : hosts) {
      tokens += host.Level(now);
    }
    return tokens;
  };
  now += 9s;
  CHECK(sum() == Approx(30));
  hosts[2].SetSlot(1, now, now);
  CHECK(sum() == Approx(20));
  now += 2s;
  CHECK(sum() == Approx(30));
}

// Tests the decision between local service, relay and refusal.
TEST_CASE("a request is steered to a region that can serve it")
{
  Configuration configuration = MakeConfiguration(2);
  const TimePoint now{ 1000s };
  RegionWeights weights;
  weights.SetConfiguration(configuration, now);
  for (const std::string& to : kRegions) {
    weights.SetRoundTrip("a", to, 110ms);
  }
  struct Case
  {
    std::optional<Duration> localWait_;
    bool hasServer_;
    bool hasTokens_;
    bool isReachable_;
    SteerAction action_;
    ErrorKind errorKind_;
  };
  const ErrorKind none = ErrorKind::Internal;
  const std::vector<Case> rows{
    { 0ms, true, true, true, SteerAction::ServeLocally, none },
    { 50ms, true, true, true, SteerAction::ServeLocally, none },
    { 500ms, true, true, true, SteerAction::Relay, none },
    { 500ms, true, false, true, SteerAction::ServeLocally, none },
    { 5s, true, false, true, SteerAction::Refuse, ErrorKind::ShiftCapReached },
    { 5s, true, true, false, SteerAction::Refuse, ErrorKind::QueueFull },
    { std::nullopt, false, true, true, SteerAction::Relay, none },
    { std::nullopt,
      false,
      true,
      false,
      SteerAction::Refuse,
      ErrorKind::NoBackendServer },
    { std::nullopt,
      true,
      false,
      true,
      SteerAction::Refuse,
      ErrorKind::ShiftCapReached },
  };
  for (const Case& row : rows) {
    ShareBucket* bucket = nullptr;
    ShiftCaps caps("a", [&](const std::string&) {
      auto made = std::make_unique<ShareBucket>();
      made->SetSlot(
        1, row.hasTokens_ ? TimePoint::max() : TimePoint{}, now - 1s);
      bucket = made.get();
      return made;
    });
    caps.SetConfiguration(configuration, now - 1s);
    SteerRequestInput input;
    input.ownRegion_ = "a";
    input.requestBytes_ = 1000;
    input.localWait_ = row.localWait_;
    input.hasLocalServer_ = row.hasServer_;
    input.remainingTime_ = 2s;
    input.isReachable_ = [&](const std::string&) { return row.isReachable_; };
    const SteerDecision decision = SteerRequest(input, weights, caps, now);
    INFO("row " << &row - rows.data());
    CHECK(NameOf(decision.action_) == NameOf(row.action_));
    CHECK(NameOf(decision.errorKind_) == NameOf(row.errorKind_));
    CHECK((decision.action_ != SteerAction::Relay || decision.region_ != "a"));
  }
}

// A region that refused a request must not be tried again for it.
TEST_CASE("a region that refused a request is not tried again")
{
  Configuration configuration = MakeConfiguration(2);
  configuration.shiftCaps_.clear();
  const TimePoint now{ 1000s };
  RegionWeights weights;
  weights.SetConfiguration(configuration, now);
  ShiftCaps caps("a", nullptr);
  caps.SetConfiguration(configuration, now);
  SteerRequestInput input;
  input.ownRegion_ = "a";
  input.hasLocalServer_ = true;
  input.remainingTime_ = 2s;
  for (int attempt = 0; attempt < 2; ++attempt) {
    const SteerDecision decision = SteerRequest(input, weights, caps, now);
    REQUIRE(decision.action_ == SteerAction::Relay);
    CHECK(std::find(input.triedRegions_.begin(),
                    input.triedRegions_.end(),
                    decision.region_) == input.triedRegions_.end());
    weights.RecordRefusal(decision.region_, now);
    input.triedRegions_.push_back(decision.region_);
  }
  CHECK(SteerRequest(input, weights, caps, now).errorKind_ ==
        ErrorKind::RegionFull);
}
