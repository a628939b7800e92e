#pragma once

// The callers who were refused a token and told when to come back. Each gets
// the time at which the next token that is not promised yet is due. A caller
// that returns at its time gets a token before newcomers; newcomers get only
// tokens beyond those held for callers whose time has come. A caller that
// returns early is told the remaining time and keeps its place. A promise ends
// soon after its time, so that the token of a caller who stays away is used.
//
// Nothing here creates tokens: the number granted is at most the number that
// the caller of Decide has. Callers are known by a hash of their request, so
// callers with equal requests share one place. Performs no I/O. Not
// thread-safe.
//
//   ReturnLine line(options);
//   for (const ReturnVerdict& verdict : line.Decide(callers, supply, now)) ...

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace peridotsail {

struct ReturnLineOptions
{
  // A caller that returns this much before its time counts as on time, since
  // the time told is rounded.
  Duration earlyTolerance_ = std::chrono::milliseconds(5);
  // A token is held for this long after its time.
  Duration grace_ = std::chrono::milliseconds(250);
  // Callers beyond this number get no place.
  std::size_t maxPromises_ = 1024;
};

// A request that waits for a token.
struct ReturningCaller
{
  // Zero if the caller cannot be recognized when it returns.
  std::uint64_t hash_ = 0;
  // The longest wait that the caller would honour.
  Duration patience_{};
};

// The tokens of a source.
struct TokenSupply
{
  double level_ = 0;
  // Tokens above this are lost.
  double capacity_ = 0;
  // Refill in tokens per second.
  double rate_ = 0;
};

enum class ReturnResult
{
  // Newcomer, or returned early while there was a token to spare.
  Granted,
  // Returned on time.
  GrantedInTurn,
  // Refused, with a place in line at the end of the wait.
  Promised,
  // Refused, keeps the place it had.
  Early,
  // Refused without a place: the wait is longer than the caller would honour,
  // or the line is full.
  NoPlace,
};

struct ReturnVerdict
{
  ReturnResult result_ = ReturnResult::NoPlace;
  // Set if refused: the time until the token is due.
  Duration wait_{};
  // Set for Promised and Early: the number of promises up to this one.
  int place_ = 0;

  bool IsGranted() const
  {
    return result_ == ReturnResult::Granted ||
           result_ == ReturnResult::GrantedInTurn;
  }
};

class ReturnLine
{
public:
  explicit ReturnLine(ReturnLineOptions aOptions = {});

  // Decides on callers that ask together, in the order of their arrival. The
  // result has one verdict for each.
  std::vector<ReturnVerdict> Decide(
    const std::vector<ReturningCaller>& aCallers,
    const TokenSupply& aSupply,
    TimePoint aNow);
  // The whole tokens that callers without a hash may take.
  double Spare(const TokenSupply& aSupply, TimePoint aNow);
  // The number of promises.
  std::size_t Size() const { return dueAt_.size(); }
  // Removes ended promises. Returns whether there is none left.
  bool RemoveEnded(TimePoint aNow);

private:
  using DueTimes = std::unordered_map<std::uint64_t, TimePoint>;

  bool IsOnTime(std::uint64_t aHash, TimePoint aNow) const;
  void Remove(std::uint64_t aHash);
  void Insert(std::uint64_t aHash, TimePoint aDue);
  // The promises whose time has come.
  double Held(TimePoint aNow) const;
  double SpareTokens(const TokenSupply& aSupply, TimePoint aNow) const;
  void GrantInTurn(const std::vector<ReturningCaller>& aCallers,
                   TokenSupply& aSupply,
                   TimePoint aNow,
                   std::vector<ReturnVerdict>& aVerdicts);
  ReturnVerdict DecideOther(const ReturningCaller& aCaller,
                            TokenSupply& aSupply,
                            TimePoint aNow);
  ReturnVerdict Refuse(const ReturningCaller& aCaller,
                       const TokenSupply& aSupply,
                       TimePoint aNow);
  int PlaceOf(TimePoint aDue) const;

  ReturnLineOptions options_;
  // Each caller's due time, and the same sorted by time.
  DueTimes dueAt_;
  std::multimap<TimePoint, std::uint64_t> byDue_;
};

}
