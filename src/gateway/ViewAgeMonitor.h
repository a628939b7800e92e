#pragma once

// Detects when the view of the store becomes older than the bound within which
// changes must take effect, and when it is within the bound again. Performs no
// I/O.
//
//   ViewAgeMonitor monitor(bound);
//   if (const auto change = monitor.Update(age)) { ... }

#include "base/BootClock.h"

#include <optional>

namespace peridotsail {

enum class ViewAgeChange
{
  Late,
  Current,
};

class ViewAgeMonitor
{
public:
  explicit ViewAgeMonitor(Duration aBound)
    : bound_(aBound)
  {
  }

  // Returns the change, if the age has crossed the bound since the last call.
  std::optional<ViewAgeChange> Update(Duration aAge);

private:
  Duration bound_;
  bool late_ = false;
};

}
