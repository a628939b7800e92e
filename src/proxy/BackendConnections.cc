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
    if (now - connection->idleSince_ < options_.idleTimeout_ &&
        connection->buffer_.size() == 0 &&
        HasNothingToRead(connection->stream_.socket()) &&
        health_.MayReuse(connection->id_, now)) {
      connection->reused_ = true;
      return connection;
    }
    ReportClosed(*connection);
  }
  return nullptr;
}

BackendConnectionPtr
BackendConnections::Create(const std::string& aAddress)
{
  auto connection = std::make_unique<BackendConnection>(context_);
  connection->address_ = aAddress;
  connection->openedAt_ = BootClock::now();
  connection->id_ = ++lastId_;
  health_.Opened(connection->id_, aAddress, connection->openedAt_);
  return connection;
}

void
BackendConnections::Return(BackendConnectionPtr aConnection)
{
  aConnection->stream_.expires_never();
  aConnection->idleSince_ = BootClock::now();
  health_.Progress(
    aConnection->id_, ConnectionPhase::Idle, aConnection->idleSince_);
  if (!health_.MayReuse(aConnection->id_, aConnection->idleSince_)) {
    ReportClosed(*aConnection);
    return;
  }
  std::deque<BackendConnectionPtr>& idle = idle_[aConnection->address_];
  idle.push_back(std::move(aConnection));
  if (idle.size() > options_.maxIdleConnections_) {
    ReportClosed(*idle.front());
    idle.pop_front();
  }
}

void
BackendConnections::ReportClosed(const BackendConnection& aConnection)
{
  health_.Closed(aConnection.id_);
}

void
BackendConnections::CloseIdle(const std::string& aAddress,
                              TimePoint aOpenedUntil)
{
  std::deque<BackendConnectionPtr>& idle = idle_[aAddress];
  const auto isSuspect = [&](const BackendConnectionPtr& aConnection) {
    const bool old = aConnection->openedAt_ <= aOpenedUntil;
    if (old) {
      ReportClosed(*aConnection);
    }
    return old;
  };
  idle.erase(std::remove_if(idle.begin(), idle.end(), isSuspect), idle.end());
}

}
