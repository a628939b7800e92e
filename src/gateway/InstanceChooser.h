#pragma once

// Chooses the backend server for a request. Pure; needs no network.
//
// Requests for one object go to the same server from all hosts of a region
// without talk between them (weighted rendezvous hashing over the servers),
// because a server that handled the object recently needs a third of the time.
// Servers of other regions have a lower weight, see RegionShare.h. An object
// stays with its first usable server: elsewhere it would run cold, take three
// times as long and push other objects off their servers. It leaves a server
// that is much slower than the others for as long. Where the server would
// answer after the caller's target, a part of the requests goes to the server
// at which another region keeps the object warm, if that one answers in time,
// the way included. When the queue there is too long for the time left, the
// request goes to a server that is known to be half free, or is refused with
// the time at which it would fit: a queue beyond the time limit only runs
// requests that are given up before their end.
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
  // The part of the time left within which a server is expected to answer.
  double timePart_ = 0.9;
  // A server whose runs take this many times as long as those of the median
  // server is passed over. A cold server takes about three times as long as a
  // warm one and must not be.
  double slowFactor_ = 3.5;
};

struct ChoiceQuery
{
  // Equal for all requests of one object.
  std::uint64_t objectHash_ = 0;
  // False for requests without an object: the least loaded server is chosen.
  bool hasObject_ = false;
  std::string region_;
  // The weight of a slot in another region against one in this region.
  double remoteWeight_ = 1;
  // Empty: any region.
  std::vector<std::string> homeRegions_;
  // Servers that must not be chosen again for this request.
  std::set<std::string> tried_;
  // Until the request is given up.
  Duration timeLeft_{};
  // Within which the caller wants its answer, and the way to another region
  // and back. Zero: requests stay with their servers.
  Duration target_{};
  Duration way_{};
  // Takes one unit of what may go to another region for a busy server; false:
  // not now. Empty: never.
  std::function<bool()> admitRemote_;
  // Takes one unit from the cold server's admission; false: not now.
  std::function<bool(const Instance&)> admitCold_;
};

struct Choice
{
  // Null when no server can take the request.
  InstancePtr instance_;
  // The object's server when it is full, and the time until it can answer
  // within the time left again.
  InstancePtr full_;
  Duration wait_{};
};

Choice
ChooseInstance(const std::vector<InstancePtr>& aCandidates,
               const ChoiceQuery& aQuery,
               TimePoint aNow,
               const ChooserOptions& aOptions);

// The regions that both lists allow; an empty list allows all. Nothing when no
// region is in both.
std::optional<std::vector<std::string>>
CommonHomes(const std::vector<std::string>& aLeft,
            const std::vector<std::string>& aRight);

// Whether a request with these homes may run in the region.
bool
IsHome(const std::vector<std::string>& aHomeRegions,
       const std::string& aRegion);

}
