#pragma once

// Simulates a backend server that handles few concurrent requests after its
// start and more as it warms up. Above its present capacity its service times
// grow, and well above it the server crashes.
//
//   StartingServer server(options, seed);
//   server.Send(id, now);
//   for (const CompletedRequest& request : server.Completed(now)) { ... }

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace peridotsail {

struct StartingServerOptions
{
  int slots_ = 12;
  double serviceSeconds_ = 0.1;
  // Concurrent requests that are handled without delay just after the start.
  double initialCapacity_ = 2;
  // Time until the capacity equals the slots.
  double warmSeconds_ = 6;
  // The server crashes if it has more than this multiple of its capacity for
  // crashSeconds_.
  double crashFactor_ = 3;
  double crashSeconds_ = 0.5;
};

struct CompletedRequest
{
  int id_ = 0;
  double serviceSeconds_ = 0;
};

class StartingServer
{
public:
  StartingServer(StartingServerOptions aOptions, std::uint64_t aSeed);

  int AtServer() const { return static_cast<int>(running_.size()); }
  bool Crashed() const { return crashed_; }
  void Send(int aId, double aNow);
  // The requests that have completed by now, in order.
  std::vector<CompletedRequest> Completed(double aNow);

private:
  double Capacity(double aNow) const;

  StartingServerOptions options_;
  std::mt19937_64 random_;
  // By end time.
  std::multimap<double, CompletedRequest> running_;
  double overloadedSince_ = -1;
  bool crashed_ = false;
};

}
