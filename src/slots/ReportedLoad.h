#pragma once

// The load that a backend server reports in its responses: the numbers of
// requests that run and wait, the number of slots and, from some servers, the
// pace of the machine.
//
//   const auto load = ParseReportedLoad("3,0,8,100", now);

#include "base/BootClock.h"

#include <optional>
#include <string_view>

namespace peridotsail {

// The usual pace of a server's machine.
constexpr int kUsualPace = 100;

struct ReportedLoad
{
  int running_ = 0;
  int waiting_ = 0;
  TimePoint at_ = TimePoint::min();
  // How long work takes on the server's machine at the moment, in percent of
  // the usual time. Zero if the server does not report it.
  int pace_ = 0;
  // Set for the load as the owner of the server's slots knows it. It counts the
  // requests of all hosts, also of those that get no responses.
  bool fromOwner_ = false;
};

// Returns whether the counts and the pace of a report are plausible.
bool
IsPlausible(const ReportedLoad& aLoad);

// Returns nothing if the text is malformed or not plausible. The slots are
// ignored, since the registration has them; the pace is optional.
std::optional<ReportedLoad>
ParseReportedLoad(std::string_view aText, TimePoint aNow);

}
