#pragma once

// All shared budgets of one kind on one host, by name: the customers' budgets,
// or the region pairs' shift caps. Puts the entries of many budgets into one
// message for each peer.
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

  // A configuration version came into force on this host. Budgets that it does
  // not name end. aIsFirst: no earlier version can be in force anywhere.
  void SetLimits(const std::vector<NamedLimits>& aLimits,
                 const SlotLayoutPtr& aLayout,
                 bool aIsFirst,
                 TimePoint aNow);
  void SetSlot(const SlotValidity& aSlot, TimePoint aNow);
  void SetPeers(const std::vector<BudgetPeer>& aPeers);

  // False also for an unknown name.
  bool TryTake(std::string_view aName, double aTokens, TimePoint aNow);
  // Null for an unknown name.
  SharedBudget* Find(std::string_view aName);
  void ForEach(const std::function<void(SharedBudget&)>& aVisit);

  // The messages to send now, at most one for each peer.
  std::vector<std::pair<std::string, TokenRequest>> Borrow(TimePoint aNow);
  // Entries for unknown budgets are left out of the answer.
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
