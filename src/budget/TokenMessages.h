#pragma once

// Messages used by hosts to lend each other parts of budgets, and their CBOR
// encoding. A message has entries for many budgets.
//
//   std::vector<std::uint8_t> bytes = EncodeTokenRequest(request);
//   std::optional<TokenRequest> loanReturn = DecodeTokenRequest(data, size);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// A share of a budget: current tokens, refill rate and bucket capacity. tokens_
// is at most capacity_.
struct BudgetShare
{
  double tokens_ = 0;
  double rate_ = 0;
  double capacity_ = 0;
};

// Returns a loan. The borrower has already reduced its own capacity and rate.
struct LoanReturn
{
  std::uint64_t loan_ = 0;
  // Unused tokens that are returned.
  double tokens_ = 0;
};

struct TokenRequestEntry
{
  std::string budget_;
  // Unique per borrower process.
  std::uint64_t request_ = 0;
  // The requested loan. All zero if the entry only renews or returns loans.
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
  // ID of the request that this grant answers.
  std::uint64_t request_ = 0;
  // ID of the loan, or 0 if nothing was lent.
  std::uint64_t loan_ = 0;
  BudgetShare share_;
  std::vector<std::uint64_t> renewed_;
};

struct TokenGrant
{
  std::vector<TokenGrantEntry> entries_;
};

// Maximum number of entries per message accepted by the decoders.
constexpr std::size_t kMaxTokenEntries = 4096;

std::vector<std::uint8_t>
EncodeTokenRequest(const TokenRequest& aRequest);

std::vector<std::uint8_t>
EncodeTokenGrant(const TokenGrant& aGrant);

// Returns nullopt if the message is malformed, a number is negative or not
// finite, or a list is too long.
std::optional<TokenRequest>
DecodeTokenRequest(const std::uint8_t* aData, std::size_t aSize);

std::optional<TokenGrant>
DecodeTokenGrant(const std::uint8_t* aData, std::size_t aSize);

}
