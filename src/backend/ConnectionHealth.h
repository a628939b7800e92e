#pragma once

// Watches the progress of connections to backend servers and decides which to
// abandon. A connection can go silent for ever although new ones to the same
// server work, so suspicion concerns connections and not the server. Pure.
//
//   health.Opened(id, server, now);
//   health.Progress(id, ConnectionPhase::AwaitingResponse, now);
//   for (const ConnectionVerdict& verdict : health.Check(now)) {
//     ... close verdict.id_; if it was busy, end or retry its request ...
//   }
//   if (!health.MayReuse(id, now)) { ... close it instead ... }
//
// When a connection is abandoned, idle connections to the same server of the
// same age or older are closed, because what silenced one (a lost address
// mapping, a restarted switch) silenced all that existed then. Busy ones keep
// their own limits and are not reused.

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
  // Request bytes wait for the server to accept them.
  Sending,
  // The caller has to send or to accept bytes; the server owes nothing.
  AwaitingCaller,
  // The request is sent; the first byte of the response is awaited.
  AwaitingResponse,
  Receiving,
};

struct ConnectionVerdict
{
  std::uint64_t id_ = 0;
  std::string server_;
  // True: made no progress. False: idle, closed because of another one.
  bool stalled_ = false;
  ConnectionPhase phase_ = ConnectionPhase::Idle;
};

struct ConnectionHealthOptions
{
  // Time without progress while bytes should flow.
  Duration stallLimit_ = std::chrono::seconds(3);
  // An idle connection is closed after this time, before intermediate devices
  // forget it.
  Duration idleLimit_ = std::chrono::seconds(30);
};

class ConnectionHealth
{
public:
  explicit ConnectionHealth(ConnectionHealthOptions aOptions = {});

  void Opened(std::uint64_t aId, const std::string& aServer, TimePoint aNow);
  // Bytes moved, or the connection enters the phase. aResponseLimit is used in
  // the phase AwaitingResponse; without it only the deadline ends the wait.
  void Progress(std::uint64_t aId,
                ConnectionPhase aPhase,
                TimePoint aNow,
                std::optional<Duration> aResponseLimit = std::nullopt);
  void Closed(std::uint64_t aId);
  // Returned connections are no longer watched.
  std::vector<ConnectionVerdict> Check(TimePoint aNow);
  // As Check, for one busy connection: true when it is stalled, after which it
  // is no longer watched and idle ones of its age are suspected.
  bool TakeIfStalled(std::uint64_t aId, TimePoint aNow);
  // Whether a connection that is or becomes idle may carry another request.
  bool MayReuse(std::uint64_t aId, TimePoint aNow) const;
  std::size_t size() const { return connections_.size(); }

private:
  struct Connection
  {
    std::string server_;
    TimePoint opened_;
    TimePoint lastProgress_;
    ConnectionPhase phase_ = ConnectionPhase::Idle;
    std::optional<Duration> responseLimit_;
  };

  bool Stalled(const Connection& aConnection, TimePoint aNow) const;
  bool Suspected(const Connection& aConnection) const;

  ConnectionHealthOptions options_;
  std::map<std::uint64_t, Connection> connections_;
  // By server: connections opened up to this time are suspected.
  std::map<std::string, TimePoint> suspectedUpTo_;
};

// The wait for a response after which a request that may be retried is moved
// to a new connection: a multiple of the slowest recent response, so that only
// a wait unlike any other raises suspicion. Before the first response there is
// no limit. An abandoned wait is recorded like
// a response; a pool that becomes slower thus raises the limit, instead of
// having all its requests moved.
class ResponseTimeLimit
{
public:
  void Record(Duration aResponseTime, TimePoint aNow);
  Duration Limit(TimePoint aNow) const;

private:
  double Slowest(TimePoint aNow) const;

  double slowestSeconds_ = 0;
  TimePoint recorded_{};
};

}
