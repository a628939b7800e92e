#pragma once

// One entry host, a sound service with callers on kept connections, and the
// platform's watch over the memory of the host. For cases in which something
// else makes the host use too much memory.

#include "Machines.h"
#include "Server.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotsail::review {

class Fleet
{
public:
  Fleet(const CaseArguments& aArguments, Record& aRecord);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Adds an instance of the service for uploads. Call before Start.
  void AddUploadServer(Milliseconds aWork, Server::Hook aHook);
  // Returns false if a process does not start.
  bool Start();
  // Starts the callers and waits until the host has been in touch for
  // stableWindowMs.
  void StartCallers();
  void Upload(const std::string& aId,
              const std::string& aBody,
              std::size_t aBytesPerSecond);
  // Watches the host for the time, and kills it when it exceeds its memory, as
  // the platform does.
  void WatchMemory(Milliseconds aTime);
  // Stops the callers and the host. The servers and the store go on, so that a
  // fleet must live as long as the process.
  void Stop();
  // Judges the requests of kept connections that sound servers had got and that
  // ended without an answer. Returns the exit code.
  int Judge() const;

private:
  void AddServer(const ServerOptions& aOptions, Server::Hook aHook);
  void CallSoundServers(int aNumber);
  bool SoundServerRan(const std::string& aId);

  Record& record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  Machines machines_;
  Host* host_ = nullptr;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_{ false };
  std::atomic<int> lost_{ 0 };
};

}
