#include "gateway/AllowanceLoans.h"

#include <algorithm>

namespace peridotsail {

AllowanceLoans::AllowanceLoans(CustomerAllowances& aAllowances,
                               AllowanceOwners& aOwners,
                               LoanOptions aOptions,
                               std::uint64_t aSeed)
  : allowances_(aAllowances)
  , owners_(aOwners)
  , options_(aOptions)
  , random_(aSeed)
{
}

ShareKey
AllowanceLoans::ChooseLender(const ShareKey& aShare)
{
  const std::size_t shares = owners_.ShareCount();
  if (shares < 2) {
    return aShare;
  }
  const std::size_t step =
    std::uniform_int_distribution<std::size_t>(1, shares - 1)(random_);
  return { aShare.customer_, (aShare.share_ + step) % shares };
}

void
AllowanceLoans::BackOff(Pending& aPending) const
{
  aPending.interval_ =
    std::min(options_.maxInterval_,
             std::max(options_.minInterval_, 2 * aPending.interval_));
}

std::optional<AddressedLoanRequest>
AllowanceLoans::MakeRequest(const ShareKey& aShare,
                            std::uint64_t aVersion,
                            TimePoint aNow)
{
  const double missing = allowances_.TokensToBorrow(aShare, aNow);
  if (missing <= 0) {
    return std::nullopt;
  }
  const ShareKey lender = ChooseLender(aShare);
  const AllowanceOwner* owner = owners_.OwnerOf(lender);
  if (owner == nullptr || lender.share_ == aShare.share_) {
    return std::nullopt;
  }
  if (owner->self_) {
    allowances_.Deposit(aShare, allowances_.Lend(lender, missing, aNow), aNow);
    return std::nullopt;
  }
  Pending& pending = pending_[aShare];
  if (pending.sentAt_ != TimePoint::min()) {
    if (aNow - pending.sentAt_ <
        std::max(options_.minInterval_, pending.interval_)) {
      return std::nullopt;
    }
    // A lost reply is treated like one without tokens.
    if (pending.id_ != 0) {
      BackOff(pending);
    }
  }
  // Zero is reserved for "no request".
  pending.id_ = std::max<std::uint64_t>(1, random_());
  pending.sentAt_ = aNow;
  return AddressedLoanRequest{ owner->address_,
                               { pending.id_, lender, aVersion, missing } };
}

LoanReply
AllowanceLoans::Answer(const LoanRequest& aRequest,
                       std::uint64_t aVersion,
                       TimePoint aNow)
{
  const bool sameLimits = aRequest.version_ == aVersion;
  return { aRequest.id_,
           sameLimits
             ? allowances_.Lend(aRequest.share_, aRequest.tokens_, aNow)
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
    BackOff(pending);
    return 0;
  }
  pending.interval_ = options_.minInterval_;
  if (aNow - pending.sentAt_ > options_.maxReplyAge_) {
    return 0;
  }
  allowances_.Deposit(found->first, aReply.tokens_, aNow);
  return aReply.tokens_;
}

}
