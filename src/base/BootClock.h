#pragma once

// The clock of all decisions: CLOCK_BOOTTIME, which keeps running while the
// system is suspended. A lease measured on CLOCK_MONOTONIC would look valid
// after a suspend although its time is over.

#include <chrono>
#include <cstdint>

namespace peridotsail {

using Duration = std::chrono::nanoseconds;

struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

// Returns the duration in seconds with its fraction.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the whole milliseconds of the duration.
inline std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

// Returns the duration of a number of seconds with a fraction.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

}
