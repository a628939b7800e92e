#include "budget/testing/Scenarios.h"

#include "budget/testing/World.h"

#include <array>

namespace peridotsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 50;
constexpr double kLoad = 0.95;
constexpr std::size_t kHosts = 7;
// Hosts claim their slots and fill their buckets first.
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kEnd = seconds(80);
constexpr Duration kFaultAt = seconds(30);

class ScenarioRun
{
public:
  explicit ScenarioRun(const Scenario& aScenario)
    : scenario_(aScenario)
    , world_(Options(aScenario))
    , central_(TimePoint{})
  {
    central_.SetLimits(kRate, aScenario.burst_, TimePoint{});
    central_.Put(aScenario.burst_, TimePoint{});
  }

  ScenarioResult Run()
  {
    world_.Start();
    world_.RunUntil(kWarmUp);
    AddFaults();
    const std::size_t before = world_.Messages();
    Duration next = kWarmUp;
    while (next < kEnd) {
      world_.RunUntil(next);
      Request();
      next += FromSeconds(NextGap(kRate * kLoad));
    }
    world_.RunUntil(kEnd + seconds(1));
    result_.messages_ = world_.Messages() - before;
    return result_;
  }

private:
  static WorldOptions Options(const Scenario& aScenario)
  {
    WorldOptions options;
    options.seed_ = aScenario.seed_;
    options.rate_ = kRate;
    options.burst_ = aScenario.burst_;
    options.betweenRegions_ = milliseconds(aScenario.oneWayMs_);
    options.tick_ = milliseconds(20);
    options.budget_.loans_ = aScenario.loans_;
    if (aScenario.kind_ == ScenarioKind::BesideLarge) {
      options.others_.push_back({ "large", 10 * kRate, 20 * kRate });
    }
    return options;
  }

  double NextGap(double aRate)
  {
    if (scenario_.poisson_) {
      return std::exponential_distribution<double>(aRate)(world_.Random());
    }
    return world_.Uniform(0.5, 1.5) / aRate;
  }

  void AddFaults()
  {
    if (scenario_.kind_ == ScenarioKind::StoreOut) {
      world_.At(kFaultAt, [this] { world_.SetStoreDown(true); });
      world_.At(kFaultAt + seconds(30), [this] { world_.SetStoreDown(false); });
    } else if (scenario_.kind_ == ScenarioKind::HostLost) {
      world_.At(kFaultAt, [this] { world_.Kill(6); });
      world_.At(kFaultAt + seconds(1), [this] { world_.Replace(6); });
    } else if (scenario_.kind_ == ScenarioKind::BesideLarge) {
      world_.At(kWarmUp, [this] { LargeRequest(); });
    }
  }

  void LargeRequest()
  {
    world_.Take(world_.Random()() % kHosts, 1, "large");
    world_.At(world_.Now() + FromSeconds(NextGap(8 * 10 * kRate)),
              [this] { LargeRequest(); });
  }

  std::size_t Host()
  {
    const auto elapsed = world_.Now() - kWarmUp;
    switch (scenario_.kind_) {
      case ScenarioKind::OneHost:
        return scenario_.seed_ % kHosts;
      case ScenarioKind::Moving:
        return (elapsed / seconds(5)) * 3 % kHosts;
      case ScenarioKind::HostLost:
        return world_.Random()() % (kHosts - 1);
      case ScenarioKind::Spread:
      case ScenarioKind::StoreOut:
      case ScenarioKind::BesideLarge:
        break;
    }
    return world_.Random()() % kHosts;
  }

  void Request()
  {
    ++result_.requests_;
    const std::size_t host = Host();
    const bool admitted = world_.Take(host, 1);
    const bool wouldAdmit = central_.TryTake(1, TimePoint(world_.Now()));
    if (!admitted) {
      Wait(host, wouldAdmit, world_.Now() + milliseconds(scenario_.waitMs_));
    }
  }

  void Wait(std::size_t aHost, bool aWouldAdmit, Duration aDeadline)
  {
    const std::optional<Duration> wait =
      world_.WaitAt(aHost, 1, waiting_[aHost]);
    if (!wait || world_.Now() + *wait > aDeadline) {
      ++result_.refused_;
      result_.wrongful_ += aWouldAdmit ? 1 : 0;
      return;
    }
    waiting_[aHost] += 1;
    world_.At(world_.Now() + *wait, [this, aHost, aWouldAdmit, aDeadline] {
      waiting_[aHost] -= 1;
      if (world_.TakeAgain(aHost, 1)) {
        ++result_.waited_;
      } else {
        Wait(aHost, aWouldAdmit, aDeadline);
      }
    });
  }

  Scenario scenario_;
  World world_;
  TokenBucket central_;
  ScenarioResult result_;
  std::array<double, kHosts> waiting_{};
};

}

const char*
NameOf(ScenarioKind aKind)
{
  switch (aKind) {
    case ScenarioKind::OneHost:
      return "one-host";
    case ScenarioKind::Spread:
      return "spread";
    case ScenarioKind::Moving:
      return "moving";
    case ScenarioKind::StoreOut:
      return "store-out";
    case ScenarioKind::HostLost:
      return "host-lost";
    case ScenarioKind::BesideLarge:
      return "large";
  }
  return "";
}

std::vector<Scenario>
AllScenarios()
{
  std::vector<Scenario> scenarios;
  for (const double burst : { 100.0, 50.0, 25.0, 10.0 }) {
    for (const int oneWay : { 20, 55 }) {
      for (const ScenarioKind kind : { ScenarioKind::OneHost,
                                       ScenarioKind::Spread,
                                       ScenarioKind::Moving,
                                       ScenarioKind::StoreOut,
                                       ScenarioKind::HostLost,
                                       ScenarioKind::BesideLarge }) {
        for (const LoanKind loans : { LoanKind::Tokens, LoanKind::Rate }) {
          for (const int waitMs : { 0, 250 }) {
            scenarios.push_back(
              { kind, false, loans, waitMs, oneWay, burst, 1 });
            scenarios.push_back(
              { kind, true, loans, waitMs, oneWay, burst, 1 });
          }
        }
      }
    }
  }
  return scenarios;
}

ScenarioResult
RunScenario(const Scenario& aScenario)
{
  return ScenarioRun(aScenario).Run();
}

}
