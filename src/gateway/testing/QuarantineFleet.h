#pragma once

// A simulation of hosts in three regions that send requests to backend servers,
// some of which crash: under a request that crashes every server that executes
// it, or for other reasons. A crashed server returns after some seconds under a
// new id. Messages between hosts take time and may be lost, duplicated or
// delayed; hosts are killed, suspended or partitioned from each other; the
// store, through which hosts publish refused requests, may be unavailable.
//
//   QuarantineFleet fleet(36, options, seed);
//   fleet.SendCrashing(host);
//   fleet.RunUntil(30);
//   fleet.Counts().crashed_;

#include "gateway/FleetQuarantine.h"
#include "gateway/FleetTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct QuarantineFleetOptions
{
  int servers_ = 20;
  // Other requests per second, over all hosts.
  double otherRequestRate_ = 40;
  // The fraction of them that are sent repeatedly, by many callers.
  double popularFraction_ = 0.3;
  // The number of different popular requests.
  std::uint64_t popularRequests_ = 5;
  // The fraction of them that are idempotent.
  double othersIdempotent_ = 0.7;
  // Server crashes per second for other reasons, over all servers.
  double otherCrashRate_ = 0;
  // The crashing request is idempotent and may be sent to a second server.
  bool idempotent_ = true;
  // The fractions of messages that are lost and duplicated, and the maximum
  // delay of one in ten.
  double lossRate_ = 0;
  double duplicateRate_ = 0;
  double maxDelaySeconds_ = 0;
  FleetQuarantineOptions quarantine_;
};

struct QuarantineCounts
{
  // Servers that were crashed by the crashing request.
  int crashed_ = 0;
  // How often hosts that had been free of faults for kStableSeconds sent the
  // crashing request to a server later than that after the third crash.
  int sentLate_ = 0;
  // Other requests.
  int others_ = 0;
  int othersRefused_ = 0;
  int othersHeld_ = 0;
  int othersInterrupted_ = 0;
  int messages_ = 0;
  // Writes of changed registrations.
  int writes_ = 0;
};

class QuarantineFleet
{
public:
  // How long a host must have been free of faults.
  static constexpr double kStableSeconds = 4;

  QuarantineFleet(int aHosts,
                  QuarantineFleetOptions aOptions,
                  std::uint64_t aSeed);

  std::size_t Hosts() const { return hosts_.size(); }
  // Sends the crashing request to a host, and once more to another host if it
  // fails and is idempotent.
  void SendCrashing(std::size_t aHost);
  // Crashes servers at the same time, as when a failure domain is lost.
  void CrashServers(std::size_t aServers);
  // Returns whether the host currently refuses the crashing request.
  bool Refuses(std::size_t aHost);
  void RunUntil(double aNow);

  // Kills the host's process; a new one starts aDown seconds later.
  void Kill(std::size_t aHost, double aDownSeconds);
  void Suspend(std::size_t aHost, double aUntil);
  // Drops all messages to and from the host, which can still read the store.
  void Partition(std::size_t aHost, double aUntil);
  void SetStoreUnavailable(double aUntil) { storeUnavailableUntil_ = aUntil; }
  const QuarantineCounts& Counts() const { return counts_; }
  std::mt19937_64& Random() { return random_; }

private:
  struct Request
  {
    std::string fingerprint_;
    bool crashing_ = false;
    bool idempotent_ = false;
    bool callerMayRetry_ = false;
    std::size_t host_ = 0;
    int process_ = 0;
    int attempts_ = 0;
    double heldUntil_ = 0;
    double sentAt_ = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Server
  {
    std::string id_;
    bool alive_ = true;
    std::vector<RequestPtr> running_;
  };
  struct Host
  {
    std::unique_ptr<AllowanceOwners> owners_;
    std::unique_ptr<FleetQuarantine> quarantine_;
    bool alive_ = true;
    double suspendedUntil_ = 0;
    double partitionedUntil_ = 0;
    double faultyUntil_ = 0;
    double timerAt_ = 0;
    // Incremented for each new process.
    int process_ = 0;
  };

  static std::string HostName(std::size_t aHost);
  void Schedule(double aAt, std::function<void()> aTask);
  // Runs the task in the host's current process, after any suspension.
  void ScheduleOn(std::size_t aHost,
                  double aAt,
                  std::function<void(Host&)> aTask);
  void StartProcess(std::size_t aHost);
  // Updates the registered hosts on all hosts.
  void AnnounceHosts();
  void PublishRefusals();
  void ReadRecord(Host& aHost, const HostRecord& aRecord);
  std::int64_t UnixMs() const;
  void SetTimer(std::size_t aHost);
  void Send(std::size_t aFrom,
            std::size_t aTo,
            const QuarantineMessage& aMessage);
  void SendOtherRequest();
  void CrashRandomServer();
  void StartRequest(const RequestPtr& aRequest);
  void PassQuarantine(const RequestPtr& aRequest,
                      const std::function<void()>& aNext);
  void Attempt(const RequestPtr& aRequest);
  void Finish(const RequestPtr& aRequest, std::size_t aServer);
  void Crash(std::size_t aServer);
  void OnConnectionLost(const RequestPtr& aRequest,
                        std::size_t aServer,
                        const std::string& aId);
  void CheckServer(std::size_t aHost,
                   std::size_t aServer,
                   const std::string& aId);
  void CountLateSend(const RequestPtr& aRequest);
  double Uniform(double aFrom, double aTo);

  QuarantineFleetOptions options_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::map<std::string, HostRecord> records_;
  std::multimap<double, std::function<void()>> tasks_;
  QuarantineCounts counts_;
  std::uint64_t nextOther_ = 0;
  int nextServer_ = 0;
  double thirdCrashAt_ = 0;
  double storeUnavailableUntil_ = 0;
  double now_ = 0;
};

}
