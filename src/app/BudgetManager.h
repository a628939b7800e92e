#pragma once

// Manages the customers' token budgets on the traffic thread: admits requests,
// exchanges token messages with peers and exports the token levels as metrics.

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

class BudgetManager
{
public:
  using Send =
    std::function<void(const std::string& aHost, PeerMessage aMessage)>;

  BudgetManager(boost::asio::io_context& aContext,
                PeerHello aSelf,
                Metrics& aMetrics,
                Send aSend);

  void Start();
  void SetConfiguration(const Configuration& aConfiguration);
  void SetSlot(const SlotValidity& aSlot);
  void OnLink(const PeerHello& aPeer, bool aUp);
  // Handles TokenRequest and TokenGrant messages.
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Takes one token from the customer's budget. If it is empty, returns a
  // refusal with the time until the next token.
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
  std::map<std::string, PeerHello> linkedPeers_;
  TimePoint lastMetrics_{};
};

}
