#pragma once

// Messages of a request that is relayed to another host. A relay has an id that
// is unique for the source's process incarnation; both directions carry pieces
// with a sequence number, so that a lost piece is noticed, and bounded by
// credits in bytes.

#include "base/ErrorKind.h"
#include "proxy/IncomingRequest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

enum class RelayDirection : std::uint8_t
{
  Request = 0,
  Response = 1,
};

struct RelayRequestHead
{
  std::uint64_t id_ = 0;
  // Holds no key.
  RequestHead head_;
  std::string customer_;
  std::string route_;
  // Time left until the deadline when the message was sent.
  std::int64_t remainingMs_ = 0;
  // True when the destination must run it as the holder of the idempotency
  // key's slot.
  bool once_ = false;
};

struct RelayResponseHead
{
  std::uint64_t id_ = 0;
  ResponseHead head_;
};

struct RelayBodyPiece
{
  std::uint64_t id_ = 0;
  RelayDirection direction_ = RelayDirection::Request;
  std::uint64_t sequence_ = 0;
  BodyPiece piece_;
};

struct RelayCredit
{
  std::uint64_t id_ = 0;
  // The direction of the body that may continue.
  RelayDirection direction_ = RelayDirection::Request;
  std::uint64_t bytes_ = 0;
};

// Ends a relay before its regular end. The direction is that of the message:
// Request when the source gives up, Response when the destination does.
struct RelayEnd
{
  std::uint64_t id_ = 0;
  RelayDirection direction_ = RelayDirection::Request;
  // Set when the destination refused the request; it was then not run.
  std::optional<ErrorKind> refusal_;
};

std::string
Encode(const RelayRequestHead& aHead);
std::string
Encode(const RelayResponseHead& aHead);
std::string
Encode(const RelayBodyPiece& aPiece);
std::string
Encode(const RelayCredit& aCredit);
std::string
Encode(const RelayEnd& aEnd);

// Both heads travel as PeerMessageType::RelayHead.
std::optional<RelayDirection>
DecodeRelayHeadDirection(std::string_view aBytes);

// Each returns nothing when the bytes are malformed.
std::optional<RelayRequestHead>
DecodeRelayRequestHead(std::string_view aBytes);
std::optional<RelayResponseHead>
DecodeRelayResponseHead(std::string_view aBytes);
std::optional<RelayBodyPiece>
DecodeRelayBodyPiece(std::string_view aBytes);
std::optional<RelayCredit>
DecodeRelayCredit(std::string_view aBytes);
std::optional<RelayEnd>
DecodeRelayEnd(std::string_view aBytes);

}
