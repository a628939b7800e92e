#pragma once

// A MemoryPool whose decisions are made on an io_context. Used on its thread.

#include "memory/MemoryPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace peridotsail {

class ScheduledMemoryPool : public MemoryPool
{
public:
  ScheduledMemoryPool(boost::asio::io_context& aContext,
                      MemoryOptions aOptions);

private:
  void Schedule(Duration aDelay);

  boost::asio::steady_timer timer_;
};

}
