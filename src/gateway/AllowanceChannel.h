#pragma once

// Carries the messages about allowances between hosts, as CBOR in UDP
// datagrams: a lost one costs tokens, never gives one too many. Traffic thread
// only; included by .cc files.
//
//   AllowanceChannel channel(context, owners, allowances, version, viewAge);
//   if (!channel.Listen(address, error)) { ... }
//   channel.Admit(customer, callback);

#include "gateway/AllowanceGate.h"
#include "gateway/AllowanceLoans.h"
#include "http/BeastTypes.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace peridotsail::detail {

class AllowanceChannel
{
public:
  // aVersion gives the version of the configuration in force.
  AllowanceChannel(asio::io_context& aContext,
                   AllowanceOwners& aOwners,
                   CustomerAllowances& aAllowances,
                   std::function<std::uint64_t()> aVersion,
                   std::function<Duration(TimePoint)> aViewAge);

  bool Listen(const Address& aAddress, Error& aError);
  void Admit(const GatewayCustomer& aCustomer,
             AllowanceGate::Callback aCallback);
  // Returns the token of a request that did not run.
  void GiveBack(const std::string& aCustomer);

private:
  // A message is far smaller; longer datagrams are cut and then malformed.
  static constexpr std::size_t kMostBytes = 1024;

  GateHooks MakeHooks(std::function<Duration(TimePoint)> aViewAge);
  void Receive();
  void OnDatagram(const std::string& aBytes);
  std::optional<AllowanceMessage> AnswerOf(const AllowanceMessage& aMessage,
                                           TimePoint aNow);
  void Send(const AllowanceMessage& aMessage,
            const asio::ip::udp::endpoint& aReceiver);
  void SendTo(const AllowanceMessage& aMessage, const std::string& aAddress);
  // Sees to it that the gate's next timeout is noticed. A timer that runs
  // earlier is left as it is: most answers come long before it.
  void SetTimer();

  AllowanceOwners& owners_;
  std::function<std::uint64_t()> version_;
  AllowanceGate gate_;
  AllowanceLoans loans_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerAt_;
  std::array<char, kMostBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

}
