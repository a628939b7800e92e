#pragma once

// The record of a case: one line for each thing that was sent, answered, run
// or done, with the milliseconds since the start. Thread-safe.

#include "Net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace peridotsail::review {

class Record
{
public:
  explicit Record(const std::string& aPath);
  void Add(const std::string& aLine);
  // The milliseconds since the start.
  long Now() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

}
