#pragma once

// The forecast of a planned drain or move, and the weight of a region while it
// is drained. Pure.
//
//   DrainPlan plan = PlanDrain(DrainKind::Region, demand, destinations);
//   show(plan.totalTime_, NameOf(plan.bound_), plan.shortfallPerSecond_);
//   double keep = plan.KeepFractionAt(now - start);
//
// Look-ups move a region's blocks at a constant pace over moveTime_. A caller
// that holds an old answer still arrives at the region that is drained, for up
// to the time to live, and its request is relayed. With demand D moved over T,
// at most D * ttl / T requests per second are relayed at any time; the shift
// caps of the requests and of the responses therefore bound T from below. At
// the destination, requests that moved within the warm-up time meet cold caches
// and cost coldCacheCost_ times as much; the extra cost D * warmUp / T *
// (coldCacheCost_ - 1) must fit into the headroom that D leaves.

#include "base/BootClock.h"
#include "config/Configuration.h"

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// What sets the duration of a drain.
enum class DrainBound
{
  // Nothing has to move.
  Nothing,
  // Bytes of relayed requests and responses between the regions.
  ShiftCap,
  // What the destinations can serve in addition.
  Headroom,
  // The time in which caches and servers become warm.
  WarmUp,
  // The largest change of look-up weights per second.
  StepLimit,
  // Cached look-up answers and requests in flight.
  TimeToLive,
};

struct DrainDemand
{
  double requestsPerSecond_ = 0;
  double requestBytes_ = 1024;
  double responseBytes_ = 16 * 1024;
  // The longest timeout of a route that is served there.
  Duration longestRequest_ = std::chrono::seconds(10);
};

// A region that takes a part of the demand.
struct DrainDestination
{
  std::string region_;
  double headroomPerSecond_ = 0;
  Duration warmUp_{};
  // Bytes per second that the cap leaves to the move, in the direction of the
  // requests and of the responses. Infinite without a cap.
  double requestCap_ = std::numeric_limits<double>::infinity();
  double responseCap_ = std::numeric_limits<double>::infinity();
};

struct DrainOptions
{
  Duration timeToLive_ = std::chrono::seconds(5);
  // Cost of a request that meets a cold cache, relative to a warm one.
  double coldCacheCost_ = 2;
  double maxStepPerSecond_ = 0.1;
};

struct DrainAllocation
{
  std::string region_;
  double requestsPerSecond_ = 0;
};

struct DrainPlan
{
  // From the first change of weights to the last one.
  Duration moveTime_{};
  // Until the last request has ended and the capacity may be switched off.
  Duration totalTime_{};
  DrainBound bound_ = DrainBound::Nothing;
  // Demand that no destination can take; the drain is not completed then.
  double shortfallPerSecond_ = 0;
  // Part of the demand that is moved, 0 to 1.
  double movableFraction_ = 1;
  std::vector<DrainAllocation> allocations_;

  bool Feasible() const { return shortfallPerSecond_ <= 0; }
  // The part of its own blocks that a region keeps at a time after the start.
  double KeepFractionAt(Duration aSinceStart) const;
  // Whether all callers have moved and all requests have ended.
  bool Finished(Duration aSinceStart) const;
};

// For a host or a backend server the first destination is usually its own
// region, without caps; look-ups and pools leave it out at once. What a drained
// backend server's region cannot serve is relayed for as long as the server is
// missing.
DrainPlan
PlanDrain(DrainKind aKind,
          const DrainDemand& aDemand,
          const std::vector<DrainDestination>& aDestinations,
          const DrainOptions& aOptions = {});

std::string_view
NameOf(DrainBound aBound);

}
