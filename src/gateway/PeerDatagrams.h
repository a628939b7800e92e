#pragma once

// Datagrams between hosts, on one UDP port for all that hosts tell each other
// in small messages. A datagram may be lost, doubled or late; each kind of
// message must bear that. Traffic thread only; included by .cc files.
//
//   PeerDatagrams datagrams(context, knows);
//   datagrams.AddReceiver(receiver);
//   if (!datagrams.Listen(address, error)) { ... }
//   datagrams.Send(bytes, "10.1.0.8:7601");

#include "base/ErrorKind.h"
#include "http/BeastTypes.h"
#include "http/HttpTypes.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

namespace peridotsail::detail {

class PeerDatagrams
{
public:
  // Takes a message from the host at the address; returns false when the
  // message is none of its kind.
  using Receiver =
    std::function<bool(const std::string& aBytes, const std::string& aFrom)>;

  // aKnows tells whether a registered host has the address; datagrams from
  // elsewhere are dropped.
  PeerDatagrams(asio::io_context& aContext,
                std::function<bool(const std::string& aAddress)> aKnows);

  // Call before Listen.
  void AddReceiver(Receiver aReceiver);
  bool Listen(const Address& aAddress, Error& aError);
  void Send(const std::string& aBytes, const std::string& aAddress);

private:
  // All messages are smaller; longer datagrams are cut and then malformed.
  static constexpr std::size_t kMostBytes = 2048;

  void Receive();
  void OnDatagram(const std::string& aBytes);

  std::function<bool(const std::string&)> knows_;
  std::vector<Receiver> receivers_;
  asio::ip::udp::socket socket_;
  std::array<char, kMostBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

}
