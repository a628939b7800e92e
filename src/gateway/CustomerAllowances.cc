#include "gateway/CustomerAllowances.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

CustomerAllowances::CustomerAllowances(AllowanceOptions aOptions,
                                       AllowanceOwners& aOwners)
  : options_(aOptions)
  , owners_(aOwners)
  , history_(aOptions.maxViewAge_)
{
}

CustomerAllowances::Limits
CustomerAllowances::ShareLimits(const GatewayCustomer& aCustomer) const
{
  const double window = ToSeconds(options_.window_);
  const double limit = aCustomer.ratePerSecond_ * window + aCustomer.burst_;
  const double tolerance =
    options_.depthFraction_ * (options_.overage_ * limit + options_.slack_);
  const double depth =
    std::max(tolerance, aCustomer.burst_ * options_.minDepthFraction_);
  const double refill = (limit + tolerance - depth) / window;
  const double shares = static_cast<double>(owners_.ShareCount());
  // A bucket with a depth below one token would never admit a request.
  return { refill / shares, std::max(1.0, depth / shares) };
}

void
CustomerAllowances::Apply(const RoutingTable& aTable, TimePoint aNow)
{
  history_.Record(owners_, aNow);
  limits_.clear();
  for (const GatewayCustomer& customer : aTable.Customers()) {
    if (customer.ratePerSecond_ > 0) {
      limits_.emplace(customer.name_, ShareLimits(customer));
    }
  }
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    const bool limited = limits_.count(it->first.customer_) > 0;
    if (!limited) {
      waiting_.erase(it->first);
    }
    it = limited ? std::next(it) : accounts_.erase(it);
  }
  for (const auto& [customer, limits] : limits_) {
    for (std::size_t share = 0; share < owners_.ShareCount(); ++share) {
      const ShareKey key{ customer, share };
      const bool owned = owners_.OwnedHere(key);
      const auto found = accounts_.find(key);
      if (owned) {
        UpdateBucket(
          key, accounts_.try_emplace(key, aNow).first->second, limits, aNow);
      } else if (found != accounts_.end() && found->second.owned_) {
        EndOwnership(key, found->second, limits, aNow);
      }
    }
  }
}

void
CustomerAllowances::BeginOwnership(const ShareKey& aShare,
                                   Account& aAccount,
                                   const Limits& aLimits,
                                   TimePoint aNow)
{
  aAccount.owned_ = true;
  aAccount.bucket_.SetLimits(0, aLimits.depth_, aNow);
  for (const FormerOwner& former : history_.FormerOwners(aShare, owners_)) {
    if (former.registered_) {
      aAccount.formerOwners_.push_back(former);
    }
  }
  if (aAccount.formerOwners_.empty()) {
    aAccount.refillFrom_ = aNow + options_.expiredOwnerDelay_;
    AddInitialTokens(aAccount, aLimits, aNow);
    return;
  }
  aAccount.grantsFrom_ = aNow + options_.maxViewAge_;
  aAccount.refillFrom_ = *aAccount.grantsFrom_;
  waiting_.insert(aShare);
}

void
CustomerAllowances::EndOwnership(const ShareKey& aShare,
                                 Account& aAccount,
                                 const Limits& aLimits,
                                 TimePoint aNow)
{
  aAccount.owned_ = false;
  aAccount.grantsFrom_.reset();
  aAccount.formerOwners_.clear();
  aAccount.bucket_.SetLimits(0, aLimits.depth_, aNow);
  waiting_.erase(aShare);
}

void
CustomerAllowances::StartGranting(const ShareKey& aShare,
                                  Account& aAccount,
                                  const Limits& aLimits,
                                  TimePoint aNow)
{
  // The initial tokens are those of the first refill.
  aAccount.refillFrom_ =
    aAccount.fresh_ ? aNow + options_.initialTokens_ : aNow;
  aAccount.grantsFrom_.reset();
  aAccount.formerOwners_.clear();
  waiting_.erase(aShare);
  AddInitialTokens(aAccount, aLimits, aNow);
}

void
CustomerAllowances::AddInitialTokens(Account& aAccount,
                                     const Limits& aLimits,
                                     TimePoint aNow) const
{
  if (aAccount.fresh_) {
    aAccount.fresh_ = false;
    aAccount.bucket_.AddTokens(
      aLimits.refill_ * ToSeconds(options_.initialTokens_), aNow);
  }
}

void
CustomerAllowances::UpdateBucket(const ShareKey& aShare,
                                 Account& aAccount,
                                 const Limits& aLimits,
                                 TimePoint aNow)
{
  if (!aAccount.owned_) {
    BeginOwnership(aShare, aAccount, aLimits, aNow);
  }
  if (aAccount.grantsFrom_ && aNow >= *aAccount.grantsFrom_) {
    StartGranting(aShare, aAccount, aLimits, *aAccount.grantsFrom_);
  }
  if (!aAccount.grantsFrom_ && aNow >= aAccount.refillFrom_) {
    // Refill from refillFrom_ on, however late the first call after it is.
    aAccount.bucket_.SetLimits(
      aLimits.refill_, aLimits.depth_, aAccount.refillFrom_);
    aAccount.bucket_.Advance(aNow);
  }
}

std::vector<PendingHandover>
CustomerAllowances::PendingHandovers(TimePoint aNow)
{
  std::vector<PendingHandover> pending;
  // Shares whose former owners must have stopped leave the set.
  const std::set<ShareKey> waiting = waiting_;
  for (const ShareKey& share : waiting) {
    if (FindGranting(share, aNow) != nullptr) {
      continue;
    }
    for (const FormerOwner& former : accounts_.at(share).formerOwners_) {
      pending.push_back({ share, former });
    }
  }
  return pending;
}

void
CustomerAllowances::ConfirmHandover(const ShareKey& aShare,
                                    const std::string& aFormerOwner,
                                    TimePoint aNow)
{
  if (waiting_.count(aShare) == 0) {
    return;
  }
  Account& account = accounts_.at(aShare);
  std::vector<FormerOwner>& formers = account.formerOwners_;
  formers.erase(std::remove_if(formers.begin(),
                               formers.end(),
                               [&](const FormerOwner& aFormer) {
                                 return aFormer.name_ == aFormerOwner;
                               }),
                formers.end());
  if (formers.empty()) {
    StartGranting(aShare, account, limits_.at(aShare.customer_), aNow);
  }
}

CustomerAllowances::Account*
CustomerAllowances::FindOwned(const ShareKey& aShare, TimePoint aNow)
{
  const auto found = accounts_.find(aShare);
  if (found == accounts_.end() || !found->second.owned_) {
    return nullptr;
  }
  UpdateBucket(aShare, found->second, limits_.at(aShare.customer_), aNow);
  return &found->second;
}

CustomerAllowances::Account*
CustomerAllowances::FindGranting(const ShareKey& aShare, TimePoint aNow)
{
  Account* account = FindOwned(aShare, aNow);
  return account == nullptr || account->grantsFrom_ ? nullptr : account;
}

std::optional<TokenSupply>
CustomerAllowances::Supply(const ShareKey& aShare, TimePoint aNow)
{
  const Account* account = FindGranting(aShare, aNow);
  if (account == nullptr) {
    return std::nullopt;
  }
  const TokenBucket& bucket = account->bucket_;
  return TokenSupply{ bucket.Level(), bucket.Capacity(), bucket.Rate() };
}

TokenGrant
CustomerAllowances::Take(const ShareKey& aShare,
                         double aTokens,
                         TimePoint aNow,
                         double aMost)
{
  Account* account = FindOwned(aShare, aNow);
  if (account == nullptr) {
    return {};
  }
  if (account->grantsFrom_) {
    const Duration wait = *account->grantsFrom_ - aNow;
    return { true, 0, std::min(wait, options_.handoverInterval_) };
  }
  TokenBucket& bucket = account->bucket_;
  const double whole = std::floor(std::min({ aTokens, bucket.Level(), aMost }));
  TokenGrant grant;
  grant.owned_ = true;
  grant.tokens_ = bucket.TakeUpTo(whole, aNow);
  if (grant.tokens_ < aTokens) {
    grant.wait_ = PromiseTokens(*account, aTokens - grant.tokens_, aNow);
  }
  return grant;
}

// Staggers the retries of waiting hosts. Otherwise a customer far over its
// limit would make all hosts ask for every single token.
Duration
CustomerAllowances::PromiseTokens(Account& aAccount,
                                  double aTokens,
                                  TimePoint aNow) const
{
  const TokenBucket& bucket = aAccount.bucket_;
  if (bucket.Rate() <= 0) {
    return aAccount.refillFrom_ - aNow;
  }
  const double refilled =
    bucket.Rate() * ToSeconds(aNow - aAccount.promisedAt_);
  const double before = std::max(0.0, aAccount.promised_ - refilled);
  aAccount.promised_ = std::min(
    before + aTokens, bucket.Rate() * ToSeconds(options_.maxPromised_));
  aAccount.promisedAt_ = aNow;
  return FromSeconds((1 + before - bucket.Level()) / bucket.Rate());
}

void
CustomerAllowances::Deposit(const ShareKey& aShare,
                            double aTokens,
                            TimePoint aNow)
{
  if (Account* account = FindGranting(aShare, aNow)) {
    account->bucket_.AddTokens(aTokens, aNow);
  }
}

double
CustomerAllowances::TokensToBorrow(const ShareKey& aShare, TimePoint aNow)
{
  Account* account = FindGranting(aShare, aNow);
  if (account == nullptr) {
    return 0;
  }
  const TokenBucket& bucket = account->bucket_;
  const bool low = bucket.Level() < bucket.Capacity() * options_.borrowBelow_;
  return low ? bucket.Capacity() * options_.borrowTarget_ - bucket.Level() : 0;
}

double
CustomerAllowances::Lend(const ShareKey& aShare, double aTokens, TimePoint aNow)
{
  Account* account = FindGranting(aShare, aNow);
  if (account == nullptr) {
    return 0;
  }
  TokenBucket& bucket = account->bucket_;
  const double spare = bucket.Level() - bucket.Capacity() * options_.lendAbove_;
  return bucket.TakeUpTo(std::clamp(aTokens, 0.0, std::max(0.0, spare)), aNow);
}

}
