#pragma once

// The process on an entry host: wires the slices to their threads and ends them
// in order.
//
//   EntryHost host(settings);
//   Error error;
//   if (!host.Start(error)) { ... }
//   return host.Run();

#include "app/Settings.h"
#include "base/ErrorKind.h"

#include <memory>

namespace peridotsail {

class EntryHost
{
public:
  explicit EntryHost(Settings aSettings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Opens the ports and starts the threads.
  bool Start(Error& aError);
  // Serves until SIGTERM or SIGINT and returns the exit code. The first signal
  // begins a graceful shutdown: the host is left out of look-ups, serves until
  // their time to live is over, finishes its requests in flight, and the result
  // is 0. A second signal or the drain limit ends it at once with 1.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
