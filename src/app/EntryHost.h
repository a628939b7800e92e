#pragma once

// The process on an entry host: creates the components, runs them on their
// threads and shuts them down in order.
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

  // Opens the ports and starts the threads. On failure, returns false and sets
  // aError.
  bool Start(Error& aError);
  // Serves until SIGTERM or SIGINT and returns the exit code. The first signal
  // starts a graceful shutdown: lookups omit the host, and it accepts requests
  // until the time to live of earlier lookups has passed. It then finishes the
  // requests in flight and returns 0. A second signal, or reaching the drain
  // limit, ends it at once with 1.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
