#pragma once

// Spreads the waits that are told to callers whom a host refuses for the same
// reason, such as a full service, so that they do not return together. The
// place of a refusal among the last ones chooses its wait between the expected
// one and twice that. Performs no I/O. Not thread-safe.
//
//   wait = spread.Next("inbox", wait);

#include "base/BootClock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace peridotsail {

class RefusalSpread
{
public:
  // aClass: callers that wait for the same thing.
  Duration Next(const std::string& aClass, Duration aWait);

private:
  std::unordered_map<std::string, std::uint64_t> places_;
};

}
