#pragma once

// Tracks progress on connections to backend servers and reports the ones to
// close. A connection can stall permanently while new connections to the same
// server work, so a stall counts against connections and not against the
// server. No I/O and no clock: callers pass in events and the current time.
//
//   health.Opened(id, server, now);
//   health.Progress(id, ConnectionPhase::AwaitingResponse, now);
//   for (const AbandonedConnection& connection : health.Check(now)) {
//     ... close connection.id_; if it was busy, fail or retry its request ...
//   }
//   if (!health.MayReuse(id, now)) { ... close it instead ... }
//
// When a connection stalls, idle connections to the same server that were
// opened no later are closed too, because the usual causes (a lost address
// mapping, a restarted switch) break every connection that existed at that
// time. Busy ones keep their own timeouts and are not reused.

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

enum class ConnectionPhase
{
  Idle,
  // Request bytes are waiting for the server to accept them.
  Sending,
  // Waiting for the caller to send or accept bytes, not for the server.
  AwaitingCaller,
  // The request has been sent; no byte of the response has arrived.
  AwaitingResponse,
  Receiving,
};

struct AbandonedConnection
{
  std::uint64_t id_ = 0;
  std::string server_;
  // True if it made no progress; false if it was idle and either expired or
  // was opened no later than a stalled connection to the same server.
  bool stalled_ = false;
  ConnectionPhase phase_ = ConnectionPhase::Idle;
};

struct ConnectionHealthOptions
{
  // Maximum time without progress while bytes should flow.
  Duration stallTimeout_ = std::chrono::seconds(3);
  // Idle connections are closed after this time, before NAT devices and
  // firewalls on the path drop their state.
  Duration idleTimeout_ = std::chrono::seconds(30);
};

class ConnectionHealth
{
public:
  explicit ConnectionHealth(ConnectionHealthOptions aOptions = {});

  void Opened(std::uint64_t aId, const std::string& aServer, TimePoint aNow);
  // Records that bytes were transferred or that the connection entered aPhase.
  // aResponseTimeout applies to AwaitingResponse; without it, only the
  // request's deadline bounds the wait.
  void Progress(std::uint64_t aId,
                ConnectionPhase aPhase,
                TimePoint aNow,
                std::optional<Duration> aResponseTimeout = std::nullopt);
  void Closed(std::uint64_t aId);
  // Returns the connections to close and stops tracking them.
  std::vector<AbandonedConnection> Check(TimePoint aNow);
  // Like Check, for one busy connection. If it is stalled, stops tracking it,
  // marks idle connections of the same age or older as suspect and returns
  // true.
  bool RemoveIfStalled(std::uint64_t aId, TimePoint aNow);
  // Whether a connection that is or becomes idle can carry another request.
  bool MayReuse(std::uint64_t aId, TimePoint aNow) const;
  std::size_t size() const { return connections_.size(); }

private:
  struct Connection
  {
    std::string server_;
    TimePoint opened_;
    TimePoint lastProgress_;
    ConnectionPhase phase_ = ConnectionPhase::Idle;
    std::optional<Duration> responseTimeout_;
  };

  bool IsStalled(const Connection& aConnection, TimePoint aNow) const;
  bool IsSuspected(const Connection& aConnection) const;

  ConnectionHealthOptions options_;
  std::map<std::uint64_t, Connection> connections_;
  // Per server: connections opened at or before this time are suspect.
  std::map<std::string, TimePoint> suspectCutoffs_;
};

// Adaptive timeout after which a retryable request is moved to a new
// connection: a multiple of the slowest recent response, so that only an
// unusually long wait triggers it. Before the first response it is effectively
// unlimited. Abandoned waits are recorded like responses, so that the timeout
// rises when a pool slows down, instead of all its requests being moved.
class AdaptiveResponseTimeout
{
public:
  void Record(Duration aResponseTime, TimePoint aNow);
  Duration Timeout(TimePoint aNow) const;

private:
  double SlowestResponse(TimePoint aNow) const;

  double slowestSeconds_ = 0;
  TimePoint slowestRecordedAt_{};
};

}
