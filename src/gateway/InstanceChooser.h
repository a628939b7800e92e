#pragma once

// Selects the backend server for a request. Performs no I/O.
//
// Requests for one object go to the same server from all hosts of a region
// without coordination (weighted rendezvous hashing over the servers), because
// a server that handled the object recently has it in its cache (the object is
// warm there) and needs a third of the time. Servers of other regions have a
// lower weight, see RegionShare.h. Requests for an object stay with its first
// usable server: on another one they would miss the cache, take three times as
// long and evict other objects. They go elsewhere for as long as that server is
// much slower than the others.
//
// If the server is expected to respond after the caller's target latency, a
// fraction of the requests goes to the server at which another region keeps the
// object warm, provided that this one responds in time, including the round
// trip. If the queue is too long for the time left until the request's
// deadline, the request goes to a server that is known to use at most half of
// its slots, or is refused with the time after which the server could complete
// it in time. A server whose queue is longer than the deadline would only
// execute requests that their callers abandon before they complete.
//
//   ChoiceQuery query;
//   query.objectHash_ = HashOf(route, object);
//   Choice choice = ChooseInstance(candidates, query, now, options);

#include "gateway/InstanceTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct ChooserOptions
{
  // The fraction of the remaining time within which a server must be expected
  // to respond.
  double timeLeftFraction_ = 0.9;
  // A server whose service time is this many times that of the median server is
  // skipped. Must be above 3, because a cold server takes about three times as
  // long as a warm one and must not be skipped.
  double slowFactor_ = 3.5;
};

struct ChoiceQuery
{
  // The same for all requests of one object.
  std::uint64_t objectHash_ = 0;
  // False for requests without an object, which go to the least loaded server.
  bool hasObject_ = false;
  std::string region_;
  // The weight of a slot in another region relative to one in this region.
  double remoteWeight_ = 1;
  // The region in which the request should run; others serve if it has no
  // usable server. Empty: the weight decides.
  std::string chosenRegion_;
  // With a chosen region: the regions to which the request may go because its
  // server is busy.
  std::vector<std::string> overflowRegions_;
  // Empty: any region.
  std::vector<std::string> homeRegions_;
  // Servers that this request has already tried.
  std::set<std::string> tried_;
  // The time until the deadline of the request.
  Duration timeLeft_{};
  // The target latency, and the round trip time to another region. With a
  // target of zero, requests stay with their servers.
  Duration targetLatency_{};
  Duration roundTrip_{};
  // Set if owners grant the slots of this region's servers. They know the load
  // of these servers better than this host does, so it is not considered.
  bool slotsGranted_ = false;
  // Takes a token for sending a request to another region because its server is
  // busy; returns false if there is none. If empty, no request is sent there
  // for that reason.
  std::function<bool()> takeRemoteToken_;
  // Takes a token for sending a request to a cold server; returns false if
  // there is none.
  std::function<bool(const Instance&)> takeColdToken_;
};

struct Choice
{
  // Null if no server can take the request.
  InstancePtr instance_;
  // The object's server if it is overloaded, and the time until it can respond
  // within the remaining time again.
  InstancePtr overloaded_;
  Duration wait_{};
};

Choice
ChooseInstance(const std::vector<InstancePtr>& aCandidates,
               const ChoiceQuery& aQuery,
               TimePoint aNow,
               const ChooserOptions& aOptions);

// Returns the regions that both lists allow; an empty list allows all. Returns
// nothing if the lists have no region in common.
std::optional<std::vector<std::string>>
IntersectHomeRegions(const std::vector<std::string>& aLeft,
                     const std::vector<std::string>& aRight);

// Returns whether a request with these home regions may run in the region.
bool
IsHomeRegion(const std::vector<std::string>& aHomeRegions,
             const std::string& aRegion);

}
