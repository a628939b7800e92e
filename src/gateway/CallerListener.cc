#include "gateway/CallerListener.h"

namespace peridotsail::detail {

namespace {

// The resolution of the header and idle timeouts.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Connections that wait to be accepted. With a full backlog the caller's SYN is
// retransmitted, which costs seconds.
constexpr int kBacklog = 1024;

}

CallerListener::CallerListener(asio::io_context& aContext,
                               CallerHooks aHooks,
                               std::size_t aMaxConnections)
  : hooks_(std::move(aHooks))
  , maxConnections_(aMaxConnections)
  , acceptor_(aContext)
  , timer_(aContext)
{
}

bool
CallerListener::Listen(const Address& aAddress, Error& aError)
{
  if (!OpenAcceptor(acceptor_, aAddress, kBacklog, aError)) {
    return false;
  }
  Accept();
  CheckTimeouts();
  return true;
}

void
CallerListener::Accept()
{
  acceptor_.async_accept([this](ErrorCode aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (!aError && connections_.size() < maxConnections_) {
      const auto connection =
        std::make_shared<CallerConnection>(std::move(aSocket), hooks_);
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void
CallerListener::CheckTimeouts()
{
  timer_.expires_after(ToSteady(kTimeoutCheckInterval));
  timer_.async_wait([this](ErrorCode aError) {
    if (aError) {
      return;
    }
    const TimePoint now = BootClock::now();
    for (auto it = connections_.begin(); it != connections_.end();) {
      (*it)->CheckTimeouts(now);
      it = (*it)->IsClosed() ? connections_.erase(it) : std::next(it);
    }
    CheckTimeouts();
  });
}

void
CallerListener::Close()
{
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void
CallerListener::CloseIdle()
{
  for (auto it = connections_.begin(); it != connections_.end();) {
    (*it)->CloseIfIdle();
    it = (*it)->IsClosed() ? connections_.erase(it) : std::next(it);
  }
}

void
CallerListener::AnswerRemaining()
{
  for (const auto& connection : connections_) {
    connection->AnswerRemaining();
  }
}

}
