#pragma once

// The frame of all messages between hosts: a CBOR map with a type and a
// payload. Each component encodes the payloads of its own message types.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

// The numbers are part of the protocol and must never be reused.
enum class PeerMessageType : std::uint16_t
{
  Hello = 1,
  Ping = 2,
  Gossip = 10,
  ConfigurationRequest = 11,
  ConfigurationDelta = 12,
  WithdrawnKeys = 13,
  TokenRequest = 20,
  TokenGrant = 21,
  ReachabilityQuery = 30,
  ReachabilityAnswer = 31,
  RelayHead = 40,
  RelayBody = 41,
  RelayCredit = 42,
  RelayEnd = 43,
  QuarantineNotice = 50,
  ServerSuspicion = 51,
  HostLeaving = 60,
  SlotHeld = 61,
};

// Maximum size of an encoded message in bytes.
constexpr std::size_t kMaxPeerMessageBytes = 1 << 20;

struct PeerMessage
{
  PeerMessageType type_ = PeerMessageType::Ping;
  // Encoded by the component that owns the type.
  std::string payload_;
};

// The identity of the sender; the first message on each link.
struct PeerHello
{
  std::string hostName_;
  std::string region_;
  std::string failureDomain_;
  // Unique to each start of the process.
  std::string incarnation_;
};

std::string
EncodePeerMessage(const PeerMessage& aMessage);

// Returns nothing when the bytes are malformed or the type is unknown.
std::optional<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

std::string
EncodeHello(const PeerHello& aHello);

std::optional<PeerHello>
DecodeHello(std::string_view aBytes);

}
