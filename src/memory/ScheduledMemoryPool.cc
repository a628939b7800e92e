#include "memory/ScheduledMemoryPool.h"

namespace peridotsail {

ScheduledMemoryPool::ScheduledMemoryPool(boost::asio::io_context& aContext,
                                         MemoryOptions aOptions)
  : MemoryPool(aOptions, [this](Duration aDelay) { Schedule(aDelay); })
  , timer_(aContext)
{
}

void
ScheduledMemoryPool::Schedule(Duration aDelay)
{
  timer_.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(aDelay));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Run(BootClock::now());
    }
  });
}

}
