#pragma once

// Accepts callers' connections and owns them until they are closed. Used on the
// traffic thread only.
//
//   CallerListener listener(context, hooks);
//   Error error;
//   if (!listener.Listen(address, error)) { ... }

#include "base/ErrorKind.h"
#include "gateway/CallerConnection.h"

#include <memory>
#include <set>

namespace peridotsail::detail {

class CallerListener
{
public:
  CallerListener(asio::io_context& aContext,
                 CallerHooks aHooks,
                 std::size_t aMaxConnections);
  bool Listen(const Address& aAddress, Error& aError);
  // Stops accepting; existing connections stay open.
  void Close();
  // Closes connections without requests and forgets those that are closed.
  void CloseIdle();
  // Ends all requests in progress before the process exits.
  void AnswerRemaining();
  std::size_t Connections() const { return connections_.size(); }

private:
  void Accept();
  void OnAccepted(tcp::socket aSocket);
  // Waits before the next accept, since a failed one fails again at once.
  void AcceptLater();
  // Closes the connection without requests or responses in progress whose
  // caller has been silent for longest. Returns false if there is none.
  bool CloseSilent();
  void CheckTimeouts();
  // Accounts for the connections after their number has changed.
  void CountConnections();

  CallerHooks hooks_;
  std::size_t maxConnections_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  asio::steady_timer acceptTimer_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
};

}
