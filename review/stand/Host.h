#pragma once

// An entry host of the case: a process that runs the command of the deploy file
// with settings like those of the platform.

#include "Record.h"

#include <map>
#include <string>
#include <sys/types.h>

namespace peridotsail::review {

struct HostOptions
{
  std::string name_;
  // An address of the host's own, since its port for metrics is fixed.
  std::string ip_;
  std::string zone_;
  std::string region_;
  // The region of each zone.
  std::map<std::string, std::string> zones_;
  std::string storeIp_;
  int storePort_ = 0;
  // The folder for settings and logs.
  std::string folder_;
  // The program of the deploy file, target/bin/peridotsail.
  std::string program_;
  int memoryMb_ = 260;
  // Whether the whole system starts for the first time.
  bool bootstrap_ = true;
};

// Returns an address of the loopback network at which the fixed port for
// metrics is free. aNumber distinguishes the hosts of a case.
std::string
FreeHostIp(int aNumber);

class Host
{
public:
  Host(HostOptions aOptions, Record& aRecord);
  // Kills the process.
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Returns false if the settings or the process cannot be made.
  bool Start();
  void Signal(int aSignal, const std::string& aWhy);
  bool IsRunning();
  // Whether the host answers readiness probes with 200.
  bool IsReady() const;
  bool WaitUntilReady(Milliseconds aTimeout) const;
  bool WaitUntilEnded(Milliseconds aTimeout);
  // The resident memory of the process in megabytes, 0 if it has ended.
  double MemoryMb() const;
  const HostOptions& Options() const { return options_; }
  int CallersPort() const { return callersPort_; }

private:
  bool WriteSettings();
  std::string SettingsPath() const;

  HostOptions options_;
  Record& record_;
  int callersPort_ = 0;
  int readinessPort_ = 0;
  int directoryPort_ = 0;
  pid_t pid_ = -1;
};

}
