#pragma once

// Forecasts the duration of a drain and computes the lookup weight of a region
// while it is drained. Functions of their arguments only.
//
//   DrainPlan plan = PlanDrain(DrainKind::Region, demand, destinations);
//   show(plan.totalTime_, NameOf(plan.bound_), plan.shortfallPerSecond_);
//   double keep = plan.KeepFractionAt(now - start);
//
// Lookups move a region's blocks at a constant rate over moveTime_. A caller
// with a cached answer keeps sending requests to the drained region for up to
// the time to live, and these requests are relayed. When demand D is moved over
// time T, at most D * ttl / T requests per second are relayed at any time, so
// the shift caps for requests and responses are lower bounds of T. At the
// destination, requests moved within the warm-up time encounter cold caches and
// cost coldCacheCost_ times as much. The extra cost D * warmUp / T *
// (coldCacheCost_ - 1) must fit into the headroom that remains after D.

#include "base/BootClock.h"
#include "config/Configuration.h"

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// The constraint that determines the duration of a drain.
enum class DrainBound
{
  // There is nothing to move.
  Nothing,
  // The caps on relayed requests and responses between the regions.
  ShiftCap,
  // The spare capacity of the destinations.
  Headroom,
  // The warm-up time of caches and servers.
  WarmUp,
  // The maximum change of lookup weights per second.
  StepLimit,
  // The lifetime of cached lookup answers and of requests in flight.
  TimeToLive,
};

struct DrainDemand
{
  double requestsPerSecond_ = 0;
  double requestBytes_ = 1024;
  double responseBytes_ = 16 * 1024;
  // The longest timeout of any route served by the drained resource.
  Duration maxRequestTimeout_ = std::chrono::seconds(10);
};

// A region that can take a part of the demand.
struct DrainDestination
{
  std::string region_;
  double headroomPerSecond_ = 0;
  Duration warmUp_{};
  // Bytes per second that the shift caps permit for relayed requests and for
  // their responses. Infinite without a cap.
  double requestCap_ = std::numeric_limits<double>::infinity();
  double responseCap_ = std::numeric_limits<double>::infinity();
};

struct DrainOptions
{
  Duration timeToLive_ = std::chrono::seconds(5);
  // Cost of a request with a cold cache relative to a warm cache.
  double coldCacheCost_ = 2;
  double maxStepPerSecond_ = 0.1;
};

// The part of the demand that one destination takes.
struct DrainAllocation
{
  std::string region_;
  double requestsPerSecond_ = 0;
};

struct DrainPlan
{
  // Time from the first to the last change of weights.
  Duration moveTime_{};
  // Time until the last request has ended and the drained resource can be shut
  // down.
  Duration totalTime_{};
  DrainBound bound_ = DrainBound::Nothing;
  // Demand that no destination can take. If positive, the drain does not
  // complete.
  double shortfallPerSecond_ = 0;
  // Fraction of the demand that is moved, 0 to 1.
  double movableFraction_ = 1;
  std::vector<DrainAllocation> allocations_;

  bool Feasible() const { return shortfallPerSecond_ <= 0; }
  // Returns the fraction of its own blocks that the region keeps at the given
  // time after the start of the drain.
  double KeepFractionAt(Duration aSinceStart) const;
  // Returns whether all callers have moved and all requests have ended.
  bool Finished(Duration aSinceStart) const;
};

// Computes the plan of a drain. For a host or a backend server, the first
// destination is usually its own region, without caps, because lookups and
// pools exclude a drained host or server at once. Demand that the region of a
// drained backend server cannot serve is relayed for as long as the server is
// missing.
DrainPlan
PlanDrain(DrainKind aKind,
          const DrainDemand& aDemand,
          const std::vector<DrainDestination>& aDestinations,
          const DrainOptions& aOptions = {});

std::string_view
NameOf(DrainBound aBound);

}
