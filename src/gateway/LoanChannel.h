#pragma once

// Carries requests for loans and their answers between hosts, as CBOR in UDP
// datagrams: a lost one costs a loan, never a token too many. Traffic thread
// only; included by .cc files.
//
//   LoanChannel channel(context, loans, [] { return version; });
//   if (!channel.Listen(address, error)) { ... }
//   channel.OnTaken(customer);   // after each request of the customer

#include "gateway/AllowanceLoans.h"
#include "http/BeastTypes.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace peridotsail::detail {

class LoanChannel
{
public:
  // aVersion gives the version of the configuration in force.
  LoanChannel(asio::io_context& aContext,
              AllowanceLoans& aLoans,
              std::function<std::uint64_t()> aVersion);

  bool Listen(const Address& aAddress, Error& aError);
  // Asks another host when this one runs low.
  void OnTaken(const GatewayCustomer& aCustomer);

private:
  // A message is far smaller; longer datagrams are cut and then malformed.
  static constexpr std::size_t kMostBytes = 1024;

  void Receive();
  void OnDatagram(const std::string& aBytes);
  void Send(const std::string& aBytes,
            const asio::ip::udp::endpoint& aReceiver);

  AllowanceLoans& loans_;
  std::function<std::uint64_t()> version_;
  asio::ip::udp::socket socket_;
  std::array<char, kMostBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

// The text of a request or an answer; nothing from malformed bytes.
std::string
EncodeLoanRequest(const LoanRequest& aRequest);
std::string
EncodeLoanReply(const LoanReply& aReply);
std::optional<LoanRequest>
DecodeLoanRequest(const std::string& aBytes);
std::optional<LoanReply>
DecodeLoanReply(const std::string& aBytes);

}
