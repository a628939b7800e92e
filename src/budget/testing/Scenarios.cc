#include "budget/testing/Scenarios.h"

#include "budget/testing/ClusterSimulation.h"

#include <array>

namespace peridotsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 50;
constexpr double kLoad = 0.95;
constexpr std::size_t kHosts = 7;
// Time for hosts to claim their slots and fill their buckets.
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kEnd = seconds(80);
constexpr Duration kFaultAt = seconds(30);

class ScenarioRun
{
public:
  explicit ScenarioRun(const Scenario& aScenario)
    : scenario_(aScenario)
    , cluster_(Options(aScenario))
    , centralBucket_(TimePoint{})
  {
    centralBucket_.SetLimits(kRate, aScenario.burst_, TimePoint{});
    centralBucket_.AddTokens(aScenario.burst_, TimePoint{});
  }

  ScenarioResult Run()
  {
    cluster_.Start();
    cluster_.RunUntil(kWarmUp);
    AddFaults();
    const std::size_t before = cluster_.Messages();
    Duration next = kWarmUp;
    while (next < kEnd) {
      cluster_.RunUntil(next);
      Request();
      next += FromSeconds(NextGap(kRate * kLoad));
    }
    cluster_.RunUntil(kEnd + seconds(1));
    result_.messages_ = cluster_.Messages() - before;
    return result_;
  }

private:
  static ClusterOptions Options(const Scenario& aScenario)
  {
    ClusterOptions options;
    options.seed_ = aScenario.seed_;
    options.rate_ = kRate;
    options.burst_ = aScenario.burst_;
    options.delayBetweenRegions_ = milliseconds(aScenario.oneWayMs_);
    options.tick_ = milliseconds(20);
    options.budget_.loans_ = aScenario.loans_;
    if (aScenario.kind_ == ScenarioKind::OverloadedNeighbor) {
      options.otherCustomers_.push_back({ "large", 10 * kRate, 20 * kRate });
    }
    return options;
  }

  double NextGap(double aRate)
  {
    if (scenario_.poissonArrivals_) {
      return std::exponential_distribution<double>(aRate)(cluster_.Random());
    }
    return cluster_.RandomBetween(0.5, 1.5) / aRate;
  }

  void AddFaults()
  {
    if (scenario_.kind_ == ScenarioKind::StoreOutage) {
      cluster_.At(kFaultAt, [this] { cluster_.SetStoreDown(true); });
      cluster_.At(kFaultAt + seconds(30),
                  [this] { cluster_.SetStoreDown(false); });
    } else if (scenario_.kind_ == ScenarioKind::HostLost) {
      cluster_.At(kFaultAt, [this] { cluster_.Kill(6); });
      cluster_.At(kFaultAt + seconds(1), [this] { cluster_.Replace(6); });
    } else if (scenario_.kind_ == ScenarioKind::OverloadedNeighbor) {
      cluster_.At(kWarmUp, [this] { LargeRequest(); });
    }
  }

  void LargeRequest()
  {
    cluster_.Take(cluster_.Random()() % kHosts, 1, "large");
    cluster_.At(cluster_.Now() + FromSeconds(NextGap(8 * 10 * kRate)),
                [this] { LargeRequest(); });
  }

  std::size_t Host()
  {
    const auto elapsed = cluster_.Now() - kWarmUp;
    switch (scenario_.kind_) {
      case ScenarioKind::OneHost:
        return scenario_.seed_ % kHosts;
      case ScenarioKind::Moving:
        return (elapsed / seconds(5)) * 3 % kHosts;
      case ScenarioKind::HostLost:
        return cluster_.Random()() % (kHosts - 1);
      case ScenarioKind::Spread:
      case ScenarioKind::StoreOutage:
      case ScenarioKind::OverloadedNeighbor:
        break;
    }
    return cluster_.Random()() % kHosts;
  }

  void Request()
  {
    ++result_.requests_;
    const std::size_t host = Host();
    const bool admitted = cluster_.Take(host, 1);
    const bool wouldAdmit =
      centralBucket_.TryTake(1, TimePoint(cluster_.Now()));
    if (!admitted) {
      Wait(host, wouldAdmit, cluster_.Now() + milliseconds(scenario_.waitMs_));
    }
  }

  void Wait(std::size_t aHost, bool aWouldAdmit, Duration aDeadline)
  {
    const std::optional<Duration> wait =
      cluster_.WaitBeforeRetry(aHost, 1, waiting_[aHost]);
    if (!wait || cluster_.Now() + *wait > aDeadline) {
      ++result_.refused_;
      result_.wronglyRefused_ += aWouldAdmit ? 1 : 0;
      return;
    }
    waiting_[aHost] += 1;
    cluster_.At(cluster_.Now() + *wait, [this, aHost, aWouldAdmit, aDeadline] {
      waiting_[aHost] -= 1;
      if (cluster_.RetryTake(aHost, 1)) {
        ++result_.admittedAfterWait_;
      } else {
        Wait(aHost, aWouldAdmit, aDeadline);
      }
    });
  }

  Scenario scenario_;
  ClusterSimulation cluster_;
  TokenBucket centralBucket_;
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
    case ScenarioKind::StoreOutage:
      return "store-out";
    case ScenarioKind::HostLost:
      return "host-lost";
    case ScenarioKind::OverloadedNeighbor:
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
                                       ScenarioKind::StoreOutage,
                                       ScenarioKind::HostLost,
                                       ScenarioKind::OverloadedNeighbor }) {
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
