#include "gateway/LoanChannel.h"

#include "base/BoundedCbor.h"
#include "base/EventLog.h"

#include <cmath>
#include <utility>

namespace peridotsail::detail {

using nlohmann::json;
using Udp = asio::ip::udp;

namespace {

// A message is one map of plain values.
constexpr int kDepth = 2;
// Whether a datagram is a request or an answer.
constexpr const char* kKind = "kind";
constexpr const char* kRequest = "request";
constexpr const char* kReply = "reply";

std::string
ToCbor(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

// The map of a message of the kind; nothing otherwise.
std::optional<json>
ReadMessage(const std::string& aBytes, const char* aKind)
{
  std::optional<json> message = DecodeBoundedCbor(aBytes, kDepth);
  const bool fits =
    message && message->is_object() && message->value(kKind, json()) == aKind;
  return fits ? message : std::nullopt;
}

std::optional<double>
ReadTokens(const json& aMessage)
{
  const double tokens = aMessage.at("tokens").get<double>();
  const bool usable = std::isfinite(tokens) && tokens >= 0;
  return usable ? std::optional<double>(tokens) : std::nullopt;
}

}

std::string
EncodeLoanRequest(const LoanRequest& aRequest)
{
  return ToCbor({ { kKind, kRequest },
                  { "id", aRequest.id_ },
                  { "customer", aRequest.customer_ },
                  { "version", aRequest.version_ },
                  { "tokens", aRequest.tokens_ } });
}

std::string
EncodeLoanReply(const LoanReply& aReply)
{
  return ToCbor(
    { { kKind, kReply }, { "id", aReply.id_ }, { "tokens", aReply.tokens_ } });
}

std::optional<LoanRequest>
DecodeLoanRequest(const std::string& aBytes)
{
  try {
    const std::optional<json> message = ReadMessage(aBytes, kRequest);
    const std::optional<double> tokens =
      message ? ReadTokens(*message) : std::nullopt;
    if (!tokens) {
      return std::nullopt;
    }
    return LoanRequest{ message->at("id").get<std::uint64_t>(),
                        message->at("customer").get<std::string>(),
                        message->at("version").get<std::uint64_t>(),
                        *tokens };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<LoanReply>
DecodeLoanReply(const std::string& aBytes)
{
  try {
    const std::optional<json> message = ReadMessage(aBytes, kReply);
    const std::optional<double> tokens =
      message ? ReadTokens(*message) : std::nullopt;
    if (!tokens) {
      return std::nullopt;
    }
    return LoanReply{ message->at("id").get<std::uint64_t>(), *tokens };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

LoanChannel::LoanChannel(asio::io_context& aContext,
                         AllowanceLoans& aLoans,
                         std::function<std::uint64_t()> aVersion)
  : loans_(aLoans)
  , version_(std::move(aVersion))
  , socket_(aContext)
{
}

bool
LoanChannel::Listen(const Address& aAddress, Error& aError)
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
LoanChannel::OnTaken(const GatewayCustomer& aCustomer)
{
  if (!socket_.is_open()) {
    return;
  }
  const auto ask = loans_.Ask(aCustomer, version_(), BootClock::now());
  const auto address = ask ? ParseAddress(ask->peer_) : std::nullopt;
  if (address) {
    Send(EncodeLoanRequest(ask->request_),
         { asio::ip::make_address(address->ip_), address->port_ });
  }
}

void
LoanChannel::Receive()
{
  socket_.async_receive_from(asio::buffer(buffer_),
                             sender_,
                             [this](ErrorCode aError, std::size_t aBytes) {
                               if (aError == asio::error::operation_aborted) {
                                 return;
                               }
                               // Other errors tell of earlier datagrams that
                               // did not arrive.
                               if (!aError) {
                                 OnDatagram(
                                   std::string(buffer_.data(), aBytes));
                               }
                               Receive();
                             });
}

void
LoanChannel::OnDatagram(const std::string& aBytes)
{
  const std::string peer =
    AddressText({ sender_.address().to_string(), sender_.port() });
  const TimePoint now = BootClock::now();
  const auto request = DecodeLoanRequest(aBytes);
  const auto reply = request ? std::nullopt : DecodeLoanReply(aBytes);
  const bool known = loans_.Knows(peer);
  if (!known || (!request && !reply)) {
    LogEvent(Event::LoanMessageDropped,
             { { "from", peer }, { "known", known ? 1 : 0 } });
  } else if (request) {
    Send(EncodeLoanReply(loans_.Answer(*request, version_(), now)), sender_);
  } else {
    const double tokens = loans_.Accept(*reply, now);
    if (tokens > 0) {
      LogEvent(Event::LoanTaken, { { "from", peer }, { "tokens", tokens } });
    }
  }
}

void
LoanChannel::Send(const std::string& aBytes, const Udp::endpoint& aReceiver)
{
  ErrorCode error;
  socket_.send_to(asio::buffer(aBytes), aReceiver, 0, error);
  if (error) {
    LogEvent(Event::LoanMessageDropped,
             { { "to", aReceiver.address().to_string() },
               { "reason", error.message() } });
  }
}

}
