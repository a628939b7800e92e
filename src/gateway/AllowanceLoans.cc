#include "gateway/AllowanceLoans.h"

#include <algorithm>

namespace peridotsail {

AllowanceLoans::AllowanceLoans(CustomerAllowances& aAllowances,
                               LoanOptions aOptions,
                               std::uint64_t aSeed)
  : allowances_(aAllowances)
  , options_(aOptions)
  , random_(aSeed)
{
}

void
AllowanceLoans::SetHosts(const std::map<std::string, HostRecord>& aHosts,
                         const std::string& aSelf)
{
  peers_.clear();
  for (const auto& [name, host] : aHosts) {
    if (name != aSelf && !host.draining_ && !host.peers_.empty()) {
      peers_.push_back({ host.peers_, host.demand_ });
    }
  }
}

bool
AllowanceLoans::Knows(const std::string& aPeer) const
{
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& aOne) {
    return aOne.address_ == aPeer;
  });
}

// Of two hosts the one with less demand: finds those with tokens left without
// asking all of them.
const AllowanceLoans::Peer&
AllowanceLoans::ChoosePeer(const std::string& aCustomer)
{
  std::uniform_int_distribution<std::size_t> any(0, peers_.size() - 1);
  const auto demand = [&](const Peer& aPeer) {
    const auto found = aPeer.demand_.find(aCustomer);
    return found == aPeer.demand_.end() ? 0 : found->second;
  };
  const Peer& first = peers_[any(random_)];
  const Peer& second = peers_[any(random_)];
  return demand(first) <= demand(second) ? first : second;
}

void
AllowanceLoans::OnNothingLent(Pending& aPending) const
{
  aPending.pause_ = std::min(options_.longestPause_,
                             std::max(options_.pause_, 2 * aPending.pause_));
}

std::optional<LoanAsk>
AllowanceLoans::Ask(const GatewayCustomer& aCustomer,
                    std::uint64_t aVersion,
                    TimePoint aNow)
{
  if (peers_.empty()) {
    return std::nullopt;
  }
  const double missing = allowances_.Missing(aCustomer.name_, aNow);
  if (missing <= 0) {
    return std::nullopt;
  }
  Pending& pending = pending_[aCustomer.name_];
  if (pending.askedAt_ != TimePoint::min()) {
    if (aNow - pending.askedAt_ < std::max(options_.pause_, pending.pause_)) {
      return std::nullopt;
    }
    // No answer counts as an empty one.
    if (pending.id_ != 0) {
      OnNothingLent(pending);
    }
  }
  // Zero stands for "no request".
  pending.id_ = std::max<std::uint64_t>(1, random_());
  pending.askedAt_ = aNow;
  return LoanAsk{ ChoosePeer(aCustomer.name_).address_,
                  { pending.id_, aCustomer.name_, aVersion, missing } };
}

LoanReply
AllowanceLoans::Answer(const LoanRequest& aRequest,
                       std::uint64_t aVersion,
                       TimePoint aNow)
{
  const bool sameLimits = aRequest.version_ == aVersion;
  return { aRequest.id_,
           sameLimits
             ? allowances_.Lend(aRequest.customer_, aRequest.tokens_, aNow)
             : 0 };
}

double
AllowanceLoans::Accept(const LoanReply& aReply, TimePoint aNow)
{
  const auto found =
    std::find_if(pending_.begin(), pending_.end(), [&](const auto& aEntry) {
      return aReply.id_ != 0 && aEntry.second.id_ == aReply.id_;
    });
  if (found == pending_.end()) {
    return 0;
  }
  Pending& pending = found->second;
  pending.id_ = 0;
  if (aReply.tokens_ <= 0) {
    OnNothingLent(pending);
    return 0;
  }
  pending.pause_ = options_.pause_;
  if (aNow - pending.askedAt_ > options_.answerLife_) {
    return 0;
  }
  allowances_.Give(found->first, aReply.tokens_, aNow);
  return aReply.tokens_;
}

}
