#pragma once

// Accounts for the bytes of one relay that wait for the other host or for the
// caller. They have been sent or have arrived, so they cannot wait for memory
// themselves; a relay stops instead while the process holds too much.

#include "memory/MemoryPool.h"

#include <cstddef>
#include <memory>

namespace peridotsail::detail {

class RelayMemory
{
public:
  // aPool may be null; then nothing is accounted for.
  explicit RelayMemory(MemoryPool* aPool)
    : pool_(aPool)
  {
  }

  // Sets what the relay holds. Returns false if it holds more than a little
  // and the process holds more than it may.
  bool Set(std::size_t aBytes)
  {
    if (pool_ == nullptr) {
      return true;
    }
    if (!hold_) {
      hold_ = pool_->Open(HoldStage::Executing, {}, BootClock::now());
    }
    hold_->Force(aBytes);
    const MemoryPoolStatistics all = pool_->Statistics();
    return aBytes <= kSmallBytes || all.held_ <= all.bound_;
  }

private:
  static constexpr std::size_t kSmallBytes = 16 << 10;

  MemoryPool* pool_;
  std::shared_ptr<MemoryHold> hold_;
};

}
