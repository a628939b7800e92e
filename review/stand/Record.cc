#include "Record.h"

namespace peridotsail::review {

Record::Record(const std::string& aPath)
  : file_(aPath)
  , start_(Clock::now())
{
}

long
Record::Now() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - start_)
    .count();
}

void
Record::Add(const std::string& aLine)
{
  const long now = Now();
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << now << " ms: " << aLine << std::endl;
}

}
