#pragma once

// Checks whether a backend server still accepts connections after a connection
// was lost during a request. A connection that could be opened is kept for the
// next request. Used on the traffic thread only; included by .cc files.
//
//   ServerChecks checks(connections, onChecked);
//   checks.Check(instance);

#include "gateway/ServerConnections.h"

#include <functional>
#include <map>
#include <memory>

namespace peridotsail::detail {

class ServerChecks
{
public:
  struct Result
  {
    InstancePtr instance_;
    bool alive_ = false;
    TimePoint startedAt_;
  };

  ServerChecks(ServerConnections& aConnections,
               std::function<void(const Result&)> aOnChecked);
  ~ServerChecks();
  ServerChecks(const ServerChecks&) = delete;
  ServerChecks& operator=(const ServerChecks&) = delete;

  // Connects to the server; at most one attempt per server runs at a time. A
  // call during an attempt schedules another one, because the running attempt
  // may have started before the connection was lost.
  void Check(const InstancePtr& aInstance);

private:
  struct Attempt;

  void StartAttempt(const InstancePtr& aInstance);
  void Finish(const std::shared_ptr<Attempt>& aAttempt, bool aAlive);

  ServerConnections& connections_;
  std::function<void(const Result&)> onChecked_;
  std::map<Instance*, std::shared_ptr<Attempt>> running_;
};

}
