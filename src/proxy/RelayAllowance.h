#pragma once

// The bytes that one relay may send to another region under the shift cap. The
// destructor returns bytes that were reserved but not sent. Used on the traffic
// thread.

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

  // Returns how many of aBytes may be sent now. The caller must send them
  // immediately.
  std::size_t Acquire(std::size_t aBytes)
  {
    return static_cast<std::size_t>(steering_->Caps().Consume(
      reservation_, static_cast<double>(aBytes), BootClock::now()));
  }
  // Sets a callback that the destructor calls with the number of sent bytes.
  void SetOnEnd(std::function<void(double)> aOnEnd)
  {
    onEnd_ = std::move(aOnEnd);
  }

private:
  // Keeps the caps alive for relays that are destroyed with their io_context.
  std::shared_ptr<HostSteering> steering_;
  ShiftReservation reservation_;
  std::function<void(double)> onEnd_;
};

using RelayAllowancePtr = std::shared_ptr<RelayAllowance>;

}
