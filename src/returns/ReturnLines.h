#pragma once

// The lines of all token sources of a host (see ReturnLine), with a bound on
// their memory and counters for metrics. Performs no I/O. Not thread-safe.
//
//   ReturnLines lines(options);
//   auto verdicts = lines.Decide("acme/0", callers, supply, now);
//   const double spare = lines.Spare("acme/0", supply, now);

#include "returns/ReturnLine.h"

#include <map>
#include <string>

namespace peridotsail {

struct ReturnLinesOptions
{
  ReturnLineOptions line_;
  // Promises of all sources together; beyond this, callers get no place.
  std::size_t maxPromises_ = 16384;
};

// Callers by what became of them.
struct ReturnCounts
{
  // Returned on time and got the token.
  std::uint64_t kept_ = 0;
  // Returned before their time and were refused.
  std::uint64_t early_ = 0;
  std::uint64_t promised_ = 0;
  std::uint64_t noPlace_ = 0;
};

class ReturnLines
{
public:
  explicit ReturnLines(ReturnLinesOptions aOptions = {});

  std::vector<ReturnVerdict> Decide(
    const std::string& aSource,
    const std::vector<ReturningCaller>& aCallers,
    const TokenSupply& aSupply,
    TimePoint aNow);
  // The whole tokens of the source that are not held.
  double Spare(const std::string& aSource,
               const TokenSupply& aSupply,
               TimePoint aNow);
  const ReturnCounts& Counts() const { return counts_; }
  std::size_t Promises() const { return promises_; }

private:
  void Count(const std::vector<ReturnVerdict>& aVerdicts);
  void RemoveEndedLines(TimePoint aNow);

  ReturnLinesOptions options_;
  std::map<std::string, ReturnLine> lines_;
  std::size_t promises_ = 0;
  ReturnCounts counts_;
};

}
