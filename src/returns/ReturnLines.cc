#include "returns/ReturnLines.h"

namespace peridotsail {

ReturnLines::ReturnLines(ReturnLinesOptions aOptions)
  : options_(aOptions)
{
}

std::vector<ReturnVerdict>
ReturnLines::Decide(const std::string& aSource,
                    const std::vector<ReturningCaller>& aCallers,
                    const TokenSupply& aSupply,
                    TimePoint aNow)
{
  if (promises_ + aCallers.size() > options_.maxPromises_) {
    RemoveEndedLines(aNow);
  }
  std::vector<ReturningCaller> callers = aCallers;
  if (promises_ + callers.size() > options_.maxPromises_) {
    // No new places; those who have one keep it.
    for (ReturningCaller& caller : callers) {
      caller.patience_ = Duration(-1);
    }
  }
  ReturnLine& line =
    lines_.try_emplace(aSource, ReturnLine(options_.line_)).first->second;
  const std::size_t before = line.Size();
  std::vector<ReturnVerdict> verdicts = line.Decide(callers, aSupply, aNow);
  promises_ = promises_ - before + line.Size();
  Count(verdicts);
  if (line.Size() == 0) {
    lines_.erase(aSource);
  }
  return verdicts;
}

double
ReturnLines::Spare(const std::string& aSource,
                   const TokenSupply& aSupply,
                   TimePoint aNow)
{
  const auto found = lines_.find(aSource);
  if (found == lines_.end()) {
    return aSupply.level_;
  }
  const std::size_t before = found->second.Size();
  const double spare = found->second.Spare(aSupply, aNow);
  promises_ = promises_ - before + found->second.Size();
  return spare;
}

void
ReturnLines::RemoveEndedLines(TimePoint aNow)
{
  promises_ = 0;
  for (auto it = lines_.begin(); it != lines_.end();) {
    const bool empty = it->second.RemoveEnded(aNow);
    promises_ += it->second.Size();
    it = empty ? lines_.erase(it) : std::next(it);
  }
}

void
ReturnLines::Count(const std::vector<ReturnVerdict>& aVerdicts)
{
  for (const ReturnVerdict& verdict : aVerdicts) {
    counts_.kept_ += verdict.result_ == ReturnResult::GrantedInTurn ? 1 : 0;
    counts_.early_ += verdict.result_ == ReturnResult::Early ? 1 : 0;
    counts_.promised_ += verdict.result_ == ReturnResult::Promised ? 1 : 0;
    counts_.noPlace_ += verdict.result_ == ReturnResult::NoPlace ? 1 : 0;
  }
}

}
