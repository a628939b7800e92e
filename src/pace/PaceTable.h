#pragma once

// The paces of all backend servers for which this host decides (see
// ServerPace). Detects from the registrations that a server has started or
// become cold. A host that takes a server over from another one limits it only
// if the server has started recently or is cold: the former host's state is
// lost with it. Performs no I/O. Not thread-safe.
//
//   PaceTable paces(options, [](const PaceNotice& notice) { log });
//   paces.SetServers(servers, now);               // with each view
//   if (atServer < paces.Limit(id, now).value_or(limit)) {
//     ticket = paces.OnSent(id, atServer + 1, now);
//   }
//   paces.OnEnded(id, ticket, PaceOutcome::Success, serviceTime, now);

#include "pace/ServerPace.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace peridotsail {

// A registered backend server.
struct PacedServer
{
  std::string id_;
  std::string service_;
  // Identifies the server's process.
  std::int64_t incarnation_ = 0;
  int slots_ = 1;
  // The server is cold until then.
  TimePoint coldUntil_ = TimePoint::min();
  // Whether this host decides for the server.
  bool owned_ = false;
};

struct PaceTableOptions
{
  ServerPaceOptions pace_;
  // A host that takes a server over treats it as started if it appeared at most
  // this long ago.
  Duration recentStart_ = std::chrono::seconds(5);
  // A server becomes cold again if its cold time ends at least this much later
  // than before; smaller differences come from reading the same time again.
  Duration minColdChange_ = std::chrono::milliseconds(500);
  // Smoothing factor of the service times of a service's settled servers.
  double smoothing_ = 0.05;
};

// A server entered another phase.
struct PaceNotice
{
  std::string server_;
  PacePhase phase_ = PacePhase::Settled;
  PaceCause cause_ = PaceCause::FullPace;
  // Concurrent requests; the slots if the server is settled.
  int limit_ = 0;
};

class PaceTable
{
public:
  using Listener = std::function<void(const PaceNotice&)>;

  explicit PaceTable(PaceTableOptions aOptions = {}, Listener aListener = {});

  // All servers of the view, whether this host decides for them or not.
  void SetServers(const std::vector<PacedServer>& aServers, TimePoint aNow);
  // The server is used again after an ejection for failures.
  void OnRecovered(const std::string& aServer, TimePoint aNow);
  // Empty if the server's pace is not limited.
  std::optional<int> Limit(const std::string& aServer, TimePoint aNow) const;
  // aConcurrency: requests at the server, including this one.
  PaceTicket OnSent(const std::string& aServer,
                    int aConcurrency,
                    TimePoint aNow);
  void OnEnded(const std::string& aServer,
               const PaceTicket& aTicket,
               PaceOutcome aOutcome,
               Duration aServiceTime,
               TimePoint aNow);
  // The number of servers below full pace, for the metric.
  std::size_t LimitedServers() const;

private:
  struct Entry
  {
    explicit Entry(const PacedServer& aServer, ServerPaceOptions aOptions);
    PacedServer server_;
    ServerPace pace_;
    // When the server's process appeared while this host was running.
    TimePoint startedAt_ = TimePoint::min();
  };

  void AddServer(const PacedServer& aServer, TimePoint aNow);
  void UpdateServer(Entry& aEntry, const PacedServer& aServer, TimePoint aNow);
  void Begin(Entry& aEntry, PaceCause aCause, TimePoint aNow);
  void Notify(const Entry& aEntry, const PaceChange& aChange, TimePoint aNow);

  PaceTableOptions options_;
  Listener listener_;
  std::map<std::string, Entry> entries_;
  // Mean service time of the settled servers, in seconds, by service.
  std::map<std::string, double> settledSeconds_;
  bool hasView_ = false;
};

}
