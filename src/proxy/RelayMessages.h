#pragma once

// Messages that relay a request to another host. The ID of a relay is unique
// within one incarnation of the source process. Body chunks of both directions
// have sequence numbers, so that a lost chunk is detected, and are flow
// controlled by credits in bytes.

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
  // Does not contain the caller's key.
  RequestHead head_;
  std::string customer_;
  std::string route_;
  // Time until the deadline when the message was sent.
  std::int64_t remainingMs_ = 0;
  // True when the request is relayed to the holder of its idempotency key's
  // slot, for at-most-once execution.
  bool atMostOnce_ = false;
};

struct RelayResponseHead
{
  std::uint64_t id_ = 0;
  ResponseHead head_;
};

struct RelayBodyChunk
{
  std::uint64_t id_ = 0;
  RelayDirection direction_ = RelayDirection::Request;
  std::uint64_t sequence_ = 0;
  BodyChunk chunk_;
};

struct RelayCredit
{
  std::uint64_t id_ = 0;
  // The direction of the body that the credit is for.
  RelayDirection direction_ = RelayDirection::Request;
  std::uint64_t bytes_ = 0;
};

// Ends a relay early. The direction is that of this message: Request when the
// source cancels the relay, Response when the destination does.
struct RelayEnd
{
  std::uint64_t id_ = 0;
  RelayDirection direction_ = RelayDirection::Request;
  // Set when the destination refused the request without executing it.
  std::optional<ErrorKind> refusal_;
};

std::string
Encode(const RelayRequestHead& aHead);
std::string
Encode(const RelayResponseHead& aHead);
std::string
Encode(const RelayBodyChunk& aChunk);
std::string
Encode(const RelayCredit& aCredit);
std::string
Encode(const RelayEnd& aEnd);

// Distinguishes the two heads, which are both sent as
// PeerMessageType::RelayHead.
std::optional<RelayDirection>
DecodeRelayHeadDirection(std::string_view aBytes);

// These functions return nothing when the bytes are malformed.
std::optional<RelayRequestHead>
DecodeRelayRequestHead(std::string_view aBytes);
std::optional<RelayResponseHead>
DecodeRelayResponseHead(std::string_view aBytes);
std::optional<RelayBodyChunk>
DecodeRelayBodyChunk(std::string_view aBytes);
std::optional<RelayCredit>
DecodeRelayCredit(std::string_view aBytes);
std::optional<RelayEnd>
DecodeRelayEnd(std::string_view aBytes);

}
