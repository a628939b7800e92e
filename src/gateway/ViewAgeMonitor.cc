#include "gateway/ViewAgeMonitor.h"

namespace peridotsail {

std::optional<ViewAgeChange>
ViewAgeMonitor::Update(Duration aAge)
{
  const bool late = aAge > bound_;
  if (late == late_) {
    return std::nullopt;
  }
  late_ = late;
  return late ? ViewAgeChange::Late : ViewAgeChange::Current;
}

}
