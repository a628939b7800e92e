#include "proxy/CallerServer.h"

#include "proxy/CallerSession.h"

namespace peridotsail {

using namespace detail;

CallerServer::Impl::Impl(boost::asio::io_context& aContext,
                         CallerServerOptions aOptions,
                         Handler aHandler)
  : context_(aContext)
  , options_(std::move(aOptions))
  , handler_(std::move(aHandler))
  , acceptor_(aContext)
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
      if (!aError && self->sessions_.size() < self->options_.maxConnections_) {
        std::make_shared<CallerSession>(std::move(aSocket), self)->Start();
      }
      self->Accept();
    });
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
}

std::size_t
CallerServer::Connections() const
{
  return impl_->sessions_.size();
}

}
