#pragma once

// What hosts say to each other about allowances, as CBOR in UDP datagrams.

#include "gateway/AllowanceOwners.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace peridotsail {

// A host asks a share's owner for tokens for requests that wait for them.
struct TakeRequest
{
  std::uint64_t id_ = 0;
  ShareKey share_;
  double tokens_ = 0;
};

struct TakeReply
{
  std::uint64_t id_ = 0;
  // The asked host owns the share.
  bool owned_ = false;
  double tokens_ = 0;
  // When fewer tokens were granted than asked for: until the next one.
  Duration wait_{};
};

// A share's owner asks the owner of another share of the customer for tokens.
struct LoanRequest
{
  std::uint64_t id_ = 0;
  // Of the lender.
  ShareKey share_;
  // Of the configuration; a lender with another one lends nothing, since its
  // limits may differ.
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

// Nothing from malformed bytes.
std::optional<AllowanceMessage>
DecodeAllowanceMessage(const std::string& aBytes);

}
