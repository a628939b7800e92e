#include "proxy/BackendConnections.h"

#include <algorithm>

namespace peridotsail::detail {

BackendConnections::BackendConnections(asio::io_context& aContext,
                                       BackendConnectionsOptions aOptions)
  : context_(aContext)
  , options_(aOptions)
{
}

BackendConnectionPtr
BackendConnections::TakeIdle(const std::string& aAddress)
{
  std::deque<BackendConnectionPtr>& idle = idle_[aAddress];
  const TimePoint now = BootClock::now();
  while (!idle.empty()) {
    BackendConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection->idleSince_ < options_.idleLimit_) {
      connection->reused_ = true;
      return connection;
    }
  }
  return nullptr;
}

BackendConnectionPtr
BackendConnections::MakeNew(const std::string& aAddress)
{
  auto connection = std::make_unique<BackendConnection>(context_);
  connection->address_ = aAddress;
  connection->openedAt_ = BootClock::now();
  return connection;
}

void
BackendConnections::Return(BackendConnectionPtr aConnection)
{
  aConnection->stream_.expires_never();
  aConnection->idleSince_ = BootClock::now();
  std::deque<BackendConnectionPtr>& idle = idle_[aConnection->address_];
  idle.push_back(std::move(aConnection));
  if (idle.size() > options_.idleConnections_) {
    idle.pop_front();
  }
}

void
BackendConnections::CloseIdle(const std::string& aAddress,
                              TimePoint aOpenedUntil)
{
  std::deque<BackendConnectionPtr>& idle = idle_[aAddress];
  const auto suspect = [&](const BackendConnectionPtr& aConnection) {
    return aConnection->openedAt_ <= aOpenedUntil;
  };
  idle.erase(std::remove_if(idle.begin(), idle.end(), suspect), idle.end());
}

}
