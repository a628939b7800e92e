#pragma once

// The permission of one relay to send bytes to another region, within the shift
// cap. What was reserved and not sent is freed at the end of its life. Runs on
// the traffic thread.

#include "base/BootClock.h"
#include "steering/HostSteering.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace peridotsail {

class RelayAllowance
{
public:
  RelayAllowance(std::shared_ptr<HostSteering> aSteering,
                 ShiftReservation aReservation)
    : steering_(std::move(aSteering))
    , reservation_(std::move(aReservation))
  {
  }
  ~RelayAllowance()
  {
    steering_->Caps().Release(reservation_, BootClock::now());
    if (onEnd_) {
      onEnd_(reservation_.sentBytes_);
    }
  }
  RelayAllowance(const RelayAllowance&) = delete;
  RelayAllowance& operator=(const RelayAllowance&) = delete;

  // How many of the bytes may be sent now; they must be sent at once.
  std::size_t Cover(std::size_t aBytes)
  {
    return static_cast<std::size_t>(steering_->Caps().Consume(
      reservation_, static_cast<double>(aBytes), BootClock::now()));
  }
  // Told the number of bytes at the end.
  void SetOnEnd(std::function<void(double)> aOnEnd)
  {
    onEnd_ = std::move(aOnEnd);
  }

private:
  // Keeps the caps alive for relays that end with their io_context.
  std::shared_ptr<HostSteering> steering_;
  ShiftReservation reservation_;
  std::function<void(double)> onEnd_;
};

using RelayAllowancePtr = std::shared_ptr<RelayAllowance>;

}
