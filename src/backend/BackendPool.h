#pragma once

// Selects backend servers of one pool in the host's region. No I/O and no
// clock: callers pass in events and the current time.
//
//   BackendPool pool(BackendPoolOptions{}, seed);
//   pool.SetServers(warmUp, servers, leavingNames, now);
//   if (std::optional<std::string> server = pool.Acquire(now)) {
//     ... run the request ...
//     pool.Release(*server, AttemptOutcome::Completed, now);
//   }
//
// Invariants:
// - Acquire never returns a leaving server, whether it is marked as leaving by
//   the configuration, by the host list or by the server's own load report.
// - Soft failures (probes that fail on an open connection, resets, timeouts)
//   never eject more than half of the reachable servers.
// - Load reports only affect the preference between servers. Only what the host
//   observes itself (its requests, shed requests, connection failures) makes a
//   server unavailable, so a server with wrong reports is neither overloaded
//   beyond its slots nor left idle permanently.

#include "base/BootClock.h"
#include "config/Configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// How an attempt on a backend server ended.
enum class AttemptOutcome
{
  // The complete response arrived.
  Completed,
  // 503 with Execution-State: not-run.
  Shed,
  // No connection could be opened.
  ConnectFailed,
  // The connection was closed or reset during the request.
  Reset,
  // No progress, or the deadline passed.
  TimedOut,
  // The caller disconnected; says nothing about the server.
  Cancelled,
};

enum class ProbeResult
{
  Passed,
  // Responded with a status other than 200.
  Failed,
  TimedOut,
  ConnectFailed,
};

// The response of a server's load path.
struct LoadReport
{
  int inFlight_ = 0;
  int slots_ = 0;
  bool leaving_ = false;
};

// Parses `{"in_flight":1,"slots":3,"leaving":false}`. Ignores unknown members.
// Returns nullopt if a member is missing, mistyped, negative or too large.
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

// The state of a server that can take a request, as seen by a ServerChooser.
struct ServerCandidate
{
  std::size_t index_ = 0;
  int ownInFlight_ = 0;
  // In-flight requests of other hosts, from load reports weighted by age.
  double othersInFlight_ = 0;
  // Slots that slow start allows; always positive.
  double usableSlots_ = 1;
};

using ServerChooser =
  std::function<const ServerCandidate&(const std::vector<ServerCandidate>&,
                                       std::mt19937_64&)>;

// Power of two choices: picks two random candidates and returns the one with
// the lower load relative to its slots.
const ServerCandidate&
ChooseLeastLoadedOfTwo(const std::vector<ServerCandidate>& aCandidates,
                       std::mt19937_64& aRandom);

// How a host uses its share of each server's slots, which are divided between
// the region's hosts. Requests within the hosts' shares never compete for a
// slot. Beyond its share, a host may find that another host already uses the
// slot; the server then sheds the request.
enum class SharePolicy
{
  Ignored,
  OwnShareOnly,
  // Uses the own share first, then further slots until servers shed requests.
  OwnShareFirst,
};

struct BackendPoolOptions
{
  ServerChooser chooser_ = ChooseLeastLoadedOfTwo;
  // selection_benchmark compares the policies; see docs/notes/backend.md.
  SharePolicy sharePolicy_ = SharePolicy::OwnShareFirst;
  // Half-life of the weight of a load report.
  Duration reportHalfLife_ = std::chrono::milliseconds(500);
  // A server that shed a request is treated as full for this time. From the
  // fourth consecutive shed request on, the time doubles with each one.
  Duration shedBackoff_ = std::chrono::milliseconds(10);
  Duration maxShedBackoff_ = std::chrono::seconds(1);
  // A server that shed a request in excess of the own share receives no excess
  // requests for this time, which doubles until an excess request completes
  // there.
  Duration excessBackoff_ = std::chrono::milliseconds(30);
  Duration maxExcessBackoff_ = std::chrono::milliseconds(800);
  // Additive increase of the excess window per completed excess request, and
  // multiplicative decrease per shed one.
  double excessWindowIncrease_ = 1;
  double excessWindowDecrease_ = 0.8;
  // Consecutive soft failures that eject a server.
  int ejectionThreshold_ = 3;
  Duration initialBackoff_ = std::chrono::milliseconds(500);
  Duration maxBackoff_ = std::chrono::seconds(30);
  // The backoff of a server restarts at the initial value if the last one
  // ended longer ago than this.
  Duration backoffResetTime_ = std::chrono::seconds(60);
};

// The state of one server, for status pages and log lines.
struct ServerStatus
{
  std::string name_;
  int ownInFlight_ = 0;
  bool leaving_ = false;
  // A connection attempt failed; unavailable until a probe passes.
  bool down_ = false;
  // Ejected because of soft failures.
  bool ejected_ = false;
  bool warmingUp_ = false;
};

class BackendPool
{
public:
  BackendPool(BackendPoolOptions aOptions, std::uint64_t aSeed);

  // Sets the pool's servers in the host's region. Servers in the first call
  // skip slow start, because a restart of the host does not mean that the
  // servers are new; servers added later warm up. A server that is no longer
  // listed is kept as leaving until its requests have ended.
  void SetServers(Duration aWarmUp,
                  const std::vector<BackendServerConfig>& aServers,
                  const std::set<std::string>& aLeaving,
                  TimePoint aNow);
  // Sets the number of live hosts in the region and this host's position in
  // their sorted list, which determine the shares of the slots.
  void SetHosts(int aRank, int aCount);

  // A probe that started before the server's last failure does not reinstate
  // the server.
  void OnProbe(const std::string& aServer,
               ProbeResult aResult,
               TimePoint aStarted,
               TimePoint aNow);
  void OnLoadReport(const std::string& aServer,
                    const LoadReport& aReport,
                    TimePoint aNow);

  // Selects a server and counts the request as in flight on it. Servers in
  // aAvoid are selected only if no other server is free.
  std::optional<std::string> Acquire(TimePoint aNow,
                                     const std::set<std::string>& aAvoid = {});
  // Ends a request that Acquire counted.
  void Release(const std::string& aServer,
               AttemptOutcome aOutcome,
               TimePoint aNow);

  // Whether Acquire would return a server.
  bool HasFreeSlot(TimePoint aNow) const;
  // False if no server is available, so that queueing is pointless.
  bool HasAvailableServer(TimePoint aNow) const;
  // Number of requests that the available servers can run concurrently.
  int UsableSlots(TimePoint aNow) const;
  // UsableSlots minus this host's own requests on the available servers.
  int FreeSlots(TimePoint aNow) const;
  bool IsDown(const std::string& aServer) const;
  std::vector<ServerStatus> Status(TimePoint aNow) const;

private:
  struct Server
  {
    BackendServerConfig config_;
    int ownInFlight_ = 0;
    bool removed_ = false;
    bool listedLeaving_ = false;
    bool reportedLeaving_ = false;
    bool down_ = false;
    int consecutiveSoftFailures_ = 0;
    std::optional<TimePoint> ejectedUntil_;
    std::optional<TimePoint> backoffUntil_;
    Duration nextBackoff_{};
    std::optional<TimePoint> lastFailure_;
    std::optional<TimePoint> warmUpStart_;
    std::optional<TimePoint> shedBackoffUntil_;
    int consecutiveSheds_ = 0;
    std::optional<TimePoint> excessBackoffUntil_;
    Duration excessBackoff_{};
    std::optional<TimePoint> reportTime_;
    double reportedOthers_ = 0;

    bool IsLeaving() const;
  };

  void StartBackoff(Server& aServer, TimePoint aNow);
  void RecordSoftFailure(Server& aServer, TimePoint aNow);
  void RecordConnectFailure(Server& aServer, TimePoint aNow);
  void Reinstate(Server& aServer, TimePoint aNow);
  bool EjectionsApply(TimePoint aNow) const;
  bool IsAvailable(const Server& aServer,
                   TimePoint aNow,
                   bool aEjectionsApply) const;
  double WarmUpFraction(const Server& aServer, TimePoint aNow) const;
  int SlotLimit(const Server& aServer, int aSlots, TimePoint aNow) const;
  int OwnShare(const Server& aServer, std::size_t aIndex) const;
  int ExcessOverShare(std::size_t aIndex) const;
  bool MayExceedShare() const;
  void RecordShed(Server& aServer, bool aExcess, TimePoint aNow);
  void RecordCompleted(Server& aServer, bool aExcess);
  std::vector<ServerCandidate> Candidates(
    TimePoint aNow,
    const std::set<std::string>& aAvoid) const;
  std::vector<ServerCandidate> CandidatesWithin(
    bool aOwnShareOnly,
    TimePoint aNow,
    const std::set<std::string>& aAvoid) const;
  Server* Find(const std::string& aServer);

  BackendPoolOptions options_;
  std::mt19937_64 random_;
  std::vector<Server> servers_;
  bool initialized_ = false;
  Duration warmUp_{};
  int hostRank_ = 0;
  int hostCount_ = 1;
  // Maximum number of concurrent requests in excess of the own shares. Works
  // like a congestion window: it grows when excess requests complete and
  // shrinks when they are shed, so that slots of an idle host are used without
  // coordination and released when that host needs them.
  double excessWindow_ = 1;
};

}
