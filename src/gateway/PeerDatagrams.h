#pragma once

// Exchanges datagrams between hosts on a single UDP port, which all small
// messages between hosts share. Datagrams may be lost, duplicated or delayed;
// every message type must tolerate that. Traffic thread only; included by .cc
// files.
//
//   PeerDatagrams datagrams(context, isKnown);
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
  // Handles a message from the host at the address; returns false if the
  // message is of another type.
  using Receiver =
    std::function<bool(const std::string& aBytes, const std::string& aFrom)>;

  // aIsKnown returns whether an address belongs to a registered host; datagrams
  // from other addresses are dropped.
  PeerDatagrams(asio::io_context& aContext,
                std::function<bool(const std::string& aAddress)> aIsKnown);

  // Must be called before Listen.
  void AddReceiver(Receiver aReceiver);
  bool Listen(const Address& aAddress, Error& aError);
  void Send(const std::string& aBytes, const std::string& aAddress);

private:
  // All messages are smaller than this. Longer datagrams are truncated, and
  // then rejected as malformed.
  static constexpr std::size_t kMaxBytes = 2048;

  void Receive();
  void OnDatagram(const std::string& aBytes);

  std::function<bool(const std::string&)> isKnown_;
  std::vector<Receiver> receivers_;
  asio::ip::udp::socket socket_;
  std::array<char, kMaxBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

}
