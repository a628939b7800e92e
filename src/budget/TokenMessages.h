#pragma once

// The messages with which hosts lend each other parts of budgets, and their
// CBOR codec. One message carries entries for many budgets.
//
//   std::vector<std::uint8_t> bytes = EncodeTokenRequest(request);
//   std::optional<TokenRequest> loanReturn = DecodeTokenRequest(data, size);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// A part of a budget: tokens that exist now, and the refill rate and the cap
// that move with them. tokens_ is at most capacity_.
struct BudgetShare
{
  double tokens_ = 0;
  double rate_ = 0;
  double capacity_ = 0;
};

// The borrower gave this loan up and has already reduced its own cap and rate.
struct LoanReturn
{
  std::uint64_t loan_ = 0;
  // Unspent tokens that come back.
  double tokens_ = 0;
};

struct TokenRequestEntry
{
  std::string budget_;
  // Unique for the borrower's process.
  std::uint64_t request_ = 0;
  // What the borrower would like; all zero in a mere renewal or return.
  BudgetShare wanted_;
  std::vector<std::uint64_t> renew_;
  std::vector<LoanReturn> returns_;
};

struct TokenRequest
{
  std::vector<TokenRequestEntry> entries_;
};

struct TokenGrantEntry
{
  std::string budget_;
  // The request that this answers.
  std::uint64_t request_ = 0;
  // 0 when nothing was lent.
  std::uint64_t loan_ = 0;
  BudgetShare share_;
  std::vector<std::uint64_t> renewed_;
};

struct TokenGrant
{
  std::vector<TokenGrantEntry> entries_;
};

// The largest number of entries that a decoder accepts in one message.
constexpr std::size_t kMaxTokenEntries = 4096;

std::vector<std::uint8_t>
EncodeTokenRequest(const TokenRequest& aRequest);

std::vector<std::uint8_t>
EncodeTokenGrant(const TokenGrant& aGrant);

// Nothing when the bytes are malformed, a number is negative or not finite, or
// a list is too long.
std::optional<TokenRequest>
DecodeTokenRequest(const std::uint8_t* aData, std::size_t aSize);

std::optional<TokenGrant>
DecodeTokenGrant(const std::uint8_t* aData, std::size_t aSize);

}
