#pragma once

// The clock for all decisions: CLOCK_BOOTTIME, which keeps running while the
// system is suspended. With CLOCK_MONOTONIC, a lease that expired during a
// suspend would still look valid afterwards.

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

// Returns the duration in seconds, including fractions.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the duration in whole milliseconds, truncated.
inline std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

// Converts a number of seconds, including fractions.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

}
