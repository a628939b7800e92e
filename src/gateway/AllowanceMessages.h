#pragma once

// Messages between hosts about allowances, encoded as CBOR in UDP datagrams.

#include "gateway/AllowanceOwners.h"
#include "returns/ReturnLine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotsail {

// Keeps a message within one datagram.
constexpr std::size_t kMaxDescribedCallers = 48;

// What the owner decided on a described caller.
struct CallerWait
{
  // Zero if a token was granted.
  Duration wait_{};
  // The place in line; zero if none was promised.
  int place_ = 0;
};

// Asks the owner of a share for tokens for waiting requests.
struct TakeRequest
{
  std::uint64_t id_ = 0;
  ShareKey share_;
  double tokens_ = 0;
  // The first of the waiting requests, at most kMaxDescribedCallers. Empty from
  // hosts that do not describe them.
  std::vector<ReturningCaller> callers_{};
};

struct TakeReply
{
  std::uint64_t id_ = 0;
  // Whether the replying host owns the share.
  bool owned_ = false;
  double tokens_ = 0;
  // Time until the next token, if fewer tokens were granted than requested.
  Duration wait_{};
  // One entry for each described caller; empty if the owner does not tell.
  std::vector<CallerWait> waits_{};
};

// Sent by the owner of one share to borrow tokens from the owner of another
// share of the same customer.
struct LoanRequest
{
  std::uint64_t id_ = 0;
  // The lender's share.
  ShareKey share_;
  // The borrower's configuration version. A lender with a different version
  // lends nothing, because its limits may differ.
  std::uint64_t version_ = 0;
  double tokens_ = 0;
};

struct LoanReply
{
  std::uint64_t id_ = 0;
  double tokens_ = 0;
};

using AllowanceMessage =
  std::variant<TakeRequest, TakeReply, LoanRequest, LoanReply>;

std::string
EncodeAllowanceMessage(const AllowanceMessage& aMessage);

// Returns nullopt for malformed input.
std::optional<AllowanceMessage>
DecodeAllowanceMessage(const std::string& aBytes);

}
