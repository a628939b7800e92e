#include "peer/PeerMessage.h"

#include "peer/CborReader.h"

namespace peridotsail {

namespace {

constexpr std::size_t kMaxNameBytes = 100;

bool
IsKnown(std::uint64_t aType)
{
  switch (static_cast<PeerMessageType>(aType)) {
    case PeerMessageType::Hello:
    case PeerMessageType::Ping:
    case PeerMessageType::Gossip:
    case PeerMessageType::ConfigurationRequest:
    case PeerMessageType::ConfigurationDelta:
    case PeerMessageType::WithdrawnKeys:
    case PeerMessageType::TokenRequest:
    case PeerMessageType::TokenGrant:
    case PeerMessageType::ReachabilityQuery:
    case PeerMessageType::ReachabilityAnswer:
    case PeerMessageType::RelayHead:
    case PeerMessageType::RelayBody:
    case PeerMessageType::RelayCredit:
    case PeerMessageType::RelayEnd:
    case PeerMessageType::QuarantineNotice:
    case PeerMessageType::ServerSuspicion:
    case PeerMessageType::HostLeaving:
    case PeerMessageType::SlotHeld:
      return aType <= UINT16_MAX;
  }
  return false;
}

}

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  return ToCbor({ { "t", static_cast<std::uint16_t>(aMessage.type_) },
                  { "p", CborBinary(aMessage.payload_) } });
}

std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  if (aBytes.size() > kMaxPeerMessageBytes) {
    return std::nullopt;
  }
  CborReader reader(aBytes);
  const std::uint64_t type = reader.Unsigned("t");
  PeerMessage message;
  message.payload_ = reader.Binary("p", kMaxPeerMessageBytes);
  if (!reader.Valid() || !IsKnown(type)) {
    return std::nullopt;
  }
  message.type_ = static_cast<PeerMessageType>(type);
  return message;
}

std::string
EncodeHello(const PeerHello& aHello)
{
  return ToCbor({ { "host", aHello.hostName_ },
                  { "region", aHello.region_ },
                  { "domain", aHello.failureDomain_ },
                  { "incarnation", aHello.incarnation_ } });
}

std::optional<PeerHello>
DecodeHello(std::string_view aBytes)
{
  CborReader reader(aBytes);
  PeerHello hello;
  hello.hostName_ = reader.Text("host", kMaxNameBytes);
  hello.region_ = reader.Text("region", kMaxNameBytes);
  hello.failureDomain_ = reader.Text("domain", kMaxNameBytes);
  hello.incarnation_ = reader.Text("incarnation", kMaxNameBytes);
  if (!reader.Valid() || hello.hostName_.empty()) {
    return std::nullopt;
  }
  return hello;
}

}
