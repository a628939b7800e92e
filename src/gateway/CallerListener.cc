#include "gateway/CallerListener.h"

namespace peridotsail::detail {

namespace {

// The resolution of the header and idle timeouts.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);
// Connections that wait to be accepted. With a full backlog the caller's SYN is
// retransmitted, which costs seconds.
constexpr int kBacklog = 1024;
constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(50);

}

CallerListener::CallerListener(asio::io_context& aContext,
                               CallerHooks aHooks,
                               std::size_t aMaxConnections)
  : hooks_(std::move(aHooks))
  , maxConnections_(aMaxConnections)
  , acceptor_(aContext)
  , timer_(aContext)
  , acceptTimer_(aContext)
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
    if (aError) {
      // Most likely no descriptor is left.
      CloseSilent();
      AcceptLater();
      return;
    }
    OnAccepted(std::move(aSocket));
    Accept();
  });
}

void
CallerListener::AcceptLater()
{
  acceptTimer_.expires_after(ToSteady(kAcceptRetryInterval));
  acceptTimer_.async_wait([this](ErrorCode aError) {
    if (!aError && acceptor_.is_open()) {
      Accept();
    }
  });
}

void
CallerListener::OnAccepted(tcp::socket aSocket)
{
  if (connections_.size() >= maxConnections_ && !CloseSilent()) {
    return;
  }
  const auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), hooks_);
  connections_.insert(connection);
  CountConnections();
  connection->Start();
}

void
CallerListener::CountConnections()
{
  hooks_.memory_->SetConnections(connections_.size());
}

bool
CallerListener::CloseSilent()
{
  auto silent = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if ((*it)->IsClosed()) {
      silent = it;
      break;
    }
    const bool isLonger = silent == connections_.end() ||
                          (*it)->LastActivity() < (*silent)->LastActivity();
    silent = (*it)->IsEvictable() && isLonger ? it : silent;
  }
  if (silent == connections_.end()) {
    return false;
  }
  (*silent)->Close();
  connections_.erase(silent);
  CountConnections();
  return true;
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
    CountConnections();
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
  CountConnections();
}

void
CallerListener::AnswerRemaining()
{
  for (const auto& connection : connections_) {
    connection->AnswerRemaining();
  }
}

}
