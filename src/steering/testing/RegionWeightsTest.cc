#include "steering/RegionWeights.h"
#include "steering/RegionAdmission.h"
#include "steering/RequestSteering.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <random>

using namespace peridotsail;
using namespace std::chrono_literals;

namespace {

constexpr double kCapacity = 60;
constexpr int kSlots = 3;

Configuration
MakeConfiguration()
{
  Configuration configuration;
  for (const char* name : { "a", "b", "c" }) {
    configuration.regions_.push_back({ name, {}, kSlots, kCapacity });
  }
  return configuration;
}

enum class Fault
{
  None,
  Stopped,
  Late,
  Wrong,
};

// Simulates hosts of region a that relay as many requests as possible to region
// b, whose hosts lose and regain their slots. A leaky bucket with the rate of
// b's capacity measures the admitted requests; maxLevel_ is its maximum level.
struct AdmissionRun
{
  double maxLevel_ = 0;
  int admitted_ = 0;
  int refused_ = 0;
  int slotOverruns_ = 0;
};

AdmissionRun
RunAdmission(Fault aFault, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const Configuration configuration = MakeConfiguration();
  TimePoint now{ 1000s };
  RegionWeights weights;
  weights.SetConfiguration(configuration, now);
  ShiftCaps caps("a", nullptr);
  std::vector<RegionAdmission> destination(kSlots, RegionAdmission("b"));
  std::vector<std::uint64_t> epochs(kSlots, 1);
  std::vector<int> busy(kSlots, 0);
  for (RegionAdmission& host : destination) {
    host.SetConfiguration(configuration, now);
  }
  AdmissionRun run;
  double level = 0;
  constexpr int kPoolSlots = 10;
  for (int step = 0; step < 6000; ++step) {
    now += 5ms;
    RegionMeasurement measurement{ now, 0.5, 20 };
    if (aFault == Fault::Late) {
      measurement.measuredAt_ = now - 2900ms;
    } else if (aFault == Fault::Wrong) {
      measurement.headroomPerSecond_ = random() % 2 == 0 ? 1e12 : NAN;
      measurement.utilization_ = 0;
    }
    if (aFault != Fault::Stopped) {
      weights.Observe("b", measurement, now);
    }
    weights.Tick(now);
    level = std::max(0.0, level - kCapacity * 0.005);
    for (std::size_t i = 0; i < kSlots; ++i) {
      epochs[i] += random() % 2000 == 0 ? 1 : 0;
      destination[i].SetSlot(epochs[i], now + 1s, now);
      busy[i] -= busy[i] > 0 && random() % 8 == 0 ? 1 : 0;
      if (random() % 100 == 0) {
        destination[i].RecordLocalRequest(now);
        ++level;
      }
    }
    SteerRequestInput input;
    input.ownRegion_ = "a";
    input.key_ = random();
    input.hasLocalServer_ = true;
    input.remainingTime_ = 1s;
    const SteerDecision decision = SteerRequest(input, weights, caps, now);
    if (decision.action_ != SteerAction::Relay || decision.region_ != "b") {
      continue;
    }
    const std::size_t host = random() % kSlots;
    const auto refusal =
      destination[host].AdmitRelayed(kPoolSlots - busy[host], now);
    if (refusal) {
      weights.RecordRefusal("b", now);
      ++run.refused_;
      continue;
    }
    ++run.admitted_;
    run.slotOverruns_ += ++busy[host] > kPoolSlots ? 1 : 0;
    run.maxLevel_ = std::max(run.maxLevel_, ++level);
  }
  return run;
}

}

// Tests invariant 2: the destination admits no more than its configured
// capacity and its free slots permit, even if the source has missing, late or
// wrong measurements.
TEST_CASE("a region admits within its capacity whatever is measured")
{
  for (const Fault fault :
       { Fault::None, Fault::Stopped, Fault::Late, Fault::Wrong }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      INFO("fault " << static_cast<int>(fault) << " seed " << seed);
      const AdmissionRun run = RunAdmission(fault, seed);
      // The burst limit is a quarter of a second of the capacity.
      CHECK(run.maxLevel_ <= kCapacity * 0.25 + 1e-6);
      CHECK(run.slotOverruns_ == 0);
      CHECK(run.admitted_ > 0.3 * kCapacity * 30);
    }
  }
}

// Relayed requests must not use a drained region, a host without a slot, or
// pool slots that are reserved for local callers.
TEST_CASE("relayed requests need a slot, a free server and no drain")
{
  Configuration configuration = MakeConfiguration();
  const TimePoint now{ 1000s };
  RegionAdmission admission("b");
  CHECK(admission.AdmitRelayed(9, now) == ErrorKind::RegionFull);
  admission.SetConfiguration(configuration, now);
  CHECK(admission.AdmitRelayed(9, now + 1s) == ErrorKind::RegionFull);
  admission.SetSlot(1, now + 9s, now + 1s);
  CHECK(admission.AdmitRelayed(1, now + 2s) == ErrorKind::RegionFull);
  CHECK_FALSE(admission.AdmitRelayed(2, now + 2s));
  CHECK(admission.AdmitRelayed(9, now + 9s) == ErrorKind::RegionFull);
  configuration.drains_.push_back({ DrainKind::Region, "b" });
  admission.SetSlot(1, now + 18s, now + 9s);
  admission.SetConfiguration(configuration, now + 9s);
  CHECK(admission.AdmitRelayed(9, now + 10s) == ErrorKind::RegionFull);
  CHECK(admission.Headroom(now + 10s) == 0);
}

// Tests the step limit, the hysteresis, and the frozen and decaying states.
TEST_CASE("weights change gradually, freeze and decay to the capacity")
{
  TimePoint now{ 1000s };
  RegionWeightsOptions options;
  options.maxStepPerSecond_ = 0.05;
  RegionWeights weights(options);
  weights.SetConfiguration(MakeConfiguration(), now);
  const auto run = [&](double aUtilization, int aSeconds) {
    double maxStep = 0;
    for (int i = 0; i < aSeconds; ++i) {
      now += 1s;
      const double before = weights.Share("a").keepFraction_;
      if (aUtilization >= 0) {
        REQUIRE(weights.Observe("a", { now, aUtilization, 0 }, now));
      }
      weights.Tick(now);
      maxStep =
        std::max(maxStep, std::abs(weights.Share("a").keepFraction_ - before));
    }
    CHECK(maxStep <= 0.05 + 1e-9);
    return weights.Share("a").keepFraction_;
  };
  CHECK(run(0.5, 5) == 1);
  CHECK(run(1.2, 4) == Approx(0.8));
  CHECK(run(0.8, 20) == Approx(0.8));
  CHECK(run(9, 300) == Approx(0.05));
  CHECK(weights.State("a", now) == WeightState::Measured);
  // A measurement is used for 3 s. Weights are then frozen until its age is 15
  // s and decay by 0.02 per second after that.
  CHECK(run(0.5, 1) == Approx(0.1));
  CHECK(run(-1, 3) == Approx(0.25));
  CHECK(run(-1, 12) == Approx(0.25));
  CHECK(run(-1, 10) == Approx(0.45));
  CHECK(weights.State("a", now) == WeightState::Decaying);
  CHECK(run(-1, 60) == 1);
  CHECK(weights.Share("a").spilloverWeight_ == Approx(kCapacity * 0.1));
}

// Invalid and out-of-order measurements must not change weights.
TEST_CASE("late, repeated, future and impossible measurements are ignored")
{
  const TimePoint now{ 1000s };
  RegionWeights weights;
  weights.SetConfiguration(MakeConfiguration(), now);
  CHECK_FALSE(weights.Observe("x", { now, 0.5, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now - 4s, 0.5, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now + 1ms, 0.5, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now, NAN, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now, 0.5, -1 }, now));
  CHECK_FALSE(weights.Observe("a", { now, INFINITY, 1 }, now));
  CHECK(weights.State("a", now) == WeightState::Configured);
  CHECK(weights.Observe("a", { now, 0.5, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now, 0.5, 1 }, now));
  CHECK_FALSE(weights.Observe("a", { now - 1s, 0.5, 1 }, now));
}
