#include "gateway/AllowanceChannel.h"

#include "base/EventLog.h"

#include <algorithm>
#include <random>
#include <utility>

namespace peridotsail::detail {

using Udp = asio::ip::udp;

AllowanceChannel::AllowanceChannel(asio::io_context& aContext,
                                   AllowanceOwners& aOwners,
                                   CustomerAllowances& aAllowances,
                                   std::function<std::uint64_t()> aVersion,
                                   std::function<Duration(TimePoint)> aViewAge)
  : owners_(aOwners)
  , version_(std::move(aVersion))
  , gate_(aAllowances,
          aOwners,
          {},
          MakeHooks(std::move(aViewAge)),
          std::random_device()())
  , loans_(aAllowances, aOwners, {}, std::random_device()())
  , socket_(aContext)
  , timer_(aContext)
{
}

GateHooks
AllowanceChannel::MakeHooks(std::function<Duration(TimePoint)> aViewAge)
{
  GateHooks hooks;
  hooks.viewAge_ = std::move(aViewAge);
  hooks.send_ = [this](const std::string& aAddress,
                       const TakeRequest& aRequest) {
    SendTo(aRequest, aAddress);
  };
  hooks.onTaken_ = [this](const ShareKey& aShare) {
    if (const auto ask = loans_.Ask(aShare, version_(), BootClock::now())) {
      SendTo(ask->request_, ask->address_);
    }
  };
  return hooks;
}

bool
AllowanceChannel::Listen(const Address& aAddress, Error& aError)
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
AllowanceChannel::Admit(const GatewayCustomer& aCustomer,
                        AllowanceGate::Callback aCallback)
{
  gate_.Admit(aCustomer, BootClock::now(), std::move(aCallback));
  SetTimer();
}

void
AllowanceChannel::GiveBack(const std::string& aCustomer)
{
  gate_.GiveBack(aCustomer, BootClock::now());
}

void
AllowanceChannel::SetTimer()
{
  const auto next = gate_.NextTimeout();
  const bool set = timerAt_ && (!next || *timerAt_ <= *next);
  if (!next || set) {
    return;
  }
  timerAt_ = next;
  timer_.expires_after(
    ToSteady(std::max(Duration::zero(), *next - BootClock::now())));
  timer_.async_wait([this](ErrorCode aError) {
    if (!aError) {
      timerAt_.reset();
      gate_.OnTimer(BootClock::now());
      SetTimer();
    }
  });
}

void
AllowanceChannel::Receive()
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
AllowanceChannel::OnDatagram(const std::string& aBytes)
{
  const std::string peer =
    AddressText({ sender_.address().to_string(), sender_.port() });
  const bool known = owners_.Knows(peer);
  const auto message =
    known ? DecodeAllowanceMessage(aBytes) : std::optional<AllowanceMessage>();
  if (!message) {
    LogEvent(Event::AllowanceMessageDropped,
             { { "from", peer }, { "known", known ? 1 : 0 } });
    return;
  }
  if (const auto answer = AnswerOf(*message, BootClock::now())) {
    Send(*answer, sender_);
  }
  SetTimer();
}

std::optional<AllowanceMessage>
AllowanceChannel::AnswerOf(const AllowanceMessage& aMessage, TimePoint aNow)
{
  if (const auto* take = std::get_if<TakeRequest>(&aMessage)) {
    return gate_.Answer(*take, aNow);
  }
  if (const auto* loan = std::get_if<LoanRequest>(&aMessage)) {
    return loans_.Answer(*loan, version_(), aNow);
  }
  if (const auto* taken = std::get_if<TakeReply>(&aMessage)) {
    gate_.Accept(*taken, aNow);
  } else if (const auto* lent = std::get_if<LoanReply>(&aMessage)) {
    const double tokens = loans_.Accept(*lent, aNow);
    if (tokens > 0) {
      LogEvent(Event::LoanTaken, { { "tokens", tokens } });
    }
  }
  return std::nullopt;
}

void
AllowanceChannel::SendTo(const AllowanceMessage& aMessage,
                         const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    LogEvent(Event::AllowanceMessageDropped,
             { { "to", aAddress }, { "reason", "not an address" } });
    return;
  }
  Send(aMessage, { asio::ip::make_address(address->ip_), address->port_ });
}

void
AllowanceChannel::Send(const AllowanceMessage& aMessage,
                       const Udp::endpoint& aReceiver)
{
  ErrorCode error;
  if (socket_.is_open()) {
    socket_.send_to(
      asio::buffer(EncodeAllowanceMessage(aMessage)), aReceiver, 0, error);
  } else {
    error = asio::error::not_connected;
  }
  if (error) {
    LogEvent(Event::AllowanceMessageDropped,
             { { "to", aReceiver.address().to_string() },
               { "reason", error.message() } });
  }
}

}
