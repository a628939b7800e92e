#include "slots/ReportedLoad.h"

#include <charconv>

namespace peridotsail {

namespace {

// A server with more requests than this reports nonsense.
constexpr int kMaxReportedRequests = 1000000;
// A machine that takes a hundred times as long as usual, or a tenth of the
// usual time, reports nonsense.
constexpr int kMinPace = 10;
constexpr int kMaxPace = 10000;

// Reads a number and the comma before it, and removes both from the text.
bool
ReadNext(std::string_view& aText, bool aIsFirst, int& aNumber)
{
  if (!aIsFirst) {
    if (aText.empty() || aText.front() != ',') {
      return false;
    }
    aText.remove_prefix(1);
  }
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  if (parsed.ec != std::errc()) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  return aText.empty() || aText.front() == ',';
}

}

bool
IsPlausible(const ReportedLoad& aLoad)
{
  const auto inRange = [](int aCount) {
    return aCount >= 0 && aCount <= kMaxReportedRequests;
  };
  const bool paceFits =
    aLoad.pace_ == 0 || (aLoad.pace_ >= kMinPace && aLoad.pace_ <= kMaxPace);
  return inRange(aLoad.running_) && inRange(aLoad.waiting_) && paceFits;
}

std::optional<ReportedLoad>
ParseReportedLoad(std::string_view aText, TimePoint aNow)
{
  ReportedLoad load;
  load.at_ = aNow;
  if (!ReadNext(aText, true, load.running_) ||
      !ReadNext(aText, false, load.waiting_)) {
    return std::nullopt;
  }
  int slots = 0;
  if (!aText.empty() && !ReadNext(aText, false, slots)) {
    return std::nullopt;
  }
  if (!aText.empty() && !ReadNext(aText, false, load.pace_)) {
    return std::nullopt;
  }
  return IsPlausible(load) ? std::optional(load) : std::nullopt;
}

}
