#pragma once

// Accepts callers' connections and keeps them until they end. Traffic thread
// only.
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
                 std::size_t aMostConnections);
  bool Listen(const Address& aAddress, Error& aError);
  // Stops accepting; open connections go on.
  void Close();
  void CloseIdle();
  std::size_t Connections() const { return connections_.size(); }

private:
  void Accept();
  void CheckTimeouts();

  CallerHooks hooks_;
  std::size_t mostConnections_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
};

}
