#include "gateway/PeerDatagrams.h"

#include "base/EventLog.h"

#include <algorithm>
#include <utility>

namespace peridotsail::detail {

using Udp = asio::ip::udp;

PeerDatagrams::PeerDatagrams(
  asio::io_context& aContext,
  std::function<bool(const std::string& aAddress)> aIsKnown)
  : isKnown_(std::move(aIsKnown))
  , socket_(aContext)
{
}

void
PeerDatagrams::AddReceiver(Receiver aReceiver)
{
  receivers_.push_back(std::move(aReceiver));
}

bool
PeerDatagrams::Listen(const Address& aAddress, Error& aError)
{
  ErrorCode error;
  const Udp::endpoint endpoint(asio::ip::make_address(aAddress.ip_),
                               aAddress.port_);
  socket_.open(endpoint.protocol(), error);
  if (!error) {
    socket_.bind(endpoint, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    aError = { ErrorKind::Internal,
               "cannot receive datagrams on " + AddressText(aAddress) + ": " +
                 error.message() };
    return false;
  }
  Receive();
  return true;
}

void
PeerDatagrams::Receive()
{
  socket_.async_receive_from(asio::buffer(buffer_),
                             sender_,
                             [this](ErrorCode aError, std::size_t aBytes) {
                               if (aError == asio::error::operation_aborted) {
                                 return;
                               }
                               // Other errors report earlier datagrams that
                               // could not be delivered.
                               if (!aError) {
                                 OnDatagram(
                                   std::string(buffer_.data(), aBytes));
                               }
                               Receive();
                             });
}

void
PeerDatagrams::OnDatagram(const std::string& aBytes)
{
  const std::string from =
    AddressText({ sender_.address().to_string(), sender_.port() });
  const bool known = isKnown_(from);
  const bool handled = known && std::any_of(receivers_.begin(),
                                            receivers_.end(),
                                            [&](const Receiver& aReceiver) {
                                              return aReceiver(aBytes, from);
                                            });
  if (!handled) {
    LogEvent(Event::PeerDatagramDropped,
             { { "from", from }, { "known", known ? 1 : 0 } });
  }
}

void
PeerDatagrams::Send(const std::string& aBytes, const std::string& aAddress)
{
  ErrorCode error = asio::error::not_connected;
  const auto address = ParseAddress(aAddress);
  if (!address) {
    error = asio::error::invalid_argument;
  } else if (socket_.is_open()) {
    const Udp::endpoint receiver(asio::ip::make_address(address->ip_),
                                 address->port_);
    socket_.send_to(asio::buffer(aBytes), receiver, 0, error);
  }
  if (error) {
    LogEvent(Event::PeerDatagramDropped,
             { { "to", aAddress }, { "reason", error.message() } });
  }
}

}
