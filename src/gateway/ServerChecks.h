#pragma once

// Finds out whether a backend server still accepts connections after one was
// lost in a request. An opened connection is kept for the next request. Traffic
// thread only; included by .cc files.
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
    TimePoint begunAt_;
  };

  ServerChecks(ServerConnections& aConnections,
               std::function<void(const Result&)> aOnChecked);
  ~ServerChecks();
  ServerChecks(const ServerChecks&) = delete;
  ServerChecks& operator=(const ServerChecks&) = delete;

  // One attempt to connect at a time for each server. A call during an attempt
  // leads to a further one, since the running one may have begun before the
  // connection was lost.
  void Check(const InstancePtr& aInstance);

private:
  struct Attempt;

  void Begin(const InstancePtr& aInstance);
  void Finish(const std::shared_ptr<Attempt>& aAttempt, bool aAlive);

  ServerConnections& connections_;
  std::function<void(const Result&)> onChecked_;
  std::map<Instance*, std::shared_ptr<Attempt>> running_;
};

}
