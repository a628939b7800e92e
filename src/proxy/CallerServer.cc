#include "proxy/CallerServer.h"

#include "proxy/CallerSession.h"

namespace peridotsail {

using namespace detail;

namespace {

constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(50);

}

CallerServer::Impl::Impl(boost::asio::io_context& aContext,
                         CallerServerOptions aOptions,
                         Handler aHandler)
  : context_(aContext)
  , options_(std::move(aOptions))
  , handler_(std::move(aHandler))
  , acceptor_(aContext)
  , retryTimer_(aContext)
{
}

void
CallerServer::Impl::Accept()
{
  acceptor_.async_accept(
    [self = shared_from_this()](ErrorCode aError, tcp::socket aSocket) {
      if (!self->acceptor_.is_open()) {
        return;
      }
      if (aError) {
        // Most likely no descriptor is left.
        self->CloseSilent();
        self->AcceptLater();
        return;
      }
      const bool hasRoom =
        self->sessions_.size() < self->options_.maxConnections_;
      if (hasRoom || self->CloseSilent()) {
        std::make_shared<CallerSession>(std::move(aSocket), self)->Start();
      }
      self->Accept();
    });
}

void
CallerServer::Impl::AcceptLater()
{
  retryTimer_.expires_after(ToSteady(kAcceptRetryInterval));
  retryTimer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && self->acceptor_.is_open()) {
      self->Accept();
    }
  });
}

bool
CallerServer::Impl::CloseSilent()
{
  CallerSession* silent = nullptr;
  for (CallerSession* session : sessions_) {
    const bool isLonger =
      silent == nullptr || session->LastActivity() < silent->LastActivity();
    if (session->IsSilent() && isLonger) {
      silent = session;
    }
  }
  if (silent == nullptr) {
    return false;
  }
  Remove(*silent);
  silent->Close();
  ++closed_;
  return true;
}

void
CallerServer::Impl::Add(CallerSession& aSession)
{
  sessions_.insert(&aSession);
  CountConnections();
}

void
CallerServer::Impl::Remove(CallerSession& aSession)
{
  sessions_.erase(&aSession);
  CountConnections();
}

void
CallerServer::Impl::CountConnections()
{
  if (options_.memory_ != nullptr) {
    options_.memory_->SetConnections(sessions_.size());
  }
}

CallerServer::CallerServer(boost::asio::io_context& aContext,
                           CallerServerOptions aOptions,
                           Handler aHandler)
  : impl_(std::make_shared<Impl>(aContext,
                                 std::move(aOptions),
                                 std::move(aHandler)))
{
}

CallerServer::~CallerServer()
{
  Close();
  // Sessions are destroyed with the io_context, after the pool.
  impl_->options_.memory_ = nullptr;
}

bool
CallerServer::Listen(Error& aError)
{
  const bool opened = OpenAcceptor(impl_->acceptor_,
                                   impl_->options_.listen_,
                                   asio::socket_base::max_listen_connections,
                                   aError);
  if (!opened) {
    return false;
  }
  impl_->Accept();
  return true;
}

std::uint16_t
CallerServer::Port() const
{
  return impl_->acceptor_.local_endpoint().port();
}

void
CallerServer::CloseConnectionsAfterResponses()
{
  impl_->closing_ = true;
  const std::set<CallerSession*> sessions = impl_->sessions_;
  for (CallerSession* session : sessions) {
    session->CloseIfIdle();
  }
}

void
CallerServer::Close()
{
  ErrorCode ignored;
  impl_->acceptor_.close(ignored);
  impl_->waiting_.clear();
}

std::uint64_t
CallerServer::Closed() const
{
  return impl_->closed_;
}

std::size_t
CallerServer::Connections() const
{
  return impl_->sessions_.size();
}

}
