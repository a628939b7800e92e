#include "budget/BudgetTable.h"

#include <set>

namespace peridotsail {

BudgetTable::BudgetTable(const SharedBudgetOptions& aOptions, TimePoint)
  : options_(aOptions)
{
}

void
BudgetTable::SetLimits(const std::vector<NamedLimits>& aLimits,
                       const SlotLayoutPtr& aLayout,
                       bool aIsFirst,
                       TimePoint aNow)
{
  std::set<std::string_view> names;
  for (const NamedLimits& limits : aLimits) {
    names.insert(limits.name_);
    auto found = budgets_.find(limits.name_);
    if (found == budgets_.end()) {
      found =
        budgets_.try_emplace(limits.name_, limits.name_, options_, aNow).first;
      found->second.SetPeers(peers_);
      found->second.SetSlot(slot_, aNow);
    }
    found->second.SetLimits({ limits.rate_, limits.burst_, aLayout, aIsFirst },
                            aNow);
  }
  for (auto budget = budgets_.begin(); budget != budgets_.end();) {
    budget = names.count(budget->first) == 0 ? budgets_.erase(budget)
                                             : std::next(budget);
  }
}

void
BudgetTable::SetSlot(const SlotValidity& aSlot, TimePoint aNow)
{
  slot_ = aSlot;
  for (auto& [name, budget] : budgets_) {
    budget.SetSlot(aSlot, aNow);
  }
}

void
BudgetTable::SetPeers(const std::vector<BudgetPeer>& aPeers)
{
  peers_ = aPeers;
  for (auto& [name, budget] : budgets_) {
    budget.SetPeers(aPeers);
  }
}

bool
BudgetTable::TryTake(std::string_view aName, double aTokens, TimePoint aNow)
{
  SharedBudget* budget = Find(aName);
  return budget != nullptr && budget->TryTake(aTokens, aNow);
}

SharedBudget*
BudgetTable::Find(std::string_view aName)
{
  const auto found = budgets_.find(aName);
  return found == budgets_.end() ? nullptr : &found->second;
}

void
BudgetTable::ForEach(const std::function<void(SharedBudget&)>& aVisit)
{
  for (auto& [name, budget] : budgets_) {
    aVisit(budget);
  }
}

std::vector<std::pair<std::string, TokenRequest>>
BudgetTable::Borrow(TimePoint aNow)
{
  std::vector<std::pair<std::string, TokenRequest>> messages;
  std::map<std::string, std::size_t, std::less<>> messageIndexes;
  for (auto& [name, budget] : budgets_) {
    for (auto& [peer, entry] : budget.Borrow(aNow)) {
      const auto [messageIndex, isNew] =
        messageIndexes.emplace(peer, messages.size());
      if (isNew) {
        messages.emplace_back(peer, TokenRequest{});
      }
      messages[messageIndex->second].second.entries_.push_back(
        std::move(entry));
    }
  }
  return messages;
}

TokenGrant
BudgetTable::Lend(const std::string& aPeer,
                  const TokenRequest& aRequest,
                  TimePoint aNow)
{
  TokenGrant grant;
  for (const TokenRequestEntry& entry : aRequest.entries_) {
    SharedBudget* budget = Find(entry.budget_);
    if (budget != nullptr) {
      grant.entries_.push_back(budget->Lend(aPeer, entry, aNow));
    }
  }
  return grant;
}

void
BudgetTable::Accept(const std::string& aPeer,
                    const TokenGrant& aGrant,
                    TimePoint aNow)
{
  for (const TokenGrantEntry& entry : aGrant.entries_) {
    SharedBudget* budget = Find(entry.budget_);
    if (budget != nullptr) {
      budget->Accept(aPeer, entry, aNow);
    }
  }
}

}
