#pragma once

// What the scripts of the review share: the record of a run, the switch that
// leaves the disruption out, and a caller whose receive buffer can be small.

#include "platform/testing/PlatformFixture.h"

#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace peridotsail::review {

// The exit codes of a script.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

// Writes what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);

private:
  std::ofstream file_;
  TimePoint startedAt_;
};

// Returns whether the disruption is to be brought about; TROUBLE=0 leaves it
// out.
bool
HasTrouble();

// Runs a case with the record at the path that the first argument names, and
// returns the exit code.
int
RunCase(int aArgumentCount,
        char** aArguments,
        const std::function<Verdict(Record&)>& aCase);

// Replaces the configuration by a changed one.
void
ChangeConfiguration(PlatformFixture& aFixture,
                    const std::function<void(nlohmann::json&)>& aChange);

// Returns a field of /proc/PID/status in MB of a million bytes.
double
MemoryMb(const Process& aProcess, const std::string& aField);

// Returns the text with its line ends made visible, shortened to aMost bytes.
std::string
Visible(const std::string& aText, std::size_t aMost = 300);

// A caller's connection.
class Caller
{
public:
  // aReceiveBytes: the receive buffer; 0 for the system's own choice.
  explicit Caller(const std::string& aAddress, int aReceiveBytes = 0);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool Send(const std::string& aBytes) const;
  // Reads until the connection ends or is silent for so long.
  std::string ReadUntilSilent(Duration aSilence) const;
  // Reads one answer with a Content-Length. Returns an empty string if it is
  // not whole in time.
  std::string ReadAnswer(Duration aTime) const;
  bool IsOpen() const { return socket_ >= 0; }

private:
  // Returns no bytes when the connection has ended or the time is over.
  std::string ReadSome(Duration aTime) const;

  int socket_ = -1;
};

// Waits; the real clock passes.
void
Sleep(Duration aTime);

}
