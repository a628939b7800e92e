#pragma once

// Lends tokens between the owners of a customer's shares: callers may all
// connect in one region. An owner that runs low asks the owner of another share
// for a part of its tokens. Tokens only move, so that the limit over all shares
// holds whatever messages are lost, doubled or late: a lender gives its tokens
// up before it answers, and a borrower takes each answer once, and only soon
// after it asked.
//
// Pure; used on the traffic thread.
//
//   if (auto ask = loans.Ask(share, version, now)) {
//     send ask->request_ to ask->address_;
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
  // Between two requests for the same share: about the way to the farthest
  // region and back.
  Duration pause_ = std::chrono::milliseconds(100);
  // The pause doubles up to this while nothing is lent.
  Duration longestPause_ = std::chrono::milliseconds(1600);
  // A later answer is dropped: a host that was frozen must not use tokens of an
  // earlier window.
  Duration answerLife_ = std::chrono::milliseconds(500);
};

struct LoanAsk
{
  // Where the owner to ask receives datagrams.
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

  // The request to send when a share of this host runs low.
  std::optional<LoanAsk> Ask(const ShareKey& aShare,
                             std::uint64_t aVersion,
                             TimePoint aNow);
  LoanReply Answer(const LoanRequest& aRequest,
                   std::uint64_t aVersion,
                   TimePoint aNow);
  // Returns the tokens that were taken over.
  double Accept(const LoanReply& aReply, TimePoint aNow);

private:
  struct Pending
  {
    std::uint64_t id_ = 0;
    TimePoint askedAt_ = TimePoint::min();
    Duration pause_{};
  };

  // Another share of the customer, at random; this one when there is no other.
  ShareKey ChooseLender(const ShareKey& aShare);
  void OnNothingLent(Pending& aPending) const;

  CustomerAllowances& allowances_;
  AllowanceOwners& owners_;
  LoanOptions options_;
  std::mt19937_64 random_;
  // The last request for each share; an id of zero has been answered.
  std::map<ShareKey, Pending> pending_;
};

}
