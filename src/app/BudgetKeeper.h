#pragma once

// Runs the customers' budgets on the traffic thread: the check of each keyed
// request, the token messages to peers, and the levels as metrics.

#include "base/Metrics.h"
#include "budget/BudgetTable.h"
#include "config/Configuration.h"
#include "peer/PeerMessage.h"
#include "proxy/Refusal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace peridotsail {

class BudgetKeeper
{
public:
  using Send =
    std::function<void(const std::string& aHost, PeerMessage aMessage)>;

  BudgetKeeper(boost::asio::io_context& aContext,
               PeerHello aSelf,
               Metrics& aMetrics,
               Send aSend);

  void Start();
  void SetConfiguration(const Configuration& aConfiguration);
  void SetSlot(const SlotValidity& aSlot);
  void OnLink(const PeerHello& aPeer, bool aUp);
  // TokenRequest and TokenGrant.
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Takes one token; a refusal with the time until refill when there is none.
  std::optional<Refusal> Admit(const std::string& aCustomer);

private:
  void Tick();
  void SendRequests();
  void SetMetrics();

  PeerHello self_;
  Metrics& metrics_;
  Send send_;
  boost::asio::steady_timer timer_;
  BudgetTable budgets_;
  std::map<std::string, PeerHello> linked_;
  TimePoint lastMetrics_{};
};

}
