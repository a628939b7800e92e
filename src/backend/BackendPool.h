#pragma once

// Chooses a backend server of one pool in the host's region. Pure: time and
// events in, decisions out.
//
//   BackendPool pool(BackendPoolOptions{}, seed);
//   pool.SetServers(warmUp, servers, leavingNames, now);
//   if (std::optional<std::string> server = pool.Acquire(now)) {
//     ... run the request ...
//     pool.Release(*server, AttemptOutcome::Completed, now);
//   }
//
// Invariants:
// - A leaving server is never returned by Acquire, whichever of the
//   configuration, the host list and the server itself says that it leaves.
// - Soft reasons (failed probes with a connection, resets, time-outs) never
//   exclude more than half of the servers that can be reached.
// - A report is a preference. Only first-hand observations (own requests, shed
//   answers, connection failures) make a server unavailable, so a server whose
//   reports are wrong is neither flooded beyond its slots nor idle for ever.

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
  // A whole response arrived.
  Completed,
  // 503 with Execution-State: not-run.
  Shed,
  // No connection could be opened.
  ConnectFailed,
  // The connection died during the request.
  Reset,
  // No progress, or the deadline passed.
  TimedOut,
  // The caller left; says nothing about the server.
  Cancelled,
};

enum class ProbeResult
{
  Passed,
  // Answered with another status than 200.
  Failed,
  TimedOut,
  ConnectFailed,
};

// The answer of a load path.
struct LoadReport
{
  int inFlight_ = 0;
  int slots_ = 0;
  bool leaving_ = false;
};

// Parses `{"in_flight":1,"slots":3,"leaving":false}`. Unknown members are
// ignored; nothing when a member is missing, mistyped or negative.
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

// What a chooser sees of a server that may take a request now.
struct ServerCandidate
{
  std::size_t index_ = 0;
  int ownInFlight_ = 0;
  // In-flight requests of other hosts, from reports discounted by their age.
  double othersInFlight_ = 0;
  // Slots in use during slow start; at least a small positive number.
  double usableSlots_ = 1;
};

using ServerChooser =
  std::function<const ServerCandidate&(const std::vector<ServerCandidate>&,
                                       std::mt19937_64&)>;

// Two random candidates, then the one with the lower load for its slots.
const ServerCandidate&
ChooseLeastLoadedOfTwo(const std::vector<ServerCandidate>& aCandidates,
                       std::mt19937_64& aRandom);

// How a host uses the division of each server's slots between the region's
// hosts. Within the shares of all hosts no request collides; beyond its share
// a host may find that another one took the slot, and the server sheds.
enum class ShareUse
{
  Ignored,
  Only,
  // The own share first; beyond it as far as shed answers allow.
  First,
};

struct BackendPoolOptions
{
  ServerChooser chooser_ = ChooseLeastLoadedOfTwo;
  // The measurement compares them; see docs/notes/backend.md.
  ShareUse shareUse_ = ShareUse::First;
  // A report loses half of its weight in this time.
  Duration reportHalfLife_ = std::chrono::milliseconds(500);
  // A server that shed a request is taken for full for this time. From the
  // fourth shed answer in succession it doubles each time.
  Duration shedHold_ = std::chrono::milliseconds(10);
  Duration longestShedHold_ = std::chrono::seconds(1);
  // A server that shed a request beyond the own share gets no other one beyond
  // the share for this time, which doubles until one completes there.
  Duration beyondHold_ = std::chrono::milliseconds(30);
  Duration longestBeyondHold_ = std::chrono::milliseconds(800);
  // The window of requests beyond the share grows by this with each completed
  // one, and is multiplied by the second number when one is shed.
  double beyondGrowth_ = 1;
  double beyondCut_ = 0.8;
  // Consecutive soft failures before an ejection.
  int softFailures_ = 3;
  Duration firstBackOff_ = std::chrono::milliseconds(500);
  Duration longestBackOff_ = std::chrono::seconds(30);
  // A server that stayed in use this long starts again with the first
  // back-off.
  Duration backOffForgotten_ = std::chrono::seconds(60);
};

// One server's state for status pages and log lines.
struct ServerStatus
{
  std::string name_;
  int ownInFlight_ = 0;
  bool leaving_ = false;
  // Connections to it failed; out of use until a probe passes.
  bool down_ = false;
  // Out of use for a soft reason.
  bool ejected_ = false;
  bool warmingUp_ = false;
};

class BackendPool
{
public:
  BackendPool(BackendPoolOptions aOptions, std::uint64_t aSeed);

  // The pool's servers in the host's region. Servers of the first call are
  // used fully at once, because a new host says nothing about the servers;
  // those that appear later warm up. A server that is gone from the list is
  // kept as leaving until its requests have ended.
  void SetServers(Duration aWarmUp,
                  const std::vector<BackendServerConfig>& aServers,
                  const std::set<std::string>& aLeaving,
                  TimePoint aNow);
  // The live hosts of the region and this host's position in their sorted
  // list; used to divide slots.
  void SetHosts(int aRank, int aCount);

  // A probe that began before the server's last failure does not bring it
  // back.
  void OnProbe(const std::string& aServer,
               ProbeResult aResult,
               TimePoint aStarted,
               TimePoint aNow);
  void OnLoadReport(const std::string& aServer,
                    const LoadReport& aReport,
                    TimePoint aNow);

  // Chooses a server and counts the request as in flight on it. Servers of
  // aAvoid are used only when no other server is free.
  std::optional<std::string> Acquire(TimePoint aNow,
                                     const std::set<std::string>& aAvoid = {});
  // Ends a request of Acquire.
  void Release(const std::string& aServer,
               AttemptOutcome aOutcome,
               TimePoint aNow);

  // Whether Acquire would return a server.
  bool HasFreeSlot(TimePoint aNow) const;
  // False: waiting is pointless, because no server is in use.
  bool HasServerInUse(TimePoint aNow) const;
  // The concurrent requests that the servers in use can run.
  int SlotsInUse(TimePoint aNow) const;
  // SlotsInUse without this host's own requests on those servers.
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
    int consecutiveSoft_ = 0;
    std::optional<TimePoint> softUntil_;
    std::optional<TimePoint> backOffUntil_;
    Duration nextBackOff_{};
    std::optional<TimePoint> lastFailure_;
    std::optional<TimePoint> warmUpStart_;
    std::optional<TimePoint> shedUntil_;
    int consecutiveShed_ = 0;
    std::optional<TimePoint> beyondUntil_;
    Duration beyondHold_{};
    std::optional<TimePoint> reportTime_;
    double reportedOthers_ = 0;

    bool Leaving() const;
  };

  void Eject(Server& aServer, TimePoint aNow);
  void RecordSoftFailure(Server& aServer, TimePoint aNow);
  void RecordConnectFailure(Server& aServer, TimePoint aNow);
  void BringBack(Server& aServer, TimePoint aNow);
  bool SoftReasonsCount(TimePoint aNow) const;
  bool InUse(const Server& aServer, TimePoint aNow, bool aSoftCounts) const;
  double WarmUpFraction(const Server& aServer, TimePoint aNow) const;
  int SlotLimit(const Server& aServer, int aSlots, TimePoint aNow) const;
  int OwnShare(const Server& aServer, std::size_t aIndex) const;
  int BeyondShare(std::size_t aIndex) const;
  bool MayGoBeyondShare() const;
  void RecordShed(Server& aServer, bool aBeyond, TimePoint aNow);
  void RecordCompleted(Server& aServer, bool aBeyond);
  std::vector<ServerCandidate> Candidates(
    TimePoint aNow,
    const std::set<std::string>& aAvoid) const;
  std::vector<ServerCandidate> CandidatesWithin(
    bool aShare,
    TimePoint aNow,
    const std::set<std::string>& aAvoid) const;
  Server* Find(const std::string& aServer);

  BackendPoolOptions options_;
  std::mt19937_64 random_;
  std::vector<Server> servers_;
  bool filled_ = false;
  Duration warmUp_{};
  int hostRank_ = 0;
  int hostCount_ = 1;
  // How many requests may be beyond the own share at once. It grows with
  // completed ones and shrinks with shed ones, as a congestion window does: an
  // idle host's slots are found without asking it, and are returned when it
  // needs them.
  double beyondWindow_ = 1;
};

}
