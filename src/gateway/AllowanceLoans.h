#pragma once

// Lends tokens of customers' allowances between hosts. A share that follows
// demand by the second still leaves one host without tokens while others have
// some left; a host that runs low asks another one for a part of its tokens.
// Tokens only move, so that the limit over all hosts holds whatever messages
// are lost, doubled or late: a lender gives its tokens up before it answers,
// and a borrower takes each answer once, and only soon after it asked.
//
// Pure; used on the traffic thread.
//
//   if (auto ask = loans.Ask(customer, version, now)) {
//     send ask->request_ to ask->peer_;
//   }
//   LoanReply reply = loans.Answer(request, version, now);   // at the lender
//   loans.Accept(reply, now);                                // at the borrower

#include "gateway/CustomerAllowances.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridotsail {

struct LoanOptions
{
  // Between two requests for the same customer: about the way to the farthest
  // region and back.
  Duration pause_ = std::chrono::milliseconds(100);
  // The pause doubles up to this while nothing is lent.
  Duration longestPause_ = std::chrono::milliseconds(1600);
  // A later answer is dropped: a host that was frozen must not use tokens of an
  // earlier window.
  Duration answerLife_ = std::chrono::milliseconds(500);
};

struct LoanRequest
{
  std::uint64_t id_ = 0;
  std::string customer_;
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

struct LoanAsk
{
  // The address of the host to ask, as its registration gives it.
  std::string peer_;
  LoanRequest request_;
};

class AllowanceLoans
{
public:
  AllowanceLoans(CustomerAllowances& aAllowances,
                 LoanOptions aOptions,
                 std::uint64_t aSeed);

  // aHosts are all registered hosts by name; those without an address for
  // peers, those that leave and aSelf are not asked.
  void SetHosts(const std::map<std::string, HostRecord>& aHosts,
                const std::string& aSelf);
  // Whether a host with this address for peers is registered.
  bool Knows(const std::string& aPeer) const;
  // The request to send when the host runs low on the customer's tokens.
  std::optional<LoanAsk> Ask(const GatewayCustomer& aCustomer,
                             std::uint64_t aVersion,
                             TimePoint aNow);
  LoanReply Answer(const LoanRequest& aRequest,
                   std::uint64_t aVersion,
                   TimePoint aNow);
  // Returns the tokens that were taken over.
  double Accept(const LoanReply& aReply, TimePoint aNow);

private:
  struct Peer
  {
    std::string address_;
    std::map<std::string, double> demand_;
  };
  struct Pending
  {
    std::uint64_t id_ = 0;
    TimePoint askedAt_ = TimePoint::min();
    Duration pause_{};
  };

  const Peer& ChoosePeer(const std::string& aCustomer);
  void OnNothingLent(Pending& aPending) const;

  CustomerAllowances& allowances_;
  LoanOptions options_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  // The last request for each customer; an id of zero has been answered.
  std::map<std::string, Pending> pending_;
};

}
