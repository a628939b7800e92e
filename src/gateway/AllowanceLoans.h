#pragma once

// Moves tokens between the owners of a customer's shares, since all of a
// customer's callers may connect in one region. An owner whose share runs low
// borrows tokens from the owner of another share. Tokens are only moved, never
// created, so the limit over all shares holds even if messages are lost,
// duplicated or delayed: a lender deducts the tokens before it replies, and a
// borrower accepts each reply at most once and only shortly after its request.
//
// Performs no I/O. Traffic thread only.
//
//   if (auto loan = loans.MakeRequest(share, version, now)) {
//     send loan->request_ to loan->address_;
//   }
//   LoanReply reply = loans.Answer(request, version, now);   // at the lender
//   loans.Accept(reply, now);                                // at the borrower

#include "gateway/AllowanceMessages.h"
#include "gateway/CustomerAllowances.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace peridotsail {

struct LoanOptions
{
  // Minimum interval between two requests for the same share; about one round
  // trip to the farthest region.
  Duration minInterval_ = std::chrono::milliseconds(100);
  // While nothing is lent, the interval doubles up to this.
  Duration maxInterval_ = std::chrono::milliseconds(1600);
  // Replies older than this are dropped: a host that was frozen must not use
  // tokens of an earlier window.
  Duration maxReplyAge_ = std::chrono::milliseconds(500);
};

struct AddressedLoanRequest
{
  // Datagram address of the owner to ask.
  std::string address_;
  LoanRequest request_;
};

class AllowanceLoans
{
public:
  AllowanceLoans(CustomerAllowances& aAllowances,
                 AllowanceOwners& aOwners,
                 LoanOptions aOptions,
                 std::uint64_t aSeed);

  // The loan request to send if a share owned by this host runs low; empty if
  // none is needed now.
  std::optional<AddressedLoanRequest> MakeRequest(const ShareKey& aShare,
                                                  std::uint64_t aVersion,
                                                  TimePoint aNow);
  LoanReply Answer(const LoanRequest& aRequest,
                   std::uint64_t aVersion,
                   TimePoint aNow);
  // Returns the number of tokens accepted.
  double Accept(const LoanReply& aReply, TimePoint aNow);

private:
  struct Pending
  {
    std::uint64_t id_ = 0;
    TimePoint sentAt_ = TimePoint::min();
    Duration interval_{};
  };

  // A random other share of the customer, or aShare if it is the only one.
  ShareKey ChooseLender(const ShareKey& aShare);
  void BackOff(Pending& aPending) const;

  CustomerAllowances& allowances_;
  AllowanceOwners& owners_;
  LoanOptions options_;
  std::mt19937_64 random_;
  // The last request for each share. An id of zero means that it was answered.
  std::map<ShareKey, Pending> pending_;
};

}
