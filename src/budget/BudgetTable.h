#pragma once

// All shared budgets of one kind on a host, by name, such as the budgets of all
// customers or the shift caps of all region pairs. Combines the entries of many
// budgets into one message per peer.
//
//   BudgetTable budgets(options, now);
//   budgets.SetLimits({ { "school-galway", 50, 100 } }, layout, isFirst, now);
//   budgets.SetSlot(validity, now);
//   budgets.SetPeers(peersNearestFirst);
//   if (!budgets.TryTake("school-galway", 1, now)) { ... }
//   for (auto& [peer, request] : budgets.Borrow(now)) { send(peer, request); }

#include "budget/SharedBudget.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotsail {

struct NamedLimits
{
  std::string name_;
  double rate_ = 0;
  double burst_ = 0;
};

class BudgetTable
{
public:
  BudgetTable(const SharedBudgetOptions& aOptions, TimePoint aNow);

  // Applies the limits of a configuration version. Budgets that are not in
  // aLimits are removed. aIsFirst: no earlier version can be in force on any
  // host.
  void SetLimits(const std::vector<NamedLimits>& aLimits,
                 const SlotLayoutPtr& aLayout,
                 bool aIsFirst,
                 TimePoint aNow);
  void SetSlot(const SlotValidity& aSlot, TimePoint aNow);
  void SetPeers(const std::vector<BudgetPeer>& aPeers);

  // Returns false if the tokens are not available or the name is unknown.
  bool TryTake(std::string_view aName, double aTokens, TimePoint aNow);
  // Returns null for an unknown name.
  SharedBudget* Find(std::string_view aName);
  void ForEach(const std::function<void(SharedBudget&)>& aVisit);

  // Returns the messages to send now, at most one per peer.
  std::vector<std::pair<std::string, TokenRequest>> Borrow(TimePoint aNow);
  // Entries for unknown budgets are ignored.
  TokenGrant Lend(const std::string& aPeer,
                  const TokenRequest& aRequest,
                  TimePoint aNow);
  void Accept(const std::string& aPeer,
              const TokenGrant& aGrant,
              TimePoint aNow);

private:
  SharedBudgetOptions options_;
  std::map<std::string, SharedBudget, std::less<>> budgets_;
  SlotValidity slot_;
  std::vector<BudgetPeer> peers_;
};

}
